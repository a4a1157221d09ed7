//! Load figures as they were some time ago.

use std::collections::VecDeque;

use woodgap_core::clock::Millis;
use woodgap_platform::endpoint::Load;
use woodgap_platform::instance::State;

/// Width of the counting steps for the token rate.
const STEP: Millis = Millis(100);

/// Span over which the token rate is taken.
const WINDOW: Millis = Millis::from_secs(2);

/// Figures since a point in time.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    running: u32,
    queued: u32,
    leaving: bool,
}

/// Keeps figures for as long as the report lags behind.
#[derive(Debug)]
pub struct Meter {
    lag: Millis,
    changes: VecDeque<(Millis, Figures)>,
    tokens: VecDeque<(Millis, u32)>,
}

impl Meter {
    /// A meter whose reports are this old.
    pub fn new(lag: Millis) -> Self {
        Self {
            lag,
            changes: VecDeque::from([(Millis::ZERO, Figures::default())]),
            tokens: VecDeque::new(),
        }
    }

    /// Notes a change of the figures.
    pub fn note(&mut self, now: Millis, running: u32, queued: u32, leaving: bool) {
        let figures = Figures {
            running,
            queued,
            leaving,
        };
        self.changes.push_back((now, figures));
        let shown = now - self.lag;
        while self.changes.len() > 1 && self.changes[1].0 <= shown {
            self.changes.pop_front();
        }
    }

    /// Counts one token, or one call of a plain service.
    pub fn token(&mut self, now: Millis) {
        let step = Millis(now.0 - now.0 % STEP.0);
        match self.tokens.back_mut() {
            Some((at, count)) if *at == step => *count += 1,
            _ => self.tokens.push_back((step, 1)),
        }
        let needed = now - self.lag - WINDOW - STEP;
        while self.tokens.front().is_some_and(|(at, _)| *at < needed) {
            self.tokens.pop_front();
        }
    }

    /// The report, as old as the lag.
    pub fn report(&self, now: Millis, slots: u32) -> Load {
        let shown = now - self.lag;
        let known = self.changes.iter().rev().find(|(at, _)| *at <= shown);
        let figures = known.map_or_else(Figures::default, |(_, figures)| *figures);
        let counted = self.tokens.iter().filter(|(at, _)| {
            let after = *at + WINDOW >= shown;
            after && *at < shown
        });
        let tokens: u32 = counted.map(|(_, count)| count).sum();
        Load {
            age: self.lag.min(now),
            running: figures.running,
            queued: figures.queued,
            slots,
            tokens_per_second: f64::from(tokens) * 1_000.0 / WINDOW.0 as f64,
            state: if figures.leaving {
                State::Leaving
            } else {
                State::Live
            },
        }
    }
}

#[cfg(test)]
mod tests;
