//! The platform's services in memory, with a fault at any call of an entry.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use serde_json::Value;
use tokio::sync::Notify;
use woodgap_entry::deferred::rows::RECEIPTS;
use woodgap_platform::Error;
use woodgap_platform::object::{self, Condition, Object, Store};
use woodgap_platform::table::{Outcome, Place, Row, Scan, Table, Transaction};

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The platform says that it did nothing.
    Unavailable,
    /// It takes effect, and the answer is lost.
    AckLost,
    /// It has no effect, and the caller can't tell.
    RequestLost,
    /// The caller can't tell; it takes effect 20 s later.
    Late,
    /// The caller is killed before the call.
    KillBefore,
    /// The caller is killed after the call took effect.
    KillAfter,
    /// The caller is frozen before the call.
    PauseBefore,
    /// The caller is frozen after the call took effect.
    PauseAfter,
    /// A read or scan shows an older state.
    Stale,
}

/// How many writes a stale read is behind.
const STALE: usize = 4;
/// How late [`Fate::Late`] is.
const LATE: Duration = Duration::from_secs(20);

/// Rows and objects.
#[derive(Debug, Default)]
pub struct Memory {
    version: u64,
    rows: BTreeMap<Place, (u64, Value)>,
    /// The rows before each of the last writes, oldest first.
    before: VecDeque<BTreeMap<Place, (u64, Value)>>,
    pub objects: BTreeMap<String, Bytes>,
    /// The receipts that were given an end, in order.
    pub ends: Vec<String>,
}

impl Memory {
    fn transact(&mut self, transaction: &Transaction) -> Outcome {
        let version = |place| self.rows.get(place).map_or(0, |(version, _)| *version);
        let checks = transaction.checks.iter().enumerate();
        let failed: Vec<usize> = checks
            .filter(|(_, check)| version(&check.place) != check.version)
            .map(|(index, _)| index)
            .collect();
        if !failed.is_empty() {
            return Outcome::Conflict { failed };
        }
        self.before.push_back(self.rows.clone());
        if self.before.len() > STALE {
            self.before.pop_front();
        }
        let mut versions = Vec::new();
        for write in &transaction.writes {
            self.version += 1;
            let Some(value) = &write.value else {
                self.rows.remove(&write.place);
                versions.push(0);
                continue;
            };
            if write.place.table == RECEIPTS && value.get("end").is_some() {
                self.ends.push(write.place.key.clone());
            }
            let kept = (self.version, value.clone());
            self.rows.insert(write.place.clone(), kept);
            versions.push(self.version);
        }
        Outcome::Committed { versions }
    }

    fn state(&self, stale: bool) -> &BTreeMap<Place, (u64, Value)> {
        let older = self.before.front().filter(|_| stale);
        older.unwrap_or(&self.rows)
    }

    /// The keys of a table's rows.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.rows.keys().filter(|place| place.table == table);
        rows.map(|place| place.key.clone()).collect()
    }
}

fn row(place: &Place, (version, value): &(u64, Value)) -> Row {
    Row {
        key: place.key.clone(),
        value: value.clone(),
        version: *version,
    }
}

/// Decides what becomes of the calls of one entry.
#[derive(Default)]
pub struct Script {
    /// Calls so far.
    pub calls: Cell<usize>,
    /// Faults by the number of the call.
    pub fates: RefCell<BTreeMap<usize, Fate>>,
    /// Whether every call fails.
    pub out: Cell<bool>,
    /// Whether the entry is to be killed.
    pub killed: Notify,
    frozen: Cell<bool>,
    thawed: Notify,
}

impl Script {
    /// One fault at one call.
    pub fn once(call: usize, fate: Fate) -> Rc<Self> {
        let script = Self::default();
        script.fates.borrow_mut().insert(call, fate);
        Rc::new(script)
    }

    /// Lets a frozen entry go on.
    pub fn wake(&self) {
        self.frozen.set(false);
        self.thawed.notify_waiters();
    }

    /// Whether the entry is frozen.
    pub fn frozen(&self) -> bool {
        self.frozen.get()
    }

    /// Waits while the entry is frozen.
    async fn thaw(&self) {
        while self.frozen.get() {
            self.thawed.notified().await;
        }
    }

