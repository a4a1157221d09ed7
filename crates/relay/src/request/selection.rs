//! Chooses the endpoint for the next attempt at a request.

use std::cell::LazyCell;

use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::quarantine::Cause;
use woodgap_core::relay::RequestProfile;
use woodgap_core::relay::admission::{
    Decision as Admission, LatencyRequirement, MAX_RETRY_AFTER, MIN_RETRY_AFTER, decide,
    retry_after_rate,
};
use woodgap_core::relay::brittle;
use woodgap_core::relay::duty;
use woodgap_core::relay::engine::Choice;
use woodgap_core::relay::plan::Kind;
use woodgap_core::relay::roster::Endpoint;
use woodgap_core::relay::shutdown::EndTime;

use crate::request::problem::Code;
use crate::request::{AdmittedRequest, Problem};
use crate::state::State;
use crate::streams;

/// `Retry-After` for a service whose endpoints are all warming up.
const WARM_UP_RETRY_AFTER: Millis = Millis(1_000);
/// `Retry-After` for a service without a reachable endpoint.
const NO_ENDPOINT_RETRY_AFTER: Millis = Millis(300);
/// `Retry-After` for a service whose endpoints are brittle: most requests end within this time.
const BRITTLE_RETRY_AFTER: Millis = Millis(250);

impl AdmittedRequest {
    /// The properties of the request that the choice of an endpoint depends on.
    pub fn profile(&self) -> RequestProfile<'_> {
        RequestProfile {
            work: self.call.work.as_ref(),
            engine: self.service.engine,
            gap: self.route.gap,
        }
    }

    /// The latency that the caller requires.
    fn latency_requirement(&self, now: Millis) -> LatencyRequirement {
        LatencyRequirement {
            is_stream: self.route.kind == Kind::Stream,
            target: self.route.target,
            remaining: self.deadline - now,
        }
    }
}

/// Chooses the best endpoint that has not been tried yet.
pub fn choose(
    state: &State,
    request: &AdmittedRequest,
    tried: &[name::Life],
) -> Result<Choice, Problem> {
    let now = state.now();
    check_quarantine(state, request, now)?;
    let roster = state.roster.borrow();
    let evacuation = state.evacuation.borrow();
    let usable = roster.usable(&request.service.name, &evacuation, now);
    let usable = streams::of_version(state, request, usable, now)?;
    let usable = exclude_unwilling(state, request, tried, usable, now)?;
    let entries = state.fleet.borrow().size();
    let mut loads = state.loads.borrow_mut();
    let active = loads.active_subset(usable, &request.profile(), entries, now);
    let limit = connection_limit(state, request);
    let candidates: Vec<_> = active
        .into_iter()
        .filter(|endpoint| state.pool.borrow().busy(&endpoint.life) < limit)
        .collect();
    let choice = loads.choose(&candidates, &request.profile(), now);
    let no_endpoint = || {
        let message = format!("no endpoint of `{}` can be reached", request.service.name);
        Problem::not_run(Code::NoEndpoint, message).retry_after(NO_ENDPOINT_RETRY_AFTER)
    };
    let choice = choice.ok_or_else(no_endpoint)?;
    let requirement = request.latency_requirement(now);
    if !ends_in_time(state, request, &choice, now) {
        return Err(Problem::stopping());
    }
    match decide(&choice, requirement, rand::random()) {
        Admission::Admit => Ok(choice),
        Admission::Refuse(retry_after) => {
            let bound = requirement.max_wait_for(&choice);
            let message = format!(
                "the expected wait is {:.0} ms of {bound}",
                choice.expected_wait
            );
            Err(Problem::not_run(Code::Overloaded, message).retry_after(retry_after))
        }
    }
}

