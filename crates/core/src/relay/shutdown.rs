//! The planned shutdown of an entry: when it ends, and which requests it still accepts.
//!
//! For some seconds after an entry was told to stop, callers that use an older list of entries
//! still send requests. Serving such a request is best for its caller if the answer ends before the
//! process does. An answer that does not is cut off midway, which costs the caller far more than an
//! immediate rejection. A request is therefore accepted only if its deadline is early enough or, in
//! the first moments, when most of these requests arrive, if its forecast is.

use crate::clock::Millis;

/// How long before it would be killed the process ends: a process with little processor time
/// handles a signal late.
pub const KILL_MARGIN: Millis = Millis(500);
/// How long before its end the entry rejects the requests that still wait for an answer: a few
/// times the 50 ms interval at which it checks whether it is done.
const REPLY_MARGIN: Millis = Millis(200);
/// How long a forecast suffices to accept a request. Callers that follow their lists have left 3 s
/// after the signal, which may have been noticed half a second late. Later callers could use a
/// newer list, and an answer to them must not be cut off.
const FORECAST_WINDOW: Millis = Millis(2_500);

/// A process that polled its clock this long after the poll before the last one was stalled, or is
/// so slow that its signals are as late: three poll intervals.
const STALL_THRESHOLD: Millis = Millis(3 * POLL_INTERVAL.0);

/// How often a process polls its clock while it is not stopping.
pub const POLL_INTERVAL: Millis = Millis(100);

/// Detects stalls of the process by the times of its last two clock polls. A signal that arrives
/// during a stall is handled only afterwards, when part of the grace period has passed: after a
/// stall of 2 s, a process ended 1.5 s later than it would have been killed, while it still served
/// requests.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::shutdown::StallDetector;
///
/// let mut detector = StallDetector::new(Millis(0));
/// detector.poll(Millis(100));
/// assert_eq!(detector.signal_time(Millis(150)), Millis(150));
/// // The process was stalled, and its timer runs before the signal is handled.
/// detector.poll(Millis(2_100));
/// assert_eq!(detector.signal_time(Millis(2_100)), Millis(100));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallDetector {
    previous: Millis,
    last: Millis,
}

impl StallDetector {
    /// Starts polling.
    pub fn new(now: Millis) -> Self {
        Self {
            previous: now,
            last: now,
        }
    }

    /// Records a poll.
    pub fn poll(&mut self, now: Millis) {
        self.previous = self.last;
        self.last = now;
    }

    /// The earliest time at which a signal that is handled now may have arrived: now, or before a
    /// stall. The last poll alone does not show a stall, because timers run before signal handlers
    /// after it.
    pub fn signal_time(&self, now: Millis) -> Millis {
        if now - self.previous > STALL_THRESHOLD {
            self.previous
        } else {
            now
        }
    }
}

/// A program's settings for its shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// How long after the signal the process would be killed.
    pub grace: Millis,
    /// The part of the grace period that is reserved for the steps after the last answer.
    pub cleanup: Millis,
    /// How long callers may still arrive after the signal.
    pub drain_period: Millis,
}

/// A planned shutdown.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::shutdown::{EndTime, Shutdown, Timings};
///
/// let timings = Timings {
///     grace: Millis(8_000),
///     cleanup: Millis(0),
///     drain_period: Millis(3_500),
/// };
/// let shutdown = Shutdown::new(Millis(0), &timings);
/// let end = EndTime { deadline: Millis(15_000), forecast: Some(Millis(6_000)) };
/// assert!(shutdown.accepts(end, Millis(1_000)));
/// assert!(!shutdown.accepts(end, Millis(3_100)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    started: Millis,
    deadline: Millis,
    drain_period: Millis,
    drained_at: Millis,
}

/// When an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndTime {
    /// When it has ended at the latest.
    pub deadline: Millis,
    /// When it will probably have ended, if known.
    pub forecast: Option<Millis>,
}

impl Shutdown {
    /// A shutdown that starts at this moment, with the signal.
    pub fn new(started: Millis, timings: &Timings) -> Self {
        Self {
            started,
            deadline: started + (timings.grace - timings.cleanup - KILL_MARGIN),
            drain_period: timings.drain_period,
            drained_at: started + timings.drain_period,
        }
    }

    /// The same shutdown with a signal that arrives only now, after a drain: nothing new was
    /// accepted before, and callers may arrive for another drain period. The deadline does not
    /// change.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::shutdown::{Shutdown, Timings};
    ///
    /// let timings = Timings {
    ///     grace: Millis(30_000),
    ///     cleanup: Millis(7_500),
    ///     drain_period: Millis(5_000),
    /// };
    /// let drained = Shutdown::new(Millis(0), &timings);
    /// assert!(drained.should_exit(true, Millis(6_000)));
    /// assert!(!drained.signalled(Millis(4_000)).should_exit(true, Millis(6_000)));
    /// ```
    #[must_use]
    pub fn signalled(self, now: Millis) -> Self {
        let drained_at = now + self.drain_period;
        Self { drained_at, ..self }
    }

    /// When the shutdown started.
    pub fn started(&self) -> Millis {
        self.started
    }

    /// When the process ends, whatever is still running.
    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    /// When requests whose answers have not begun are rejected.
    pub fn reply_deadline(&self) -> Millis {
        self.started.max(self.deadline - REPLY_MARGIN)
    }

    /// Whether to accept a request whose answer ends at `end`.
    pub fn accepts(&self, end: EndTime, now: Millis) -> bool {
        let is_likely = end
            .forecast
            .is_some_and(|forecast| self.ends_in_time(forecast));
        self.ends_in_time(end.deadline) || (self.in_forecast_window(now) && is_likely)
    }

    /// Whether a request with this deadline may be accepted, as far as is known before there is a
    /// forecast.
    pub fn may_accept(&self, deadline: Millis, now: Millis) -> bool {
        self.ends_in_time(deadline) || self.in_forecast_window(now)
    }

    /// Whether the process should exit now, given whether it is idle.
    pub fn should_exit(&self, is_idle: bool, now: Millis) -> bool {
        now >= self.deadline || (is_idle && now >= self.drained_at)
    }

    fn ends_in_time(&self, end: Millis) -> bool {
        end <= self.reply_deadline()
    }

    fn in_forecast_window(&self, now: Millis) -> bool {
        now - self.started < FORECAST_WINDOW
    }
}
