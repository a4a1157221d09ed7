//! Random events for a pool.

use proptest::prelude::*;
use proptest::strategy::Union;
use woodgap_core::control::Outcome;

use super::fixture::ENDPOINTS;

/// Number of requests that the steps use.
const REQUESTS: u64 = 40;
pub const HOLDERS: u64 = 3;

/// An event.
#[derive(Clone, Debug)]
pub enum Step {
    Ask(u64),
    /// Asks again after a failure, with the endpoint to be avoided.
    Retry(u64),
    Withdraw(u64),
    /// Ends the n-th run.
    Done(usize, Outcome),
    /// Repeats the end of the n-th permit issued so far.
    DoneAgain(usize),
    ForgetHolder(u64),
    /// Reports a run of this request at this endpoint under a permit of an
    /// earlier home.
    Adopt(u64, usize),
    /// Reports the n-th permit issued so far as still active.
    AdoptAgain(usize),
    /// Sets the usable endpoints, as a bit mask.
    SetEndpoints(u32),
    Tick(u64),
    Lend(u64, u32),
    /// Returns the n-th loan.
    ReturnLoan(usize),
}

/// Generates sequences of steps in which asks are the most frequent.
pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        6 => Just(Outcome::Complete),
        1 => Just(Outcome::Failed),
        1 => Just(Outcome::Refused),
        1 => Just(Outcome::Cancelled),
    ];
    let step = Union::new_weighted(vec![
        (12, (0..REQUESTS).prop_map(Step::Ask).boxed()),
        (3, (0..REQUESTS).prop_map(Step::Retry).boxed()),
        (2, (0..REQUESTS).prop_map(Step::Withdraw).boxed()),
        (
            7,
            (0..99_usize, outcome)
                .prop_map(|(n, end)| Step::Done(n, end))
                .boxed(),
        ),
        (1, (0..99_usize).prop_map(Step::DoneAgain).boxed()),
        (1, (0..HOLDERS).prop_map(Step::ForgetHolder).boxed()),
        (
            1,
            (0..REQUESTS, 0..ENDPOINTS)
                .prop_map(|(n, at)| Step::Adopt(n, at))
                .boxed(),
        ),
        (1, (0..99_usize).prop_map(Step::AdoptAgain).boxed()),
        (
            2,
            (0..1_u32 << ENDPOINTS).prop_map(Step::SetEndpoints).boxed(),
        ),
        (
            3,
            prop_oneof![5 => 0..300_u64, 1 => 300..90_000_u64]
                .prop_map(Step::Tick)
                .boxed(),
        ),
        (
            1,
            (0..HOLDERS, 1..4_u32)
                .prop_map(|(n, want)| Step::Lend(n, want))
                .boxed(),
        ),
        (1, (0..9_usize).prop_map(Step::ReturnLoan).boxed()),
    ]);
    prop::collection::vec(step, 1..150)
}
