//! Transfers the configuration, the endpoints and the evacuations between entries over TCP.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use woodgap_core::clock::Millis;
use woodgap_core::relay::roster::Absence;
use woodgap_intake::Connection;

use crate::follow::{self, Teller};
use crate::front::server::{Acceptor, Purpose, recover};
use crate::gossip::exchange::knowledge;
use crate::gossip::message::{FORM, FetchRequest, FetchResponse, Listed};
use crate::source::Evacuations;
use crate::state::State;

/// The longest time without progress in an exchange.
const IDLE_TIMEOUT: Millis = Millis(1_000);
/// The longest time for one exchange. It allows for a list of some 10,000 endpoints over a link
/// on which hundreds of other entries fetch the same.
const EXCHANGE_TIMEOUT: Millis = Millis(10_000);
/// The number of bytes that are written at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// The largest message, in bytes: enough for thousands of routes.
const MAX_MESSAGE_BYTES: u32 = 8 * 1024 * 1024;
/// The largest request for news, in bytes: it holds three numbers.
const MAX_REQUEST_BYTES: u32 = 1024;

/// The maximum number of whole lists that an entry sends at the same time. Few transfers at a
/// time reach the whole fleet the soonest, as entries that have the list pass it on. With only
/// one, a single entry that reads slowly could block all others.
const MAX_LIST_TRANSFERS: usize = 2;

/// The maximum number of fetches that run at the same time.
const MAX_FETCHES: usize = 3;
/// After this time without progress in the running fetches, another entry is asked as well: the
/// first may be frozen, or its machine lost. Two silent entries delay newer data by 0.6 s; with
/// one fetch at a time it was 2.1 s.
const STALL_TIMEOUT: Millis = Millis(300);

/// How long an entry from which a fetch failed is passed over for others that tell of news as well: it may
/// be frozen or cut off.
const FAILURE_MEMORY: Millis = Millis(5_000);
/// How long an entry that has told of news counts as one of these others: a few rounds of messages.
const TELLER_MEMORY: Millis = Millis(1_000);

/// The fetches from other entries that are running, and the whole lists being sent to others.
#[derive(Debug, Default)]
pub struct Fetches {
    /// The entry that is fetched from, and when data last arrived from it.
    running: Vec<(SocketAddr, Millis)>,
    /// The entries from which one failed lately, and when.
    failed: HashMap<SocketAddr, Millis>,
    /// The entries that have told of news lately, and when.
    tellers: HashMap<SocketAddr, Millis>,
    /// The number of whole lists that this entry is sending.
    sending: usize,
}

