//! A caller: sends one request, comes back as told, and notes its end.

use std::time::{Duration, Instant};

use awc::Client;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodgap_core::clock::Millis;

use crate::attempt::{Reply, attempt};
use crate::directory::Directory;
use crate::event::{Attempt, End, Event, How};
use crate::request::Request;
use crate::retry::{self, Outcome, Rules};
use crate::traffic::{Class, Measure};

/// What all callers of a run share.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The start of the run, for delays.
    pub started: Instant,
    /// The same in Unix milliseconds, for records.
    pub started_unix: Millis,
    /// Retries after the first attempt.
    pub retries: u32,
    /// Silence after which a connection counts as broken.
    pub patience: Duration,
}

impl Terms {
    fn unix(&self, at: Instant) -> Millis {
        let since = at.saturating_duration_since(self.started);
        self.started_unix + Millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Delays of one request that are too many for its event.
#[derive(Debug, Default)]
pub struct Pace {
    /// Times between tokens of the last attempt.
    pub gaps: Vec<Duration>,
}

/// Sends the request until it has its end.
pub async fn call(
    client: &Client,
    directory: &Directory,
    request: &Request<'_>,
    terms: &Terms,
    seed: u64,
) -> (Event, Pace) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let start = random.random_range(0..usize::from(u16::MAX));
    let mut attempts = Vec::new();
    let mut faults = crate::answer::Faults::default();
    loop {
        let entry = directory.entry(start, attempts.len());
        let at = Instant::now();
        let reply = attempt(client, &entry, request, terms.patience).await;
        let ended = Instant::now();
        faults.add(reply.faults);
        attempts.push(note(&reply, entry, terms.unix(at), terms.unix(ended)));
        let tried = u32::try_from(attempts.len()).unwrap_or(u32::MAX);
        let rules = Rules {
            repeatable: request.class.repeatable,
            identity: request.class.has_identity(),
            left: (terms.retries + 1).saturating_sub(tried),
        };
        if let Some(end) = retry::end(outcome(&reply), rules) {
            let mut event = event(request, end, &reply, ended, terms);
            event.attempts = attempts;
            event.faults = faults;
            return (event, Pace { gaps: reply.gaps });
        }
        let wait = retry::wait(reply.retry_after, tried - 1, &mut random);
        actix_rt::time::sleep(wait).await;
    }
}

fn outcome(reply: &Reply) -> Outcome<'_> {
    Outcome {
        how: reply.how,
        verdict: reply.verdict,
        code: reply.code.as_deref(),
        told_to_return: reply.retry_after.is_some(),
    }
}

fn note(reply: &Reply, entry: String, at: Millis, ended_at: Millis) -> Attempt {
    Attempt {
        entry,
        at,
        ended_at,
        how: reply.how,
        verdict: reply.verdict,
        code: reply.code.clone(),
    }
}

/// The event without its attempts. Delays count from the time at which the
/// request was due, so a slow tool or fleet can't hide its own lateness.
fn event(request: &Request<'_>, end: End, reply: &Reply, ended: Instant, terms: &Terms) -> Event {
    let Class {
        name,
        workspace,
        target,
        ..
    } = request.class;
    let due = terms.started + request.arrival.at;
    let delay = |at: Instant| at.saturating_duration_since(due).as_secs_f64() * 1e3;
    let is_complete = end == End::Complete && reply.how == How::Complete;
    let complete_ms = is_complete.then(|| delay(ended));
    let first_token_ms = reply.first.map(delay);
    Event {
        tag: request.tag.clone(),
        class: name.clone(),
        tier: request.class.tier,
        workspace: workspace.clone(),
        target: target.clone(),
        kind: request.class.kind,
        repeatable: request.class.repeatable,
        identity: request.class.has_identity(),
        length: request.arrival.length,
        sent_at: terms.unix(due),
        end,
        met: is_met(request.class, first_token_ms, complete_ms),
        attempts: Vec::new(),
        first_token_ms,
        complete_ms,
        tokens: reply.tokens,
        faults: crate::answer::Faults::default(),
    }
}

fn is_met(class: &Class, first_token_ms: Option<f64>, complete_ms: Option<f64>) -> bool {
    let measured = match class.measure {
        Measure::FirstToken => complete_ms.and(first_token_ms),
        Measure::Complete => complete_ms,
    };
    measured.is_some_and(|delay| delay <= class.target_ms.0 as f64)
}
