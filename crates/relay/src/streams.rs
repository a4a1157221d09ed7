//! Sends streams that callers take up to the software version that began them.
//!
//! [`woodgap_core::relay::resumption`] decides; this module carries the messages between entries, and
//! looks at rows and responses.

mod history;
pub mod storage;
mod waiting;

pub use history::run;
pub use waiting::until_registered;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::duty;
use woodgap_core::relay::plan::{Kind, Route};
use woodgap_core::relay::resumption::inquiry::{MAX_NOTICES, Notice};
use woodgap_core::relay::resumption::registry::MAX_UNASKED_AGE;
use woodgap_core::relay::resumption::{
    Build, Inquiry, Keepers, Message, Registry, Service, Standing, Stream,
};
use woodgap_core::relay::roster::Endpoint;

use crate::dialect::Call;
use crate::gossip::message;
use crate::request::problem::Code;
use crate::request::{AccessRecord, AdmittedRequest, EndpointResponse, Problem};
use crate::state::State;

/// How long the answers of the keepers are waited for: several round trips between regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// How long notices are gathered, so that streams that begin together are told in one message.
const GATHER: Duration = Duration::from_millis(10);
/// The oldest confirmation of the plan at which the endpoints count as current although no other
/// entry answers.
const MAX_VIEW_AGE: Millis = Millis(2_500);
/// The oldest confirmation at which a view counts where all other entries agree: less than the time
/// after which an entry that is not heard is forgotten.
const MAX_AGED_VIEW: Millis = Millis(30_000);
/// The most entries that are asked whether they agree.
const MAX_ASKED: usize = 32;
/// The most versions that one message tells of: names are short, and a message that becomes too
/// large for a datagram is fragmented.
const MAX_PAST: usize = 16;
/// How many streams are looked at before other work has its turn, when keepers are new: among
/// hundreds of entries this takes some milliseconds.
const STREAMS_PER_TURN: usize = 512;
/// The time between two looks at all endpoints and entries, besides those at changes.
const LOOK_INTERVAL: Millis = Millis(1_000);
/// `Retry-After` for a stream that can't go on now: another entry may know more, or endpoints of
/// its version may come back.
const RETRY_AFTER: Millis = Millis(300);

/// The builds of streams, and the questions to other entries about them.
#[derive(Debug)]
pub struct Streams {
    registry: RefCell<Registry>,
    /// The questions that are being asked, by their number.
    inquiries: RefCell<HashMap<u64, Asking>>,
    next_number: Cell<u64>,
    /// Whether notices are being gathered.
    is_gathering: Cell<bool>,
    /// When versions and entries were last looked at.
    looked: Cell<Millis>,
    /// The entries by then.
    keepers: RefCell<Option<Keepers>>,
    /// Whether another entry was ever known.
    has_met: Cell<bool>,
    /// What the platform stores of versions.
    history: history::History,
    /// The place of this entry among those that may do the same at once, from 0 to 1.
    turn: f64,
    /// The socket for messages to other entries, once it is open.
    socket: RefCell<Option<Rc<UdpSocket>>>,
}

/// A question that is being asked.
#[derive(Debug)]
struct Asking {
    inquiry: Inquiry,
    /// Told once no further answer matters.
    complete: Option<oneshot::Sender<()>>,
}

/// A stream that a request takes up.
#[derive(Debug)]
struct Resumed {
    /// `None` if the caller does not name it.
    stream: Option<Stream>,
    /// The services that may have begun it.
    services: Vec<Service>,
}

impl Resumed {
    /// What a request to a route takes up, if it does; `workspace` is empty on public routes.
    fn new(call: &Call, route: &Route, workspace: &str) -> Option<Self> {
        let resumption = call.resumption.as_ref()?;
        let attempt = resumption.first_attempt.as_deref();
        let shares = route.shares.iter().filter(|share| share.weight > 0);
        let resumed = Self {
            stream: attempt.map(|attempt| Stream::of(workspace, attempt)),
            services: shares.map(|share| Service::of(&share.service)).collect(),
        };
        Some(resumed).filter(|_| route.kind == Kind::Stream)
    }
}

