//! A planned stop: leave the lists, finish what is running, end.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use woodgap_core::clock::Millis;
use woodgap_core::relay::shutdown::{POLL_INTERVAL, Shutdown, StallDetector, Timings};

use crate::state::{Announcement, State};

/// How often it is checked whether all is done.
const CHECK: Duration = Duration::from_millis(50);
/// A check that comes so late after the one before shows that the process stood still.
const LATE: Millis = Millis(200);
/// How long callers may come, if they keep a list of entries for as long as they are told,
/// or three times as long, as some do.
const CALLERS_LEAVE: Millis = Millis(3_500);

/// What holds for a stop, if the process would be killed after this grace. Nothing is left
/// to do after the last answer.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_relay::stop::plan;
///
/// assert_eq!(plan(Millis(8_000)).drain_period, Millis(3_500));
/// ```
pub fn plan(grace: Millis) -> Timings {
    Timings {
        grace,
        cleanup: Millis(0),
        drain_period: CALLERS_LEAVE,
    }
}

/// Waits until the process is told to stop, and then until all is done; the process is to
/// end at once then.
///
/// # Errors
///
/// If signals can't be waited for.
pub async fn stopped(state: &Rc<State>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let mut looks = StallDetector::new(state.now());
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            // Addresses and bounds hold for the life of a process; what changes
            // in between comes from the platform.
            _ = reload.recv() => log::info!("told to reload: the settings hold until the next start"),
            () = tokio::time::sleep(Duration::from_millis(POLL_INTERVAL.0)) => looks.poll(state.now()),
        }
    }
    wind_down(state, looks.signal_time(state.now())).await;
    Ok(())
}

/// Stops as planned, told to at this moment: leaves the lists and finishes what runs.
/// Whoever calls it ends the relay afterwards, with all that still runs.
pub async fn wind_down(state: &Rc<State>, told: Millis) {
    let shutdown = state.stop(told);
    log::info!(running = state.running.get(), noticed_ms = (state.now() - told).0; "stopping");
    // The platform may be away: that must not hold up what callers wait for.
    tokio::select! {
        () = drain(state, &shutdown) => {}
        () = withdraw_and_wait(state) => {}
    }
    state.end();
    log::info!(running = state.running.get(); "stopped");
}

/// Takes this entry's row off the platform, and waits without end.
async fn withdraw_and_wait(state: &State) {
    if state.announcement.get() != Announcement::Unsaid
        && let Err(error) = state.source.withdraw(&state.settings.name).await
    {
        log::info!(error = error.to_string(); "the entry's row stays behind");
    }
    std::future::pending::<()>().await;
}

/// Waits until nothing is left to do, or the time is over. Those that wait for the beginning
/// of an answer are told shortly before that there will be none.
async fn drain(state: &State, shutdown: &Shutdown) {
    let mut is_said = false;
    let mut checked = shutdown.started();
    loop {
        let now = state.now();
        // What came while the process stood still is yet to be read: 20 of 20 requests of open
        // connections went without an answer.
        let stood_still = now - checked > LATE;
        checked = now;
        let is_idle = !stood_still && state.running.get() == 0 && state.unwritten.get() == 0;
        // A look that comes late still leaves the time to say and write the last word.
        let can_end = is_idle || is_said;
        if can_end && shutdown.should_exit(is_idle, now) {
            return;
        }
        if now >= shutdown.reply_deadline() {
            state.close();
            is_said = true;
        }
        tokio::time::sleep(CHECK).await;
    }
}
