//! Asks the owner of a promise about a request that is to be refused, and answers others.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::oneshot;
use woodgap_core::fingerprint::Fingerprint;
use woodgap_core::relay::scheduling::returns::{Answer, Claim, Return, Standing};

use crate::gossip::message::{self, ReturnMessage};
use crate::scheduling::Scheduling;
use crate::state::State;

/// How long the owner's answer is waited for: several round trips between data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);

/// The standing of a request that is to be refused.
pub async fn claim(state: &State, request: Fingerprint, planned: &Return) -> Standing {
    let scheduling = &state.scheduling;
    let number = scheduling.next_claim.get().wrapping_add(1);
    scheduling.next_claim.set(number);
    let claim = Claim {
        number,
        key: request.key(),
        due: planned.after,
        is_promised: planned.is_promised,
    };
    let Some(owner) = owner(state, claim.key) else {
        let now = state.now();
        let mut scheduler = scheduling.scheduler.borrow_mut();
        return scheduler.claim(&claim, now).standing;
    };
    let (sender, receiver) = oneshot::channel();
    scheduling.claims.borrow_mut().insert(number, sender);
    scheduling.send(&ReturnMessage::Claim(claim), owner);
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, receiver).await;
    scheduling.claims.borrow_mut().remove(&number);
    if answer.is_err() {
        state.metrics.unanswered_claims.inc();
    }
    answer.ok().and_then(Result::ok).unwrap_or(Standing::New)
}

/// The address of the entry that owns the promises with this key; `None` for this one.
fn owner(state: &State, key: u64) -> Option<SocketAddr> {
    let fleet = state.fleet.borrow();
    let ring = fleet.ring();
    let name = ring.owner(key);
    let owner = fleet.known().find(|it| it.name == *name);
    owner.map(|it| it.peer)
}

/// Answers a claim of another entry, or takes in its answer.
pub fn receive(state: &State, message: &ReturnMessage, sender: SocketAddr) {
    let scheduling = &state.scheduling;
    match message {
        ReturnMessage::Claim(claim) => {
            let now = state.now();
            let answer = scheduling.scheduler.borrow_mut().claim(claim, now);
            scheduling.send(&ReturnMessage::Answer(answer), sender);
        }
        ReturnMessage::Answer(Answer { number, standing }) => {
            if let Some(waiter) = scheduling.claims.borrow_mut().remove(number) {
                // The caller may have gone in this moment.
                let _ = waiter.send(*standing);
            }
        }
    }
}

impl Scheduling {
    fn send(&self, message: &ReturnMessage, to: SocketAddr) {
        let socket = self.socket.borrow();
        let Some(socket) = socket.as_ref() else {
            return;
        };
        // A message that can't be sent counts as lost.
        if let Ok(bytes) = message::encode_return(message) {
            let _ = socket.try_send_to(&bytes, to);
        }
    }
}
