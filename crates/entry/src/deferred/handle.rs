//! How the other threads reach the background work on deferred requests.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, watch};
use woodgap_core::clock::Millis;
use woodgap_core::deferred::{SHARDS, Shard};

/// Tells the workers of work and of the stop, and hears when they are done.
#[derive(Clone, Debug)]
pub struct Handle {
    recorded: Arc<Vec<Notify>>,
    stopping: watch::Sender<bool>,
    working: watch::Sender<usize>,
}

/// One worker; its drop is its end.
#[derive(Debug)]
pub struct Working(watch::Sender<usize>);

impl Drop for Working {
    fn drop(&mut self) {
        self.0.send_modify(|working| *working -= 1);
    }
}

impl Default for Handle {
    fn default() -> Self {
        Self {
            recorded: Arc::new((0..SHARDS).map(|_| Notify::new()).collect()),
            stopping: watch::Sender::new(false),
            working: watch::Sender::new(0),
        }
    }
}

impl Handle {
    /// A job of a shard was recorded.
    pub fn record(&self, shard: Shard) {
        self.recorded[shard.index()].notify_one();
    }

    /// Waits until a job of a shard is recorded here.
    pub async fn recorded(&self, shard: Shard) {
        self.recorded[shard.index()].notified().await;
    }

    /// Starts no more jobs from now on.
    pub fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Whether jobs are started no more, and news of that.
    pub fn stopping(&self) -> watch::Receiver<bool> {
        self.stopping.subscribe()
    }

    /// One more worker.
    pub fn enter(&self) -> Working {
        self.working.send_modify(|working| *working += 1);
        Working(self.working.clone())
    }

    /// Waits until all workers have recorded what they ran and given back their
    /// leases, for this long at most; says whether they have.
    pub async fn finished(&self, within: Millis) -> bool {
        let mut working = self.working.subscribe();
        let done = working.wait_for(|working| *working == 0);
        tokio::time::timeout(Duration::from_millis(within.0), done)
            .await
            .is_ok_and(|waited| waited.is_ok())
    }
}
