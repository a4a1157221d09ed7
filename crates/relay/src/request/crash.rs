//! Whether an endpoint that broke off its requests has crashed.
//!
//! A connection breaks for many reasons: the endpoint drops one request, a link fails, a process
//! in between resets it. Where nothing takes connections at the address right afterwards, the
//! endpoint is gone, and each request that it had may be the cause.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use woodgap_core::clock::Millis;
use woodgap_core::fingerprint::Fingerprint;
use woodgap_core::name;
use woodgap_core::quarantine::Crash;
use woodgap_core::relay::tidings;

use crate::state::State;
use crate::upstream::{Connection, Error};

/// All connections to an endpoint that crashes break within this time.
const TOGETHER: Millis = Millis(1_000);
/// How long a connection rests that was opened to see whether the endpoint goes on.
const REST: Millis = Millis(1_000);

/// A request whose connection broke.
#[derive(Clone, Copy, Debug)]
pub struct Suspect {
    /// Which request.
    pub request: Fingerprint,
    /// When it was sent.
    pub sent: Millis,
    /// When the connection broke.
    pub cut: Millis,
}

/// The endpoints that broke off of late.
#[derive(Default)]
pub struct Checks {
    by_life: HashMap<name::Life, Check>,
}

struct Check {
    checking: Shared<LocalBoxFuture<'static, ()>>,
    /// The requests that wait for what is found.
    suspects: Vec<Suspect>,
    /// When the endpoint was found to have crashed.
    crashed: Option<Millis>,
}

/// Takes in that an endpoint broke off a request, and finds out whether it has crashed.
pub fn check(state: &Rc<State>, life: &name::Life, address: SocketAddr, suspect: Suspect) {
    let now = state.now();
    let mut checks = state.checks.borrow_mut();
    checks.by_life.retain(|_, check| check.is_recent(now));
    if let Some(check) = checks.by_life.get_mut(life) {
        if check.crashed.is_none() {
            check.suspects.push(suspect);
            return;
        }
        drop(checks);
        accuse(state, life, &[suspect]);
        return;
    }
    let checking = find_out(Rc::clone(state), life.clone(), address);
    let checking = checking.boxed_local().shared();
    let check = Check {
        checking: checking.clone(),
        suspects: vec![suspect],
        crashed: None,
    };
    checks.by_life.insert(life.clone(), check);
    actix_rt::spawn(checking);
}

/// Waits until it is known whether the endpoint has crashed, if that is being found out.
pub async fn checked(state: &State, life: &name::Life) {
    let checking = {
        let checks = state.checks.borrow();
        let check = checks.by_life.get(life);
        check.map(|check| check.checking.clone())
    };
    if let Some(checking) = checking {
        checking.await;
    }
}

impl Check {
    fn is_recent(&self, now: Millis) -> bool {
        self.crashed.is_none_or(|at| now - at < TOGETHER)
    }
}

async fn find_out(state: Rc<State>, life: name::Life, address: SocketAddr) {
    let opened = Connection::open(address).await;
    let now = state.now();
    match opened {
        Err(Error::Unsent(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            let suspects = {
                let mut checks = state.checks.borrow_mut();
                let check = checks.by_life.get_mut(&life);
                check.map_or_else(Vec::new, |check| {
                    check.crashed = Some(now);
                    std::mem::take(&mut check.suspects)
                })
            };
            log::info!(
                endpoint = life.id.as_str(), requests = suspects.len();
                "an endpoint has crashed"
            );
            state.metrics.crashes.inc();
            accuse(&state, &life, &suspects);
        }
        Err(_) => {
            // It may be out of reach: nothing is known.
            state.checks.borrow_mut().by_life.remove(&life);
        }
        Ok(connection) => {
            state.checks.borrow_mut().by_life.remove(&life);
            let mut pool = state.pool.borrow_mut();
            pool.put(&life, connection, REST, now);
        }
    }
}

/// Counts the crash for these requests. An endpoint that was about to leave has ended as planned.
fn accuse(state: &State, life: &name::Life, suspects: &[Suspect]) {
    let is_leaving = {
        let roster = state.roster.borrow();
        roster.get(life).is_some_and(|endpoint| endpoint.leaving)
    };
    if is_leaving {
        return;
    }
    for suspect in suspects {
        let crash = Crash {
            endpoint: tidings::life_key(life),
            sent: suspect.sent,
            at: suspect.cut,
        };
        state.crashed(suspect.request, crash);
    }
}
