//! What engines and plain services have in common: slots, load report, cancels and the record.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};

use actix_web::http::header::HeaderMap;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::sync::Notify;
use tokio::sync::oneshot::Receiver;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_platform::clock::Clock;
use woodgap_platform::endpoint::{Load, Order, REQUEST_HEADER};
use woodgap_platform::instance::{Instance, Role, State};

use crate::journal::Journal;
use crate::meter::Meter;
use crate::queue::{Key, Queue};
use crate::record::{End, Ordered, Run, Summary, summary};

/// An endpoint whose runs are described by `D`.
pub struct Endpoint<D> {
    clock: Clock,
    slots: u32,
    inner: Mutex<Inner<D>>,
}

struct Inner<D> {
    queue: Queue,
    meter: Meter,
    runs: Vec<Run<D>>,
    journal: Option<Journal>,
    orders: Vec<Ordered>,
    live: HashMap<usize, Arc<Notify>>,
    leaving: bool,
}

/// A request that came.
#[derive(Clone, Debug)]
pub struct Arrival<D> {
    /// Its identity.
    pub request: String,
    /// What is asked for.
    pub detail: D,
    /// The engine priority, 0 first.
    pub priority: u8,
    /// The offset to go on after.
    pub resumed_from: Option<u64>,
}

/// The query of `/fake/record`.
#[derive(Clone, Debug, Deserialize)]
pub struct Question {
    /// Asks for counts only.
    pub summary: Option<String>,
}

/// The answer of `/fake/record`.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Record<D> {
    /// Every run and every order.
    Whole(Vec<Line<D>>),
    /// Counts only.
    Summary(Summary),
}

/// One line of the whole record.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Line<D> {
    /// A run.
    Run(Run<D>),
    /// An order.
    Order(Ordered),
}

impl<D: Clone + Serialize> Endpoint<D> {
    /// An idle endpoint.
    pub fn new(slots: u32, report_lag: Millis) -> Self {
        let inner = Inner {
            queue: Queue::new(slots),
            meter: Meter::new(report_lag),
            runs: Vec::new(),
            journal: None,
            orders: Vec::new(),
            live: HashMap::new(),
            leaving: false,
        };
        Self {
            clock: Clock::start(),
            slots,
            inner: Mutex::new(inner),
        }
    }

    /// The same endpoint with its record in a file: what an earlier process wrote
    /// there is part of the record.
    ///
    /// # Errors
    ///
    /// A file that can't be opened, or that holds something else.
    pub fn recorded(self, path: &Path) -> io::Result<Self>
    where
        D: DeserializeOwned,
    {
        let (journal, runs) = Journal::open(path)?;
        {
            let mut inner = self.lock();
            inner.journal = Some(journal);
            inner.runs = runs;
        }
        Ok(self)
    }

    /// Takes a request in: it waits for its slot, or has it.
    pub fn enter(self: &Arc<Self>, arrival: Arrival<D>) -> Ticket<D> {
        let mut inner = self.lock();
        let index = inner.runs.len();
        let while_leaving = inner.leaving;
        inner.runs.push(Run {
            request: arrival.request,
            detail: arrival.detail,
            arrived_ms: self.clock.unix(),
            started_ms: None,
            ended_ms: None,
            tokens_sent: 0,
            resumed_from: arrival.resumed_from,
            while_leaving,
            end: End::Running,
        });
        let cancel = Arc::new(Notify::new());
        inner.live.insert(index, cancel.clone());
        let (key, admitted) = inner.queue.enter(arrival.priority);
        inner.note(self.clock.now());
        Ticket {
            endpoint: self.clone(),
            index,
            key,
            admitted,
            cancel,
        }
    }

    /// Milliseconds since the Unix epoch.
    pub fn unix(&self) -> Millis {
        self.clock.unix()
    }

    /// Stops the runs of this identity.
    pub fn cancel(&self, request: &str) {
        let inner = self.lock();
        for (index, cancel) in &inner.live {
            if inner.runs[*index].request == request {
                cancel.notify_one();
            }
        }
    }

    /// The load report.
    pub fn load(&self) -> Load {
        self.lock().meter.report(self.clock.now(), self.slots)
    }

    /// Says whether the endpoint is about to go.
    pub fn set_leaving(&self, leaving: bool) {
        let mut inner = self.lock();
        inner.leaving = leaving;
        inner.note(self.clock.now());
    }

