//! When the caller of a refused request is told to retry.

use woodgap_core::clock::Millis;
use woodgap_core::relay::scheduling::queue::Reason;
use woodgap_core::relay::scheduling::returns::{self, Standing};
use woodgap_core::relay::scheduling::scheduler::Request;

use crate::request::problem::Code;
use crate::request::{AccessRecord, AdmittedRequest, Problem};
use crate::scheduling::claim::claim;
use crate::state::State;

/// What a refused caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// It came back as told before, and is admitted before new ones.
    AsTold,
    /// It is to retry after this time, for which capacity is kept free.
    Promised(Millis),
    /// It is to retry after this time.
    Unpromised(Millis),
}

impl Announcement {
    /// The error for the caller.
    pub fn problem(self, message: &str) -> Problem {
        let problem = Problem::not_run(Code::Overloaded, message);
        match self {
            Self::AsTold => problem,
            Self::Promised(after) | Self::Unpromised(after) => problem.retry_after(after),
        }
    }

    /// Whether capacity is kept free for the caller.
    pub fn is_promised(self) -> bool {
        matches!(self, Self::Promised(_))
    }

    /// The time after which the caller is to retry.
    pub fn after(self) -> Option<Millis> {
        match self {
            Self::AsTold => None,
            Self::Promised(after) | Self::Unpromised(after) => Some(after),
        }
    }
}

/// Plans when the caller is to retry, and asks the owner of its promise whether it has one already.
pub async fn plan(
    state: &State,
    admitted: &AdmittedRequest,
    request: &Request<'_>,
    reason: Reason,
) -> Announcement {
    if reason == Reason::OverShare {
        return without_promise(state, admitted);
    }
    let now = state.now();
    let remaining = admitted.deadline - now;
    let planned = {
        let mut scheduler = state.scheduling.scheduler.borrow_mut();
        scheduler.plan(request, remaining, rand::random(), now)
    };
    let standing = claim(state, admitted.fingerprint, &planned).await;
    if standing != Standing::New {
        let mut scheduler = state.scheduling.scheduler.borrow_mut();
        scheduler.cancel(request.service, &planned);
    }
    match standing {
        Standing::New if planned.is_promised => Announcement::Promised(planned.after),
        Standing::New => Announcement::Unpromised(planned.after),
        Standing::AsTold => Announcement::AsTold,
        Standing::Early(left) => Announcement::Promised(left),
        Standing::Repeated => without_promise(state, admitted),
    }
}

/// A time to retry for a caller for which no capacity can be kept: about when it gives up, so that
/// its retries take nothing from others.
pub fn without_promise(state: &State, admitted: &AdmittedRequest) -> Announcement {
    let remaining = admitted.deadline - state.now();
    let planned = returns::unpromised(remaining, rand::random());
    Announcement::Unpromised(planned.after)
}

/// Replaces the time to retry of a request that was admitted, and for which no endpoint was found
/// that could serve it in time.
pub async fn replace(
    state: &State,
    admitted: &AdmittedRequest,
    record: &mut AccessRecord,
    problem: Problem,
) -> Problem {
    let request = admitted.scheduling_request(state, record.elapsed());
    let announcement = match plan(state, admitted, &request, Reason::NoRoom).await {
        // There is no endpoint for it even so.
        Announcement::AsTold => without_promise(state, admitted),
        announcement => announcement,
    };
    record.set_announcement("forecast", announcement);
    announcement.problem(&problem.message)
}