impl Streams {
    /// The state of a relay that starts at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            registry: RefCell::new(Registry::new(now)),
            inquiries: RefCell::default(),
            next_number: Cell::new(rand::random()),
            is_gathering: Cell::new(false),
            looked: Cell::default(),
            keepers: RefCell::default(),
            has_met: Cell::new(false),
            history: history::History::default(),
            turn: rand::random(),
            socket: RefCell::default(),
        }
    }

    /// Forgets what the platform stores, so that it is stored again.
    pub fn store_again(&self) {
        self.history.store_again();
        self.registry.borrow_mut().mark_all_unsaved();
    }

    /// Sets the socket for messages to other entries.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        *self.socket.borrow_mut() = Some(socket);
    }

    fn send(&self, message: &Message, to: SocketAddr) {
        let socket = self.socket.borrow();
        let Some(socket) = socket.as_ref() else {
            return;
        };
        // A message that can't be sent counts as lost.
        if let Ok(bytes) = message::encode_resumption(message) {
            let _ = socket.try_send_to(&bytes, to);
        }
    }
}

/// Finds out where a stream that is taken up began; `None` if the request takes none up.
///
/// # Errors
///
/// The error for the caller if that can't be known; the request has not run.
pub async fn locate(
    state: &State,
    call: &Call,
    route: &Route,
    workspace: &str,
    record: &mut AccessRecord,
) -> Result<Option<Build>, Problem> {
    let Some(resumed) = Resumed::new(call, route, workspace) else {
        return Ok(None);
    };
    let asked = state.now();
    let standing = standing(state, resumed.stream, &resumed.services);
    let age = state.force.borrow().age(asked);
    let is_certain = {
        let registry = state.streams.registry.borrow();
        registry.is_certain(standing, age, asked)
    };
    let (mut build, mut source) = match standing {
        Standing::Known(build) => (Some(build), "own"),
        Standing::Single(build) if is_certain => (Some(build), "single"),
        _ => ask(state, &resumed, standing).await,
    };
    if source != "own" && source != "kept" {
        // What no stream may begin at has begun none.
        let registry = state.streams.registry.borrow();
        build = build.filter(|build| registry.is_build_registered(*build, &resumed.services));
    }
    if build.is_none() {
        build = waiting::only_stored(state, &resumed.services, asked).await;
        source = "stored";
    }
    let outcome = if build.is_some() { source } else { "unknown" };
    let resumptions = &state.metrics.resumptions;
    resumptions.with_label_values(&[outcome]).inc();
    record.set_version_source(outcome);
    let unknown = || {
        let message = "which software version began the stream is not known";
        Problem::not_run(Code::UnknownVersion, message).retry_after(RETRY_AFTER)
    };
    build.map(Some).ok_or_else(unknown)
}

/// A question that is forgotten once dropped: its caller may leave while it is being asked.
struct Pending<'s> {
    streams: &'s Streams,
    number: u64,
}

impl Pending<'_> {
    fn end(&self) -> Option<Asking> {
        self.streams.inquiries.borrow_mut().remove(&self.number)
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.end();
    }
}

/// What this entry knows about a stream that one of these services has begun. That there has been
/// one version it knows only by what is stored, or by a view without a gap.
fn standing(state: &State, stream: Option<Stream>, services: &[Service]) -> Standing {
    let now = state.now();
    let registry = state.streams.registry.borrow();
    let standing = registry.standing(stream, services, now);
    let is_current = state.force.borrow().age(now) <= MAX_VIEW_AGE;
    let is_complete = registry.is_complete(now);
    // Nobody else can have begun a stream since.
    let is_only = is_only_entry(state) && registry.is_reading_complete(now);
    if (is_current && is_complete) || is_only {
        standing
    } else if !is_current && (is_complete || registry.was_complete()) {
        standing.of_aged()
    } else {
        standing.of_uninformed()
    }
}

