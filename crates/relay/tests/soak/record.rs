//! What callers and endpoints have seen, and what of it breaks a promise.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// It may run again.
    Read,
    /// It may run at most once.
    Write,
    /// It may run at most once, and its answer is a stream of events.
    Stream,
    /// A stream that may last longer than a process that is told to stop.
    Long,
}

impl Kind {
    /// Those of which each entry is asked whether it serves them.
    pub const ALL: [Self; 3] = [Self::Read, Self::Write, Self::Stream];

    /// The path of its route.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Read => "/read/",
            Self::Write => "/write/",
            Self::Stream => "/stream/",
            Self::Long => "/long/",
        }
    }
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer.
    Answered(u16),
    /// The answer was cut off, visibly.
    Cut,
    /// There was none.
    Nothing,
}

/// A request and its end.
#[derive(Clone, Debug)]
pub struct Sent {
    pub kind: Kind,
    pub key: &'static str,
    /// The process that took it, counted over all starts.
    pub life: usize,
    pub at: Instant,
    /// How long its caller and its route let it take.
    pub patience: Duration,
    pub end: Option<End>,
    /// When it ended.
    pub ended: Option<Instant>,
}

/// How a run ended, as its endpoint sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It has not.
    Running,
    /// All of a good answer was sent.
    Well,
    /// The endpoint itself failed or broke off.
    Badly,
    /// The other side left before the endpoint was done.
    Left,
}

/// A run that an endpoint has begun.
#[derive(Clone, Debug)]
pub struct Run {
    pub endpoint: String,
    /// Which of the endpoint's lives it is in, from 0.
    pub life: u64,
    /// The other side of the connection that it came by.
    pub way: SocketAddr,
    pub at: Instant,
    pub outcome: Outcome,
}

/// A request that has reached an endpoint, whether it then runs or not.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub request: String,
    /// The process that sent it, counted over all starts: where it was handed over, not the one
    /// that took it.
    pub sender: usize,
    /// The endpoint, and which of its lives it is in.
    pub endpoint: (String, u64),
    pub at: Instant,
    /// The rate limit that the endpoint names by then.
    pub limit: Option<f64>,
    /// Whether it says by then that it is leaving.
    pub is_leaving: bool,
    /// Whether it is turned away, with a back-off.
    pub is_turned_away: bool,
    /// The slots that are free by then, where the endpoint says that it is brittle; without any it
    /// turns the request away.
    pub free_slots: Option<u32>,
}

/// A life of an endpoint, for as long as it listens and is listed.
#[derive(Clone, Debug)]
struct Serving {
    endpoint: String,
    version: String,
    from: Instant,
    until: Option<Instant>,
}

/// A request of many callers that was withheld, though it ends no endpoint.
#[derive(Clone, Debug)]
pub struct Withheld {
    pub request: String,
    /// The process that was asked, counted over all starts.
    pub life: usize,
    pub at: Instant,
}

/// What breaks a promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// A request that may run once ran more often: at these endpoints, in these lives.
    Twice(String, Vec<(String, u64)>),
    /// It was said not to have run, and it did.
    RanAfterAll(String, u16),
    /// An answer is not the endpoint's, not whole, or another request's.
    Foreign(String, String),
    /// A process that was only told to stop left a request without an answer.
    Dropped(String, usize),
    /// A request ran with a removed key, so many ms after its removal was accepted.
    Revoked(String, u128),
    /// A request that came to a stopping process so many ms after the order to stop, and
    /// ran, got no whole answer, so many ms after that order.
    CutLate(String, u128, u128, End, Vec<Outcome>),
    /// A request that was taken earlier was cut off so many ms after the order to stop,
    /// before the last part of the grace.
    CutSoon(String, u128, End, Vec<Outcome>),
    /// A refusal with 503 does not say that the request has not run, or when to come back.
    Unsaid(String),
    /// A key that a process had refused was taken by it again.
    WentBack(String, usize),
    /// A leaving endpoint got a request, so many ms after it was listed so.
    Leaving(String, u128),
    /// An endpoint that had told the process in an answer that it leaves got a request from it, so
    /// many ms after that.
    SaidLeaving(String, u128),
    /// An endpoint that had asked a process for a back-off got so many requests from it in that
    /// time.
    BackedOff(String, usize),
    /// So many requests that end endpoints reached some more, later than the bound after the
    /// third that they ended, by entries that nothing had befallen; and all that did.
    Fatal(usize, usize),
    /// An endpoint that named a rate limit got so many requests, and so many were allowed.
    Limited(String, usize, usize),
    /// A brittle endpoint had to turn so many requests away in a second.
    Brittle(String, usize),
    /// A stream, by its first attempt, held events of these versions.
    Versions(String, String),
    /// So few streams went on, of so many that were taken up.
    Forgotten(usize, usize),
    /// A request was withheld that ends no endpoint.
    Withheld(String),
    /// A duty was done under a lower number than one before it.
    NumberFell(u64, u64),
    /// Two entries did duties under one number.
    NumberShared(u64),
    /// Two reports of a window differ.
    WindowDiffers(u64),
    /// So many windows were left out.
    LeftOut(usize),
    /// A process did not end well when told to stop.
    Exit(usize, ExitStatus),
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

