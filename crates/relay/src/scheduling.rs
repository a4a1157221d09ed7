//! Carries out the decisions of the scheduler about requests to scheduled services.

pub mod admission;
pub mod announcement;
pub mod claim;
pub mod round;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};
use woodgap_core::relay::scheduling::Scheduler;
use woodgap_core::relay::scheduling::queue::{Decision, Reason};
use woodgap_core::relay::scheduling::returns::Standing;
use woodgap_settings::relay::{Scheduling as Settings, Services};

use crate::state::State;

pub use admission::Admission;

/// Whether a request is admitted, or why not.
type Verdict = Result<(), Reason>;

/// The scheduler, and the requests that wait for it.
#[derive(Debug)]
pub struct Scheduling {
    scheduler: RefCell<Scheduler>,
    /// The requests that wait for a decision, by their number.
    waiting: RefCell<HashMap<u64, oneshot::Sender<Verdict>>>,
    /// The requests that wait for the owner of a promise, by the number of the claim.
    claims: RefCell<HashMap<u64, oneshot::Sender<Standing>>>,
    next_claim: Cell<u64>,
    /// The socket for messages to other entries, once it is open.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    /// The next deadline of the scheduler has changed.
    deadline_changed: Notify,
    /// When the last line on the level of a service was logged, and whether there was a limit.
    logged: RefCell<HashMap<String, round::LoggedLevel>>,
}

impl Scheduling {
    /// A scheduler without requests.
    pub fn new(settings: Option<&Settings>) -> Self {
        let max_waiting_bytes = settings.map_or(0, |it| it.waiting_bytes);
        Self {
            scheduler: RefCell::new(Scheduler::new(max_waiting_bytes)),
            waiting: RefCell::default(),
            claims: RefCell::default(),
            next_claim: Cell::new(rand::random()),
            socket: RefCell::default(),
            deadline_changed: Notify::new(),
            logged: RefCell::default(),
        }
    }

    /// Sets the socket for messages to other entries.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        *self.socket.borrow_mut() = Some(socket);
    }

    /// Tells the requests that wait what was decided about them. Decisions about others are left
    /// to whoever has just offered them.
    fn deliver(&self, decisions: &[Decision]) {
        let mut waiting = self.waiting.borrow_mut();
        for decision in decisions {
            let (number, verdict) = verdict(*decision);
            if let Some(waiter) = waiting.remove(&number) {
                // The caller may have gone in this moment.
                let _ = waiter.send(verdict);
            }
        }
    }
}

fn verdict(decision: Decision) -> (u64, Verdict) {
    match decision {
        Decision::Admit(number) => (number, Ok(())),
        Decision::Refuse(number, reason) => (number, Err(reason)),
    }
}

/// Whether requests to a service are scheduled.
pub fn is_scheduled(state: &State, service: &str) -> bool {
    let settings = state.settings.scheduling.as_ref();
    settings.is_some_and(|settings| match settings.services {
        Services::All => true,
        Services::Uneven => {
            let loads = state.loads.borrow();
            loads.reports_speed(service, state.now())
        }
    })
}

/// Decides about waiting requests when their time has come, for as long as the process runs.
pub async fn run(state: Rc<State>) {
    let scheduling = &state.scheduling;
    loop {
        let deadline = scheduling.scheduler.borrow().next_deadline();
        let wait = async {
            match deadline {
                Some(deadline) => {
                    let span = Duration::from_millis((deadline - state.now()).0);
                    tokio::time::sleep(span).await;
                }
                None => future::pending().await,
            }
        };
        tokio::select! {
            () = wait => {}
            () = scheduling.deadline_changed.notified() => continue,
        }
        let mut decisions = Vec::new();
        scheduling
            .scheduler
            .borrow_mut()
            .advance(state.now(), &mut decisions);
        scheduling.deliver(&decisions);
    }
}
