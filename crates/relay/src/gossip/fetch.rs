//! Passing the configuration and the endpoints on between entries, over TCP.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use woodgap_core::clock::Millis;

use crate::follow;
use crate::gossip::exchange::knowledge;
use crate::gossip::message::{FORM, FetchRequest, FetchResponse, Listed};
use crate::source::Evacuations;
use crate::state::State;

/// How long nothing may come or go in an exchange.
const TIMEOUT: Millis = Millis(1_000);
/// The longest time for one exchange: a list of some 10,000 endpoints, over a link that hundreds of
/// others want the same of.
const LONGEST: Millis = Millis(10_000);
/// So many bytes are read or written at once.
const PIECE: usize = 16 * 1024;
/// The largest message, in bytes: thousands of routes.
const MOST_BYTES: u32 = 8 * 1024 * 1024;

/// How many whole lists an entry sends at the same time, at most: those that have theirs soon give
/// it to others, so few at a time reach all of a fleet the soonest. One alone could be held up by
/// a single entry that reads slowly.
const MOST_LISTS: usize = 2;

/// How many entries are asked at the same time, at most.
const MOST: usize = 3;
/// After so long without an answer another entry is asked as well: the one asked may be
/// frozen, or have lost its machine. Two that are silent delay what is newer by 0.6 s, where
/// it took 2.1 s with one question at a time.
const PATIENCE: Millis = Millis(300);

/// The questions to other entries that are under way, and the longest answers to theirs.
#[derive(Debug, Default)]
pub struct Fetches {
    /// Whom, and when something last came from there.
    running: Vec<(SocketAddr, Millis)>,
    /// How many whole lists this entry is sending.
    sending: usize,
}

impl Fetches {
    /// Whether an entry may be asked now. One that knows nothing yet asks one at a time, as
    /// all that have just started ask the same few for whole lists.
    pub fn may_start(&self, from: SocketAddr, knows_all: bool, now: Millis) -> bool {
        let patience = if knows_all { PATIENCE } else { TIMEOUT };
        let is_free =
            |(asked, heard): &(SocketAddr, Millis)| *asked != from && now - *heard >= patience;
        self.running.len() < MOST && self.running.iter().all(is_free)
    }

    /// Notes that something has come from an entry: no other one needs to be asked meanwhile.
    fn came(&mut self, from: SocketAddr, now: Millis) {
        let asked = self.running.iter_mut().find(|(asked, _)| *asked == from);
        if let Some((_, heard)) = asked {
            *heard = now;
        }
    }
}

/// A whole list that is being sent, for as long as it is.
struct Sending {
    state: Rc<State>,
}

impl Sending {
    /// None while as many are sent as may be.
    fn begin(state: &Rc<State>) -> Option<Self> {
        let mut fetches = state.fetches.borrow_mut();
        if fetches.sending >= MOST_LISTS {
            return None;
        }
        fetches.sending += 1;
        Some(Self {
            state: Rc::clone(state),
        })
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        self.state.fetches.borrow_mut().sending -= 1;
    }
}

/// A question that is under way, for as long as it is.
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

/// Begins to fetch from another entry what is newer there, if it may be asked now.
pub fn start(state: &Rc<State>, from: SocketAddr) {
    let fetches = state.fetches.borrow();
    let may_start = fetches.may_start(from, state.knows_all(), state.now());
    drop(fetches);
    if may_start {
        let running = Running::begin(state, from);
        actix_rt::spawn(async move { fetch_one(&running.state, from).await });
    }
}