#[derive(Default)]
struct All {
    sent: BTreeMap<String, Sent>,
    runs: BTreeMap<String, Vec<Run>>,
    arrivals: Vec<Arrival>,
    /// Connections to endpoints that proxies have reset, by the proxy's own address.
    resets: Vec<(SocketAddr, Instant)>,
    /// Requests that have ended an endpoint.
    fatal: Vec<(String, Instant)>,
    serving: Vec<Serving>,
    withheld: Vec<Withheld>,
    problems: Vec<Problem>,
}

/// The record of one run, shared by all tasks.
#[derive(Clone, Default)]
pub struct Record(Rc<RefCell<All>>);

impl Record {
    /// Notes that a request is sent.
    pub fn sent(&self, id: &str, sent: Sent) {
        self.0.borrow_mut().sent.insert(id.to_owned(), sent);
    }

    /// Notes how it ended for its caller.
    pub fn ended(&self, id: &str, end: End) {
        if let Some(sent) = self.0.borrow_mut().sent.get_mut(id) {
            sent.end = Some(end);
            sent.ended = Some(Instant::now());
        }
    }

    /// Notes that an endpoint begins a run of what came by such a connection; gives back
    /// the run's number among those of the request.
    pub fn runs(&self, id: &str, endpoint: &str, life: u64, way: SocketAddr) -> usize {
        let mut all = self.0.borrow_mut();
        let runs = all.runs.entry(id.to_owned()).or_default();
        runs.push(Run {
            endpoint: endpoint.to_owned(),
            life,
            way,
            at: Instant::now(),
            outcome: Outcome::Running,
        });
        runs.len() - 1
    }

    /// Notes how a run ended.
    pub fn has_run(&self, id: &str, run: usize, outcome: Outcome) {
        let mut all = self.0.borrow_mut();
        if let Some(run) = all.runs.get_mut(id).and_then(|runs| runs.get_mut(run)) {
            run.outcome = outcome;
        }
    }

    /// Notes that a request has reached an endpoint.
    pub fn arrived(&self, arrival: Arrival) {
        self.0.borrow_mut().arrivals.push(arrival);
    }

    /// All requests that have reached endpoints, in their order.
    pub fn all_arrivals(&self) -> Vec<Arrival> {
        self.0.borrow().arrivals.clone()
    }

    /// Notes that a proxy resets one of its connections to an endpoint.
    pub fn reset(&self, way: SocketAddr) {
        let reset = (way, Instant::now());
        self.0.borrow_mut().resets.push(reset);
    }

    /// Notes that a request has ended an endpoint.
    pub fn fatal(&self, id: &str) {
        let fatal = (id.to_owned(), Instant::now());
        self.0.borrow_mut().fatal.push(fatal);
    }

    /// The requests that have ended endpoints, in their order.
    pub fn all_fatal(&self) -> Vec<(String, Instant)> {
        self.0.borrow().fatal.clone()
    }

    /// Notes that an endpoint is listed in the life in which it listens.
    pub fn serves(&self, endpoint: &str, version: &str) {
        self.serves_no_more(endpoint);
        self.0.borrow_mut().serving.push(Serving {
            endpoint: endpoint.to_owned(),
            version: version.to_owned(),
            from: Instant::now(),
            until: None,
        });
    }

    /// Notes that an endpoint has ended, or is leaving.
    pub fn serves_no_more(&self, endpoint: &str) {
        let mut all = self.0.borrow_mut();
        let of_it = all.serving.iter_mut().filter(|it| it.endpoint == endpoint);
        for serving in of_it {
            serving.until.get_or_insert_with(Instant::now);
        }
    }

    /// How many endpoints of a version served at a moment.
    pub fn count_serving(&self, version: &str, at: Instant) -> usize {
        let all = self.0.borrow();
        let of_it = all.serving.iter().filter(|it| it.version == version);
        let then = of_it.filter(|it| it.from <= at && it.until.is_none_or(|until| at < until));
        then.count()
    }