    /// Notes an order.
    pub fn ordered(&self, order: Order, accepted: bool) {
        let at_ms = self.clock.unix();
        self.lock().orders.push(Ordered {
            order,
            at_ms,
            accepted,
        });
    }

    /// The record, whole or counted.
    pub fn record(&self, question: &Question) -> Record<D> {
        let inner = self.lock();
        if question.summary.is_some() {
            return Record::Summary(summary(&inner.runs, &inner.orders));
        }
        let runs = inner.runs.iter().cloned().map(Line::Run);
        let orders = inner.orders.iter().cloned().map(Line::Order);
        Record::Whole(runs.chain(orders).collect())
    }

    /// This endpoint as the instance list would show it.
    pub fn instance(
        &self,
        role: Role,
        address: SocketAddr,
        data_centre: &str,
        targets: &[String],
    ) -> Instance {
        let kind = if role == Role::Engine {
            "engine"
        } else {
            "service"
        };
        let leaving = self.lock().leaving;
        Instance {
            name: format!("{kind}-{}", address.port()),
            role,
            address,
            data_centre: name::DataCentre::from(data_centre),
            state: if leaving { State::Leaving } else { State::Live },
            targets: targets.iter().cloned().map(name::Target::from).collect(),
            slots: self.slots,
            checks_fencing: false,
            peer_address: None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner<D>> {
        self.inner.lock().expect("no call panics under the lock")
    }
}

impl<D: Serialize> Inner<D> {
    /// Writes a run as it stands, if the record is kept in a file.
    fn write(&mut self, index: usize) {
        if let Some(journal) = &mut self.journal {
            journal.write(index, &self.runs[index]);
        }
    }
    fn note(&mut self, now: Millis) {
        let running = self.queue.running();
        let queued = self.queue.waiting();
        self.meter.note(now, running, queued, self.leaving);
    }
}

/// The run was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cancelled;

/// A request inside the endpoint. Dropped before its end, it counts as
/// disconnected and gives its slot back.
pub struct Ticket<D: Clone + Serialize> {
    endpoint: Arc<Endpoint<D>>,
    index: usize,
    key: Key,
    admitted: Receiver<()>,
    cancel: Arc<Notify>,
}

impl<D: Clone + Serialize> Ticket<D> {
    /// Waits for the slot.
    ///
    /// # Errors
    ///
    /// [`Cancelled`]: then the slot is free again.
    pub async fn start(&mut self) -> Result<(), Cancelled> {
        let cancel = self.cancel.clone();
        tokio::select! {
            biased;
            () = cancel.notified() => {
                self.end(End::Cancelled);
                return Err(Cancelled);
            }
            _ = &mut self.admitted => {}
        }
        let now = self.endpoint.clock.unix();
        let mut inner = self.endpoint.lock();
        inner.runs[self.index].started_ms = Some(now);
        inner.write(self.index);
        Ok(())
    }

    /// Waits while the run goes on.
    ///
    /// # Errors
    ///
    /// [`Cancelled`]: then the slot is free again.
    pub async fn wait<F: Future>(&self, work: F) -> Result<F::Output, Cancelled> {
        tokio::select! {
            biased;
            () = self.cancel.notified() => {
                self.end(End::Cancelled);
                Err(Cancelled)
            }
            output = work => Ok(output),
        }
    }

    /// The number of this request at the endpoint, from 0.
    pub fn index(&self) -> usize {
        self.index
    }

    /// Counts a token sent, or a call carried out.
    pub fn token(&self) {
        let now = self.endpoint.clock.now();
        let mut inner = self.endpoint.lock();
        inner.runs[self.index].tokens_sent += 1;
        inner.meter.token(now);
    }

    /// Ends the run and gives the slot back; only the first end counts.
    pub fn end(&self, end: End) {
        let mut inner = self.endpoint.lock();
        if inner.live.remove(&self.index).is_none() {
            return;
        }
        let run = &mut inner.runs[self.index];
        run.end = end;
        run.ended_ms = Some(self.endpoint.clock.unix());
        inner.write(self.index);
        inner.queue.leave(self.key);
        inner.note(self.endpoint.clock.now());
    }
}

impl<D: Clone + Serialize> Drop for Ticket<D> {
    fn drop(&mut self) {
        self.end(End::Disconnected);
    }
}

/// The run's identity, empty where the caller gave none.
pub fn identity(headers: &HeaderMap) -> String {
    header(headers, REQUEST_HEADER).unwrap_or_default()
}

/// A header as text.
pub fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    value.to_str().ok().map(str::to_owned)
}
