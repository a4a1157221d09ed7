//! One run: the plan, spread over threads, each with its own callers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use actix_rt::System;
use actix_rt::time::sleep_until;
use awc::Client;
use woodgap_core::clock::Millis;
use woodgap_platform::clock::Clock;
use woodgap_platform::connect;

use crate::Error;
use crate::arrival::{self, Arrival, Bounds};
use crate::caller::{self, Pace, Terms};
use crate::directory::Directory;
use crate::event::Event;
use crate::report::{Findings, Recorder};
use crate::request::Request;
use crate::traffic::Traffic;

/// Time for threads to start and ask for entries before the first arrival is due.
const LEAD: Duration = Duration::from_millis(300);
/// How long an idle connection is kept: shorter than servers keep theirs, so
/// that a request seldom meets a connection that is just being closed.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
/// How long a connection to this same machine may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// What a run is told.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The run's name, which all its tags begin with.
    pub name: String,
    /// Base URLs of entries.
    pub entries: Vec<String>,
    /// What to send.
    pub traffic: Traffic,
    /// Fixes arrivals, lengths and retries.
    pub seed: u64,
    /// Where the arrivals end.
    pub bounds: Bounds,
    /// Threads that send.
    pub threads: usize,
    /// Callers, each with its own view of the entries.
    pub callers: usize,
    /// Retries after the first attempt.
    pub retries: u32,
    /// Silence after which a connection counts as broken.
    pub patience: Duration,
    /// Whether callers ask for entries, or use only those given.
    pub discovery: bool,
}

impl Plan {
    /// Sends everything and waits for each request's end.
    ///
    /// # Errors
    ///
    /// A plan that is too large, or a failed thread.
    pub fn run(self) -> Result<Findings, Error> {
        let arrivals = arrival::plan(&self.traffic, self.seed, self.bounds)?;
        let last = arrivals.last().map_or(Duration::ZERO, |last| last.at);
        let span = self.bounds.duration.unwrap_or(last);
        let terms = Terms {
            started: Instant::now() + LEAD,
            started_unix: Clock::start().unix() + millis(LEAD),
            retries: self.retries,
            patience: self.patience,
        };
        let plan = Arc::new(self);
        let workers: Vec<_> = shares(&arrivals, plan.threads)
            .into_iter()
            .enumerate()
            .map(|(number, share)| {
                let worker = Worker {
                    plan: Arc::clone(&plan),
                    terms,
                    number,
                };
                thread::spawn(move || System::new().block_on(worker.work(share)))
            })
            .collect();
        let mut findings = Findings {
            run: plan.name.clone(),
            seed: plan.seed,
            span,
            events: Vec::new(),
            gaps: BTreeMap::new(),
            bursting: plan.traffic.bursting(),
        };
        for worker in workers {
            let found = worker.join().map_err(|_| Error::Worker)?;
            found.add_to(&mut findings);
        }
        findings.events.sort_by_key(|event| event.sent_at);
        Ok(findings)
    }
}

/// An arrival with its number in the whole plan.
type Numbered = (usize, Arrival);

/// Deals the arrivals out in turn, so that each thread has the same load at any time.
fn shares(arrivals: &[Arrival], threads: usize) -> Vec<Vec<Numbered>> {
    let threads = threads.max(1);
    let mut shares = vec![Vec::new(); threads];
    for (number, arrival) in arrivals.iter().enumerate() {
        shares[number % threads].push((number, *arrival));
    }
    shares
}

/// What one thread found.
#[derive(Debug, Default)]
struct Found {
    events: Vec<Event>,
    gaps: BTreeMap<String, Recorder>,
}

impl Found {
    fn take(&mut self, event: Event, pace: Pace) {
        let gaps = self.gaps.entry(event.class.clone()).or_default();
        for gap in pace.gaps {
            gaps.add(gap);
        }
        self.events.push(event);
    }

    fn add_to(self, findings: &mut Findings) {
        findings.events.extend(self.events);
        for (class, gaps) in self.gaps {
            findings.gaps.entry(class).or_default().merge(&gaps);
        }
    }
}

/// One sending thread.
struct Worker {
    plan: Arc<Plan>,
    terms: Terms,
    number: usize,
}

impl Worker {
    async fn work(self, share: Vec<Numbered>) -> Found {
        let client = client();
        let directories = self.directories(&client).await;
        let found = Rc::new(RefCell::new(Found::default()));
        let mut calls = Vec::with_capacity(share.len());
        for (number, arrival) in share {
            sleep_until((self.terms.started + arrival.at).into()).await;
            let call = Call {
                plan: Arc::clone(&self.plan),
                terms: self.terms,
                client: client.clone(),
                directory: Rc::clone(&directories[number % directories.len()]),
                found: Rc::clone(&found),
            };
            calls.push(actix_rt::spawn(call.make(number, arrival)));
        }
        for call in calls {
            // A call that panicked has no event, and the totals fall short of the plan.
            if let Err(error) = call.await {
                eprintln!("a call failed: {error}");
            }
        }
        found.take()
    }

    /// This thread's callers; each starts at another of the given entries.
    async fn directories(&self, client: &Client) -> Vec<Rc<Directory>> {
        let count = (self.plan.callers / self.plan.threads.max(1)).max(1);
        let mut directories = Vec::with_capacity(count);
        for index in 0..count {
            let first = self.number * count + index;
            let directory = Rc::new(Directory::new(&self.plan.entries, first));
            if self.plan.discovery {
                directory.ask_once(client).await;
                actix_rt::spawn(Rc::clone(&directory).keep(client.clone()));
            }
            directories.push(directory);
        }
        directories
    }
}

/// One request on its way.
struct Call {
    plan: Arc<Plan>,
    terms: Terms,
    client: Client,
    directory: Rc<Directory>,
    found: Rc<RefCell<Found>>,
}

impl Call {
    async fn make(self, number: usize, arrival: Arrival) {
        let class = &self.plan.traffic.classes[arrival.class];
        let request = Request::new(&self.plan.name, number, class, arrival);
        let seed = self.plan.seed ^ number as u64;
        let call = caller::call(&self.client, &self.directory, &request, &self.terms, seed);
        let (event, pace) = call.await;
        self.found.borrow_mut().take(event, pace);
    }
}

fn client() -> Client {
    // Thousands of streams at once: the plan bounds them, not the connector.
    let connector = connect::strict()
        .limit(0)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(KEEP_ALIVE);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .finish()
}

fn millis(duration: Duration) -> Millis {
    Millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