    /// Notes that a request of many callers was withheld.
    pub fn withheld(&self, id: &str, life: usize) {
        self.0.borrow_mut().withheld.push(Withheld {
            request: id.to_owned(),
            life,
            at: Instant::now(),
        });
    }

    /// All such requests.
    pub fn all_withheld(&self) -> Vec<Withheld> {
        self.0.borrow().withheld.clone()
    }

    /// Whether a proxy reset the connection of a run before a moment.
    pub fn was_reset(&self, run: &Run, until: Instant) -> bool {
        let all = self.0.borrow();
        let mut resets = all.resets.iter();
        resets.any(|(way, at)| *way == run.way && *at >= run.at && *at <= until)
    }

    /// The runs of a request.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        let all = self.0.borrow();
        all.runs.get(id).cloned().unwrap_or_default()
    }

    /// How often a request has begun to run so far.
    pub fn count_runs(&self, id: &str) -> usize {
        self.0.borrow().runs.get(id).map_or(0, Vec::len)
    }

    /// Notes a broken promise.
    pub fn broken(&self, problem: Problem) {
        self.0.borrow_mut().problems.push(problem);
    }

    /// All requests so far.
    pub fn all_sent(&self) -> Vec<(String, Sent)> {
        let all = self.0.borrow();
        let sent = all.sent.iter();
        sent.map(|(id, sent)| (id.clone(), sent.clone())).collect()
    }

    /// All runs so far.
    pub fn all_runs(&self) -> Vec<(String, Run)> {
        let all = self.0.borrow();
        let runs = all.runs.iter();
        runs.flat_map(|(id, runs)| runs.iter().map(|run| (id.clone(), run.clone())))
            .collect()
    }

    /// The broken promises: those seen on the way, and those that show in the end.
    pub fn problems(&self) -> Vec<Problem> {
        let all = self.0.borrow();
        let mut problems = all.problems.clone();
        for (id, sent) in &all.sent {
            let of_it = all.runs.get(id).map_or(&[][..], Vec::as_slice);
            let runs = of_it.len();
            if sent.kind != Kind::Read && runs > 1 {
                let places = of_it.iter().map(|run| (run.endpoint.clone(), run.life));
                problems.push(Problem::Twice(id.clone(), places.collect()));
            }
            if let Some(End::Answered(status @ (408 | 421 | 429 | 503))) = sent.end
                && runs > 0
                && sent.kind != Kind::Read
            {
                problems.push(Problem::RanAfterAll(id.clone(), status));
            }
        }
        problems
    }

    /// Counts of ends, for a line of output.
    pub fn summary(&self) -> String {
        let all = self.0.borrow();
        let count =
            |wanted: &dyn Fn(&Sent) -> bool| all.sent.values().filter(|it| wanted(it)).count();
        let ok = count(&|sent| sent.end == Some(End::Answered(200)));
        let refused =
            count(&|sent| matches!(sent.end, Some(End::Answered(status)) if status != 200));
        let cut = count(&|sent| sent.end == Some(End::Cut));
        let nothing = count(&|sent| sent.end == Some(End::Nothing));
        format!(
            "{} sent, {ok} answered, {refused} refused or failed, {cut} cut, \
             {nothing} without an answer, {} ended an endpoint",
            all.sent.len(),
            all.fatal.len()
        )
    }
}

#[cfg(test)]
mod tests {
    use super::{End, Kind, Problem, Record, Sent};
    use std::time::{Duration, Instant};

    fn record(kind: Kind, runs: u64, end: End) -> Record {
        let record = Record::default();
        let sent = Sent {
            kind,
            key: "key",
            life: 0,
            at: Instant::now(),
            patience: Duration::ZERO,
            end: None,
            ended: None,
        };
        record.sent("r", sent);
        for life in 0..runs {
            record.runs("r", "e", life, ([127, 0, 0, 1], 1).into());
        }
        record.ended("r", end);
        record
    }

    #[test]
    fn what_ran_twice_and_what_ran_after_all_shows() {
        let id = || "r".to_owned();
        let twice = record(Kind::Write, 2, End::Cut).problems();
        let lives = vec![("e".to_owned(), 0), ("e".to_owned(), 1)];
        assert_eq!(twice, [Problem::Twice(id(), lives)]);
        let after_all = record(Kind::Stream, 1, End::Answered(503)).problems();
        assert_eq!(after_all, [Problem::RanAfterAll(id(), 503)]);
        assert_eq!(record(Kind::Read, 2, End::Answered(200)).problems(), []);
        assert_eq!(record(Kind::Write, 1, End::Answered(502)).problems(), []);
    }
}
