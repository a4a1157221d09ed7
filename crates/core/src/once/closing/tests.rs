use rstest::rstest;

use super::*;
use crate::name::Incarnation;
use crate::once::{Claim, Digest, End};

const OWN: name::Request = request(1);
const OTHER: name::Request = request(2);

const fn request(sequence: u64) -> name::Request {
    name::Request {
        incarnation: Incarnation(1),
        sequence,
    }
}

fn row(request: name::Request, end: Option<End>) -> Row {
    let claim = Claim {
        request,
        address: "127.0.0.1:80".parse().unwrap(),
        body: Digest::of(["body"]),
        at: Millis(5),
        end,
    };
    Row { claim, version: 77 }
}

#[derive(Clone, Copy, Debug)]
enum Input {
    Written(Written),
    Nothing,
    Open(name::Request),
    Ended,
    ReadFailed,
}

use Input::{Ended, Nothing, Open, ReadFailed};

const COMMITTED: Input = Input::Written(Written::Committed(0));
const CONFLICT: Input = Input::Written(Written::Conflict);
const UNKNOWN: Input = Input::Written(Written::Unknown);
const UNAVAILABLE: Input = Input::Written(Written::Unavailable);

fn play(version: Option<u64>, script: &[Input]) -> String {
    let (mut closing, first) = Closing::new(OWN, version);
    let mut told = vec![short(&first)];
    let ended = row(OWN, Some(End::Complete { kept: true }));
    for input in script {
        let step = match *input {
            Input::Written(written) => closing.on_write(written),
            Nothing => closing.on_read(None),
            Open(request) => closing.on_read(Some(&row(request, None))),
            Ended => closing.on_read(Some(&ended)),
            ReadFailed => closing.on_read_error(),
        };
        told.push(short(&step));
    }
    told.join(" ")
}

fn short(step: &Step<()>) -> String {
    match step {
        Step::Write { over, after } => format!("write({over})+{}", after.0),
        Step::Read { after } => format!("read+{}", after.0),
        Step::Done(()) => "done".to_owned(),
    }
}

#[rstest]
#[case::at_once(Some(5), &[COMMITTED], "write(5)+0 done")]
#[case::unknown_version(None, &[Open(OWN), COMMITTED], "read+0 write(77)+0 done")]
#[case::never_written(None, &[Nothing], "read+0 done")]
#[case::another_claim(None, &[Open(OTHER)], "read+0 done")]
#[case::acknowledgement_lost(Some(5), &[UNKNOWN, Ended], "write(5)+0 read+50 done")]
#[case::delete_took_effect(Some(5), &[UNKNOWN, Nothing], "write(5)+0 read+50 done")]
#[case::request_lost(
    Some(5),
    &[UNKNOWN, Open(OWN), COMMITTED],
    "write(5)+0 read+50 write(77)+0 done"
)]
#[case::written_over(Some(5), &[CONFLICT, Open(OTHER)], "write(5)+0 read+50 done")]
#[case::out_for_long(
    Some(5),
    &[UNAVAILABLE, UNAVAILABLE, UNKNOWN, ReadFailed, Open(OWN), COMMITTED],
    "write(5)+0 write(5)+50 write(5)+100 read+200 read+400 write(77)+0 done"
)]
fn closes(#[case] version: Option<u64>, #[case] script: &[Input], #[case] told: &str) {
    assert_eq!(play(version, script), told);
}

#[test]
fn the_wait_is_bounded() {
    let (mut closing, _) = Closing::new(OWN, None);
    let waits = (0..20).map(|_| closing.on_read_error());
    assert_eq!(waits.last(), Some(Step::Read { after: MAX_WAIT }));
}
