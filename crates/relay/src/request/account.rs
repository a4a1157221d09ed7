//! What is told of a request when it has ended: one line of the log, and metrics.

use std::rc::Rc;

use woodgap_core::clock::Millis;
use woodgap_core::fingerprint::Fingerprint;
use woodgap_core::relay::Work;
use woodgap_core::relay::engine::Choice;
use woodgap_core::relay::partition;
use woodgap_core::relay::plan::Route;

use crate::request::Problem;
use crate::request::problem::Code;
use crate::state::State;

/// Why a request was cut off that still ran at the end of a planned stop.
const ENTRY_ENDED: &str = "this entry ended";

/// What its route promises, and what it asks of an engine.
#[derive(Default)]
struct Promise {
    target: Millis,
    gap: Millis,
    prompt_tokens: u32,
    output_tokens: u32,
    /// For a stream of a model engine: whether its events must come in quick succession.
    is_steady: Option<bool>,
}

/// What is known of a request so far. Dropped before it was closed, it tells that
/// the caller has gone.
pub struct Account {
    state: Rc<State>,
    arrived: Millis,
    /// How old the caller's connection was at the arrival.
    connection_age: Millis,
    /// How long the entry had been stopping at the arrival.
    stopping_for: Option<Millis>,
    id: String,
    /// Empty until the request is admitted.
    fingerprint: String,
    route: String,
    plan: (u64, Millis),
    service: String,
    workspace: String,
    sends: u32,
    endpoint: String,
    /// The last choice of an endpoint, with the figures that led to it.
    choice: Option<Choice>,
    promise: Promise,
    reused: bool,
    first_byte: Option<Millis>,
    last_piece: Option<Millis>,
    longest_pause: Millis,
    closed: bool,
}

impl Account {
    /// Opens the account of a request that has just arrived, on a connection that its
    /// caller had opened at this moment.
    pub fn open(state: &Rc<State>, connected: Millis) -> Self {
        state.running.set(state.running.get() + 1);
        let now = state.now();
        let stopping_for = state.stopping_since().map(|since| now - since);
        Self {
            arrived: now,
            connection_age: now - connected,
            stopping_for,
            state: Rc::clone(state),
            id: String::new(),
            fingerprint: String::new(),
            route: String::new(),
            plan: (0, Millis::ZERO),
            service: String::new(),
            workspace: String::new(),
            sends: 0,
            endpoint: String::new(),
            choice: None,
            promise: Promise::default(),
            reused: false,
            first_byte: None,
            last_piece: None,
            longest_pause: Millis::ZERO,
            closed: false,
        }
    }

    /// The request's identity.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Notes the request's identity.
    pub fn name(&mut self, id: &str) {
        id.clone_into(&mut self.id);
    }

    /// Notes what tells that two requests of a caller are the same.
    pub fn fingerprint(&mut self, fingerprint: Fingerprint) {
        self.fingerprint = fingerprint.to_string();
    }

    /// Notes the route, and by which plan it was found.
    pub fn route(&mut self, route: &Route, version: u64, age: Millis) {
        route.name.clone_into(&mut self.route);
        self.promise.target = route.target;
        self.promise.gap = route.gap.unwrap_or_default();
        self.plan = (version, age);
    }

    /// Notes what the request asks of a model engine.
    pub fn work(&mut self, work: &Work) {
        self.promise.prompt_tokens = work.prompt_tokens;
        self.promise.output_tokens = work.expected_output();
        self.promise.is_steady = Some(partition::is_decode_heavy(work));
    }

    /// Notes the service and the workspace.
    pub fn service(&mut self, service: &str, workspace: Option<&str>) {
        service.clone_into(&mut self.service);
        workspace
            .unwrap_or_default()
            .clone_into(&mut self.workspace);
    }

    /// Notes a choice of endpoint and the figures that it was made by.
    pub fn choose(&mut self, choice: &Choice) {
        self.endpoint = choice.endpoint.life.id.to_string();
        self.choice = Some(choice.clone());
    }

    /// Notes that the request is sent.
    pub fn send(&mut self, reused: bool) {
        self.sends += 1;
        self.reused = reused;
    }

    /// Logs that an attempt failed.
    pub fn failed(&self, reason: &str) {
        self.state
            .metrics
            .attempts
            .with_label_values(&["failed"])
            .inc();
        log::info!(
            request = self.id, fingerprint = self.fingerprint,
            endpoint = self.endpoint, sends = self.sends,
            reused = self.reused, took_ms = self.took().0, reason = reason;
            "attempt failed"
        );
    }

