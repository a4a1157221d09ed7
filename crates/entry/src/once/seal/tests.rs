use rstest::rstest;

use super::*;

const NOW: Millis = Millis::from_secs(1_000);
const NONCE: u128 = 7;
const BODY: &[u8] = b"question";

fn sealer() -> Sealer {
    Sealer::new(&[1; 32])
}

fn header() -> String {
    sealer().seal(NOW, NONCE, BODY).0
}

#[rstest]
#[case::as_it_was_asked(NOW, header(), BODY, None)]
#[case::a_little_late(NOW + WINDOW, header(), BODY, None)]
#[case::a_little_early(NOW - WINDOW, header(), BODY, None)]
#[case::too_late(NOW + WINDOW + Millis(1), header(), BODY, Some(Broken::Old))]
#[case::too_early(NOW - WINDOW - Millis(1), header(), BODY, Some(Broken::Old))]
#[case::another_body(NOW, header(), b"other", Some(Broken::Seal))]
#[case::another_time(NOW, header().replacen('f', "e", 1), BODY, Some(Broken::Seal))]
#[case::another_key(NOW, Sealer::new(&[2; 32]).seal(NOW, NONCE, BODY).0, BODY, Some(Broken::Seal))]
#[case::cut(NOW, header()[..20].to_owned(), BODY, Some(Broken::Seal))]
#[case::none(NOW, String::new(), BODY, Some(Broken::Seal))]
fn a_question_is_checked(
    #[case] now: Millis,
    #[case] header: String,
    #[case] body: &[u8],
    #[case] broken: Option<Broken>,
) {
    assert_eq!(sealer().open(now, &header, body).err(), broken);
}

#[test]
fn a_question_is_taken_once() {
    let sealer = sealer();
    assert!(sealer.open(NOW, &header(), BODY).is_ok());
    assert_eq!(sealer.open(NOW, &header(), BODY).err(), Some(Broken::Old));
}

/// Two frames as the other entry writes them.
fn frames() -> (Chain, Vec<u8>, Vec<u8>) {
    let (header, chain) = sealer().seal(NOW, NONCE, BODY);
    let mut writer = sealer().open(NOW, &header, BODY).unwrap();
    let first = writer.write(&Frame::Waiting).to_vec();
    let second = writer.write(&Frame::Released).to_vec();
    (chain, first, second)
}

#[test]
fn frames_are_read_as_they_come_in() {
    let (mut chain, first, second) = frames();
    let mut bytes = BytesMut::new();
    let mut read = Vec::new();
    for byte in [first, second].concat() {
        bytes.extend_from_slice(&[byte]);
        read.extend(chain.read(&mut bytes).unwrap());
    }
    assert_eq!(read, [Frame::Waiting, Frame::Released]);
}

#[rstest]
#[case::swapped(|first: Vec<u8>, second: Vec<u8>| [second, first].concat(), Broken::Seal)]
#[case::left_out(|_, second| second, Broken::Seal)]
#[case::changed(|first: Vec<u8>, _| { let mut bytes = first; *bytes.last_mut().unwrap() ^= 1; bytes }, Broken::Seal)]
#[case::too_long(|_, _| vec![0xff; 40], Broken::Form)]
fn other_frames_are_refused(
    #[case] change: fn(Vec<u8>, Vec<u8>) -> Vec<u8>,
    #[case] broken: Broken,
) {
    let (mut chain, first, second) = frames();
    let mut bytes = BytesMut::from(&change(first, second)[..]);
    assert_eq!(chain.read(&mut bytes), Err(broken));
}
