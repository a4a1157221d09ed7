//! Regular work: endpoints that may be back, connections that have rested, gauges.

use std::rc::Rc;
use std::time::Duration;

use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::health::HealthSignal;

use crate::links;
use crate::logs;
use crate::request::crash;
use crate::state::State;
use crate::streams;
use crate::upstream::Connection;

/// The time between two rounds.
const ROUND: Millis = Millis(250);
/// How long a connection rests that was opened to see whether an endpoint takes any.
pub const REST: Millis = Millis(1_000);
/// A round that begins so late shows that the process stood still.
const STANDSTILL: Millis = Millis(1_000);

/// Does the work for as long as the process runs.
pub async fn run(state: Rc<State>) {
    let mut last = state.now();
    loop {
        tokio::time::sleep(Duration::from_millis(ROUND.0)).await;
        state.look();
        let now = state.now();
        let late = now - last - ROUND;
        if late > STANDSTILL {
            log::warn!(for_ms = late.0; "the process stood still");
        }
        last = now;
        round(&state, now);
    }
}

fn round(state: &Rc<State>, now: Millis) {
    drop_gone(state, now);
    streams::look(state, now);
    crash::expire(state);
    state.pool.borrow_mut().sweep(now);
    state.exchange.sweep(now);
    state.intake.close_overdue();
    state.warmed.borrow_mut().expire(now);
    state.rate_limits.borrow_mut().expire(now);
    state.brittle.borrow_mut().expire(now);
    let mut due = state.loads.borrow().due_for_reconnect(now);
    // Requests on open connections would else wait in vain, and more follow them.
    due.extend(state.loads.borrow_mut().suspects(now));
    for endpoint in due {
        try_again(state, endpoint);
    }
    if state.isolation.borrow().is_isolated() {
        links::suspect(state);
    }
    gauges(state, now);
}

/// Forgets all of lives that are over: their load, and their resting connections. What they have
/// asked for is kept for a while, and holds again for those that are listed again.
pub fn drop_gone(state: &State, now: Millis) {
    let gone = state.roster.borrow_mut().expire(now);
    for life in &gone {
        log::info!(
            endpoint = life.id.as_str(),
            started_unix_ms = life.started_unix.map(|started| started.0);
            "an endpoint is taken for gone"
        );
        state.pool.borrow_mut().close(life);
        let later = state.roster.borrow().other_life(life).cloned();
        if let Some(later) = later {
            crash::record_restart(state, life);
            state.back_offs.borrow_mut().succeed(life, &later, now);
            state.rate_limits.borrow_mut().succeed(life, &later, now);
        } else {
            state.back_offs.borrow_mut().give_up(life, now);
            state.rate_limits.borrow_mut().give_up(life, now);
        }
    }
    state.loads.borrow_mut().remove(&gone);
    state.rate_limits.borrow_mut().remove(&gone);
    state.back_offs.borrow_mut().remove(&gone);
    restore_listed(state, now);
}

/// Puts in force what lives had asked for that were taken for gone and are listed again.
fn restore_listed(state: &State, now: Millis) {
    let roster = state.roster.borrow();
    let is_listed = |life: &name::Life| roster.get(life).is_some();
    for life in state.rate_limits.borrow_mut().restore(is_listed, now) {
        log::info!(endpoint = life.id.as_str(); "an endpoint is listed again, its rate limit holds");
    }
    for life in state.back_offs.borrow_mut().restore(is_listed, now) {
        log::info!(endpoint = life.id.as_str(); "an endpoint is listed again, its back-off holds");
    }
}

/// Connects to an endpoint, to see whether it is back, or out of reach: no request has to wait for
/// that.
fn try_again(state: &Rc<State>, endpoint: name::Life) {
    let known = state.roster.borrow().get(&endpoint).cloned();
    let Some(known) = known else {
        state.loads.borrow_mut().remove(&[endpoint]);
        return;
    };
    if !state.connecting.borrow_mut().insert(endpoint.clone()) {
        return;
    }
    let state = Rc::clone(state);
    actix_rt::spawn(async move {
        let opened = Connection::open_from(state.settings.connect_from, known.address).await;
        let now = state.now();
        let sign = if opened.is_ok() {
            links::record_connected(&state);
            HealthSignal::Success
        } else {
            links::suspect(&state);
            HealthSignal::Lost
        };
        state.loads.borrow_mut().record_signal(&endpoint, sign, now);
        if let Ok(connection) = opened {
            log::info!(endpoint = endpoint.id.as_str(); "an endpoint can be connected to again");
            state
                .pool
                .borrow_mut()
                .put(&endpoint, connection, REST, now);
        }
        state.connecting.borrow_mut().remove(&endpoint);
    });
}

fn gauges(state: &State, now: Millis) {
    let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    let metrics = &state.metrics;
    {
        let force = state.force.borrow();
        metrics.plan_version.set(gauge(force.version()));
        metrics.plan_age.set(gauge(force.age(now).0));
    }
    {
        let roster = state.roster.borrow();
        let loads = state.loads.borrow();
        metrics.endpoints.set(gauge(roster.listed().count() as u64));
        metrics.endpoints_age.set(gauge(roster.age(now).0));
        let suspended = roster.listed().filter(|it| loads.is_suspended(&it.life));
        metrics
            .unreachable_endpoints
            .set(gauge(suspended.count() as u64));
    }
    let entries = state.fleet.borrow().live(now).count();
    metrics.entries.set(gauge(entries as u64));
    metrics.running.set(gauge(state.running.get() as u64));
    let withheld: Vec<_> = state.quarantine.borrow().withheld(now).collect();
    let parts = withheld.iter().filter(|hold| hold.cause.is_part()).count();
    metrics.quarantined_parts.set(gauge(parts as u64));
    metrics
        .quarantined
        .set(gauge((withheld.len() - parts) as u64));
    let limited = state.rate_limits.borrow().count(now);
    metrics.limited_endpoints.set(gauge(limited as u64));
    let brittle = state.brittle.borrow().count(now);
    metrics.brittle_services.set(gauge(brittle as u64));
    let back_offs = state.back_offs.borrow().count(now);
    metrics.back_offs.set(gauge(back_offs as u64));
    state.intake_report.update(state, now);
    let dropped = logs::take_dropped();
    if dropped > 0 {
        metrics.dropped_lines.inc_by(dropped);
        log::warn!(lines = dropped; "lines of the log were dropped");
    }
}