impl Fetches {
    /// Whether a fetch from an entry that tells of news may start now. While this entry lacks data
    /// that it needs to serve, it waits longer before asking another one, as all entries that have
    /// just started fetch whole lists from the same few.
    pub fn may_start(&mut self, from: SocketAddr, has_all_data: bool, now: Millis) -> bool {
        self.tellers.insert(from, now);
        self.tellers.retain(|_, at| now - *at < TELLER_MEMORY);
        self.failed.retain(|_, at| now - *at < FAILURE_MEMORY);
        let mut tellers = self.tellers.keys();
        let has_others = tellers.any(|teller| !self.failed.contains_key(teller));
        if has_others && self.failed.contains_key(&from) {
            return false;
        }
        let stall_timeout = if has_all_data {
            STALL_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        let is_stalled = |(address, last_received): &(SocketAddr, Millis)| {
            *address != from && now - *last_received >= stall_timeout
        };
        self.running.len() < MAX_FETCHES && self.running.iter().all(is_stalled)
    }

    /// Records how a fetch from an entry has ended.
    fn record_end(&mut self, from: SocketAddr, has_failed: bool, now: Millis) {
        if has_failed {
            self.failed.insert(from, now);
        } else {
            self.failed.remove(&from);
        }
    }

    /// Records that data has arrived from an entry, which delays asking another one.
    fn mark_progress(&mut self, from: SocketAddr, now: Millis) {
        let fetch = self
            .running
            .iter_mut()
            .find(|(address, _)| *address == from);
        if let Some((_, last_received)) = fetch {
            *last_received = now;
        }
    }
}

/// Counts as one of the running list transfers until it is dropped.
struct ListTransfer {
    state: Rc<State>,
}

impl ListTransfer {
    /// Registers a transfer; `None` if the maximum number is running.
    fn begin(state: &Rc<State>) -> Option<Self> {
        let mut fetches = state.fetches.borrow_mut();
        if fetches.sending >= MAX_LIST_TRANSFERS {
            return None;
        }
        fetches.sending += 1;
        Some(Self {
            state: Rc::clone(state),
        })
    }
}

impl Drop for ListTransfer {
    fn drop(&mut self) {
        self.state.fetches.borrow_mut().sending -= 1;
    }
}

/// Registers a fetch as running until it is dropped.
struct Running {
    state: Rc<State>,
    from: SocketAddr,
}

impl Running {
    fn begin(state: &Rc<State>, from: SocketAddr) -> Self {
        let mut fetches = state.fetches.borrow_mut();
        fetches.running.push((from, state.now()));
        Self {
            state: Rc::clone(state),
            from,
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut fetches = self.state.fetches.borrow_mut();
        fetches.running.retain(|(from, _)| *from != self.from);
    }
}

/// Starts to fetch newer data from another entry, if a fetch may start now.
pub fn start(state: &Rc<State>, from: SocketAddr) {
    let mut fetches = state.fetches.borrow_mut();
    let may_start = fetches.may_start(from, state.knows_all(), state.now());
    drop(fetches);
    if may_start {
        let running = Running::begin(state, from);
        actix_rt::spawn(async move { fetch_one(&running.state, from).await });
    }
}

async fn fetch_one(state: &State, from: SocketAddr) {
    let sent_at = state.now();
    let request = FetchRequest {
        plan: state.force.borrow().version(),
        endpoints: state.roster.borrow().revision(),
        evacuation: state.evacuation.borrow().revision(),
    };
    let on_progress = || state.fetches.borrow_mut().mark_progress(from, state.now());
    let limit = Duration::from_millis(EXCHANGE_TIMEOUT.0);
    let fetched = tokio::time::timeout(limit, request_newer(from, request, on_progress)).await;
    let has_failed = !matches!(fetched, Ok(Ok(_)));
    state
        .fetches
        .borrow_mut()
        .record_end(from, has_failed, state.now());
    let fetched = match fetched {
        Ok(Ok(fetched)) => fetched,
        Ok(Err(error)) => {
            log::info!(from = from.to_string(), error = error.to_string(); "nothing was fetched");
            return;
        }
        Err(_) => {
            log::info!(from = from.to_string(); "nothing was fetched in time");
            return;
        }
    };
    let versions = fetched.knowledge;
    if let Some(evacuation) = fetched.evacuation {
        follow::take_evacuations(state, Evacuations::All(evacuation), "entry");
    }
    if let Some(plan) = fetched.plan {
        follow::take_plan(state, plan, sent_at - versions.plan_age, "entry");
    }
    let as_of = sent_at - versions.endpoints_age;
    let teller = Teller::Entry(from);
    let has_endpoints = fetched.endpoints.is_some();
    match fetched.endpoints {
        Some(Listed::All(all)) => {
            follow::take_endpoints(state, all, versions.endpoints, as_of, teller);
        }
        Some(Listed::Changes(changes)) => follow::take_changes(state, changes, as_of, teller),
        None => {}
    }
    follow::take_absences(state, &fetched.absences, sent_at);
    if has_endpoints {
        state.record_answer(sent_at);
    }
}

async fn request_newer(
    from: SocketAddr,
    request: FetchRequest,
    on_progress: impl Fn(),
) -> io::Result<FetchResponse> {
    let mut stream = with_idle_timeout(TcpStream::connect(from)).await?;
    write(&mut stream, &encode(&request)?).await?;
    read(&mut stream, MAX_MESSAGE_BYTES, on_progress).await
}

/// Answers other entries for as long as the process runs: fetches, and requests that they hand
/// over, which are HTTP.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    let handovers = Rc::new(Acceptor::new(&state, Purpose::Handovers));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = Rc::clone(&state);
                let handovers = Rc::clone(&handovers);
                let Some(connection) = handovers.register() else {
                    continue;
                };
                actix_rt::spawn(async move {
                    let is_http = tokio::select! {
                        is_http = is_http(&stream) => is_http,
                        () = connection.ended() => return,
                    };
                    if is_http {
                        handovers.take(stream, connection).await;
                    } else {
                        answer(state, stream, &connection).await;
                    }
                });
            }
            Err(error) => recover(&state, &error).await,
        }
    }
}

/// Whether a connection carries HTTP: methods begin with a letter, and the version of a fetch is
/// a lower number.
async fn is_http(stream: &TcpStream) -> bool {
    let mut first = [0];
    let peeked = with_idle_timeout(stream.peek(&mut first)).await;
    peeked.is_ok_and(|count| count > 0) && first[0].is_ascii_uppercase()
}

