//! Which jobs of a shard are settled and started, and how.

use std::rc::Rc;

use woodgap_core::deferred::{End, Job, Next, Row, Sent, Slot, choose};
use woodgap_core::lease::Fence;
use woodgap_platform::lease::Time;

use crate::deferred::store::{Moved, Under};
use crate::deferred::work::Work;
use crate::deferred::{Runner, Storage};

use super::{PAUSE, Worker};

/// The most jobs that are started by one transaction.
const BATCH: usize = 16;

impl<S: Storage, R: Runner, C: Time> Worker<S, R, C> {
    /// Settles and starts jobs; true if there may be more to do at once.
    pub(super) async fn start_what_may(&mut self) -> bool {
        let (Ok(fence), false) = (self.hold.check(), self.stopping()) else {
            return false;
        };
        if !self.duty.may_start(self.time.now()) {
            return false;
        }
        let under = Under {
            shard: self.shard,
            fence,
        };
        self.settle(&under).await;
        // The entry may have been told to stop meanwhile.
        if self.stopping() {
            return false;
        }
        let chosen = self.choose(fence);
        if chosen.is_empty() {
            return false;
        }
        self.start(&under, chosen).await
    }

    fn next(&self, row: &Row, fence: Fence) -> Next {
        let sent = self.sent.get(&row.key).copied().unwrap_or(Sent::Never);
        row.job
            .next(self.time.unix(), self.bounds.kept, fence, sent)
    }

    /// Records the end of jobs that can't be started.
    async fn settle(&mut self, under: &Under) {
        let ends: Vec<(Row, End)> = self
            .rows
            .iter()
            .filter_map(|row| match self.next(row, under.fence) {
                Next::Settle(end) => Some((row.clone(), end)),
                _ => None,
            })
            .collect();
        for (row, end) in ends {
            let now = self.time.unix();
            match self.store.end(under, &row, end, now).await {
                Moved::Committed(_) => {
                    self.forget_row(&row.key);
                    self.sent.remove(&row.key);
                    self.store.discard(&row.job.request_object()).await;
                }
                Moved::Fenced => self.hold.suspect(),
                Moved::Changed(_) => self.forget_row(&row.key),
                Moved::Unavailable | Moved::Unknown => {}
            }
        }
    }

    /// The row is another one now, or gone: the next look says.
    pub(super) fn forget_row(&mut self, key: &str) {
        self.rows.retain(|row| row.key != key);
    }

    fn choose(&mut self, fence: Fence) -> Vec<Row> {
        let now = self.time.now();
        let may_start = |row: &&Row| {
            let waits = self.not_before.get(&row.key).is_some_and(|at| now < *at);
            !waits && !self.backoff.holds(now, &row.job) && self.next(row, fence) == Next::Start
        };
        let waiting: Vec<&Row> = self.rows.iter().filter(may_start).collect();
        let running: Vec<Slot> = self
            .running
            .values()
            .map(|row| Slot::of(&row.job))
            .collect();
        let mut chosen: Vec<Row> = choose(&waiting, &running, self.bounds.per_tier)
            .into_iter()
            .take(BATCH)
            .cloned()
            .collect();
        chosen.retain(|row| self.backoff.try_start(now, &row.job));
        chosen
    }

    /// Starts jobs by one transaction; true if others may be tried at once.
    async fn start(&mut self, under: &Under, chosen: Vec<Row>) -> bool {
        let started = |row: &Row| (row.version, row.job.started(&self.own, under.fence));
        let changes: Vec<(u64, Job)> = chosen.iter().map(started).collect();
        let moved = self.store.change(under, &changes).await;
        if let Moved::Committed(versions) = &moved {
            for ((row, (_, job)), version) in chosen.into_iter().zip(changes).zip(versions) {
                self.dispatch(under, row.key, job, *version);
            }
            return true;
        }
        for row in &chosen {
            self.backoff.untried(&row.job);
        }
        match moved {
            Moved::Changed(indexes) => {
                for index in indexes {
                    if let Some(row) = chosen.get(index) {
                        self.forget_row(&row.key);
                    }
                }
                true
            }
            Moved::Fenced => {
                self.hold.suspect();
                false
            }
            // What became of it is seen at the next look.
            _ => {
                self.look_at = self.time.now() + PAUSE;
                self.rows.clear();
                false
            }
        }
    }

    fn dispatch(&mut self, under: &Under, key: String, job: Job, version: u64) {
        let row = Row { key, version, job };
        if let Some(known) = self.rows.iter_mut().find(|known| known.key == row.key) {
            *known = row.clone();
        }
        self.sent.insert(row.key.clone(), Sent::Runs);
        let work = Work {
            row: row.clone(),
            under: under.clone(),
            store: self.store.clone(),
            runner: Rc::clone(&self.runner),
            hold: self.hold.clone(),
            time: self.time.clone(),
            stopping: self.around.handle.stopping(),
        };
        let task = self.jobs.spawn_local(work.carry_out());
        self.running.insert(task.id(), row);
    }
}
