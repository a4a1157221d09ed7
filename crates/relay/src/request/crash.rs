//! Detects whether an endpoint that dropped its connections has crashed.
//!
//! A connection can be lost for many reasons: the endpoint drops one request, a link fails, or an
//! intermediary resets it. If the address refuses connections right afterwards, while this entry
//! reaches other endpoints, the endpoint has crashed, and each request that it had in flight may be
//! the cause. The same holds if the address accepts connections, but the endpoint is then listed
//! with a later start, or another one declines requests there that are meant for it. Until then,
//! more connections may be lost: whatever accepts them in front of the endpoint drops each. The
//! endpoint crashed when its outage began, with the requests that were in flight then.
//!
//! A response that ends with its connection looks the same if its endpoint has crashed. Its end is
//! checked in the same way, and shows that the endpoint survived the request only if no sign of a
//! crash follows. It may also have been cut off without a crash, as the endpoint ended as planned, or
//! as all endpoints ended together: it is taken for whole only where something still takes
//! connections at its endpoint's address.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::quarantine::{Cause, Crash};
use woodgap_core::relay::load_report;

use crate::links;
use crate::state::State;
use crate::upkeep;
use crate::upstream::{Connection, Error};

/// All connections to a crashing endpoint are lost within this time.
const CRASH_WINDOW: Millis = Millis(1_000);
/// How long after a lost connection a later start of the endpoint means that it had crashed: the
/// row is written within a second or two of the start, and read soon after.
const RESTART_WINDOW: Millis = Millis(5_000);
/// How long an outage may last after which a later start of the endpoint means that it had crashed:
/// starting one can take long.
const OUTAGE_LIMIT: Millis = Millis(60_000);

/// All connections to a crashing endpoint end within this time, as seen by one entry. A response
/// that ended with its connection earlier than that was complete.
const END_WINDOW: Millis = Millis(250);
/// The longest wait for the check of a response that ended with its connection: it is due.
const MAX_END_WAIT: Millis = Millis(50);
/// How long a new connection is watched when a response has ended with its own: the connections of
/// an endpoint that ends close one after the other, and its listener may be the last.
const END_LOOK: Millis = Millis(5);
/// If fewer endpoints are listed, the loss of all does not suggest that links were lost.
const MIN_ENDPOINTS: usize = 3;

/// A request whose connection was lost, or ended with the response.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// What in it may have crashed the endpoint.
    pub causes: Rc<[Cause]>,
    /// When it was sent.
    pub sent: Millis,
    /// When the connection was lost, or ended.
    pub disconnected: Millis,
    /// Number of body chunks received.
    pub pieces: u32,
    /// How the response ended, if it ended with its connection and looks complete.
    pub end: Option<End>,
}

/// The end of a response that ended with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Unless its endpoint has crashed, the run has ended well.
    Success,
    /// An error, or a stream without an event: the endpoint may not have begun the request.
    Nothing,
}

impl Suspect {
    fn has_ended(&self) -> bool {
        self.end.is_some()
    }

    /// How far from a crash its connection may have been lost in it.
    fn window(&self) -> Millis {
        if self.has_ended() {
            END_WINDOW
        } else {
            CRASH_WINDOW
        }
    }
}

/// The endpoints that recently dropped a connection.
#[derive(Default)]
pub struct CrashChecks {
    by_life: HashMap<name::Life, CrashCheck>,
}

#[derive(Default)]
struct CrashCheck {
    /// The running probe of the endpoint's address.
    probe: Option<Shared<LocalBoxFuture<'static, ()>>>,
    /// The requests that await the result, in the order in which their connections were lost.
    suspects: Vec<Suspect>,
    /// The last series of lost connections.
    outage: Option<Outage>,
    /// When the endpoint was found to have crashed, and how.
    crash: Option<(Millis, Sign)>,
    /// How many responses that ended with their connections are being checked.
    ends: usize,
    /// When the endpoint was last seen to take no connections, for whatever cause.
    closed: Option<Millis>,
}

/// A series of lost connections, between which the endpoint did not respond to anything.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// When the first connection was lost.
    began: Millis,
    /// When the endpoint first responded again.
    ended: Option<Millis>,
}

impl Outage {
    /// Whether this request was in flight when the endpoint was lost.
    fn began_with(&self, suspect: &Suspect) -> bool {
        let difference = (suspect.disconnected - self.began).max(self.began - suspect.disconnected);
        suspect.sent <= self.began && difference < suspect.window()
    }
}

