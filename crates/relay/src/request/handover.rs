//! Hands a request to another entry, and takes those of others.
//!
//! The other entry handles it like a request of a caller: it checks the key by its own plan, and
//! chooses an endpoint. Its answer is passed on as an endpoint's is; a request that it turns away
//! comes back with a header that says so, so that a third entry may be asked.

use std::cell::RefCell;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use bytes::BytesMut;
use serde::Deserialize;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::fleet::Member;
use woodgap_core::relay::handover::{Handovers, Request as Wanted};
use woodgap_core::verdict::Verdict;

use crate::request::admit::Origin;
use crate::request::attempt::AttemptError;
use crate::request::problem::Code;
use crate::request::responder::Responder;
use crate::request::{AccessRecord, AdmittedRequest, EndpointResponse, Problem, forward};
use crate::state::State;
use crate::upstream::{Connection, Head, Pool, connection};

/// To another entry: at how many endpoints it may try the request.
const ATTEMPTS: &str = "x-woodgap-attempts";
/// From another entry: it has turned the request away, with code, verdict and, in ms, when to
/// retry.
const PROBLEM: &str = "x-woodgap-problem";
/// How long a connection to another entry rests; shorter than that entry keeps it.
const MAX_IDLE: Millis = Millis(2_000);
/// The largest body of a problem that is read, in bytes.
const MAX_PROBLEM_BYTES: usize = 4 * 1024;
/// The divisor that gives the requests of other entries their share of the file descriptors.
const DESCRIPTOR_DIVISOR: usize = 8;

/// One life of another entry.
type Peer = (name::Entry, name::Incarnation);

/// What this entry hands to others and takes from them, and its connections for that.
pub struct Exchange {
    handovers: RefCell<Handovers>,
    pool: RefCell<Pool<Peer>>,
}

impl Exchange {
    /// Nothing yet, for a process with this many descriptors.
    pub fn new(descriptors: usize) -> Self {
        Self {
            handovers: RefCell::new(Handovers::new(descriptors / DESCRIPTOR_DIVISOR)),
            pool: RefCell::default(),
        }
    }

    /// Closes connections that have rested.
    pub fn sweep(&self, now: Millis) {
        self.pool.borrow_mut().sweep(now);
    }
}

/// A request that another entry has handed over; it takes room until dropped.
pub struct Accepted {
    state: Rc<State>,
    bytes: usize,
}

impl Accepted {
    /// Takes the request with these headers.
    ///
    /// # Errors
    ///
    /// The error for the other entry if there is no room.
    pub fn take(state: &Rc<State>, headers: &HeaderMap) -> Result<Self, Problem> {
        let length = headers.get("content-length");
        let length = length.and_then(|length| length.to_str().ok());
        let bytes = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        if !state.exchange.handovers.borrow_mut().accept(bytes) {
            let message = "this entry takes no more requests of other entries";
            return Err(Problem::not_run(Code::NotReady, message));
        }
        state.metrics.handovers.with_label_values(&["taken"]).inc();
        Ok(Self {
            state: Rc::clone(state),
            bytes,
        })
    }
}

impl Drop for Accepted {
    fn drop(&mut self) {
        let mut handovers = self.state.exchange.handovers.borrow_mut();
        handovers.finish(self.bytes);
    }
}

/// How many endpoints may be tried for a request that comes from another entry.
pub fn attempts(headers: &HeaderMap, route_attempts: u32) -> u32 {
    let told = headers.get(ATTEMPTS).and_then(|told| told.to_str().ok());
    let told = told.and_then(|told| told.parse().ok());
    told.map_or(route_attempts, |told: u32| told.min(route_attempts))
}

/// Removes what entries tell one another, which is not for endpoints.
pub fn remove_headers(headers: &mut HeaderMap) {
    headers.remove(ATTEMPTS);
}

/// The header that tells another entry of the problem.
pub fn problem_header(problem: &Problem) -> (HeaderName, HeaderValue) {
    let code = problem.code.as_str();
    let verdict = problem.verdict.as_str();
    let retry_after = problem.retry_after.unwrap_or_default().0;
    let text = format!("{code} {verdict} {retry_after}");
    // Codes, verdicts and numbers are always valid.
    let value = HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static(""));
    (HeaderName::from_static(PROBLEM), value)
}

/// The entry to hand the request to, if there is one.
pub fn choose(state: &State, request: &AdmittedRequest, tried: &[name::Entry]) -> Option<Member> {
    if request.origin == Origin::Entry {
        return None;
    }
    let now = state.now();
    let fleet = state.fleet.borrow();
    let wanted = Wanted {
        service: &request.service.name,
        tried,
        data_centre: &state.settings.data_centre,
        seed: rand::random(),
    };
    let handovers = state.exchange.handovers.borrow();
    handovers.choose(fleet.live(now), &wanted, now).cloned()
}

/// A request at another entry; it counts there until dropped.
pub struct Handover {
    state: Rc<State>,
    member: Member,
}

impl Handover {
    fn begin(state: &Rc<State>, member: &Member) -> Self {
        let mut handovers = state.exchange.handovers.borrow_mut();
        handovers.begin(&member.name);
        Self {
            state: Rc::clone(state),
            member: member.clone(),
        }
    }

