use rstest::rstest;

use super::*;
use crate::name::{Incarnation, Request};
use crate::once::Digest;

const REFUSED_DEADLINE: Millis = Millis(200);
const DEADLINE: Millis = Millis(1_000);

/// A submission of this incarnation, one that it abandoned, one that it may have sent, and one
/// of another incarnation.
const OWN: Request = request(1, 9);
const ABANDONED: Request = request(1, 3);
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
    ReadFailed,
    /// From here on, the deadline for refused calls has passed.
    RefusedDeadlinePassed,
    /// From here on, the deadline has passed.
    DeadlinePassed,
}

use Input::{DeadlinePassed, ReadFailed, RefusedDeadlinePassed, Seen};

const COMMITTED: Input = Input::Written(Written::Committed(5));
const CONFLICT: Input = Input::Written(Written::Conflict);
const UNKNOWN: Input = Input::Written(Written::Unknown);
const UNAVAILABLE: Input = Input::Written(Written::Unavailable);

fn play(script: &[Input]) -> String {
    let mut abandoned = AbandonedRequests::new(Incarnation(1));
    abandoned.abandon(ABANDONED);
    let (mut claiming, first) = Claiming::new(OWN, REFUSED_DEADLINE, DEADLINE);
    let mut told = vec![short(&first)];
    let mut now = Millis::ZERO;
    for input in script {
        let step = match *input {
            RefusedDeadlinePassed => {
                now = REFUSED_DEADLINE;
                continue;
            }
            DeadlinePassed => {
                now = DEADLINE;
                continue;
            }
            Input::Written(written) => claiming.on_write(now, written),
            Seen(request) => claiming.on_read(now, request.map(row), &abandoned),
            ReadFailed => claiming.on_read_error(now),
        };
        told.push(short(&step));
    }
    told.join(" ")
}

fn short(step: &Step<ClaimOutcome>) -> String {
    match step {
        Step::Write { over, after } => format!("write({over})+{}", after.0),
        Step::Read { after } => format!("read+{}", after.0),
        Step::Done(ClaimOutcome::Acquired(version)) => format!("acquired({version})"),
        Step::Done(ClaimOutcome::Held(claim)) => format!("held({})", claim.request.sequence),
        Step::Done(ClaimOutcome::Unresolved { may_exist }) => format!("unresolved({may_exist})"),
    }
}

#[rstest]
#[case::acknowledged(&[COMMITTED], "write(0)+0 acquired(5)")]
#[case::held_elsewhere(&[CONFLICT, Seen(Some(OTHER))], "write(0)+0 read+0 held(9)")]
#[case::held_by_this_life(&[CONFLICT, Seen(Some(SENT))], "write(0)+0 read+0 held(4)")]
#[case::acknowledgement_lost(&[UNKNOWN, Seen(Some(OWN))], "write(0)+0 read+0 acquired(77)")]
#[case::request_lost(&[UNKNOWN, Seen(None), COMMITTED], "write(0)+0 read+0 write(0)+10 acquired(5)")]
#[case::lost_to_another(&[UNKNOWN, Seen(Some(OTHER))], "write(0)+0 read+0 held(9)")]
#[case::lands_after_the_read(
    &[UNKNOWN, Seen(None), CONFLICT, Seen(Some(OWN))],
    "write(0)+0 read+0 write(0)+10 read+0 acquired(77)"
)]
#[case::given_up_before(
    &[CONFLICT, Seen(Some(ABANDONED)), COMMITTED],
    "write(0)+0 read+0 write(77)+10 acquired(5)"
)]
#[case::given_up_and_just_deleted(
    &[CONFLICT, Seen(Some(ABANDONED)), CONFLICT, Seen(None), COMMITTED],
    "write(0)+0 read+0 write(77)+10 read+0 write(0)+20 acquired(5)"
)]
#[case::given_up_then_taken(
    &[CONFLICT, Seen(Some(ABANDONED)), CONFLICT, Seen(Some(OTHER))],
    "write(0)+0 read+0 write(77)+10 read+0 held(9)"
)]
#[case::out_for_a_moment(
    &[UNAVAILABLE, UNAVAILABLE, COMMITTED],
    "write(0)+0 write(0)+10 write(0)+20 acquired(5)"
)]
#[case::out(&[UNAVAILABLE, RefusedDeadlinePassed, UNAVAILABLE], "write(0)+0 write(0)+10 unresolved(false)")]
#[case::slow(
    &[RefusedDeadlinePassed, UNKNOWN, Seen(None), COMMITTED],
    "write(0)+0 read+0 write(0)+10 acquired(5)"
)]
#[case::busy(&[RefusedDeadlinePassed, CONFLICT, Seen(Some(OTHER))], "write(0)+0 read+0 held(9)")]
#[case::out_after_an_unknown_write(
    &[UNKNOWN, ReadFailed, DeadlinePassed, ReadFailed],
    "write(0)+0 read+0 read+10 unresolved(true)"
)]
#[case::read_back_late(&[UNKNOWN, DeadlinePassed, Seen(Some(OWN))], "write(0)+0 read+0 acquired(77)")]
#[case::absent_late(&[UNKNOWN, DeadlinePassed, Seen(None)], "write(0)+0 read+0 unresolved(true)")]
#[case::acknowledged_late(&[DeadlinePassed, COMMITTED], "write(0)+0 acquired(5)")]
#[case::stale_reads_to_the_end(
    &[CONFLICT, Seen(None), CONFLICT, DeadlinePassed, Seen(None)],
    "write(0)+0 read+0 write(0)+10 read+0 unresolved(false)"
)]
fn settles(#[case] script: &[Input], #[case] told: &str) {
    assert_eq!(play(script), told);
}
