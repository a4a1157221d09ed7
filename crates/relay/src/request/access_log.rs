//! The access log line and the metrics of a request.

use std::rc::Rc;

use woodgap_core::clock::Millis;
use woodgap_core::era::{self, Era};
use woodgap_core::fingerprint::Fingerprint;
use woodgap_core::relay::Work;
use woodgap_core::relay::division;
use woodgap_core::relay::engine::Choice;
use woodgap_core::relay::fleet::Member;
use woodgap_core::relay::plan::Route;
use woodgap_core::verdict::Verdict;

use crate::dialect::{Field, Reply, Resumption};
use crate::request::Problem;
use crate::request::handover::Accepted;
use crate::request::problem::Code;
use crate::scheduling::Admission;
use crate::scheduling::announcement::Announcement;
use crate::state::State;
use crate::upstream::Head;

/// Reason for aborting a request that was still running at the end of a planned stop.
const ENTRY_ENDED: &str = "this entry ended";

/// The maximum number of parts of a prompt that a line names.
const MAX_LOGGED_PARTS: usize = 16;

/// The latency targets of the route, and the work that the request asks of an engine.
#[derive(Default)]
struct Objectives {
    target: Millis,
    gap: Millis,
    prompt_tokens: u32,
    output_tokens: u32,
    /// The IDs of the prompt's parts but the last one, in hexadecimal, parted by commas.
    parts: String,
    /// For a stream of a model engine: whether its work is mostly decoding.
    is_decode_heavy: Option<bool>,
}