async fn fetch_one(state: &State, from: SocketAddr) {
    let asked = state.now();
    let question = FetchRequest {
        plan: state.force.borrow().version(),
        endpoints: state.roster.borrow().revision(),
        evacuation: state.evacuation.borrow().revision(),
    };
    let came = || state.fetches.borrow_mut().came(from, state.now());
    let limit = Duration::from_millis(LONGEST.0);
    let fetched = match tokio::time::timeout(limit, ask(from, question, came)).await {
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
    let knows = fetched.knowledge;
    if let Some(evacuation) = fetched.evacuation {
        follow::take_evacuations(state, Evacuations::All(evacuation), "entry");
    }
    if let Some(plan) = fetched.plan {
        follow::take_plan(state, plan, asked - knows.plan_age, "entry");
    }
    let as_of = asked - knows.endpoints_age;
    match fetched.endpoints {
        Some(Listed::All(all)) => {
            follow::take_endpoints(state, all, knows.endpoints, as_of, "entry");
        }
        Some(Listed::Changes(changes)) => follow::take_changes(state, changes, as_of, "entry"),
        None => {}
    }
}

async fn ask(
    from: SocketAddr,
    question: FetchRequest,
    came: impl Fn(),
) -> io::Result<FetchResponse> {
    let mut stream = in_time(TcpStream::connect(from)).await?;
    write(&mut stream, &question).await?;
    read(&mut stream, came).await
}

/// Answers other entries for as long as the process runs.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(answer(Rc::clone(&state), stream));
            }
            Err(error) => {
                log::warn!(error = error.to_string(); "an entry's connection can't be taken");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn answer(state: Rc<State>, mut stream: TcpStream) {
    let limit = Duration::from_millis(LONGEST.0);
    let answering = async {
        let question: FetchRequest = read(&mut stream, || {}).await?;
        let (newer, _sending) = newer(&state, question);
        write(&mut stream, &newer).await
    };
    match tokio::time::timeout(limit, answering).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!(error = error.to_string(); "an entry was not answered"),
        Err(_) => log::debug!("an entry was not answered in time"),
    }
}

/// What is newer than an entry has told, and what is held for as long as that is sent.
fn newer(state: &Rc<State>, question: FetchRequest) -> (FetchResponse, Option<Sending>) {
    let knowledge = knowledge(state);
    let force = state.force.borrow();
    let has_newer = force.version() > question.plan;
    let plan = force.table().filter(|_| has_newer);
    let (endpoints, sending) = lacking(state, question.endpoints);
    let evacuation = state.evacuation.borrow();
    let has_newer = evacuation.revision() > question.evacuation;
    let newer = FetchResponse {
        knowledge,
        plan: plan.map(|table| table.plan().clone()),
        endpoints,
        evacuation: has_newer.then(|| evacuation.clone()),
    };
    (newer, sending)
}

/// The endpoints that an entry lacks which knows this revision. While too many others are sent
/// whole lists, it gets none: it hears of others that have it.
fn lacking(state: &Rc<State>, revision: u64) -> (Option<Listed>, Option<Sending>) {
    let roster = state.roster.borrow();
    if roster.revision() <= revision {
        return (None, None);
    }
    if let Some(changes) = roster.since(revision) {
        return (Some(Listed::Changes(changes)), None);
    }
    let sending = Sending::begin(state);
    let all = || Listed::All(roster.listed().cloned().collect());
    (sending.is_some().then(all), sending)
}

async fn write(stream: &mut TcpStream, message: &impl Serialize) -> io::Result<()> {
    let bytes = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    in_time(stream.write_u8(FORM)).await?;
    in_time(stream.write_u32(length)).await?;
    for piece in bytes.chunks(PIECE) {
        in_time(stream.write_all(piece)).await?;
    }
    Ok(())
}

/// Reads a message; `came` is told of each piece.
async fn read<T: DeserializeOwned>(stream: &mut TcpStream, came: impl Fn()) -> io::Result<T> {
    if in_time(stream.read_u8()).await? != FORM {
        return Err(io::Error::other("the message has another form"));
    }
    let length = in_time(stream.read_u32()).await?;
    if length > MOST_BYTES {
        return Err(io::Error::other("the message is too large"));
    }
    let mut bytes = vec![0; usize::try_from(length).map_err(io::Error::other)?];
    let mut read = 0;
    while read < bytes.len() {
        match in_time(stream.read(&mut bytes[read..])).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            more => read += more,
        }
        came();
    }
    postcard::from_bytes(&bytes).map_err(io::Error::other)
}

/// A step of an exchange, which must not stand still.
async fn in_time<T>(step: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let limit = Duration::from_millis(TIMEOUT.0);
    let step = tokio::time::timeout(limit, step).await;
    step.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