/// The sign by which a crash was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sign {
    /// The address refuses connections.
    Refused,
    /// The endpoint is listed with a later start, or another one answers at its address: this may
    /// have been so for long.
    Restarted,
}

impl Sign {
    /// The sign as logged.
    fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Restarted => "restarted",
        }
    }
}

impl CrashCheck {
    fn is_recent(&self, now: Millis) -> bool {
        let mut suspects = self.suspects.iter();
        let waits = suspects.any(|suspect| self.awaits_sign(suspect, now));
        self.probe.is_some() || self.ends > 0 || waits || self.has_crashed(now)
    }

    /// Whether a response that ended at this time with its connection was cut off by the endpoint's
    /// end: it crashed, or takes no connections since.
    fn has_sign_since(&self, ended: Millis, now: Millis) -> bool {
        let is_closed = self.closed.is_some_and(|at| at >= ended);
        is_closed || self.recent_sign(now) == Some(Sign::Refused)
    }

    /// Starts a probe of the endpoint, unless one is running.
    fn start_probe(&mut self, state: &Rc<State>, life: &name::Life, address: SocketAddr) {
        if self.probe.is_none() {
            let probe = probe_endpoint(Rc::clone(state), life.clone(), address);
            let probe = probe.boxed_local().shared();
            self.probe = Some(probe.clone());
            actix_rt::spawn(probe);
        }
    }

    fn has_crashed(&self, now: Millis) -> bool {
        self.recent_sign(now).is_some()
    }

    fn recent_sign(&self, now: Millis) -> Option<Sign> {
        let recent = self.crash.filter(|(at, _)| now - *at < CRASH_WINDOW);
        recent.map(|(_, sign)| sign)
    }

    /// Adds a request whose connection was lost, or ended with the response.
    fn add_suspect(&mut self, suspect: Suspect) {
        let began = suspect.disconnected;
        let last = self.suspects.last().map(|last| last.disconnected);
        let is_quiet = last.is_none_or(|last| began - last >= RESTART_WINDOW);
        let is_new = self.outage.is_none_or(|outage| outage.ended.is_some());
        if !suspect.has_ended() && (is_quiet || is_new) {
            self.outage = Some(Outage { began, ended: None });
        }
        self.suspects.push(suspect);
    }

    /// Marks the endpoint as crashed and returns the requests that it had in flight. An outage may
    /// begin with a lost link and end with a crash, so those that were lost last are among them. Most
    /// likely these found the endpoint down already, so that they count as sent when the outage began:
    /// the attempts of one request at several such endpoints are no sequence of crashes.
    fn mark_crashed(&mut self, sign: Sign, now: Millis) -> Vec<Suspect> {
        self.crash = Some((now, sign));
        let mut suspects = std::mem::take(&mut self.suspects);
        // Where connections are refused, the crash is found with the first loss.
        let outage = self.outage.take().filter(|_| sign == Sign::Restarted);
        let mut losses = suspects.iter().filter(|suspect| !suspect.has_ended());
        let last_loss = losses.next_back().map(|suspect| suspect.disconnected);
        suspects.retain(|suspect| {
            let (crash, window) = match last_loss {
                Some(last_loss) => (last_loss, suspect.window()),
                None => (now, CRASH_WINDOW),
            };
            let is_first = outage.is_some_and(|outage| outage.began_with(suspect));
            is_first || crash - suspect.disconnected < window
        });
        if let Some(outage) = outage {
            for suspect in &mut suspects {
                suspect.sent = suspect.sent.min(outage.began);
            }
        }
        suspects
    }

    /// Whether a sign of a crash would concern this request. What was in flight when an outage began
    /// awaits its end, as the endpoint may be starting again until then.
    fn awaits_sign(&self, suspect: &Suspect, now: Millis) -> bool {
        let lost = suspect.disconnected;
        let outage = self.outage.filter(|outage| outage.began_with(suspect));
        let since = match outage {
            Some(outage) if !suspect.has_ended() => lost.max(outage.ended.unwrap_or(now)),
            _ => lost,
        };
        now - since < RESTART_WINDOW && now - lost < OUTAGE_LIMIT
    }

    /// Removes the suspects whose endpoint has shown no sign of a crash for long enough, and
    /// returns those whose runs have ended well.
    fn take_survivors(&mut self, now: Millis) -> Vec<Suspect> {
        let suspects = std::mem::take(&mut self.suspects).into_iter();
        let (waiting, over): (Vec<_>, Vec<_>) =
            suspects.partition(|suspect| self.awaits_sign(suspect, now));
        self.suspects = waiting;
        let survivors = over.into_iter();
        survivors
            .filter(|suspect| suspect.end == Some(End::Success))
            .collect()
    }
}

