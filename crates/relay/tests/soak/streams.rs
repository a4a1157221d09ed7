//! Callers that lose streams and take them up, while endpoints of two software versions serve.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::Method;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodgap_relay::upstream::{Connection, connection};

use crate::caller::KEYS;
use crate::endpoint;
use crate::entries::Entries;
use crate::record::{Problem, Record};

/// The route of streams that may be taken up.
pub const PATH: &str = "/resumed/";
/// How many callers there are that take streams up.
pub const CALLERS: usize = 6;
/// Events of a stream: they last 0.2 to 1.2 s.
const EVENTS: std::ops::RangeInclusive<usize> = 12..=80;
/// How often a caller tries to bring a stream to its end.
const TRIES: usize = 6;
/// The part of the tries at which the caller loses its connection by itself.
const LOST: f64 = 0.5;
/// The longest pause between two tries, in ms.
const LONGEST_PAUSE: u64 = 150;
const PATIENCE: Duration = Duration::from_secs(3);
/// How long it waits in truth.
const GIVE_UP: Duration = Duration::from_secs(5);
/// For so long nothing must have befallen an entry for it to be bound.
const SETTLED: Duration = Duration::from_secs(3);
/// A stream is to go on while so many endpoints of its version serve.
const LEAST_SERVING: usize = 2;
/// Of so many streams that are taken up at least a share goes on.
const LEAST: usize = 12;

/// One try at a stream.
#[derive(Clone, Debug)]
struct Try {
    life: usize,
    at: Instant,
    is_first: bool,
    has_events: bool,
    answer: Answer,
    /// The version that began the stream, of those that are taken up.
    version: Option<String>,
}

impl Try {
    /// Whether the stream is to begin or go on: nothing had befallen the entry, and enough endpoints of
    /// the version that began it served.
    fn is_bound(&self, entries: &Entries, record: &Record) -> bool {
        let since = self.at.checked_sub(SETTLED).unwrap_or(self.at);
        let version = self.version.as_ref();
        let is_served =
            version.is_none_or(|version| record.count_serving(version, self.at) >= LEAST_SERVING);
        entries.was_sound(self.life, since, self.at)
            && self.answer != Answer::VersionGone
            && is_served
    }
}

/// All tries, shared by the callers.
#[derive(Clone, Default)]
pub struct Tries(Rc<RefCell<Vec<Try>>>);

impl Tries {
    /// Whether far fewer streams went on than new ones began, at entries that nothing had befallen and
    /// while enough endpoints of their version served.
    pub fn problems(&self, entries: &Entries, record: &Record) -> Option<Problem> {
        let tries = self.0.borrow();
        let bound: Vec<_> = tries
            .iter()
            .filter(|it| it.is_bound(entries, record))
            .collect();
        let (new, again): (Vec<_>, Vec<_>) = bound.into_iter().partition(|it| it.is_first);
        let served = |tries: &[&Try]| tries.iter().filter(|it| it.has_events).count();
        let (begun, went_on) = (served(&new), served(&again));
        let is_worse = 2 * went_on * new.len() < begun * again.len();
        (again.len() >= LEAST && is_worse).then_some(Problem::Forgotten(went_on, again.len()))
    }

    /// A part of a line on the run.
    pub fn summary(&self, entries: &Entries, record: &Record) -> String {
        let tries = self.0.borrow();
        let count = |is_first, wanted: &dyn Fn(&Try) -> bool| {
            let of_kind = tries.iter().filter(|it| it.is_first == is_first);
            of_kind.filter(|it| wanted(it)).count()
        };
        let has_events = |it: &Try| it.has_events;
        let (new, begun) = (count(true, &|_| true), count(true, &has_events));
        let (again, went_on) = (count(false, &|_| true), count(false, &has_events));
        let gone = count(false, &|it| it.answer == Answer::VersionGone);
        let unknown = count(false, &|it| it.answer == Answer::UnknownVersion);
        let bound = count(false, &|it| it.is_bound(entries, record));
        format!(
            "{begun} of {new} streams begun, {went_on} of {again} went on, {bound} were to, \
             {gone} had no version left, {unknown} were not known"
        )
    }
}

/// A stream as its caller has it so far.
struct Stream {
    first: String,
    events: usize,
    /// How many events have come.
    got: usize,
    version: Option<String>,
}