    /// Notes the first byte of the answer.
    pub fn first_byte(&mut self) {
        let took = self.took();
        self.first_byte.get_or_insert(took);
        self.state
            .metrics
            .attempts
            .with_label_values(&["answered"])
            .inc();
        let histogram = &self.state.metrics.first_byte;
        histogram
            .with_label_values(&[&self.service])
            .observe(took.0 as f64);
    }

    /// Notes that a piece of a stream came.
    pub fn piece(&mut self) {
        let now = self.state.now();
        if let Some(last) = self.last_piece.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
    }

    /// Closes the account of a request whose caller has the whole answer.
    pub fn complete(&mut self, status: u16) {
        let first = self.first_byte.unwrap_or_default();
        let gap = self.promise.gap;
        let has_stalled = gap > Millis::ZERO && self.longest_pause > gap;
        self.was_late(first > self.promise.target || has_stalled);
        self.close("complete", status, "ran", "");
    }

    /// Closes the account of a request whose answer was cut off midway.
    pub fn cut(&mut self, status: u16, reason: &str) {
        self.close("cut", status, "ran", reason);
    }

    /// Closes the account of a request that got no answer of an endpoint.
    pub fn refuse(&mut self, problem: &Problem) {
        if problem.code == Code::Overloaded {
            self.was_late(true);
        }
        let status = problem.status().as_u16();
        let verdict = problem.verdict.as_str();
        let reason = format!("{}: {}", problem.code.as_str(), problem.message);
        self.close("failed", status, verdict, &reason);
    }

    /// What its caller is told if there will be no answer, as this entry ends: whether it may
    /// have run.
    pub fn unanswered(&self) -> Problem {
        if self.sends == 0 {
            return Problem::stopping();
        }
        Problem::may_have_run(Code::Stopping, ENTRY_ENDED)
    }

    /// Tells whether a stream was late, for the division of the engines.
    fn was_late(&self, is_late: bool) {
        if let Some(is_steady) = self.promise.is_steady {
            let now = self.state.now();
            let mut loads = self.state.loads.borrow_mut();
            loads.record_stream_end(&self.service, is_steady, is_late, now);
        }
    }

    fn took(&self) -> Millis {
        self.state.now() - self.arrived
    }

    fn close(&mut self, outcome: &str, status: u16, verdict: &str, reason: &str) {
        self.closed = true;
        let took = self.took();
        self.state
            .metrics
            .requests
            .with_label_values(&[outcome])
            .inc();
        let whole = &self.state.metrics.whole;
        whole
            .with_label_values(&[&self.service])
            .observe(took.0 as f64);
        let choice = self.choice.as_ref();
        let figure = |of: fn(&Choice) -> f64| choice.map_or(0.0, of).round();
        let source = choice.and_then(|it| it.prompt_source.as_ref());
        let Promise {
            target,
            gap,
            prompt_tokens,
            output_tokens,
            ..
        } = self.promise;
        log::info!(
            request = self.id, fingerprint = self.fingerprint,
            outcome = outcome, status = status, verdict = verdict,
            reason = reason, took_ms = took.0,
            first_byte_ms = self.first_byte.map_or(0, |it| it.0),
            route = self.route, plan = self.plan.0, plan_age_ms = self.plan.1.0,
            service = self.service, workspace = self.workspace, sends = self.sends,
            endpoint = self.endpoint, reused = self.reused,
            expected_wait_ms = figure(|it| it.expected_wait), cost_ms = figure(|it| it.cost),
            queue_ms = figure(|it| it.queue), running = figure(|it| it.running),
            unread_tokens = figure(|it| it.prefill_tokens), expected_run_ms = figure(|it| it.stream_time),
            kept_tokens = choice.map_or(0, |it| it.cached_tokens),
            prompt_source = source.map_or("", |it| it.life.id.as_str()),
            target_ms = target.0, gap_ms = gap.0, longest_pause_ms = self.longest_pause.0,
            prompt_tokens = prompt_tokens, output_tokens = output_tokens,
            connection_age_ms = self.connection_age.0,
            is_stopping = self.stopping_for.is_some(),
            stopping_for_ms = self.stopping_for.unwrap_or_default().0;
            "request ended"
        );
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        if !self.closed {
            let (outcome, reason) = if self.state.has_ended() {
                ("cut", ENTRY_ENDED)
            } else {
                ("abandoned", "the caller has gone")
            };
            self.close(outcome, 0, "may_have_run", reason);
        }
        self.state.running.set(self.state.running.get() - 1);
    }
}
