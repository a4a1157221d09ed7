//! How the other threads reach the control thread.

use std::time::Duration;

use tokio::sync::oneshot;
use woodgap_core::control::{Ask, Event, Grant, Refusal};
use woodgap_core::instance::Instance;
use woodgap_core::name;

use crate::control::actor::{Actor, Look, Place, Tell};
use crate::control::{Ledger, Snapshot};
use crate::supervisor::Branch;

/// Wait before asking again after the control branch ended under an ask.
const ASK_AGAIN: Duration = Duration::from_millis(20);

/// The answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A place at an endpoint.
    Grant(Grant),
    /// Refused; the request did not run.
    Refuse(Refusal),
    /// Another request with the same identity waits or runs at the entry of
    /// this life; this one did not run.
    Elsewhere(name::Incarnation),
}

/// Reaches the control actor, whichever life of it is running.
#[derive(Clone)]
pub struct Handle {
    branch: Branch<Actor>,
    ledger: Ledger,
}

impl Handle {
    /// A handle of a supervised control actor.
    pub fn new(branch: Branch<Actor>) -> Self {
        let ledger = Ledger::default();
        Self { branch, ledger }
    }

    /// What outlives a restart of the control branch.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Asks for a place and waits for the answer, over restarts of the control branch.
    ///
    /// Dropping the future withdraws the ask.
    pub async fn ask(&self, ask: Ask) -> Answer {
        let mut withdrawal = Withdrawal {
            handle: self,
            request: Some(ask.request),
        };
        loop {
            if let Some(answer) = self.ask_once(ask.clone()).await {
                withdrawal.request = None;
                return answer;
            }
            tokio::time::sleep(ASK_AGAIN).await;
        }
    }

    async fn ask_once(&self, ask: Ask) -> Option<Answer> {
        let address = self.branch.address()?;
        let (reply, answer) = oneshot::channel();
        address.do_send(Place { ask, reply });
        answer.await.ok()
    }

    /// What the machine knows; none if the control branch is restarting.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        let address = self.branch.address()?;
        let (reply, answer) = oneshot::channel();
        address.do_send(Look(reply));
        answer.await.ok()
    }

    /// Tells the machine of the platform's list, now and after each restart.
    pub fn listed(&self, instances: Vec<Instance>) {
        self.ledger.listed(instances.clone());
        self.tell(Event::Instances(instances));
    }

    /// Tells the machine of an event; lost if the control branch is restarting.
    pub fn tell(&self, event: Event) {
        if let Some(address) = self.branch.address() {
            address.do_send(Tell(event));
        }
    }
}

/// Withdraws an ask that is dropped before its answer.
struct Withdrawal<'a> {
    handle: &'a Handle,
    request: Option<name::Request>,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.handle.ledger.ended(request);
            self.handle.tell(Event::Withdraw(request));
        }
    }
}