/// Filters out the endpoints that were tried, and those that may not get a request of this entry
/// now.
fn exclude_unwilling<'e>(
    state: &State,
    request: &AdmittedRequest,
    tried: &[name::Life],
    usable: Vec<&'e Endpoint>,
    now: Millis,
) -> Result<Vec<&'e Endpoint>, Problem> {
    let has_any = !usable.is_empty();
    let usable = exclude_cold(state, request, usable, now);
    if has_any && usable.is_empty() {
        let message = format!("the endpoints of `{}` are warming up", request.service.name);
        return Err(Problem::not_run(Code::Overloaded, message).retry_after(WARM_UP_RETRY_AFTER));
    }
    let untried = usable
        .into_iter()
        .filter(|endpoint| !tried.contains(&endpoint.life));
    let usable = exclude_backed_off(state, request, untried.collect(), now)?;
    let usable = exclude_limited(state, request, usable, now)?;
    exclude_brittle(state, request, usable, now)
}

/// Filters out the cold endpoints that this entry may not send to now. An entry that has just
/// started sends to none, as it does not know its share yet.
fn exclude_cold<'e>(
    state: &State,
    request: &AdmittedRequest,
    usable: Vec<&'e Endpoint>,
    now: Millis,
) -> Vec<&'e Endpoint> {
    let Some(rate) = request.service.cold_rate else {
        return usable;
    };
    let roster = state.roster.borrow();
    let warmed = state.warmed.borrow();
    let is_settled = duty::has_converged(state.life());
    // Computed only if there is a cold endpoint.
    let share = LazyCell::new(|| state.fleet.borrow().warmup_share(rate));
    let may_send = |endpoint: &&Endpoint| {
        let life = &endpoint.life;
        if !roster.is_cold(life, now) {
            return true;
        }
        let (sector, each) = &*share;
        is_settled && sector.contains(life) && warmed.may_send(life, *each, now)
    };
    usable.into_iter().filter(may_send).collect()
}

/// Filters out the endpoints that have asked this entry for a back-off and, if any others remain,
/// those that have just declined requests.
fn exclude_backed_off<'e>(
    state: &State,
    request: &AdmittedRequest,
    usable: Vec<&'e Endpoint>,
    now: Millis,
) -> Result<Vec<&'e Endpoint>, Problem> {
    let back_offs = state.back_offs.borrow();
    if usable.is_empty() || back_offs.is_empty() {
        return Ok(usable);
    }
    let remaining = usable.iter().map(|it| back_offs.remaining(&it.life, now));
    let shortest = remaining.min().unwrap_or_default();
    let loads = state.loads.borrow();
    let is_open = |endpoint: &Endpoint| {
        back_offs.may_send(&endpoint.life, now) && !loads.is_suspended(&endpoint.life)
    };
    let has_open = usable.iter().any(|endpoint| is_open(endpoint));
    let may_use = |endpoint: &&Endpoint| {
        let life = &endpoint.life;
        back_offs.may_send(life, now) || (!has_open && back_offs.is_fallback(life))
    };
    let remaining: Vec<_> = usable.into_iter().filter(may_use).collect();
    if !remaining.is_empty() {
        return Ok(remaining);
    }
    state.metrics.backed_off.inc();
    let message = format!(
        "the endpoints of `{}` ask for a back-off",
        request.service.name
    );
    let retry_after = shortest.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Err(Problem::not_run(Code::Overloaded, message).retry_after(retry_after))
}

/// Filters out the endpoints that have named a rate limit of which this entry's part is used up.
fn exclude_limited<'e>(
    state: &State,
    request: &AdmittedRequest,
    usable: Vec<&'e Endpoint>,
    now: Millis,
) -> Result<Vec<&'e Endpoint>, Problem> {
    let mut limits = state.rate_limits.borrow_mut();
    if usable.is_empty() || limits.count(now) == 0 {
        return Ok(usable);
    }
    let is_settled = duty::has_converged(state.life());
    let ring = is_settled.then(|| state.fleet.borrow().ring());
    let rates = usable.iter().filter_map(|it| limits.rate(&it.life, now));
    let total_rate = rates.sum::<f64>();
    let may_send = |endpoint: &&Endpoint| limits.may_send(&endpoint.life, ring.as_ref(), now);
    let remaining: Vec<_> = usable.into_iter().filter(may_send).collect();
    if !remaining.is_empty() {
        return Ok(remaining);
    }
    state.metrics.rate_limited.inc();
    let message = format!(
        "the endpoints of `{}` take {total_rate:.1} requests per second",
        request.service.name
    );
    let retry_after = retry_after_rate(total_rate, rand::random());
    Err(Problem::not_run(Code::Overloaded, message).retry_after(retry_after))
}

