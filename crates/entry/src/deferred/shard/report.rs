//! What the ends of a shard's jobs are taken for.

use tokio::task::{Id, JoinError};
use woodgap_core::deferred::{After, Row, Sent, Stage};
use woodgap_platform::lease::Time;

use crate::deferred::work::Report;
use crate::deferred::{Runner, Storage};

use super::Worker;

impl<S: Storage, R: Runner, C: Time> Worker<S, R, C> {
    pub(super) fn take_report(&mut self, ended: Result<(Id, Report), JoinError>) {
        let (id, report) = match ended {
            Ok((id, report)) => (id, Some(report)),
            Err(error) => (error.id(), None),
        };
        let Some(row) = self.running.remove(&id) else {
            return;
        };
        match report {
            Some(Report::Ended) => {
                self.backoff.passed(&row.job);
                self.sent.remove(&row.key);
                self.not_before.remove(&row.key);
                self.forget_row(&row.key);
            }
            Some(Report::Queued(version, after)) => self.queued(&row, version, &after),
            Some(Report::Lost) | None => {
                if report.is_none() {
                    log::error!(job = row.key.as_str(); "the work on a deferred job panicked");
                }
                self.backoff.passed(&row.job);
                self.sent.insert(row.key, Sent::Broke);
            }
        }
    }

    fn queued(&mut self, row: &Row, version: u64, after: &After) {
        let now = self.time.now();
        match after {
            After::Wait(wait) => {
                self.backoff.passed(&row.job);
                self.not_before.insert(row.key.clone(), now + *wait);
            }
            _ => self.backoff.refused(now, &row.job),
        }
        self.sent.remove(&row.key);
        if let Some(known) = self.rows.iter_mut().find(|known| known.key == row.key) {
            known.version = version;
            known.job.stage = Stage::Queued;
        }
    }
}
