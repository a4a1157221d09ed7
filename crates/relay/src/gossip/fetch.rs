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
use crate::gossip::message::{FORM, Fetch, Fetched, Listed};
use crate::state::State;

/// The longest time for one exchange.
const TIMEOUT: Millis = Millis(1_000);
/// The largest message, in bytes: thousands of routes.
const MOST_BYTES: u32 = 8 * 1024 * 1024;

/// How many entries are asked at the same time, at most.
const MOST: usize = 3;
/// After so long without an answer another entry is asked as well: the one asked may be
/// frozen, or have lost its machine. Two that are silent delay what is newer by 0.6 s, where
/// it took 2.1 s with one question at a time.
const PATIENCE: Millis = Millis(300);

/// The questions to other entries that are under way.
#[derive(Debug, Default)]
pub struct Fetches {
    running: Vec<(SocketAddr, Millis)>,
}

impl Fetches {
    /// Whether an entry may be asked now. One that knows nothing yet asks one at a time, as
    /// all that have just started ask the same few for whole lists.
    pub fn may_begin(&self, from: SocketAddr, knows_all: bool, now: Millis) -> bool {
        let patience = if knows_all { PATIENCE } else { TIMEOUT };
        let is_free =
            |(asked, began): &(SocketAddr, Millis)| *asked != from && now - *began >= patience;
        self.running.len() < MOST && self.running.iter().all(is_free)
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
pub fn begin(state: &Rc<State>, from: SocketAddr) {
    let fetches = state.fetches.borrow();
    let may_begin = fetches.may_begin(from, state.knows_all(), state.now());
    drop(fetches);
    if may_begin {
        let running = Running::begin(state, from);
        actix_rt::spawn(async move { fetch_one(&running.state, from).await });
    }
}

async fn fetch_one(state: &State, from: SocketAddr) {
    let asked = state.now();
    let question = Fetch {
        plan: state.force.borrow().version(),
        endpoints: state.roster.borrow().revision(),
        evacuation: state.evacuation.borrow().revision(),
    };
    let limit = Duration::from_millis(TIMEOUT.0);
    let fetched = match tokio::time::timeout(limit, ask(from, question)).await {
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
    let knows = fetched.knows;
    if let Some(evacuation) = fetched.evacuation {
        follow::take_evacuation(state, evacuation);
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

async fn ask(from: SocketAddr, question: Fetch) -> io::Result<Fetched> {
    let mut stream = TcpStream::connect(from).await?;
    write(&mut stream, &question).await?;
    read(&mut stream).await
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
    let limit = Duration::from_millis(TIMEOUT.0);
    let answering = async {
        let question: Fetch = read(&mut stream).await?;
        write(&mut stream, &newer(&state, question)).await
    };
    match tokio::time::timeout(limit, answering).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!(error = error.to_string(); "an entry was not answered"),
        Err(_) => log::debug!("an entry was not answered in time"),
    }
}

fn newer(state: &State, question: Fetch) -> Fetched {
    let knows = knowledge(state);
    let force = state.force.borrow();
    let has_newer = force.version() > question.plan;
    let plan = force.table().filter(|_| has_newer);
    let roster = state.roster.borrow();
    let has_newer = roster.revision() > question.endpoints;
    let changes = roster.since(question.endpoints).map(Listed::Changes);
    let all = || Listed::All(roster.listed().cloned().collect());
    let endpoints = has_newer.then(|| changes.unwrap_or_else(all));
    let evacuation = state.evacuation.borrow();
    let has_newer = evacuation.revision() > question.evacuation;
    Fetched {
        knows,
        plan: plan.map(|table| table.plan().clone()),
        endpoints,
        evacuation: has_newer.then(|| evacuation.clone()),
    }
}

async fn write(stream: &mut TcpStream, message: &impl Serialize) -> io::Result<()> {
    let bytes = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    stream.write_u8(FORM).await?;
    stream.write_u32(length).await?;
    stream.write_all(&bytes).await
}

async fn read<T: DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    if stream.read_u8().await? != FORM {
        return Err(io::Error::other("the message has another form"));
    }
    let length = stream.read_u32().await?;
    if length > MOST_BYTES {
        return Err(io::Error::other("the message is too large"));
    }
    let mut bytes = vec![0; usize::try_from(length).map_err(io::Error::other)?];
    stream.read_exact(&mut bytes).await?;
    postcard::from_bytes(&bytes).map_err(io::Error::other)
}
