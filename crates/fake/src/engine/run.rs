//! One run: its slot, its pace and its end.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::web::Data;
use tokio::time::{Instant, sleep, sleep_until};

use super::faults::Fault;
use super::{Detail, Engine};
use crate::endpoint::{Cancelled, Ticket};
use crate::record::End;
use crate::server::{FLUSH, cut};

/// What comes next in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The token with this number, from 1.
    Token(u64),
    /// The last chunk.
    Last,
    /// The mark of completeness.
    Done,
    /// Bytes that are no answer.
    Garbage,
    /// Nothing: the body ends.
    Over,
    /// Nothing: the connection is cut.
    Cut,
}

/// A run between its events.
pub struct Run {
    /// Where it runs.
    pub engine: Data<Engine>,
    /// Its place there.
    pub ticket: Ticket<Detail>,
    /// Tokens of the whole answer.
    pub tokens: u64,
    /// The number of the last event sent, by this run or the one that it goes on from.
    pub offset: u64,
    /// Tokens sent by this run.
    pub sent: u64,
    /// What goes wrong with it.
    pub fault: Option<Fault>,
    /// Whether the prompt has to be read in full.
    pub cold: bool,
    /// When the next token is due; none before the slot.
    pub due: Option<Instant>,
}

impl Run {
    /// Waits for what comes next.
    pub async fn next(&mut self) -> Next {
        self.step().await.unwrap_or(Next::Over)
    }

    /// The token after which the faults in the middle strike.
    pub fn half(&self) -> u64 {
        self.tokens.div_ceil(2)
    }

    /// Takes the slot and never answers.
    pub async fn hang(mut self) -> HttpResponse {
        if self.ticket.start().await.is_ok() {
            let _ = self.ticket.wait(std::future::pending::<()>()).await;
        }
        cut()
    }

    async fn step(&mut self) -> Result<Next, Cancelled> {
        if self.offset > self.tokens + 1 {
            return Ok(Next::Over);
        }
        let due = self.due().await?;
        let number = self.offset + 1;
        let crashes = matches!(self.fault, Some(Fault::Crash(after)) if self.sent >= after);
        if crashes {
            self.ticket.wait(sleep_until(due)).await?;
            self.ticket.wait(sleep(FLUSH)).await?;
            return Ok(self.fail(Next::Cut));
        }
        if number <= self.tokens {
            self.ticket.wait(sleep_until(due)).await?;
        }
        if self.fault == Some(Fault::Garbage) && self.sent == 0 && number <= self.tokens {
            return Ok(self.fail(Next::Garbage));
        }
        if self.fault == Some(Fault::Truncate) && number > self.half() {
            return Ok(self.fail(Next::Over));
        }
        self.offset = number;
        Ok(self.regular(number, due))
    }

    fn regular(&mut self, number: u64, due: Instant) -> Next {
        if number <= self.tokens {
            self.due = Some(due + self.period(number));
            self.sent += 1;
            self.ticket.token();
            return Next::Token(number);
        }
        if number == self.tokens + 1 {
            return Next::Last;
        }
        self.ticket.end(End::Complete);
        Next::Done
    }

    /// Ends the run by its fault; any further step finds it over.
    fn fail(&mut self, next: Next) -> Next {
        self.ticket.end(End::Crashed);
        self.offset = self.tokens + 2;
        next
    }

    /// When the next token is due; takes the slot first.
    async fn due(&mut self) -> Result<Instant, Cancelled> {
        if let Some(due) = self.due {
            return Ok(due);
        }
        self.ticket.start().await?;
        let due = Instant::now() + self.first();
        self.due = Some(due);
        Ok(due)
    }

    fn first(&self) -> Duration {
        let options = &self.engine.options;
        let prefill = if self.cold { options.prefill_ms } else { 0 };
        let faults = &self.engine.lock().faults;
        let span = Duration::from_millis(options.first_token_ms + prefill);
        span.mul_f64(faults.slow) + Duration::from_millis(faults.late_ms.0)
    }

    fn period(&self, number: u64) -> Duration {
        let options = &self.engine.options;
        let slow = self.engine.lock().faults.slow;
        let span = Duration::from_secs_f64(slow / options.tokens_per_second);
        if options.jitter_percent == 0 {
            return span;
        }
        let mut hasher = DefaultHasher::new();
        (options.seed, self.ticket.index(), number).hash(&mut hasher);
        let draw = hasher.finish() as f64 / u64::MAX as f64;
        let stray = (draw * 2.0 - 1.0) * f64::from(options.jitter_percent.min(100)) / 100.0;
        span.mul_f64(1.0 + stray)
    }
}
