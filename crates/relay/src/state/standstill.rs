//! What an entry does after its process stood still.

use std::time::Duration;

use woodgap_core::clock::Millis;
use woodgap_core::relay::standstill::MAX_WAIT;

use crate::state::State;

impl State {
    /// Notes that the process runs; after a standstill the other entries are asked at once. Returns
    /// for how long at most what this entry knows is not to be relied on.
    pub fn look(&self) -> Millis {
        let left = self.watch.borrow_mut().look(self.now());
        if left == MAX_WAIT {
            // It has just woken up.
            self.news.notify_one();
        }
        left
    }

    /// Waits until what this entry knows is of after its last standstill, for a short time at most.
    pub async fn until_caught_up(&self) {
        let caught_up = self.caught_up.notified();
        let left = self.look();
        if left > Millis::ZERO {
            let limit = Duration::from_millis(left.0);
            let _ = tokio::time::timeout(limit, caught_up).await;
        }
    }

    /// Notes that a question asked at `asked` has brought all that is new.
    pub fn record_answer(&self, asked: Millis) {
        if self.watch.borrow_mut().record_answer(asked) {
            self.caught_up.notify_waiters();
        }
    }
}