/// Records a lost connection and starts a probe of the endpoint. An endpoint that was leaving has
/// stopped as planned and is ignored.
pub fn check_for_crash(
    state: &Rc<State>,
    life: &name::Life,
    address: SocketAddr,
    suspect: Suspect,
) {
    if state.roster.borrow().is_leaving(life) {
        return;
    }
    expire(state);
    let now = state.now();
    let mut checks = state.crash_checks.borrow_mut();
    let check = checks.by_life.entry(life.clone()).or_default();
    // A response that ends after a restart was listed is one of the later life.
    let is_due_to_crash = match check.recent_sign(now) {
        Some(Sign::Refused) => true,
        Some(Sign::Restarted) => !suspect.has_ended(),
        None => false,
    };
    if is_due_to_crash {
        drop(checks);
        count_crash(state, life, &[suspect]);
        return;
    }
    check.add_suspect(suspect);
    check.start_probe(state, life, address);
}

/// Waits for the running probe of the endpoint, if any.
pub async fn wait_for_check(state: &State, life: &name::Life) {
    let probe = {
        let checks = state.crash_checks.borrow();
        let check = checks.by_life.get(life);
        check.and_then(|check| check.probe.clone())
    };
    if let Some(probe) = probe {
        probe.await;
    }
}

/// Checks a response that has ended with its connection. Returns whether it is taken for whole: its
/// endpoint still takes connections, or could not be asked in time.
pub async fn is_complete(
    state: &Rc<State>,
    life: &name::Life,
    address: SocketAddr,
    suspect: Suspect,
) -> bool {
    let ended = suspect.disconnected;
    let checking = EndCheck::begin(state, life);
    check_for_crash(state, life, address, suspect);
    // Also where a crash is not looked for: the endpoint is leaving.
    if let Some(check) = state.crash_checks.borrow_mut().by_life.get_mut(life)
        && !check.has_sign_since(ended, state.now())
    {
        check.start_probe(state, life, address);
    }
    let limit = Duration::from_millis(MAX_END_WAIT.0);
    // The check goes on if it takes longer.
    let checked = tokio::time::timeout(limit, wait_for_check(state, life)).await;
    drop(checking);
    let is_cut = {
        let checks = state.crash_checks.borrow();
        let check = checks.by_life.get(life);
        check.is_some_and(|check| check.has_sign_since(ended, state.now()))
    };
    let outcome = match checked {
        _ if is_cut => "cut",
        Ok(()) => "whole",
        Err(_) => "unknown",
    };
    let ends = &state.metrics.unframed_ends;
    ends.with_label_values(&[outcome]).inc();
    if is_cut {
        let is_leaving = state.roster.borrow().is_leaving(life);
        log::info!(
            endpoint = life.id.as_str(), leaving = is_leaving;
            "a response that ended with its connection is not taken for whole, as its endpoint takes no connections"
        );
    }
    !is_cut
}

/// The check of a response's end, which is also over if its caller leaves.
struct EndCheck {
    state: Rc<State>,
    life: name::Life,
}

impl EndCheck {
    fn begin(state: &Rc<State>, life: &name::Life) -> Self {
        let mut checks = state.crash_checks.borrow_mut();
        checks.by_life.entry(life.clone()).or_default().ends += 1;
        Self {
            state: Rc::clone(state),
            life: life.clone(),
        }
    }
}

impl Drop for EndCheck {
    fn drop(&mut self) {
        let mut checks = self.state.crash_checks.borrow_mut();
        if let Some(check) = checks.by_life.get_mut(&self.life) {
            check.ends -= 1;
        }
    }
}

/// Records that the endpoint has responded: connections that are lost from now on are not lost to
/// an earlier crash.
pub fn record_response(state: &State, life: &name::Life) {
    let mut checks = state.crash_checks.borrow_mut();
    let check = checks.by_life.get_mut(life);
    if let Some(outage) = check.and_then(|check| check.outage.as_mut()) {
        outage.ended.get_or_insert_with(|| state.now());
    }
}

/// Removes what is over, and records the responses that have ended with their connections and whose
/// endpoints have not crashed since.
pub fn expire(state: &State) {
    let now = state.now();
    let survivors: Vec<_> = {
        let mut checks = state.crash_checks.borrow_mut();
        let survivors = checks.by_life.values_mut();
        let survivors = survivors.flat_map(|check| check.take_survivors(now));
        let survivors = survivors.collect();
        checks.by_life.retain(|_, check| check.is_recent(now));
        survivors
    };
    for suspect in survivors {
        state.survived(&suspect.causes, suspect.disconnected);
    }
}

