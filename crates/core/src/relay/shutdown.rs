//! A planned stop of an entry: until when it runs, and what it still takes.
//!
//! The load pattern: for some seconds after an entry was told to stop callers still come, as
//! they use lists from before. Serving them is best for them while the answer ends before
//! the process does. An answer that does not is cut off midway, which costs its caller far
//! more than to be told at once to go elsewhere. So a request is taken only if it is sure to
//! end in time, and in the first moments, when most of them come, also if that is forecast.

use crate::clock::Millis;

/// How much sooner than it would be killed the process ends: a signal is noticed late by a
/// process that has little of a processor.
pub const KILL_MARGIN: Millis = Millis(500);
/// How long before its end the entry tells those that still wait that they wait in vain: some
/// times the 50 ms after which it looks whether all is done.
const LAST_WORD: Millis = Millis(200);
/// For so long a forecast is enough to take a request: until all callers that keep to their
/// lists have left, 3 s after the signal, which may have been noticed half a second late. Those
/// that come later could know better, and what is begun for them must not be cut off.
const FORECAST_SERVES: Millis = Millis(2_500);

/// So long after the look before the last one a process has stood still, or is slow enough
/// for its signals to come as late: three times what passes between two looks.
const STOOD_STILL: Millis = Millis(3 * POLL_INTERVAL.0);

/// How often a process looks at the clock while nothing tells it to stop.
pub const POLL_INTERVAL: Millis = Millis(100);

/// The last two looks of a process at its clock. A signal that came while it stood still is
/// noticed only afterwards, when a part of the grace is gone: after 2 s of standing still a
/// process ended 1.5 s later than it would have been killed, in the middle of what it took.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::shutdown::StallDetector;
///
/// let mut looks = StallDetector::new(Millis(0));
/// looks.poll(Millis(100));
/// assert_eq!(looks.signal_time(Millis(150)), Millis(150));
/// // It stood still, and its timer runs before its signal is seen.
/// looks.poll(Millis(2_100));
/// assert_eq!(looks.signal_time(Millis(2_100)), Millis(100));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallDetector {
    earlier: Millis,
    last: Millis,
}

impl StallDetector {
    /// A process that begins to look.
    pub fn new(now: Millis) -> Self {
        Self {
            earlier: now,
            last: now,
        }
    }

    /// Takes in a look.
    pub fn poll(&mut self, now: Millis) {
        self.earlier = self.last;
        self.last = now;
    }

    /// When a signal that is seen now may have come: now, or before a standstill. That timers
    /// are served before signals after one is why the last look alone does not tell.
    pub fn signal_time(&self, now: Millis) -> Millis {
        if now - self.earlier > STOOD_STILL {
            self.earlier
        } else {
            now
        }
    }
}

/// What a program lays down for its stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// So long after it was told to stop the process would be killed.
    pub grace: Millis,
    /// How much of the grace is kept for the steps after the last answer.
    pub cleanup: Millis,
    /// How long callers may come after the process was told.
    pub drain_period: Millis,
}

/// A planned stop.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::shutdown::{EndTime, Shutdown, Timings};
///
/// let plan = Timings {
///     grace: Millis(8_000),
///     cleanup: Millis(0),
///     drain_period: Millis(3_500),
/// };
/// let shutdown = Shutdown::new(Millis(0), &plan);
/// let end = EndTime { deadline: Millis(15_000), forecast: Some(Millis(6_000)) };
/// assert!(shutdown.accepts(end, Millis(1_000)));
/// assert!(!shutdown.accepts(end, Millis(3_100)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    began: Millis,
    ends: Millis,
    drain_period: Millis,
    callers_left: Millis,
}

/// When an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndTime {
    /// Its deadline: it has ended by then in any case.
    pub deadline: Millis,
    /// When it is likely to have ended, if that can be told.
    pub forecast: Option<Millis>,
}

impl Shutdown {
    /// A stop that began at this moment, and of which the process was told then.
    pub fn new(began: Millis, plan: &Timings) -> Self {
        Self {
            began,
            ends: began + (plan.grace - plan.cleanup - KILL_MARGIN),
            drain_period: plan.drain_period,
            callers_left: began + plan.drain_period,
        }
    }

    /// The same stop, if the process is told only now: it took nothing new before, and from
    /// now on callers may come for as long again. Its end stays where it is.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::shutdown::{Shutdown, Timings};
    ///
    /// let plan = Timings {
    ///     grace: Millis(30_000),
    ///     cleanup: Millis(7_500),
    ///     drain_period: Millis(5_000),
    /// };
    /// let drained = Shutdown::new(Millis(0), &plan);
    /// assert!(drained.should_exit(true, Millis(6_000)));
    /// assert!(!drained.signalled(Millis(4_000)).should_exit(true, Millis(6_000)));
    /// ```
    #[must_use]
    pub fn signalled(self, now: Millis) -> Self {
        let callers_left = now + self.drain_period;
        Self {
            callers_left,
            ..self
        }
    }

    /// When it began.
    pub fn started(&self) -> Millis {
        self.began
    }

    /// When the process ends, whatever still runs.
    pub fn deadline(&self) -> Millis {
        self.ends
    }

    /// When those that wait for the beginning of an answer are told that there will be none.
    pub fn reply_deadline(&self) -> Millis {
        self.began.max(self.ends - LAST_WORD)
    }

    /// Whether a request whose answer ends then is taken now.
    pub fn accepts(&self, end: EndTime, now: Millis) -> bool {
        let is_likely = end.forecast.is_some_and(|forecast| self.outlasts(forecast));
        self.outlasts(end.deadline) || (self.is_early(now) && is_likely)
    }

    /// Whether a request may be taken whose end is at this moment at the latest, as far as
    /// can be said before there is a forecast.
    pub fn may_accept(&self, deadline: Millis, now: Millis) -> bool {
        self.outlasts(deadline) || self.is_early(now)
    }

    /// Whether the process should end now, with nothing or something left to do.
    pub fn should_exit(&self, is_idle: bool, now: Millis) -> bool {
        now >= self.ends || (is_idle && now >= self.callers_left)
    }

    fn outlasts(&self, end: Millis) -> bool {
        end <= self.reply_deadline()
    }

    fn is_early(&self, now: Millis) -> bool {
        now - self.began < FORECAST_SERVES
    }
}
