use rstest::rstest;

use super::{Event, Reader};

const BODY: &[u8] =
    b": open\n\nid: 1\r\ndata: a\r\n\r\nevent: error\ndata:b\ndata: c\n\ndata: [DONE]\n\n";

#[rstest]
#[case::whole(BODY.len())]
#[case::bytewise(1)]
#[case::sevens(7)]
fn pieces_may_be_cut_anywhere(#[case] size: usize) {
    let mut reader = Reader::default();
    let events: Vec<_> = BODY
        .chunks(size)
        .flat_map(|piece| reader.push(piece))
        .collect();
    let event = |id, name: &str, data: &str| Event {
        id,
        name: name.to_owned(),
        data: data.to_owned(),
    };
    let expected = [
        event(Some(1), "", "a"),
        event(None, "error", "b\nc"),
        event(None, "", "[DONE]"),
    ];
    assert_eq!(events, expected);
}

#[test]
fn an_event_without_its_blank_line_is_not_told() {
    let mut reader = Reader::default();
    assert!(reader.push(b"id: 1\ndata: a\n").is_empty());
}
