//! Burn of the error budget over several windows, and when it calls for action.
//!
//! A short window reacts quickly and a long one shows that it matters: an
//! alarm needs both, each above the burn that spends a set part of the budget
//! within the longer window.

use std::fmt;

use serde::Serialize;
use woodgap_core::burn::Count;

use crate::figure::Figure;

/// The time for which the error budget is meant, in minutes: 30 days.
pub const PERIOD: u64 = 30 * DAY;

const HOUR: u64 = 60;
const DAY: u64 = 24 * HOUR;

/// The longest window, in minutes: the period of the budget.
const LONGEST: u64 = PERIOD;

/// A span of minutes up to the end of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Window {
    minutes: u64,
}

impl Window {
    /// The windows where no others are asked for: 5 minutes, 1 hour, 6 hours and 1 day.
    pub const DEFAULT: [Self; 4] = [
        Self { minutes: 5 },
        Self { minutes: HOUR },
        Self { minutes: 6 * HOUR },
        Self { minutes: DAY },
    ];

    /// A window of so many minutes, 1 to 43,200 (30 days).
    pub const fn new(minutes: u64) -> Option<Self> {
        if minutes >= 1 && minutes <= LONGEST {
            Some(Self { minutes })
        } else {
            None
        }
    }

    /// Its length in minutes.
    pub const fn minutes(self) -> u64 {
        self.minutes
    }

    /// The burn above which this window, as the longer of two, raises an alarm.
    ///
    /// ```
    /// use woodgap_burn::window::Window;
    ///
    /// // Two percent of a 30 days' budget within one hour.
    /// assert!((Window::new(60).unwrap().threshold() - 14.4).abs() < 1e-9);
    /// ```
    pub fn threshold(self) -> f64 {
        // The usual parts of the budget: a fiftieth in an hour, a twentieth in
        // six hours, a tenth in a day or longer.
        let spent = match self.minutes {
            minutes if minutes <= HOUR => 0.02,
            minutes if minutes < DAY => 0.05,
            _ => 0.1,
        };
        spent * PERIOD as f64 / self.minutes as f64
    }

    /// How urgent an alarm of this window is, as the longer of two.
    fn level(self) -> Level {
        if self.minutes < DAY {
            Level::Page
        } else {
            Level::Ticket
        }
    }
}

impl fmt::Display for Window {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.minutes {
            minutes if minutes % DAY == 0 => write!(formatter, "{}d", minutes / DAY),
            minutes if minutes % HOUR == 0 => write!(formatter, "{}h", minutes / HOUR),
            minutes => write!(formatter, "{minutes}m"),
        }
    }
}

/// The burn of one line over one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Burn {
    /// The window's length in minutes.
    pub minutes: u64,
    /// Requests that count for attainment.
    pub counted: u64,
    /// Share of them that met their target; none if none counts.
    pub attainment: Option<f64>,
    /// How fast the error budget was spent; none if no request counts.
    pub burn: Option<f64>,
}

impl Burn {
    /// The burn of these counts against an objective.
    pub fn new(window: Window, count: &Count, objective: f64) -> Self {
        let figure = Figure::new(count, objective);
        Self {
            minutes: window.minutes,
            counted: figure.counted,
            attainment: figure.attainment,
            burn: figure.burn,
        }
    }
}

/// How urgent an alarm is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// To be looked at within days.
    Ticket,
    /// To be looked at now.
    Page,
}

/// Two windows that both burn too fast.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Alarm {
    /// How urgent it is.
    pub level: Level,
    /// The shorter window's length in minutes.
    pub short_minutes: u64,
    /// The longer window's.
    pub long_minutes: u64,
    /// The burn that both exceed.
    pub threshold: f64,
}

/// The first alarm of neighbouring windows, which are given from the shortest to the longest.
pub fn alarm(burns: &[Burn]) -> Option<Alarm> {
    burns.windows(2).find_map(|pair| {
        let [short, long] = pair else { return None };
        let window = Window::new(long.minutes)?;
        let threshold = window.threshold();
        let above = |burn: &Burn| burn.burn.is_some_and(|burn| burn > threshold);
        (above(short) && above(long)).then_some(Alarm {
            level: window.level(),
            short_minutes: short.minutes,
            long_minutes: long.minutes,
            threshold,
        })
    })
}
