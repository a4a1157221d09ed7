//! The planned stop: no new work, every answer finished, then the end.

use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;
use woodgap_core::clock::Millis;
use woodgap_core::control::Event;
use woodgap_core::relay::shutdown::Shutdown;

use crate::caller::entries::LIFETIME;
use crate::shared::Shared;

/// How long answers may take to finish. Long narrations take minutes; what is
/// not done by then is most likely stuck.
const LONGEST: Millis = Millis::from_secs(600);
/// How often the count of running requests is looked at.
const LOOK: Duration = Duration::from_millis(50);
/// How long the entry goes on telling callers to use another one, at least: all
/// that asked before the stop have asked again by then.
const TELL_CALLERS: Duration = Duration::from_millis(LIFETIME.0);

/// A planned stop that begins at this moment.
pub fn shutdown(now: Millis) -> Shutdown {
    Shutdown::new(now, LONGEST)
}

/// The signals that ask for a planned stop.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
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
    tokio::select! {
        () = signals.next() => log::info!("told to stop: finishing what runs"),
        () = shared.ended() => {}
    }
    shared.stop();
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

/// Waits until nothing runs; false if that took too long.
async fn finish(shared: &Shared) -> bool {
    let started = Instant::now();
    loop {
        let running = shared.running.count();
        if running == 0 && started.elapsed() >= TELL_CALLERS {
            return true;
        }
        if shared
            .shutdown()
            .is_some_and(|it| shared.clock.now() >= it.ends())
        {
            log::error!(running = running; "answers are not done in time: cutting them off");
            return false;
        }
        tokio::time::sleep(LOOK).await;
    }
}