/// Whether there is no other entry, and never was one that is merely out of reach.
fn is_only_entry(state: &State) -> bool {
    let has_converged = duty::has_converged(state.life());
    let knows_none = state.settings.seeds.is_empty() && state.hints.borrow().is_empty();
    has_converged && knows_none && !state.streams.has_met.get()
}

/// Asks the keepers of a stream about its build. Gives it back with how it is known: by a keeper, or
/// as no other version is.
async fn ask(state: &State, resumed: &Resumed, own: Standing) -> (Option<Build>, &'static str) {
    let (asked, own) = match (own, all_others(state)) {
        (Standing::Aged(_), Some(all)) => (all, own),
        // A few that agree may all be on this side of a partition.
        (Standing::Aged(build), None) => (keepers(state, resumed.stream), Standing::Unsure(build)),
        _ => (keepers(state, resumed.stream), own),
    };
    let streams = &state.streams;
    let number = streams.next_number.get().wrapping_add(1);
    streams.next_number.set(number);
    let (complete, completed) = oneshot::channel();
    let asking = Asking {
        inquiry: Inquiry::new(own, asked.len()),
        complete: Some(complete),
    };
    streams.inquiries.borrow_mut().insert(number, asking);
    let pending = Pending { streams, number };
    let question = Message::Question {
        number,
        stream: resumed.stream,
        services: resumed.services.clone(),
    };
    for other in &asked {
        streams.send(&question, *other);
    }
    if !asked.is_empty() {
        // What was answered by then counts.
        let _ = tokio::time::timeout(ANSWER_TIMEOUT, completed).await;
    }
    let age = state.force.borrow().age(state.now());
    let Some(Asking { inquiry, .. }) = pending.end() else {
        return (None, "only");
    };
    let source = if inquiry.is_known() { "kept" } else { "only" };
    let max_age = if inquiry.has_answers() {
        MAX_VIEW_AGE
    } else {
        MAX_UNASKED_AGE
    };
    let is_confirmed = age <= max_age || is_only_entry(state);
    (inquiry.conclude(is_confirmed), source)
}

/// The addresses of all other entries; `None` where they are many, or where one may have been
/// forgotten since the view of the endpoints aged.
fn all_others(state: &State) -> Option<Vec<SocketAddr>> {
    let age = state.force.borrow().age(state.now());
    let fleet = state.fleet.borrow();
    let is_bounded = age <= MAX_AGED_VIEW && fleet.known().count() <= MAX_ASKED;
    is_bounded.then(|| fleet.known().map(|it| it.peer).collect())
}

/// The addresses of the other entries that keep a stream; of any few if its caller does not name
/// it.
fn keepers(state: &State, stream: Option<Stream>) -> Vec<SocketAddr> {
    let any = || Stream::of("", &rand::random::<u64>().to_string());
    let keepers = Keepers::new(&state.fleet.borrow());
    let names = keepers.of(stream.unwrap_or_else(any));
    let addresses = names.into_iter().filter_map(|name| address(state, name));
    addresses.collect()
}

/// The service of a route that began a stream.
///
/// # Errors
///
/// The error for the caller if none of them serves at its version; the request has not run.
pub fn service<'r>(state: &State, route: &'r Route, build: Build) -> Result<&'r str, Problem> {
    let roster = state.roster.borrow();
    let shares = route.shares.iter().filter(|share| share.weight > 0);
    let mut names = shares.map(|share| share.service.as_str());
    let has_version = |name: &&str| {
        let mut endpoints = roster.known();
        endpoints.any(|it| it.service == **name && build_of(it) == build)
    };
    names.find(has_version).ok_or_else(version_gone)
}

fn build_of(endpoint: &Endpoint) -> Build {
    Build::of(&endpoint.service, &endpoint.version)
}

