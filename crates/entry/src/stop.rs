//! The planned stop: no new work, every answer finished, then the end.

use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use tokio::signal::unix::{Signal, SignalKind, signal};
use woodgap_core::clock::Millis;
use woodgap_core::config::document::Measure;
use woodgap_core::control::Event;
use woodgap_core::relay::shutdown::{self, EndTime, KILL_MARGIN, Shutdown, StallDetector, Timings};

use crate::caller::entries::LIFETIME;
use crate::request::Head;
use crate::shared::Shared;

/// How long answers may take to finish where nothing kills the process. Long narrations
/// take minutes; what is not done by then is most likely stuck.
const LONGEST: Millis = Millis::from_secs(600);
/// How long the last bytes of answers may take to reach slow callers, where nothing kills
/// the process.
const LAST_BYTES: Duration = Duration::from_secs(30);
/// How often the count of running requests is looked at.
const LOOK: Duration = Duration::from_millis(50);
/// Of the grace, the part that is left for what comes after the answers, in percent:
/// last bytes to slow callers, what is to be recorded, leases to be given back.
const AFTERWARDS_PERCENT: u64 = 25;
/// Of that part, the share of the last bytes, in percent.
const BYTES_PERCENT: u64 = 50;

/// A planned stop that begins at this moment, as far as answers go; `grace` later the
/// process would be killed, if anything kills it.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_entry::stop::shutdown;
///
/// let told = shutdown(Some(Millis(8_000)), Millis(0));
/// assert_eq!(told.deadline(), Millis(5_500));
/// assert_eq!(shutdown(None, Millis(0)).deadline(), Millis(599_500));
/// ```
pub fn shutdown(grace: Option<Millis>, now: Millis) -> Shutdown {
    let plan = Timings {
        grace: grace.unwrap_or(LONGEST),
        cleanup: grace.map_or(Millis(0), afterwards),
        // All that asked for entries before the stop have asked again by then, and were
        // told to use another one.
        drain_period: LIFETIME,
    };
    Shutdown::new(now, &plan)
}

/// How long the last bytes of answers may take to reach slow callers.
///
/// ```
/// use std::time::Duration;
/// use woodgap_core::clock::Millis;
/// use woodgap_entry::stop::last_bytes;
///
/// assert_eq!(last_bytes(Some(Millis(8_000))), Duration::from_secs(1));
/// assert_eq!(last_bytes(None), Duration::from_secs(30));
/// ```
pub fn last_bytes(grace: Option<Millis>) -> Duration {
    let share = grace.map(|grace| Millis(afterwards(grace).0 * BYTES_PERCENT / 100));
    let share = share.map_or(LAST_BYTES, |share| Duration::from_millis(share.0));
    // The server counts in whole seconds.
    LAST_BYTES.min(share).max(Duration::from_secs(1))
}

/// What one of the last steps may take: so long, or until the process would be killed.
pub fn left(shared: &Shared, longest: Millis) -> Millis {
    let (Some(grace), Some(shutdown)) = (shared.settings.grace, shared.shutdown()) else {
        return longest;
    };
    longest.min(shutdown.started() + (grace - KILL_MARGIN) - shared.clock.now())
}

/// Whether an attempt that begins now is likely to end before the entry does.
pub fn takes(shared: &Shared, head: &Head) -> bool {
    let Some(shutdown) = shared.shutdown() else {
        return true;
    };
    let now = shared.clock.now();
    let target = (head.measure == Measure::Complete).then_some(head.latency);
    // Nothing bounds an answer that goes on. One that sends nothing for so long is given
    // up, and any is meant to be there when its class's target is.
    let silence = shared.settings.dispatch.endpoint_timeout;
    let end = EndTime {
        deadline: now + target.map_or(silence, |target| silence.max(target)),
        forecast: target.map(|target| now + target),
    };
    shutdown.accepts(end, now)
}

/// Waits until an attempt would begin too late to end before the entry does.
pub async fn too_late(shared: &Shared, head: &Head) {
    shared.stopped().await;
    while takes(shared, head) {
        tokio::time::sleep(LOOK).await;
    }
}

/// Waits until whoever still waits for an answer is to be told that it will not be whole.
pub async fn last_word(shared: &Shared) {
    let last = shared.stopped().await.reply_deadline();
    let rest = last - shared.clock.now();
    tokio::time::sleep(Duration::from_millis(rest.0)).await;
}

fn afterwards(grace: Millis) -> Millis {
    Millis(grace.0 * AFTERWARDS_PERCENT / 100)
}

/// The signals that ask for a planned stop, and the one that asks for the settings anew.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for one that asks for a stop.
    async fn next(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => {
                    log::info!("told to reload: the settings hold until the next start");
                }
            }
        }
    }
}

/// Waits for a signal, or for a later life of this entry, and then stops the
/// server as planned; a second signal ends it at once.
///
/// # Errors
///
/// If signals can't be received.
pub async fn on_signal(shared: Arc<Shared>, server: ServerHandle) -> std::io::Result<()> {
    let mut signals = Signals::new()?;
    let told = told(&shared, &mut signals).await;
    shared.stop(told);
    shared.control.tell(Event::Stop);
    let graceful = tokio::select! {
        done = finish(&shared) => done,
        () = signals.next() => {
            log::warn!(running = shared.running.count(); "told again: stopping at once");
            false
        }
    };
    shared.control.tell(Event::End);
    // The answer comes after the last word went out.
    shared.control.snapshot().await;
    server.stop(graceful).await;
    Ok(())
}

/// Waits until the process is to stop, and gives back when it was told so: before a
/// standstill in which the signal may have come, as the grace counts from then.
async fn told(shared: &Shared, signals: &mut Signals) -> Millis {
    let now = || shared.clock.now();
    let mut looks = StallDetector::new(now());
    let look = Duration::from_millis(shutdown::POLL_INTERVAL.0);
    loop {
        tokio::select! {
            () = signals.next() => break,
            () = shared.ended() => return now(),
            () = tokio::time::sleep(look) => looks.poll(now()),
        }
    }
    let told = looks.signal_time(now());
    log::info!(noticed_ms = (now() - told).0; "told to stop: finishing what runs");
    told
}

/// Waits until nothing runs; false if that took too long.
async fn finish(shared: &Shared) -> bool {
    // An operator may have drained the entry long before.
    let shutdown = shared.stopped().await.signalled(shared.clock.now());
    loop {
        let running = shared.running.count();
        if shutdown.should_exit(running == 0, shared.clock.now()) {
            if running > 0 {
                log::error!(running = running; "answers are not done in time: cutting them off");
            }
            return running == 0;
        }
        tokio::time::sleep(LOOK).await;
    }
}
