//! Whether an endpoint that broke off its requests has crashed.
//!
//! A connection breaks for many reasons: the endpoint drops one request, a link fails, a process
//! in between resets it. Where nothing takes connections at the address right afterwards, the
//! endpoint is gone, and each request that it had may be the cause. So it is where something
//! does, and the endpoint is then listed with a later start.

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
use woodgap_core::relay::load_report;

use crate::state::State;
use crate::upkeep;
use crate::upstream::{Connection, Error};

/// All connections to an endpoint that crashes break within this time.
const TOGETHER: Millis = Millis(1_000);
/// How long after a connection broke a later start of the endpoint tells that it had crashed: a
/// row is written within a second or two of the start, and read soon after.
const LISTED: Millis = Millis(5_000);

/// A request whose connection broke.
#[derive(Clone, Copy, Debug)]
pub struct Suspect {
    /// Which request.
    pub request: Fingerprint,
    /// When it was sent.
    pub sent: Millis,
    /// When the connection broke.
    pub cut: Millis,
    /// How many pieces of the answer had come.
    pub pieces: u32,
}

/// The endpoints that broke off of late.
#[derive(Default)]
pub struct CrashChecks {
    by_life: HashMap<name::Life, Check>,
}

#[derive(Default)]
struct Check {
    /// Finds out whether the endpoint is gone, while it does.
    checking: Option<Shared<LocalBoxFuture<'static, ()>>>,
    /// The requests that wait for what is found, the last one to break at the end.
    suspects: Vec<Suspect>,
    /// When the endpoint was found to have crashed.
    crashed: Option<Millis>,
}

impl Check {
    fn is_recent(&self, now: Millis) -> bool {
        let last = self.suspects.last().map(|suspect| suspect.cut);
        let waits = last.is_some_and(|last| now - last < LISTED);
        self.checking.is_some() || waits || self.has_crashed(now)
    }

    fn has_crashed(&self, now: Millis) -> bool {
        self.crashed.is_some_and(|at| now - at < TOGETHER)
    }

    /// The endpoint has crashed: gives back the requests that it had then.
    fn crash(&mut self, now: Millis) -> Vec<Suspect> {
        self.crashed = Some(now);
        let mut suspects = std::mem::take(&mut self.suspects);
        let last = suspects.last().map_or(now, |suspect| suspect.cut);
        suspects.retain(|suspect| last - suspect.cut < TOGETHER);
        suspects
    }
}

/// Takes in that an endpoint broke off a request, and finds out whether it has crashed. One that
/// was about to leave has ended as planned.
pub fn check(state: &Rc<State>, life: &name::Life, address: SocketAddr, suspect: Suspect) {
    if is_leaving(state, life) {
        return;
    }
    let now = state.now();
    let mut checks = state.crash_checks.borrow_mut();
    checks.by_life.retain(|_, check| check.is_recent(now));
    let check = checks.by_life.entry(life.clone()).or_default();
    if check.has_crashed(now) {
        drop(checks);
        accuse(state, life, &[suspect]);
        return;
    }
    check.suspects.push(suspect);
    if check.checking.is_none() {
        let checking = find_out(Rc::clone(state), life.clone(), address);
        let checking = checking.boxed_local().shared();
        check.checking = Some(checking.clone());
        actix_rt::spawn(checking);
    }
}

fn is_leaving(state: &State, life: &name::Life) -> bool {
    let roster = state.roster.borrow();
    roster.get(life).is_some_and(|endpoint| endpoint.leaving)
}

/// Waits until it is known whether the endpoint is gone, if that is being found out.
pub async fn checked(state: &State, life: &name::Life) {
    let checking = {
        let checks = state.crash_checks.borrow();
        let check = checks.by_life.get(life);
        check.and_then(|check| check.checking.clone())
    };
    if let Some(checking) = checking {
        checking.await;
    }
}

/// Takes in that the endpoint is listed with a later start: what broke off last was its crash.
pub fn record_restart(state: &State, life: &name::Life) {
    let is_awaited = {
        let mut checks = state.crash_checks.borrow_mut();
        checks
            .by_life
            .retain(|_, check| check.is_recent(state.now()));
        let check = checks.by_life.get(life);
        check.is_some_and(|check| !check.suspects.is_empty())
    };
    if is_awaited {
        note_crash(state, life);
    }
}

async fn find_out(state: Rc<State>, life: name::Life, address: SocketAddr) {
    let opened = open(address).await;
    let now = state.now();
    if let Some(check) = state.crash_checks.borrow_mut().by_life.get_mut(&life) {
        check.checking = None;
    }
    match opened {
        Err(Error::Unsent(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            note_crash(&state, &life);
        }
        // It may be out of reach: nothing is known.
        Err(_) => {}
        Ok(connection) => {
            let mut pool = state.pool.borrow_mut();
            pool.put(&life, connection, upkeep::REST, now);
        }
    }
}

/// Connects to an endpoint; once more if there was no answer, as a lost packet is sent again only
/// after a second.
async fn open(address: SocketAddr) -> Result<Connection, Error> {
    match Connection::open(address).await {
        Err(Error::Unsent(error)) if error.kind() == io::ErrorKind::TimedOut => {
            Connection::open(address).await
        }
        opened => opened,
    }
}

fn note_crash(state: &State, life: &name::Life) {
    let suspects = {
        let mut checks = state.crash_checks.borrow_mut();
        let check = checks.by_life.entry(life.clone()).or_default();
        check.crash(state.now())
    };
    log::info!(endpoint = life.id.as_str(), requests = suspects.len(); "an endpoint has crashed");
    state.metrics.crashes.inc();
    accuse(state, life, &suspects);
}

/// Counts the crash for these requests.
fn accuse(state: &State, life: &name::Life, suspects: &[Suspect]) {
    for suspect in suspects {
        let crash = Crash {
            endpoint: load_report::life_key(life),
            sent: suspect.sent,
            at: suspect.cut,
            pieces: suspect.pieces,
        };
        state.crashed(suspect.request, crash);
    }
}