fn version_gone() -> Problem {
    let message = "no endpoint of the software version that began the stream serves";
    Problem::not_run(Code::VersionGone, message).retry_after(RETRY_AFTER)
}

/// Filters out the endpoints of versions that the request must not go to: any but its own if it
/// takes a stream up, else those at which no streams begin yet.
///
/// # Errors
///
/// The error for the caller if no endpoint of its version remains.
pub fn of_version<'e>(
    state: &State,
    request: &AdmittedRequest,
    usable: Vec<&'e Endpoint>,
    now: Millis,
) -> Result<Vec<&'e Endpoint>, Problem> {
    if request.route.kind != Kind::Stream || usable.is_empty() {
        return Ok(usable);
    }
    if let Some(build) = request.build {
        let of_origin = usable.into_iter().filter(|it| build_of(it) == build);
        let of_origin: Vec<_> = of_origin.collect();
        return if of_origin.is_empty() {
            Err(version_gone())
        } else {
            Ok(of_origin)
        };
    }
    let registry = state.streams.registry.borrow();
    if registry.is_settled(&request.service.name, now) {
        return Ok(usable);
    }
    let versions: BTreeSet<_> = usable.iter().map(|it| it.version.as_str()).collect();
    let versions: Vec<_> = versions.into_iter().collect();
    let open = registry.open(&request.service.name, &versions, now);
    if open.is_empty() {
        return Err(not_registered(&request.service.name));
    }
    let is_open = |endpoint: &&Endpoint| open.contains(&endpoint.version.as_str());
    Ok(usable.into_iter().filter(is_open).collect())
}

fn not_registered(service: &str) -> Problem {
    let message = format!("that a version of `{service}` serves is not stored yet");
    Problem::not_run(Code::NotReady, message).retry_after(RETRY_AFTER)
}

/// Records where a stream began, or goes on, once an event of it has come.
pub fn record(
    state: &Rc<State>,
    request: &AdmittedRequest,
    endpoint: &Endpoint,
    response: &EndpointResponse,
) {
    if request.route.kind != Kind::Stream || !response.has_event() {
        return;
    }
    let workspace = request.workspace.as_deref();
    let workspace = workspace.map_or("", |it| it.name.as_str());
    let resumption = request.call.resumption.as_ref();
    let first = resumption.and_then(|it| it.first_attempt.as_deref());
    let build = build_of(endpoint);
    {
        let mut registry = state.streams.registry.borrow_mut();
        for attempt in [Some(request.call.id.as_str()), first]
            .into_iter()
            .flatten()
        {
            registry.record(Stream::of(workspace, attempt), build, request.deadline);
        }
    }
    tell_soon(state);
}

/// Regular work: looks at versions and entries, if it is time.
pub fn look(state: &Rc<State>, now: Millis) {
    if now - state.streams.looked.get() < LOOK_INTERVAL {
        return;
    }
    state.streams.looked.set(now);
    if state.fleet.borrow().known().next().is_some() {
        state.streams.has_met.set(true);
    }
    observe(state);
    tell_new_keepers(state, now);
}

/// Takes in which versions have endpoints now.
pub fn observe(state: &State) {
    let now = state.now();
    let mut registry = state.streams.registry.borrow_mut();
    if let Some(table) = state.force.borrow().table() {
        registry.set_longest_stream(table.longest_stream(), now);
    }
    for endpoint in state.roster.borrow().known() {
        registry.observe(&endpoint.service, &endpoint.version, now);
    }
    if state.force.borrow().age(now) > MAX_VIEW_AGE {
        registry.record_gap(now);
    } else {
        registry.end_gap();
    }
    registry.expire(now);
    drop(registry);
    state.streams.history.look_again();
    tell(state);
}

