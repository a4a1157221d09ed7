//! Whether a request is tried again after an attempt, and what its caller is told.

use woodgap_core::clock::Millis;
use woodgap_core::control::Outcome;
use woodgap_core::verdict::Verdict;

use crate::request::{Code, Ending, Problem};

/// Refusals after which a request is given up. With the pauses between them that
/// is about twelve seconds: longer than a leaving endpoint is offered work, and
/// than a pool takes to find a new home.
pub const REFUSALS: u32 = 64;
/// The pause after the second refusal; it doubles with each one. After the first
/// there is none, since another endpoint may be free.
const FIRST_PAUSE: Millis = Millis(10);
/// The longest pause: short, so that the request keeps its place among others.
const LONGEST_PAUSE: Millis = Millis(200);
/// When the caller of a request that every endpoint refused should come back.
const COME_BACK: Millis = Millis(2_000);

/// How one attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The whole answer was passed on.
    Complete,
    /// The endpoint did not start it.
    Refused(String),
    /// The engine can't go on after an offset; it did not start.
    NoResume,
    /// The endpoint says that the request itself is wrong; it did not start.
    Rejected(String),
    /// The endpoint failed after it may have started.
    Broken(String),
    /// The endpoint sent what can't be relayed.
    Garbage(String),
    /// Another attempt's answer differs from the part that was passed on.
    Differs(String),
    /// The caller went away.
    Gone,
    /// The entry ends before the answer does.
    Stopped,
}

impl Attempt {
    /// Whether the attempt may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Refused(_) | Self::NoResume | Self::Rejected(_) => Verdict::NotRun,
            Self::Broken(_) | Self::Gone | Self::Stopped => Verdict::MayHaveRun,
            Self::Complete | Self::Garbage(_) | Self::Differs(_) => Verdict::Ran,
        }
    }

    /// What the pool is told of the endpoint.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Complete => Outcome::Complete,
            Self::Refused(_) => Outcome::Refused,
            Self::Broken(_) | Self::Garbage(_) | Self::Differs(_) => Outcome::Failed,
            // None of these is a fault of the endpoint.
            Self::NoResume | Self::Rejected(_) | Self::Gone | Self::Stopped => Outcome::Cancelled,
        }
    }
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The most attempts that may run.
    pub attempts: u32,
}

/// What comes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask for a place again after a pause.
    Again(Millis),
    /// The request has ended.
    End(Ending),
}

/// What became of a request's attempts so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tally {
    terms: Terms,
    verdict: Verdict,
    failures: u32,
    refusals: u32,
    /// A part of the answer was passed on that no other attempt can go on after.
    sealed: bool,
}

impl Tally {
    /// No attempts yet.
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            verdict: Verdict::NotRun,
            failures: 0,
            refusals: 0,
            sealed: false,
        }
    }

    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// No other attempt can go on after what was passed on.
    pub fn seal(&mut self) {
        self.sealed = true;
    }

    /// Decides after an attempt.
    pub fn attempted(&mut self, attempt: Attempt) -> Next {
        let before = self.verdict;
        self.verdict = before.max(attempt.verdict());
        match attempt {
            Attempt::Complete => Next::End(Ending::Complete),
            Attempt::Gone => Next::End(Ending::Abandoned),
            Attempt::Stopped => Next::End(self.stopped()),
            Attempt::Refused(text) => self.refused(&text),
            Attempt::NoResume => self.refused("no engine can resume"),
            Attempt::Rejected(text) => self.end(Code::BadRequest, text),
            Attempt::Broken(text) => self.failed(Code::EndpointFailed, text),
            Attempt::Garbage(text) => self.failed(Code::BadAnswer, text),
            Attempt::Differs(text) => self.end(Code::EndpointFailed, text),
        }
    }

    /// How a request ends that the entry has no time for any more.
    pub fn stopped(&self) -> Ending {
        let message = "this entry ends before the answer would: use another";
        Ending::Failed(Problem::new(Code::Stopping, self.verdict, message))
    }

    /// Decides after the pool declined to give a place.
    ///
    /// A request that never started is told so; one whose endpoint failed keeps
    /// asking, since its caller has a part of the answer.
    pub fn declined(&mut self, problem: Problem) -> Next {
        if self.verdict == Verdict::NotRun {
            return Next::End(Ending::Failed(problem));
        }
        self.refused(&problem.message)
    }

    /// Decides after the pool named another entry, whose answer can't be followed:
    /// it may have just ended there.
    pub fn elsewhere(&mut self) -> Next {
        match self.refused("the identity waits or runs at another entry") {
            // It may be running there, if it may run more than once.
            Next::End(_) if self.terms.repeatable => Next::End(Ending::Failed(elsewhere())),
            next => next,
        }
    }

    /// Nothing ran, so that asking again is safe for any request.
    fn refused(&mut self, text: &str) -> Next {
        self.refusals += 1;
        if self.refusals < REFUSALS {
            return Next::Again(pause(self.refusals));
        }
        self.end(Code::NoEndpoint, format!("refused too often, last: {text}"))
    }

    fn failed(&mut self, code: Code, text: String) -> Next {
        self.failures += 1;
        let more = self.failures < self.terms.attempts;
        if self.terms.repeatable && more && !self.sealed {
            return Next::Again(Millis::ZERO);
        }
        self.end(code, text)
    }

    /// The end must not claim less than any attempt may have done.
    fn end(&self, code: Code, text: String) -> Next {
        let problem = match (self.verdict, code) {
            (Verdict::NotRun, Code::NoEndpoint) => {
                Problem::not_run(code, text).retry_after(COME_BACK)
            }
            (Verdict::NotRun, code) => Problem::not_run(code, text),
            (_, Code::BadAnswer) => Problem::new(code, Verdict::Ran, text),
            _ => Problem::new(Code::EndpointFailed, Verdict::MayHaveRun, text),
        };
        Next::End(Ending::Failed(problem))
    }
}

fn elsewhere() -> Problem {
    let message = "a request with the same identity waits or runs at another entry";
    Problem::new(Code::Overloaded, Verdict::MayHaveRun, message).retry_after(COME_BACK)
}

fn pause(refusals: u32) -> Millis {
    let Some(doublings) = refusals.checked_sub(2) else {
        return Millis::ZERO;
    };
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    LONGEST_PAUSE.min(Millis(FIRST_PAUSE.0.saturating_mul(factor)))
}

#[cfg(test)]
mod tests;