/// What is known about a request so far. If dropped before it is closed, the request is logged as
/// abandoned by the caller, or as cut off if the entry has ended.
pub struct AccessRecord {
    state: Rc<State>,
    arrived: Millis,
    /// Age of the caller's connection when the request arrived.
    connection_age: Millis,
    /// How long the entry had been stopping when the request arrived.
    stopping_for: Option<Millis>,
    id: String,
    /// Whether it takes a stream up.
    is_resumption: bool,
    /// The attempt that brought that stream's first event; empty if its caller does not say.
    resumes: String,
    /// How it is known which version began it.
    version_source: &'static str,
    /// Empty until the request is admitted.
    fingerprint: String,
    route: String,
    plan: (u64, Millis),
    service: String,
    workspace: String,
    sends: u32,
    endpoint: String,
    /// The other entry to which the request was last handed.
    handed_to: String,
    /// The room that a request of another entry takes here.
    accepted: Option<Accepted>,
    /// The last chosen endpoint, with the estimates behind the choice.
    choice: Option<Choice>,
    /// The list of endpoints by which it was chosen: its revision and its age then.
    list: (u64, Millis),
    /// When the request was last sent, from its arrival on; none if it was not.
    sent: Option<Millis>,
    objectives: Objectives,
    reused: bool,
    /// The rate limit that the endpoint of the last answer named.
    rate_limit: Field<f64>,
    /// Whether that endpoint said that it is leaving.
    leaving: Field<bool>,
    /// How the response says where it ends.
    framing: &'static str,
    /// The back-off that the endpoint of the last answer asked for.
    back_off: Field<Millis>,
    first_byte: Option<Millis>,
    last_piece: Option<Millis>,
    longest_pause: Millis,
    /// The admission to a scheduled service.
    admission: Option<Admission>,
    /// Why a scheduled request was refused, and what its caller was told.
    refusal: Option<(&'static str, Announcement)>,
    closed: bool,
}

impl AccessRecord {
    /// Opens the record of a request that has just arrived; `connected` is when the caller opened
    /// its connection.
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
            is_resumption: false,
            resumes: String::new(),
            version_source: "",
            fingerprint: String::new(),
            route: String::new(),
            plan: (0, Millis::ZERO),
            service: String::new(),
            workspace: String::new(),
            sends: 0,
            endpoint: String::new(),
            handed_to: String::new(),
            accepted: None,
            choice: None,
            list: (0, Millis::ZERO),
            sent: None,
            objectives: Objectives::default(),
            reused: false,
            rate_limit: Field::Missing,
            leaving: Field::Missing,
            framing: "",
            back_off: Field::Missing,
            first_byte: None,
            last_piece: None,
            longest_pause: Millis::ZERO,
            admission: None,
            refusal: None,
            closed: false,
        }
    }

    /// The request ID.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Sets the request ID.
    pub fn set_id(&mut self, id: &str) {
        id.clone_into(&mut self.id);
    }

    /// Sets the stream that the request takes up.
    pub fn set_resumption(&mut self, resumption: &Resumption) {
        self.is_resumption = true;
        self.resumes = resumption.first_attempt.clone().unwrap_or_default();
    }

    /// Sets how it is known which version began the stream that is taken up.
    pub fn set_version_source(&mut self, source: &'static str) {
        self.version_source = source;
    }

    /// Sets the fingerprint, which identifies repetitions of a request.
    pub fn set_fingerprint(&mut self, fingerprint: Fingerprint) {
        self.fingerprint = fingerprint.to_string();
    }

    /// Sets the route, and the version and age of the plan that it was found in.
    pub fn set_route(&mut self, route: &Route, version: u64, age: Millis) {
        route.name.clone_into(&mut self.route);
        self.objectives.target = route.target;
        self.objectives.gap = route.gap.unwrap_or_default();
        self.plan = (version, age);
    }

    /// Sets the work that the request asks of a model engine.
    pub fn set_work(&mut self, work: &Work) {
        self.objectives.prompt_tokens = work.prompt_tokens;
        self.objectives.output_tokens = work.expected_output();
        let parts = work.shared_parts().iter().take(MAX_LOGGED_PARTS);
        let parts: Vec<_> = parts.map(|part| format!("{:x}", part.id)).collect();
        self.objectives.parts = parts.join(",");
        self.objectives.is_decode_heavy = Some(division::is_decode_heavy(work));
    }

    /// Sets the service and the workspace.
    pub fn set_service(&mut self, service: &str, workspace: Option<&str>) {
        service.clone_into(&mut self.service);
        workspace
            .unwrap_or_default()
            .clone_into(&mut self.workspace);
    }

    /// Sets that the request was taken from another entry.
    pub fn set_accepted(&mut self, accepted: Accepted) {
        self.accepted = Some(accepted);
    }

    /// Whether the request was taken from another entry.
    pub fn is_of_entry(&self) -> bool {
        self.accepted.is_some()
    }

    /// Sets the other entry to which the request is handed.
    pub fn set_handover(&mut self, member: &Member) {
        self.handed_to = member.name.to_string();
        self.endpoint.clear();
        self.choice = None;
    }

    /// Sets the chosen endpoint and the estimates behind the choice.
    pub fn set_choice(&mut self, choice: &Choice) {
        self.endpoint = choice.endpoint.life.id.to_string();
        self.choice = Some(choice.clone());
        let roster = self.state.roster.borrow();
        self.list = (roster.revision(), roster.age(self.state.now()));
    }

    /// Sets the admission of a request to a scheduled service.
    pub fn set_admission(&mut self, admission: Admission) {
        self.admission = Some(admission);
    }

    /// Whether the request was admitted to a scheduled service.
    pub fn is_scheduled(&self) -> bool {
        self.admission.is_some()
    }

    /// Sets why a scheduled request is refused, and what its caller is told.
    pub fn set_announcement(&mut self, reason: &'static str, announcement: Announcement) {
        self.refusal = Some((reason, announcement));
    }

    /// Records that the request is sent, and whether on a reused connection.
    pub fn record_send(&mut self, reused: bool) {
        self.sends += 1;
        self.sent = Some(self.elapsed());
        self.reused = reused;
    }

    /// Records what the endpoint says of itself in the head of its answer.
    pub fn record_reply(&mut self, reply: &Reply<'_>) {
        self.rate_limit = reply.rate_limit;
        self.leaving = reply.leaving;
        self.back_off = reply.back_off;
    }

    /// Logs and counts a failed attempt.
    pub fn record_failed_attempt(&self, reason: &str) {
        self.state
            .metrics
            .attempts
            .with_label_values(&["failed"])
            .inc();
        log::info!(
            request = self.id, fingerprint = self.fingerprint, parts = self.objectives.parts,
            endpoint = self.endpoint, handed_to = self.handed_to, sends = self.sends,
            reused = self.reused, rate_limit = text(self.rate_limit),
            back_off_ms = text(self.back_off.map(|it| it.0)),
            endpoint_leaving = text(self.leaving),
            list_era = Era::of(self.list.0).number(), list_revision = era::version(self.list.0),
            list_age_ms = self.list.1.0, sent_ms = self.sent.map(|it| it.0),
            took_ms = self.elapsed().0, reason = reason;
            "attempt failed"
        );
    }

    /// Records the first byte of the response.
    pub fn record_first_byte(&mut self) {
        let elapsed = self.elapsed();
        self.first_byte.get_or_insert(elapsed);
        let is_late = elapsed > self.objectives.target;
        if let Some(admission) = &mut self.admission {
            admission.record_first_byte(is_late);
        }
        self.state
            .metrics
            .attempts
            .with_label_values(&["answered"])
            .inc();
        let histogram = &self.state.metrics.first_byte;
        histogram
            .with_label_values(&[&self.service])
            .observe(elapsed.0 as f64);
    }

    /// Records how the response says where it ends.
    pub fn record_framing(&mut self, head: &Head) {
        self.framing = head.framing_name();
    }

    /// Records a chunk of a stream.
    pub fn record_piece(&mut self) {
        let now = self.state.now();
        if let Some(last) = self.last_piece.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
    }

    /// Closes the record of a request with a complete response.
    pub fn complete(&mut self, status: u16) {
        let first_byte = self.first_byte.unwrap_or_default();
        let max_gap = self.objectives.gap;
        let has_stalled = max_gap > Millis::ZERO && self.longest_pause > max_gap;
        self.record_lateness(first_byte > self.objectives.target || has_stalled);
        self.close("complete", status, Verdict::Ran, "");
    }

    /// Closes the record of a request whose response was cut off.
    pub fn abort(&mut self, status: u16, reason: &str) {
        self.close("cut", status, Verdict::Ran, reason);
    }

    /// Closes the record of a request that got an error instead of an endpoint's response.
    pub fn refuse(&mut self, problem: &Problem) {
        if problem.code == Code::Overloaded {
            self.record_lateness(true);
        }
        let status = problem.status().as_u16();
        let reason = format!("{}: {}", problem.code.as_str(), problem.message);
        self.close("failed", status, problem.verdict, &reason);
    }

    /// The error for the caller if this entry ends before the response; says whether the request
    /// may have run.
    pub fn shutdown_problem(&self) -> Problem {
        if self.sends == 0 {
            return Problem::stopping();
        }
        Problem::may_have_run(Code::Stopping, ENTRY_ENDED)
    }

    /// Records whether a stream was late, for partitioning the engines.
    fn record_lateness(&self, is_late: bool) {
        if let Some(is_decode_heavy) = self.objectives.is_decode_heavy {
            let now = self.state.now();
            let mut loads = self.state.loads.borrow_mut();
            loads.record_stream_end(&self.service, is_decode_heavy, is_late, now);
        }
    }

    /// The time since the request arrived.
    pub fn elapsed(&self) -> Millis {
        self.state.now() - self.arrived
    }

    fn close(&mut self, outcome: &str, status: u16, verdict: Verdict, reason: &str) {
        self.closed = true;
        let verdict_word = verdict.as_str();
        let elapsed = self.elapsed();
        let is_late = elapsed > self.objectives.target;
        if let Some(admission) = &mut self.admission {
            admission.record_end(verdict, is_late);
        }
        self.state
            .metrics
            .requests
            .with_label_values(&[outcome])
            .inc();
        let histogram = &self.state.metrics.whole;
        histogram
            .with_label_values(&[&self.service])
            .observe(elapsed.0 as f64);
        let choice = self.choice.as_ref();
        let admission = self.admission.as_ref();
        let refusal = self.refusal;
        let figure = |of: fn(&Choice) -> f64| choice.map_or(0.0, of).round();
        let source = choice.and_then(|it| it.prompt_source.as_ref());
        let Objectives {
            target,
            gap,
            prompt_tokens,
            output_tokens,
            ref parts,
            ..
        } = self.objectives;
        log::info!(
            request = self.id, fingerprint = self.fingerprint, parts = parts,
            framing = self.framing, outcome = outcome, status = status, verdict = verdict_word,
            reason = reason, took_ms = elapsed.0,
            first_byte_ms = self.first_byte.map_or(0, |it| it.0),
            route = self.route, plan = self.plan.0, plan_age_ms = self.plan.1.0,
            service = self.service, workspace = self.workspace, sends = self.sends,
            is_resumption = self.is_resumption, resumes = self.resumes,
            version_source = self.version_source,
            version = choice.map_or("", |it| it.endpoint.version.as_str()),
            endpoint = self.endpoint, handed_to = self.handed_to,
            is_handed_over = self.is_of_entry(),
            reused = self.reused, rate_limit = text(self.rate_limit),
            back_off_ms = text(self.back_off.map(|it| it.0)),
            endpoint_leaving = text(self.leaving),
            list_era = Era::of(self.list.0).number(), list_revision = era::version(self.list.0),
            list_age_ms = self.list.1.0, sent_ms = self.sent.map(|it| it.0),
            expected_wait_ms = figure(|it| it.expected_wait), cost_ms = figure(|it| it.cost),
            queue_ms = figure(|it| it.queue), running = figure(|it| it.running),
            unread_tokens = figure(|it| it.prefill_tokens), expected_run_ms = figure(|it| it.stream_time),
            kept_tokens = choice.map_or(0, |it| it.cached_tokens),
            prompt_source = source.map_or("", |it| it.life.id.as_str()),
            target_ms = target.0, gap_ms = gap.0, longest_pause_ms = self.longest_pause.0,
            prompt_tokens = prompt_tokens, output_tokens = output_tokens,
            waited_ms = admission.map_or(0, |it| it.waited.0),
            has_returned = admission.is_some_and(|it| it.has_returned),
            refused_for = refusal.map_or("", |it| it.0),
            retry_after_ms = refusal.and_then(|it| it.1.after()).map_or(0, |it| it.0),
            is_retry_promised = refusal.is_some_and(|it| it.1.is_promised()),
            connection_age_ms = self.connection_age.0,
            is_stopping = self.stopping_for.is_some(),
            stopping_for_ms = self.stopping_for.unwrap_or_default().0;
            "request ended"
        );
    }
}

/// An optional header as logged: empty if it was missing.
fn text<T: ToString>(field: Field<T>) -> String {
    match field {
        Field::Missing => String::new(),
        Field::Invalid => "invalid".to_owned(),
        Field::Valid(value) => value.to_string(),
    }
}

impl Drop for AccessRecord {
    fn drop(&mut self) {
        if !self.closed {
            let (outcome, reason) = if self.state.has_ended() {
                ("cut", ENTRY_ENDED)
            } else {
                ("abandoned", "the caller has gone")
            };
            self.close(outcome, 0, Verdict::MayHaveRun, reason);
        }
        self.state.running.set(self.state.running.get() - 1);
    }
}