/// Records that the endpoint is listed with a later start, or that another one answers at its
/// address: its last lost connections were a crash.
pub fn record_restart(state: &State, life: &name::Life) {
    expire(state);
    let has_suspects = {
        let checks = state.crash_checks.borrow();
        let check = checks.by_life.get(life);
        check.is_some_and(|check| !check.suspects.is_empty())
    };
    if has_suspects {
        record_crash(state, life, Sign::Restarted);
    }
}

async fn probe_endpoint(state: Rc<State>, life: name::Life, address: SocketAddr) {
    let started = state.now();
    let opened = connect_with_retry(&state, address).await;
    let is_leaving = state.roster.borrow().is_leaving(&life);
    match opened {
        Err(Error::Unsent(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            record_closed(&state, &life);
            if !is_leaving && has_links(&state, started).await {
                record_crash(&state, &life, Sign::Refused);
            }
        }
        // The endpoint may be unreachable, which says nothing about a crash.
        Err(_) => {}
        Ok(connection) => {
            links::record_connected(&state);
            if has_ends(&state, &life) && connection.closes_within(END_LOOK).await {
                record_closed(&state, &life);
            } else if !is_leaving {
                let now = state.now();
                let mut pool = state.pool.borrow_mut();
                pool.put(&life, connection, upkeep::REST, now);
            }
        }
    }
    if let Some(check) = state.crash_checks.borrow_mut().by_life.get_mut(&life) {
        check.probe = None;
    }
}

/// Whether responses that ended with their connections await the probe.
fn has_ends(state: &State, life: &name::Life) -> bool {
    let checks = state.crash_checks.borrow();
    checks.by_life.get(life).is_some_and(|check| check.ends > 0)
}

fn record_closed(state: &State, life: &name::Life) {
    let now = state.now();
    if let Some(check) = state.crash_checks.borrow_mut().by_life.get_mut(life) {
        check.closed = Some(now);
        // What was cut off has not ended well, whether its endpoint crashed or not.
        let suspects = check.suspects.iter_mut();
        let cut = suspects.filter(|it| it.has_ended() && now - it.disconnected < END_WINDOW);
        cut.for_each(|suspect| suspect.end = Some(End::Nothing));
    }
}

/// Whether this entry has had links to endpoints since this time: else refused connections say nothing about a
/// crash. With few endpoints, one request may have crashed them all.
async fn has_links(state: &Rc<State>, time: Millis) -> bool {
    let endpoints = state.roster.borrow().listed().count();
    endpoints < MIN_ENDPOINTS || links::has_link_since(state, time).await
}

/// Connects to an endpoint and retries once on a timeout, as TCP retransmits a lost packet only
/// after a second.
async fn connect_with_retry(state: &State, address: SocketAddr) -> Result<Connection, Error> {
    let source = state.settings.connect_from;
    match Connection::open_from(source, address).await {
        Err(Error::Unsent(error)) if error.kind() == io::ErrorKind::TimedOut => {
            Connection::open_from(source, address).await
        }
        opened => opened,
    }
}

fn record_crash(state: &State, life: &name::Life, sign: Sign) {
    let suspects = {
        let mut checks = state.crash_checks.borrow_mut();
        let check = checks.by_life.entry(life.clone()).or_default();
        check.mark_crashed(sign, state.now())
    };
    log::info!(
        endpoint = life.id.as_str(), requests = suspects.len(), sign = sign.as_str();
        "an endpoint has crashed"
    );
    state.metrics.crashes.inc();
    count_crash(state, life, &suspects);
}

/// Counts the crash against these requests, in the order in which their connections were lost: once
/// against each cause, however many requests with it were sent there until the crash was found.
fn count_crash(state: &State, life: &name::Life, suspects: &[Suspect]) {
    let began = suspects.first().map_or(Millis::ZERO, |it| it.disconnected);
    let mut counted = HashSet::<Cause>::new();
    for suspect in suspects {
        let is_later = suspect.disconnected - began >= CRASH_WINDOW;
        let causes = suspect.causes.iter().copied();
        let causes: Vec<_> = causes
            .filter(|cause| !(is_later && counted.contains(cause)))
            .collect();
        counted.extend(&causes);
        let crash = Crash {
            endpoint: load_report::life_key(life),
            sent: suspect.sent,
            at: suspect.disconnected,
            pieces: suspect.pieces,
        };
        state.crashed(&causes, crash);
    }
}