    /// Before a call: its fate, once the entry has not been killed or frozen by it.
    pub async fn enter(&self) -> Option<Fate> {
        self.thaw().await;
        // A call takes time: others may come in between.
        tokio::task::yield_now().await;
        let call = self.calls.replace(self.calls.get() + 1);
        let planned = self.fates.borrow().get(&call).copied();
        let fate = planned.or(self.out.get().then_some(Fate::Unavailable));
        match fate {
            Some(Fate::KillBefore) => self.die().await,
            Some(Fate::PauseBefore) => self.freeze().await,
            _ => {}
        }
        fate
    }

    /// After a call took effect.
    pub async fn leave(&self, fate: Option<Fate>) {
        match fate {
            Some(Fate::KillAfter) => self.die().await,
            Some(Fate::PauseAfter) => self.freeze().await,
            _ => {}
        }
        self.thaw().await;
    }

    async fn die(&self) {
        self.killed.notify_one();
        std::future::pending::<()>().await;
    }

    async fn freeze(&self) {
        self.frozen.set(true);
        self.thaw().await;
    }
}

/// One entry's way to the services.
#[derive(Clone)]
pub struct Client {
    pub memory: Rc<RefCell<Memory>>,
    pub script: Rc<Script>,
}

impl Client {
    async fn write<A>(&self, act: impl FnOnce(&mut Memory) -> A + 'static) -> Result<A, Error>
    where
        A: 'static,
    {
        let unknown = || Err(Error::Unknown("lost".to_owned()));
        let fate = self.script.enter().await;
        match fate {
            Some(Fate::Unavailable) => return Err(Error::Unavailable("out".to_owned())),
            Some(Fate::RequestLost) => return unknown(),
            Some(Fate::Late) => {
                let memory = Rc::clone(&self.memory);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(LATE).await;
                    act(&mut memory.borrow_mut());
                });
                return unknown();
            }
            _ => {}
        }
        let answer = act(&mut self.memory.borrow_mut());
        self.script.leave(fate).await;
        if fate == Some(Fate::AckLost) {
            return unknown();
        }
        Ok(answer)
    }

    async fn fetch<A>(&self, act: impl FnOnce(&Memory, bool) -> A) -> Result<A, Error> {
        let fate = self.script.enter().await;
        let lost = [
            Fate::Unavailable,
            Fate::RequestLost,
            Fate::AckLost,
            Fate::Late,
        ];
        if fate.is_some_and(|fate| lost.contains(&fate)) {
            return Err(Error::Unknown("lost".to_owned()));
        }
        let answer = act(&self.memory.borrow(), fate == Some(Fate::Stale));
        self.script.leave(fate).await;
        Ok(answer)
    }
}

impl Table for Client {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<Outcome, Error>> {
        let transaction = transaction.clone();
        Box::pin(self.write(move |memory| memory.transact(&transaction)))
    }

    fn read<'a>(
        &'a self,
        places: &'a [Place],
    ) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>, Error>> {
        Box::pin(self.fetch(|memory, stale| {
            let rows = memory.state(stale);
            let read = |place| rows.get(place).map(|found| row(place, found));
            places.iter().map(read).collect()
        }))
    }

    fn scan<'a>(&'a self, scan: &'a Scan) -> LocalBoxFuture<'a, Result<Vec<Row>, Error>> {
        Box::pin(self.fetch(|memory, stale| {
            let rows = memory.state(stale).iter();
            let wanted = rows.filter(|(place, _)| {
                let key = &place.key;
                place.table == scan.table && key.starts_with(&scan.prefix) && *key > scan.after
            });
            wanted
                .map(|(place, found)| row(place, found))
                .take(scan.limit)
                .collect()
        }))
    }
}

impl Store for Client {
    fn put<'a>(
        &'a self,
        key: &'a str,
        body: Bytes,
        _: Condition<'a>,
    ) -> LocalBoxFuture<'a, Result<object::Outcome, Error>> {
        let key = key.to_owned();
        Box::pin(self.write(move |memory| {
            memory.objects.insert(key, body);
            object::Outcome::Written(String::new())
        }))
    }

    fn get<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Object>, Error>> {
        Box::pin(self.fetch(|memory, _| {
            let body = memory.objects.get(key).cloned();
            body.map(|body| Object {
                body,
                tag: String::new(),
            })
        }))
    }

    fn delete<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<(), Error>> {
        let key = key.to_owned();
        Box::pin(self.write(move |memory| {
            memory.objects.remove(&key);
        }))
    }
}