/// Tells the keepers of new streams, together with those that begin within a moment.
fn tell_soon(state: &Rc<State>) {
    if state.streams.is_gathering.replace(true) {
        return;
    }
    let state = Rc::clone(state);
    actix_rt::spawn(async move {
        tokio::time::sleep(GATHER).await;
        state.streams.is_gathering.set(false);
        tell(&state);
    });
}

fn tell(state: &State) {
    let notices = state
        .streams
        .registry
        .borrow_mut()
        .take_notices(state.now());
    if !notices.is_empty() {
        let keepers = Keepers::new(&state.fleet.borrow());
        send_notices(state, &notices, |stream| keepers.of(stream));
    }
}

/// Tells entries of the streams that they keep since others have come or gone, or have started
/// again.
fn tell_new_keepers(state: &Rc<State>, now: Millis) {
    let keepers = Keepers::new(&state.fleet.borrow());
    let earlier = state.streams.keepers.borrow_mut().replace(keepers.clone());
    let Some(earlier) = earlier.filter(|earlier| !keepers.is_same(earlier)) else {
        return;
    };
    let state = Rc::clone(state);
    actix_rt::spawn(async move {
        let notices = state.streams.registry.borrow().notices(now);
        for part in notices.chunks(STREAMS_PER_TURN) {
            send_notices(&state, part, |stream| keepers.new_since(&earlier, stream));
            tokio::task::yield_now().await;
        }
    });
}

/// Sends each notice to the entries that are chosen for its stream.
fn send_notices<'k>(
    state: &State,
    notices: &[Notice],
    choose: impl Fn(Stream) -> Vec<&'k name::Entry>,
) {
    let mut by_keeper: BTreeMap<&name::Entry, Vec<Notice>> = BTreeMap::new();
    for notice in notices {
        for keeper in choose(notice.stream) {
            by_keeper.entry(keeper).or_default().push(*notice);
        }
    }
    for (keeper, notices) in by_keeper {
        let Some(address) = address(state, keeper) else {
            continue;
        };
        for part in notices.chunks(MAX_NOTICES) {
            state
                .streams
                .send(&Message::Notices(part.to_vec()), address);
        }
    }
}

fn address(state: &State, entry: &name::Entry) -> Option<SocketAddr> {
    let fleet = state.fleet.borrow();
    let member = fleet.known().find(|it| it.name == *entry);
    member.map(|it| it.peer)
}

/// Tells an entry that has just started, or was parted from others, which versions there were: the
/// last endpoint of one may have gone before.
pub fn tell_past(state: &State, to: SocketAddr) {
    let past = state.streams.registry.borrow().past(state.now());
    for part in past.chunks(MAX_PAST) {
        state.streams.send(&Message::Past(part.to_vec()), to);
    }
}

/// Takes in what another entry tells, answers what it asks.
pub fn receive(state: &State, message: Message, sender: SocketAddr) {
    let streams = &state.streams;
    let now = state.now();
    match message {
        Message::Notices(notices) => {
            let mut registry = streams.registry.borrow_mut();
            for notice in &notices {
                registry.keep(notice, now);
            }
        }
        Message::Past(all) => {
            let mut registry = streams.registry.borrow_mut();
            let mut is_news = false;
            for past in &all {
                if registry.learn(past, now) {
                    streams.history.record_registered(past);
                    is_news = true;
                }
            }
            drop(registry);
            if is_news {
                streams.history.tell_waiting();
            }
        }
        Message::PastRequest => tell_past(state, sender),
        Message::Question {
            number,
            stream,
            services,
        } => {
            let standing = standing(state, stream, &services);
            streams.send(&Message::Answer { number, standing }, sender);
        }
        Message::Answer { number, standing } => {
            let mut inquiries = streams.inquiries.borrow_mut();
            let Some(asking) = inquiries.get_mut(&number) else {
                return;
            };
            asking.inquiry.record(standing);
            if asking.inquiry.is_complete()
                && let Some(complete) = asking.complete.take()
            {
                // The caller may have gone in this moment.
                let _ = complete.send(());
            }
        }
    }
}
