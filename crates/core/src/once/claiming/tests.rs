use rstest::rstest;

use super::*;
use crate::name::{Incarnation, Request};
use crate::once::Digest;

const SOON: Millis = Millis(200);
const DEADLINE: Millis = Millis(1_000);

/// This life's submission, one that it gave up, one that it may have sent, and
/// another life's.
const OWN: Request = request(1, 9);
const GIVEN_UP: Request = request(1, 3);
const SENT: Request = request(1, 4);
const OTHER: Request = request(2, 9);

const fn request(incarnation: u64, sequence: u64) -> Request {
    Request {
        incarnation: Incarnation(incarnation),
        sequence,
    }
}

fn row(request: Request) -> Row {
    let claim = Claim {
        request,
        address: "127.0.0.1:80".parse().unwrap(),
        body: Digest::of(["body"]),
        at: Millis(5),
        end: None,
    };
    Row { claim, version: 77 }
}

#[derive(Clone, Copy, Debug)]
enum Input {
    Written(Written),
    Seen(Option<Request>),
    Unseen,
    /// From here on the sooner time has passed.
    Soon,
    /// From here on the deadline has passed.
    Late,
}

use Input::{Late, Seen, Soon, Unseen};

const COMMITTED: Input = Input::Written(Written::Committed(5));
const CONFLICT: Input = Input::Written(Written::Conflict);
const UNKNOWN: Input = Input::Written(Written::Unknown);
const UNAVAILABLE: Input = Input::Written(Written::Unavailable);

fn play(script: &[Input]) -> String {
    let mut notes = Notes::new(Incarnation(1));
    notes.give_up(GIVEN_UP);
    let (mut claiming, first) = Claiming::new(OWN, SOON, DEADLINE);
    let mut told = vec![short(&first)];
    let mut now = Millis::ZERO;
    for input in script {
        let step = match *input {
            Soon => {
                now = SOON;
                continue;
            }
            Late => {
                now = DEADLINE;
                continue;
            }
            Input::Written(written) => claiming.written(now, written),
            Seen(request) => claiming.seen(now, request.map(row), &notes),
            Unseen => claiming.unseen(now),
        };
        told.push(short(&step));
    }
    told.join(" ")
}

fn short(step: &Step<Settled>) -> String {
    match step {
        Step::Write { over, after } => format!("write({over})+{}", after.0),
        Step::Read { after } => format!("read+{}", after.0),
        Step::Done(Settled::Mine(version)) => format!("mine({version})"),
        Step::Done(Settled::Held(claim)) => format!("held({})", claim.request.sequence),
        Step::Done(Settled::Unsettled { may_stand }) => format!("unsettled({may_stand})"),
    }
}

#[rstest]
#[case::acknowledged(&[COMMITTED], "write(0)+0 mine(5)")]
#[case::held_elsewhere(&[CONFLICT, Seen(Some(OTHER))], "write(0)+0 read+0 held(9)")]
#[case::held_by_this_life(&[CONFLICT, Seen(Some(SENT))], "write(0)+0 read+0 held(4)")]
#[case::acknowledgement_lost(&[UNKNOWN, Seen(Some(OWN))], "write(0)+0 read+0 mine(77)")]
#[case::request_lost(&[UNKNOWN, Seen(None), COMMITTED], "write(0)+0 read+0 write(0)+10 mine(5)")]
#[case::lost_to_another(&[UNKNOWN, Seen(Some(OTHER))], "write(0)+0 read+0 held(9)")]
#[case::lands_after_the_read(
    &[UNKNOWN, Seen(None), CONFLICT, Seen(Some(OWN))],
    "write(0)+0 read+0 write(0)+10 read+0 mine(77)"
)]
#[case::given_up_before(
    &[CONFLICT, Seen(Some(GIVEN_UP)), COMMITTED],
    "write(0)+0 read+0 write(77)+10 mine(5)"
)]
#[case::given_up_and_just_deleted(
    &[CONFLICT, Seen(Some(GIVEN_UP)), CONFLICT, Seen(None), COMMITTED],
    "write(0)+0 read+0 write(77)+10 read+0 write(0)+20 mine(5)"
)]
#[case::given_up_then_taken(
    &[CONFLICT, Seen(Some(GIVEN_UP)), CONFLICT, Seen(Some(OTHER))],
    "write(0)+0 read+0 write(77)+10 read+0 held(9)"
)]
#[case::out_for_a_moment(
    &[UNAVAILABLE, UNAVAILABLE, COMMITTED],
    "write(0)+0 write(0)+10 write(0)+20 mine(5)"
)]
#[case::out(&[UNAVAILABLE, Soon, UNAVAILABLE], "write(0)+0 write(0)+10 unsettled(false)")]
#[case::slow(
    &[Soon, UNKNOWN, Seen(None), COMMITTED],
    "write(0)+0 read+0 write(0)+10 mine(5)"
)]
#[case::busy(&[Soon, CONFLICT, Seen(Some(OTHER))], "write(0)+0 read+0 held(9)")]
#[case::out_after_an_unknown_write(
    &[UNKNOWN, Unseen, Late, Unseen],
    "write(0)+0 read+0 read+10 unsettled(true)"
)]
#[case::read_back_late(&[UNKNOWN, Late, Seen(Some(OWN))], "write(0)+0 read+0 mine(77)")]
#[case::absent_late(&[UNKNOWN, Late, Seen(None)], "write(0)+0 read+0 unsettled(true)")]
#[case::acknowledged_late(&[Late, COMMITTED], "write(0)+0 mine(5)")]
#[case::stale_reads_to_the_end(
    &[CONFLICT, Seen(None), CONFLICT, Late, Seen(None)],
    "write(0)+0 read+0 write(0)+10 read+0 unsettled(false)"
)]
fn settles(#[case] script: &[Input], #[case] told: &str) {
    assert_eq!(play(script), told);
}
