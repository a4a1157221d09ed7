//! One entry's work on one shard: looks for jobs, and holds the lease while there are any.

mod report;
mod start;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{Id, JoinSet};
use woodgap_core::clock::Millis;
use woodgap_core::deferred::{Backoff, Row, Sent, Shard};
use woodgap_core::lease::{Duty, Fence, Holder, Term, View, Want};
use woodgap_core::name;
use woodgap_platform::lease::{Hold, Time};
use woodgap_platform::table::Scan;

use crate::deferred::work::Report;
use crate::deferred::{Handle, Runner, Storage, Store};

/// The wait after a call that failed.
const PAUSE: Millis = Millis(500);

/// What a shard's worker is told about its surroundings.
#[derive(Clone)]
pub struct Surroundings {
    /// The entries that take part, as far as is known.
    pub entries: Rc<dyn Fn() -> Vec<name::Entry>>,
    /// Tells of recorded jobs and of the entry's stop.
    pub handle: Handle,
}

/// The bounds that a shard's worker keeps to.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The time between two looks for work.
    pub poll: Millis,
    /// How long a job may wait.
    pub kept: Millis,
    /// The most that run side by side in each tier.
    pub per_tier: usize,
    /// The shard's lease.
    pub term: Term,
}

/// One entry's work on one shard.
pub struct Worker<S, R, C> {
    shard: Shard,
    own: Holder,
    bounds: Bounds,
    store: Store<S>,
    runner: Rc<R>,
    time: C,
    around: Surroundings,
    hold: Hold<C>,
    duty: Duty,
    /// The fence under which everything below was done.
    fence: Option<Fence>,
    backoff: Backoff,
    rows: Vec<Row>,
    /// Where the next look goes on; empty for the start.
    after: String,
    look_at: Millis,
    jobs: JoinSet<Report>,
    running: HashMap<Id, Row>,
    /// What was started under the fence, by row.
    sent: HashMap<String, Sent>,
    /// Jobs that broke off are not started before.
    not_before: HashMap<String, Millis>,
}

impl<S: Storage, R: Runner, C: Time> Worker<S, R, C> {
    /// The work on a shard. Nothing is called before it runs.
    pub fn new(
        shard: Shard,
        own: Holder,
        bounds: Bounds,
        store: Store<S>,
        runner: Rc<R>,
        time: C,
        around: Surroundings,
    ) -> Self {
        let table = store.storage().clone();
        let hold = Hold::start(shard.lease(), table, time.clone(), own.clone(), bounds.term);
        Self {
            shard,
            own,
            bounds,
            store,
            runner,
            time,
            around,
            hold,
            duty: Duty::new(bounds.poll, bounds.term),
            fence: None,
            backoff: Backoff::default(),
            rows: Vec::new(),
            after: String::new(),
            look_at: Millis::ZERO,
            jobs: JoinSet::new(),
            running: HashMap::new(),
            sent: HashMap::new(),
            not_before: HashMap::new(),
        }
    }

    /// Works until the entry stops and nothing runs any more.
    pub async fn run(mut self) {
        let handle = self.around.handle.clone();
        let mut stop = handle.stopping();
        // Looks of all shards and entries at the same moment would be a burst.
        let phase = rand::random_range(0..=self.bounds.poll.0);
        self.look_at = self.time.now() + Millis(phase);
        loop {
            self.follow_lease();
            self.look_if_due().await;
            if self.stopping() && self.running.is_empty() {
                break;
            }
            self.say_what_is_wanted();
            let again = self.start_what_may().await;
            if again {
                continue;
            }
            let rest = self.rest();
            tokio::select! {
                () = tokio::time::sleep(rest) => {}
                () = self.hold.changed() => {}
                () = handle.recorded(self.shard) => self.look_at = self.time.now(),
                Some(ended) = self.jobs.join_next_with_id() => self.take_report(ended),
                Ok(()) = stop.changed() => {}
            }
        }
        self.give_back().await;
    }

    fn stopping(&self) -> bool {
        *self.around.handle.stopping().borrow()
    }

    /// Notices that the lease is another one than before: what was done under
    /// the old one is no longer ours.
    fn follow_lease(&mut self) {
        let fence = self.hold.view().fence();
        if fence == self.fence {
            return;
        }
        self.fence = fence;
        self.jobs.abort_all();
        self.jobs = JoinSet::new();
        self.running.clear();
        self.sent.clear();
        self.not_before.clear();
        self.backoff = Backoff::default();
        // Another holder may have moved everything.
        self.rows.clear();
        if fence.is_some() {
            self.look_at = self.time.now();
        }
    }

    async fn look_if_due(&mut self) {
        let now = self.time.now();
        if now < self.look_at || self.stopping() {
            return;
        }
        let entries = (self.around.entries)();
        self.duty
            .set_rank(self.shard.rank(&self.own.entry, &entries));
        let Ok(rows) = self.store.look(self.shard, &self.after).await else {
            self.look_at = self.time.now() + PAUSE.max(self.bounds.poll);
            return;
        };
        let now = self.time.now();
        self.duty
            .record_poll(now, !rows.is_empty() || !self.after.is_empty());
        // A full page goes on at the next look; another one begins anew.
        self.after = match rows.last() {
            Some(last) if rows.len() == Scan::MOST => last.key.clone(),
            _ => String::new(),
        };
        self.rows = rows;
        self.look_at = now + self.duty.poll_interval();
    }

    fn say_what_is_wanted(&mut self) {
        let held = matches!(self.hold.view(), View::Held { .. });
        let now = self.time.now();
        let want = self.duty.want(now, held, !self.running.is_empty());
        self.hold.want(want);
    }

    /// The time until something is due.
    fn rest(&self) -> Duration {
        let now = self.time.now();
        let held = self.hold.check().is_ok();
        let waits = self.not_before.values().copied().chain(self.backoff.due());
        let retry = waits.filter(|at| held && *at > now).min();
        let due = retry.map_or(self.look_at, |at| at.min(self.look_at));
        // At a stop there are no looks: only the running jobs' ends matter.
        let span = if self.stopping() {
            self.bounds.poll
        } else {
            due - now
        };
        Duration::from_millis(span.0.max(1))
    }

    /// Gives the lease back, so that another entry can go on at once.
    async fn give_back(&self) {
        self.hold.want(Want::Release);
        while self.hold.view() != View::NotHeld {
            self.hold.changed().await;
        }
    }
}
