//! Accounts for one request: counts for the burn report, a log line, metrics.

use std::time::Duration;

use cadence::prelude::*;
use woodgap_core::burn;
use woodgap_core::clock::Millis;
use woodgap_core::config::document::Measure;
use woodgap_core::name;
use woodgap_core::verdict::Verdict;

use crate::control::Permit;
use crate::request::run::within;
use crate::request::{Attempt, Ending, Head};
use crate::shared::Shared;

/// What is known so far about one request's cost.
pub struct Account<'a> {
    shared: &'a Shared,
    head: &'a Head,
    endpoint: Option<name::Endpoint>,
    attempts: u32,
    permit_wait: Duration,
    first_token: Option<Millis>,
    tokens_produced: u64,
    tokens_passed_on: u64,
    verdict: Verdict,
}

impl<'a> Account<'a> {
    /// Opens the account of a request.
    pub fn new(shared: &'a Shared, head: &'a Head) -> Self {
        Self {
            shared,
            head,
            endpoint: None,
            attempts: 0,
            permit_wait: Duration::ZERO,
            first_token: None,
            tokens_produced: 0,
            tokens_passed_on: 0,
            verdict: Verdict::NotRun,
        }
    }

    /// Waited this long for a permit, granted or not; waits of several attempts add up.
    pub fn asked(&mut self, wait: Duration) {
        self.permit_wait += wait;
    }

    /// An attempt was sent to an endpoint.
    pub fn dispatched(&mut self, endpoint: &name::Endpoint) {
        self.endpoint = Some(endpoint.clone());
        self.attempts += 1;
    }

    /// An attempt ended, with the answer passed on up to an offset.
    pub fn attempted(&mut self, permit: &Permit, attempt: &Attempt, offset: u64) {
        self.tokens_produced += permit.tokens();
        self.tokens_passed_on = match attempt {
            Attempt::Complete => offset.max(1),
            _ => offset,
        };
        self.verdict = self.verdict.max(attempt.verdict());
        if self.first_token.is_none() {
            self.first_token = permit.first_token_at();
        }
    }

    /// Closes the account.
    pub fn close(self, ending: &Ending) {
        let latency = self.shared.clock.now() - self.head.arrived;
        let count = self.count(ending, latency);
        let key = burn::Key {
            tier: self.head.tier,
            class: self.head.class.clone(),
            workspace: self.head.workspace.clone(),
        };
        if let Ok(mut counts) = self.shared.counts.lock() {
            counts.count(self.shared.clock.unix(), &key, &count);
        }
        self.log(ending, latency);
        self.measure(ending, latency);
    }

    fn count(&self, ending: &Ending, latency: Millis) -> burn::Count {
        let mut count = burn::Count {
            ended: 1,
            ..burn::Count::default()
        };
        match ending {
            Ending::Complete => {
                count.complete = 1;
                count.met = u64::from(self.met(latency));
                count.tokens_useful = self.tokens_passed_on;
            }
            Ending::Failed(problem) if problem.verdict == Verdict::NotRun => count.not_run = 1,
            Ending::Failed(_) => count.uncertain = 1,
            Ending::Abandoned => count.abandoned = 1,
        }
        count.tokens_wasted = self.tokens_produced.saturating_sub(count.tokens_useful);
        count
    }

    fn met(&self, latency: Millis) -> bool {
        let measured = match self.head.measure {
            Measure::Complete => latency,
            Measure::FirstToken => self
                .first_token
                .map_or(latency, |at| at - self.head.arrived),
        };
        within(measured, self.head.latency)
    }

    fn log(&self, ending: &Ending, latency: Millis) {
        let (end, code, verdict) = match ending {
            Ending::Complete => ("complete", "", Verdict::Ran.as_str()),
            Ending::Failed(problem) => ("failed", problem.code.as_str(), problem.verdict.as_str()),
            Ending::Abandoned => ("abandoned", "", self.verdict.as_str()),
        };
        log::info!(
            request = self.head.id.to_string(),
            workspace = self.head.workspace.as_str(),
            class = self.head.class.as_str(),
            tier = self.head.tier.number(),
            target = self.head.target.as_str(),
            endpoint = self.endpoint.as_ref().map_or("", |endpoint| endpoint.as_str()),
            attempts = self.attempts,
            tokens = self.tokens_passed_on,
            end = end,
            code = code,
            verdict = verdict,
            latency_ms = latency.0,
            permit_us = u64::try_from(self.permit_wait.as_micros()).unwrap_or(u64::MAX);
            "request ended"
        );
    }

    fn measure(&self, ending: &Ending, latency: Millis) {
        let end = match ending {
            Ending::Complete => "complete",
            Ending::Failed(_) => "failed",
            Ending::Abandoned => "abandoned",
        };
        let tier = self.head.tier.to_string();
        // A lost metric is no reason to fail a request.
        let _ = self
            .shared
            .metrics
            .count_with_tags("requests", 1)
            .with_tag("tier", &tier)
            .with_tag("class", self.head.class.as_str())
            .with_tag("end", end)
            .try_send();
        let _ = self
            .shared
            .metrics
            .time_with_tags("latency", latency.0)
            .with_tag("tier", &tier)
            .with_tag("class", self.head.class.as_str())
            .try_send();
    }
}