async fn answer(state: Rc<State>, mut stream: TcpStream, connection: &Rc<Connection>) {
    let limit = Duration::from_millis(EXCHANGE_TIMEOUT.0);
    let serving = connection.begin(false);
    let answering = async {
        let request: FetchRequest = read(&mut stream, MAX_REQUEST_BYTES, || {}).await?;
        let (response, _transfer) = build_response(&state, request);
        let response = encode(&response)?;
        let full = |_| io::Error::other("there is no room for the response");
        serving.hold(response.len()).map_err(full)?;
        write(&mut stream, &response).await
    };
    match tokio::time::timeout(limit, answering).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!(error = error.to_string(); "a fetch request failed"),
        Err(_) => log::debug!("a fetch request timed out"),
    }
}

/// Builds the response to a fetch request. If it holds a whole list, the returned guard must
/// live until the response is sent.
fn build_response(
    state: &Rc<State>,
    request: FetchRequest,
) -> (FetchResponse, Option<ListTransfer>) {
    let knowledge = knowledge(state);
    let force = state.force.borrow();
    let has_newer = force.version() > request.plan;
    let plan = force.table().filter(|_| has_newer);
    let (endpoints, transfer) = newer_endpoints(state, request.endpoints);
    let absences = absences(state, endpoints.as_ref());
    let evacuation = state.evacuation.borrow();
    let has_newer = evacuation.revision() > request.evacuation;
    let response = FetchResponse {
        knowledge,
        plan: plan.map(|table| table.plan().clone()),
        endpoints,
        absences,
        evacuation: has_newer.then(|| evacuation.clone()),
    };
    (response, transfer)
}

/// The endpoints newer than a revision: changes if the history reaches back that far, else the
/// whole list. While the maximum number of whole lists is being sent there is none; the
/// requesting entry learns from gossip of others that have the list.
fn newer_endpoints(state: &Rc<State>, revision: u64) -> (Option<Listed>, Option<ListTransfer>) {
    let roster = state.roster.borrow();
    if roster.revision() <= revision {
        return (None, None);
    }
    if let Some(changes) = roster.since(revision) {
        return (Some(Listed::Changes(changes)), None);
    }
    let transfer = ListTransfer::begin(state);
    let all = || Listed::All(roster.listed().cloned().collect());
    (transfer.is_some().then(all), transfer)
}

/// For how long the endpoints have been missing that a list, or its changes, leave out.
fn absences(state: &State, listed: Option<&Listed>) -> Vec<Absence> {
    let roster = state.roster.borrow();
    let absences = roster.absences(state.now());
    match listed {
        Some(Listed::All(_)) => absences.collect(),
        Some(Listed::Changes(changes)) => {
            let missing: HashSet<_> = changes.iter().filter_map(|it| it.1.missing()).collect();
            absences
                .filter(|it| missing.contains(&it.endpoint))
                .collect()
        }
        None => Vec::new(),
    }
}

fn encode(message: &impl Serialize) -> io::Result<Vec<u8>> {
    postcard::to_stdvec(message).map_err(io::Error::other)
}

/// Writes an encoded message.
async fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    with_idle_timeout(stream.write_u8(FORM)).await?;
    with_idle_timeout(stream.write_u32(length)).await?;
    for chunk in bytes.chunks(CHUNK_BYTES) {
        with_idle_timeout(stream.write_all(chunk)).await?;
    }
    Ok(())
}

/// Reads a message of at most so many bytes and calls `on_progress` after each chunk.
async fn read<T: DeserializeOwned>(
    stream: &mut TcpStream,
    max_bytes: u32,
    on_progress: impl Fn(),
) -> io::Result<T> {
    if with_idle_timeout(stream.read_u8()).await? != FORM {
        return Err(io::Error::other("the message has another wire version"));
    }
    let length = with_idle_timeout(stream.read_u32()).await?;
    if length > max_bytes {
        return Err(io::Error::other("the message exceeds the maximum size"));
    }
    let mut bytes = vec![0; usize::try_from(length).map_err(io::Error::other)?];
    let mut read = 0;
    while read < bytes.len() {
        match with_idle_timeout(stream.read(&mut bytes[read..])).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => read += count,
        }
        on_progress();
    }
    postcard::from_bytes(&bytes).map_err(io::Error::other)
}

/// Runs one step of an exchange and fails if it makes no progress in time.
async fn with_idle_timeout<T>(step: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let limit = Duration::from_millis(IDLE_TIMEOUT.0);
    let step = tokio::time::timeout(limit, step).await;
    step.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