    fn peer(&self) -> Peer {
        (self.member.name.clone(), self.member.incarnation)
    }

    /// Keeps the connection for the next request, if it can be reused.
    pub fn return_connection(&self, connection: Connection) {
        let now = self.state.now();
        let mut pool = self.state.exchange.pool.borrow_mut();
        pool.put(&self.peer(), connection, MAX_IDLE, now);
    }

    async fn connect(&self) -> Result<Connection, AttemptError> {
        let now = self.state.now();
        let pooled = {
            let mut pool = self.state.exchange.pool.borrow_mut();
            pool.take(&self.peer(), Some(MAX_IDLE), now)
        };
        if let Some((connection, _)) = pooled {
            return Ok(connection);
        }
        Ok(Connection::open(self.member.peer).await?)
    }

    /// Sends the request and reads the head of its answer.
    async fn exchange(
        &self,
        request: &AdmittedRequest,
        attempts: u32,
        record: &mut AccessRecord,
    ) -> Result<(Connection, Head), AttemptError> {
        let mut connection = self.connect().await?;
        record.record_send(connection.requests_sent() > 0);
        let head = request_head(&self.state, request, attempts);
        let response = connection.exchange(&head, &request.body).await?;
        let Some(mut problem) = read_problem(&response.headers) else {
            return Ok((connection, response));
        };
        if let Ok(framing) = response.framing(&request.method) {
            let body = connection.read_body(framing, MAX_PROBLEM_BYTES).await;
            problem.message = message(&body.unwrap_or_default());
            self.return_connection(connection);
        }
        Err(AttemptError::TurnedAway(problem))
    }
}

impl Drop for Handover {
    fn drop(&mut self) {
        let mut handovers = self.state.exchange.handovers.borrow_mut();
        handovers.end(&self.member.name);
    }
}

/// Hands the request to another entry and reads the response: completely if the body is short,
/// otherwise up to the first bytes of the body.
///
/// # Errors
///
/// Returns why there is no response; the error's verdict says whether the request may have run.
pub async fn attempt(
    state: &Rc<State>,
    request: &AdmittedRequest,
    member: &Member,
    attempts: u32,
    record: &mut AccessRecord,
) -> Result<EndpointResponse, AttemptError> {
    record.set_handover(member);
    let handover = Handover::begin(state, member);
    let limit = Duration::from_millis((request.deadline - state.now()).0);
    let answering = async {
        let (connection, head) = handover.exchange(request, attempts, record).await?;
        let responder = Responder::Entry(handover);
        EndpointResponse::read(connection, head, MAX_IDLE, &request.method, responder).await
    };
    let answered = tokio::time::timeout(limit, answering).await;
    let answered = answered.unwrap_or(Err(AttemptError::TimedOut));
    let outcome = if answered.is_ok() {
        "answered"
    } else {
        "failed"
    };
    state.metrics.handovers.with_label_values(&[outcome]).inc();
    record_failure(state, request, member, answered.as_ref().err());
    answered
}

/// Records why another entry is not to be asked again for a while.
fn record_failure(
    state: &State,
    request: &AdmittedRequest,
    member: &Member,
    failure: Option<&AttemptError>,
) {
    let now = state.now();
    let mut handovers = state.exchange.handovers.borrow_mut();
    match failure {
        Some(AttemptError::TurnedAway(problem)) if problem.is_of_entry() => {
            handovers.record_refusal(&member.name, &request.service.name, now);
        }
        Some(AttemptError::NotSent(_)) => handovers.record_unreachable(&member.name, now),
        _ => {}
    }
}

/// The request's head, as its caller sent it but for what concerns this entry alone.
fn request_head(state: &State, request: &AdmittedRequest, attempts: u32) -> BytesMut {
    let patience = state.dialect.patience_header();
    let is_passed = |name: &str| name != patience && name != ATTEMPTS && name != "host";
    let mut headers = forward::end_to_end_headers(request, is_passed);
    let remaining = request.deadline - state.now();
    headers.push(("host", request.host.clone().into_bytes()));
    headers.push((patience, remaining.0.to_string().into_bytes()));
    headers.push((ATTEMPTS, attempts.to_string().into_bytes()));
    let headers = headers
        .iter()
        .map(|(name, value)| (*name, value.as_slice()));
    connection::request_head(&request.method, &request.target, headers)
}

/// The problem that another entry tells of; `None` if the response is an endpoint's.
fn read_problem(headers: &HeaderMap) -> Option<Problem> {
    let text = headers.get(PROBLEM)?.to_str().ok()?;
    let mut words = text.split(' ');
    let code = Code::from_str(words.next()?).ok()?;
    let verdict = match words.next()? {
        "not_run" => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    };
    let retry_after = words.next()?.parse().ok().map(Millis);
    Some(Problem {
        code,
        verdict,
        message: String::new(),
        retry_after: retry_after.filter(|span| *span > Millis::ZERO),
    })
}

/// The message in the body of a problem.
fn message(body: &[u8]) -> String {
    #[derive(Deserialize)]
    struct Body {
        message: String,
    }
    let body: Result<Body, _> = serde_json::from_slice(body);
    body.map_or_else(|_| "another entry says so".to_owned(), |body| body.message)
}