/// Begins streams and takes them up until the run is over.
pub async fn run(name: String, seed: u64, record: Record, entries: Entries, tries: Tries) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    for number in 0.. {
        let mut stream = Stream {
            first: String::new(),
            events: random.random_range(EVENTS),
            got: 0,
            version: None,
        };
        for again in 0..TRIES {
            if entries.is_over() {
                return;
            }
            let pause = random.random_range(0..=LONGEST_PAUSE);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let Some((address, life)) = entries.open().choose(&mut random).copied() else {
                continue;
            };
            let id = format!("{name}-{number}-{again}");
            let lost_after = random.random_range(0..stream.events);
            let lost_after = random.random_bool(LOST).then_some(lost_after);
            let (at, is_first, before) = (Instant::now(), stream.got == 0, stream.got);
            let version = stream.version.clone();
            let asking = ask((address, life), &id, &mut stream, lost_after, &record);
            let asked = tokio::time::timeout(GIVE_UP, asking).await;
            tries.0.borrow_mut().push(Try {
                life,
                at,
                is_first,
                has_events: stream.got > before,
                answer: asked.ok().flatten().unwrap_or(Answer::Other),
                version,
            });
            if stream.got == stream.events {
                break;
            }
        }
    }
}

/// What came of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    /// Events, or nothing that can be told apart.
    Other,
    VersionGone,
    UnknownVersion,
}

/// One try: takes the events as they come, and leaves after some of them if it is to.
async fn ask(
    (address, life): (SocketAddr, usize),
    id: &str,
    stream: &mut Stream,
    lost_after: Option<usize>,
    record: &Record,
) -> Option<Answer> {
    let mut connection = Connection::open(address).await.ok()?;
    let head = request(id, stream);
    let answer = connection.exchange(&head, b"").await.ok()?;
    let mut framing = answer.framing(&Method::GET).ok()?;
    if answer.status.as_u16() != 200 {
        let body = connection.read_body(framing, 4_096).await.ok()?;
        let body = String::from_utf8_lossy(&body).into_owned();
        if body.contains("\"withheld\"") {
            record.withheld(id, life);
        }
        let answer = [
            ("version_gone", Answer::VersionGone),
            ("unknown_version", Answer::UnknownVersion),
        ];
        let mut answer = answer.into_iter().filter(|(code, _)| body.contains(code));
        return answer.next().map(|(_, answer)| answer);
    }
    let mut text = String::new();
    while let Ok(Some(bytes)) = connection.next_data(&mut framing).await {
        text.push_str(&String::from_utf8_lossy(&bytes));
        while let Some((event, rest)) = text.split_once("\n\n") {
            take(event, id, stream, record);
            text = rest.to_owned();
            if lost_after.is_some_and(|after| stream.got >= after) {
                return Some(Answer::Other);
            }
        }
    }
    Some(Answer::Other)
}

fn request(id: &str, stream: &Stream) -> bytes::BytesMut {
    let key = format!("Bearer {}", KEYS[0]);
    let patience = PATIENCE.as_millis().to_string();
    let events = stream.events.to_string();
    let last = stream.got.saturating_sub(1).to_string();
    let mut headers = vec![
        ("Host", b"album.example".as_slice()),
        ("X-Woodgap-Request", id.as_bytes()),
        ("X-Woodgap-Patience-Ms", patience.as_bytes()),
        ("Authorization", key.as_bytes()),
        (endpoint::EVENTS, events.as_bytes()),
    ];
    if stream.got > 0 {
        headers.push(("Last-Event-ID", last.as_bytes()));
        headers.push(("X-Woodgap-Resumes", stream.first.as_bytes()));
    }
    connection::request_head(&Method::GET, PATH, headers)
}

/// Checks that an event is the next one, and of the version of those before.
fn take(event: &str, id: &str, stream: &mut Stream, record: &Record) {
    if stream.got == 0 {
        id.clone_into(&mut stream.first);
    }
    let version = event.rsplit(' ').next().unwrap_or_default();
    let known = stream.version.get_or_insert_with(|| version.to_owned());
    if known != version {
        let versions = format!("{known} {version}");
        record.broken(Problem::Versions(stream.first.clone(), versions));
    }
    let expected = endpoint::versioned_event(&stream.first, stream.got, version);
    if format!("{event}\n\n") != expected {
        record.broken(Problem::Foreign(id.to_owned(), event.to_owned()));
    }
    stream.got += 1;
}
