//! Some entries that work on one shard, in virtual time.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep};
use woodgap_core::clock::Millis;
use woodgap_core::config::document::Measure;
use woodgap_core::deferred::{Form, Job, Outcome, Shard, Stage, State};
use woodgap_core::lease::{Holder, Mark, Record, Term, Write, WriteOutcome};
use woodgap_core::name::{self, Incarnation};
use woodgap_core::once::{Digest, Key};
use woodgap_core::tier::Tier;
use woodgap_core::verdict::Verdict;
use woodgap_entry::deferred::shard::{Bounds, Surroundings};
use woodgap_entry::deferred::store::Under;
use woodgap_entry::deferred::{Accept, Handle, Runner, Store, Worker, rows, sweep};
use woodgap_platform::lease::{self, Time};

use crate::memory::{Client, Memory, Script};

/// How long a run takes.
const RUN: Duration = Duration::from_millis(300);
/// How long answers are kept, and jobs may wait.
pub const KEPT: Millis = Millis::from_secs(3_600);
/// More than any of these stories takes.
const STUCK: Duration = Duration::from_mins(30);

/// The virtual clock of the test's runtime.
#[derive(Clone, Copy)]
pub struct Virtual(Instant);

impl Time for Virtual {
    fn now(&self) -> Millis {
        let elapsed = self.0.elapsed().as_millis();
        Millis(u64::try_from(elapsed).unwrap() + 1_000)
    }

    fn unix(&self) -> Millis {
        self.now() + Millis(1_700_000_000_000)
    }
}

/// Runs jobs, and writes down which.
struct Engine {
    script: Rc<Script>,
    runs: Rc<RefCell<Vec<String>>>,
    begun: Rc<Cell<usize>>,
}

impl Runner for Engine {
    fn run<'a>(&'a self, job: &'a Job, body: Bytes) -> LocalBoxFuture<'a, Outcome> {
        self.begun.set(self.begun.get() + 1);
        Box::pin(async move {
            // Being sent is a step at which the entry can be killed or frozen.
            let fate = self.script.enter().await;
            self.runs.borrow_mut().push(job.key.identity.clone());
            let run = self.runs.borrow().len();
            sleep(RUN).await;
            self.script.leave(fate).await;
            let body = String::from_utf8(body.to_vec()).unwrap();
            Outcome::Answer(format!("{body} run {run}").into_bytes())
        })
    }
}

/// The entries, what they keep, and what they ran.
pub struct World {
    pub memory: Rc<RefCell<Memory>>,
    pub runs: Rc<RefCell<Vec<String>>>,
    pub time: Virtual,
    pub shard: Shard,
    names: Vec<name::Entry>,
    jobs: Vec<Job>,
}

/// A running entry.
pub struct Entry {
    pub script: Rc<Script>,
    pub handle: Handle,
    /// Jobs that were given to the engine.
    pub begun: Rc<Cell<usize>>,
    pub task: JoinHandle<()>,
}

impl World {
    /// Two entries, and some jobs that may and may not be repeated, in one shard.
    pub fn new() -> Self {
        let shard = Shard::all().next().unwrap();
        let mut names: Vec<name::Entry> = vec!["a".into(), "b".into(), "c".into()];
        let all = names.clone();
        names.sort_by_key(|own| shard.rank(own, &all));
        let identities = (0..).map(|number| format!("job-{number}"));
        let in_shard = identities.filter(|identity| Shard::of(&key(identity)) == shard);
        let jobs = in_shard.take(4).enumerate();
        Self {
            memory: Rc::default(),
            runs: Rc::default(),
            time: Virtual(Instant::now()),
            shard,
            names,
            jobs: jobs
                .map(|(number, identity)| job(&identity, number % 2 == 0))
                .collect(),
        }
    }

    pub fn store(&self, script: &Rc<Script>) -> Store<Client> {
        Store::new(Client {
            memory: Rc::clone(&self.memory),
            script: Rc::clone(script),
        })
    }

    /// Records all jobs, undisturbed.
    pub async fn record(&self) {
        let store = self.store(&Rc::default());
        let accept = Accept::new(&store, &self.time, 4_096);
        for job in &self.jobs {
            let body = Bytes::from(format!("to {}", job.key.identity));
            assert_eq!(accept.record(job, body).await, Ok(State::Accepted));
        }
    }

    /// A life of the entry that so many others are preferred to.
    pub fn holder(&self, rank: usize, incarnation: u64) -> Holder {
        Holder {
            entry: self.names[rank].clone(),
            incarnation: Incarnation(incarnation),
        }
    }

    /// Takes the shard's lease, whoever has it.
    pub async fn take_lease(&self, store: &Store<Client>, rank: usize, take: u64) -> Under {
        let name = self.shard.lease();
        let holder = self.holder(rank, take);
        let seen = lease::rows::read(store.storage(), &name).await.unwrap();
        let write = Write {
            over: seen.version(),
            record: Record {
                holder: Some(holder.clone()),
                take,
                duration: Millis(2_000),
            },
            mark: Some(Mark { holder, take }),
        };
        let answer = lease::rows::write(store.storage(), &name, &write).await;
        let WriteOutcome::Committed {
            fence: Some(fence), ..
        } = answer
        else {
            panic!("{answer:?}");
        };
        let shard = self.shard;
        Under { shard, fence }
    }

