//! A plain endpoint that works on one request at a time.

use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::endpoint::{Answer, Endpoint, Step, declined};

/// How long it works on a request.
const WORK: Duration = Duration::from_millis(40);
/// Requests that may wait at it. The last one waits for 640 ms: longer than the latency target, so
/// that too many requests show as late answers, and less than callers wait.
const QUEUE: usize = 16;

/// What one endpoint has taken.
struct Slot {
    /// When it is done with all.
    free_at: Instant,
    /// Requests that run or wait.
    taken: usize,
}

/// Starts one.
pub fn start() -> Endpoint {
    let slot = Mutex::new(Slot {
        free_at: Instant::now(),
        taken: 0,
    });
    Endpoint::numbered(move |_| serve(&slot))
}

/// Takes a request, or declines it where the queue is full. Waits until it is done: each request
/// is done one [`WORK`] after the one before, however late the machine wakes the thread.
fn serve(slot: &Mutex<Slot>) -> Vec<Step> {
    let lock = || slot.lock().unwrap_or_else(PoisonError::into_inner);
    let done_at = {
        let mut slot = lock();
        if slot.taken > QUEUE {
            return vec![declined()];
        }
        slot.taken += 1;
        slot.free_at = slot.free_at.max(Instant::now()) + WORK;
        slot.free_at
    };
    sleep(done_at.saturating_duration_since(Instant::now()));
    let mut slot = lock();
    slot.taken -= 1;
    let (running, waiting) = (slot.taken.min(1), slot.taken.saturating_sub(1));
    Answer::Body.steps(&format!("X-Woodgap-Load: {running},{waiting},1\r\n"))
}