/// Filters out the endpoints of a brittle service at which this entry's part of the slots is in
/// use, and those that have just refused a request.
fn exclude_brittle<'e>(
    state: &State,
    request: &AdmittedRequest,
    usable: Vec<&'e Endpoint>,
    now: Millis,
) -> Result<Vec<&'e Endpoint>, Problem> {
    let service = request.service.name.as_str();
    let known = state.brittle.borrow();
    if usable.is_empty() || !known.contains(service, now) {
        return Ok(usable);
    }
    let ring = state.fleet.borrow().ring_with_stopping();
    // An entry that has just started may not know all others yet.
    let is_settled = duty::has_converged(state.life());
    let max_part = if is_settled { usize::MAX } else { 1 };
    let pool = state.pool.borrow();
    let parts = usable.into_iter().map(|endpoint| {
        let part = brittle::own_slots(endpoint.slots, &ring, &endpoint.life);
        (endpoint, part.min(max_part))
    });
    let parts: Vec<_> = parts.filter(|(_, part)| *part > 0).collect();
    if parts.is_empty() {
        let message = format!("the brittle endpoints of `{service}` are left to other entries");
        return Err(Problem::not_run(Code::NoEndpoint, message).retry_after(BRITTLE_RETRY_AFTER));
    }
    let free = parts.into_iter().filter(|(endpoint, part)| {
        let life = &endpoint.life;
        pool.busy(life) < *part && !known.has_refused(life, now)
    });
    let remaining: Vec<_> = free.map(|(endpoint, _)| endpoint).collect();
    if !remaining.is_empty() {
        return Ok(remaining);
    }
    state.metrics.brittle_refusals.inc();
    let message = format!("this entry's part of the brittle endpoints of `{service}` is in use");
    Err(Problem::not_run(Code::Overloaded, message).retry_after(BRITTLE_RETRY_AFTER))
}

/// Rejects a quarantined request, which crashes the endpoints that run it or holds a part that does.
pub fn check_quarantine(
    state: &State,
    request: &AdmittedRequest,
    now: Millis,
) -> Result<(), Problem> {
    let hold = state.quarantine.borrow().hold(&request.causes, now);
    let Some(hold) = hold else { return Ok(()) };
    state.metrics.withheld.inc();
    let what = match hold.cause {
        Cause::Request(_) => "this request".to_owned(),
        Cause::Part(id) => format!("part {id:x} of its prompt"),
    };
    let message = format!("{} endpoints crashed with {what}", hold.crashes);
    Err(Problem::not_run(Code::Withheld, message).retry_after(hold.until - now))
}

/// Whether the response ends before this entry does. Checked before each attempt, as a slow body or
/// a failed attempt leaves less time.
fn ends_in_time(state: &State, request: &AdmittedRequest, choice: &Choice, now: Millis) -> bool {
    let end = EndTime {
        deadline: request.deadline,
        forecast: choice.estimated_end(request.route.kind == Kind::Stream, now),
    };
    let shutdown = state.shutdown();
    shutdown.is_none_or(|shutdown| shutdown.accepts(end, now))
}

/// This entry's share of the connections that an endpoint accepts from all entries.
fn connection_limit(state: &State, request: &AdmittedRequest) -> usize {
    let all = usize::try_from(request.service.connections).unwrap_or(usize::MAX);
    let entries = state.fleet.borrow().size();
    (all / entries).max(1)
}