    /// Starts the entry that so many others are preferred to.
    pub fn start(&self, rank: usize, incarnation: u64, script: Rc<Script>) -> Entry {
        let handle = Handle::default();
        let names = self.names.clone();
        let around = Surroundings {
            entries: Rc::new(move || names.clone()),
            handle: handle.clone(),
        };
        let bounds = Bounds {
            poll: Millis(500),
            kept: KEPT,
            per_tier: 2,
            term: Term::new(Millis(2_000)),
        };
        let own = self.holder(rank, incarnation);
        let begun = Rc::new(Cell::new(0));
        let engine = Rc::new(Engine {
            script: Rc::clone(&script),
            runs: Rc::clone(&self.runs),
            begun: Rc::clone(&begun),
        });
        let (shard, store, time) = (self.shard, self.store(&script), self.time);
        // All tasks of one entry end with its set.
        let set = LocalSet::new();
        set.spawn_local(async move {
            let worker = Worker::new(shard, own, bounds, store, engine, time, around);
            worker.run().await;
        });
        let dying = Rc::clone(&script);
        let task = spawn_local(async move {
            tokio::select! {
                () = set => {}
                () = dying.killed.notified() => {}
            }
        });
        Entry {
            script,
            handle,
            begun,
            task,
        }
    }

    /// Waits until every job has ended.
    pub async fn ended(&self) {
        let store = self.store(&Rc::default());
        let all = async {
            for job in &self.jobs {
                loop {
                    let state = store.lookup(&job.key).await.unwrap().unwrap();
                    if matches!(state, State::Done(_) | State::Failed { .. }) {
                        break;
                    }
                    sleep(Duration::from_millis(100)).await;
                }
            }
        };
        let ended = tokio::time::timeout(STUCK, all).await;
        ended.unwrap_or_else(|_| panic!("jobs are stuck: {:?}", self.memory.borrow()));
    }

    /// Nothing lost, nothing answered twice, nothing run that must not be.
    pub async fn check(&self, tale: &str) {
        let store = self.store(&Rc::default());
        for job in &self.jobs {
            let identity = &job.key.identity;
            let runs = self
                .runs
                .borrow()
                .iter()
                .filter(|run| *run == identity)
                .count();
            let state = store.lookup(&job.key).await.unwrap().unwrap();
            match &state {
                State::Done(object) => {
                    let answer = store.answer(object).await.unwrap();
                    let answer = answer.unwrap_or_else(|| panic!("{tale}: no answer"));
                    let expected = format!("to {identity} run ");
                    assert!(
                        answer.starts_with(expected.as_bytes()),
                        "{tale}: {answer:?}"
                    );
                }
                State::Failed { verdict, .. } => {
                    assert!(!job.repeatable, "{tale}: given up: {state:?}");
                    assert!(
                        *verdict != Verdict::NotRun || runs == 0,
                        "{tale}: {state:?}"
                    );
                }
                _ => panic!("{tale}: {state:?}"),
            }
            assert!(
                job.repeatable || runs <= 1,
                "{tale}: {identity} ran {runs} times"
            );
            let row = job.key.row();
            let ends = self
                .memory
                .borrow()
                .ends
                .iter()
                .filter(|end| **end == row)
                .count();
            assert_eq!(ends, 1, "{tale}: {identity}");
        }
        assert!(self.memory.borrow().keys(rows::JOBS).is_empty(), "{tale}");
    }

    /// Once the answers' time is over, nothing is left.
    pub async fn sweep(&self, story: &str) {
        let client = self.store(&Rc::default()).storage().clone();
        let later = self.time.unix() + KEPT + Millis(1);
        let removed = sweep::sweep(&client, self.shard, later, KEPT).await;
        assert_eq!(removed, Ok(self.jobs.len()), "{story}");
        let memory = self.memory.borrow();
        assert!(memory.objects.is_empty(), "{story}: {:?}", memory.objects);
        for table in [rows::RECEIPTS, rows::JOBS, rows::ENDED] {
            assert!(memory.keys(table).is_empty(), "{story}: {table}");
        }
    }
}

fn key(identity: &str) -> Key {
    Key::new(&"murphy".into(), identity)
}

pub fn job(identity: &str, repeatable: bool) -> Job {
    Job {
        key: key(identity),
        class: "narration".into(),
        tier: Tier::HIGHEST,
        weight: 1,
        target: "story-7b".into(),
        form: Form::Chat,
        repeatable,
        latency: Millis(60_000),
        measure: Measure::Complete,
        prefix: 0,
        body: Digest::of([identity]),
        submission: name::Request {
            incarnation: Incarnation(9),
            sequence: 1,
        },
        created: Millis(1_700_000_000_000),
        attempts: 0,
        stage: Stage::Queued,
    }
}
