//! Finds out whether this entry has lost its links to all endpoints.

use std::cell::RefCell;
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared, select_ok};
use woodgap_core::clock::Millis;
use woodgap_core::relay::health::HealthSignal;
use woodgap_core::relay::isolation;

use crate::state::State;
use crate::upkeep;
use crate::upstream::Connection;

/// The check that is running: whether any endpoint can be connected to.
type Check = Shared<LocalBoxFuture<'static, bool>>;

/// The check that is running, if any.
#[derive(Default)]
pub struct LinkCheck {
    running: RefCell<Option<Check>>,
}

/// Starts a check of the links, unless one is running or has just ended: an endpoint could not be
/// connected to.
pub fn suspect(state: &Rc<State>) {
    if state.isolation.borrow().may_check(state.now()) {
        drop(start(state));
    }
}

/// Whether this entry has had a link to an endpoint at this time or later, by a check if no
/// connection was opened since.
pub async fn has_link_since(state: &Rc<State>, time: Millis) -> bool {
    let has_connected = state.isolation.borrow().has_connected_since(time);
    has_connected || start(state).await
}

fn start(state: &Rc<State>) -> Check {
    let mut running = state.link_check.running.borrow_mut();
    if let Some(running) = running.as_ref() {
        return running.clone();
    }
    let check = run(Rc::clone(state)).boxed_local().shared();
    *running = Some(check.clone());
    actix_rt::spawn(check.clone());
    check
}

async fn run(state: Rc<State>) -> bool {
    let reaches_any = reaches_any(&state).await;
    state.link_check.running.take();
    let now = state.now();
    let is_new = state.isolation.borrow_mut().record_check(reaches_any, now);
    if is_new {
        state.metrics.isolated.set(1);
        state.metrics.isolations.inc();
        let endpoints = state.roster.borrow().listed().count();
        log::warn!(endpoints = endpoints; "no endpoint can be connected to any more");
        state.news.notify_one();
    }
    reaches_any
}

/// Connects to a sample of the endpoints until one connection succeeds.
async fn reaches_any(state: &Rc<State>) -> bool {
    let waves: [Vec<_>; 2] = {
        let roster = state.roster.borrow();
        let waves = isolation::waves(roster.listed(), rand::random());
        waves.map(|wave| wave.into_iter().cloned().collect())
    };
    // Without endpoints there are no links to lose.
    if waves[0].is_empty() {
        return true;
    }
    // While the entry is isolated, a check that finds nothing changes nothing.
    let is_isolated = state.isolation.borrow().is_isolated();
    let wave_count = if is_isolated { 1 } else { waves.len() };
    let waves = waves.iter().take(wave_count);
    for wave in waves.filter(|wave| !wave.is_empty()) {
        let probes = wave.iter().map(|endpoint| {
            let life = &endpoint.life;
            let opened = Connection::open_from(state.settings.connect_from, endpoint.address);
            opened
                .map(move |opened| opened.map(|it| (life, it)))
                .boxed_local()
        });
        if let Ok(((life, connection), _)) = select_ok(probes).await {
            let now = state.now();
            record_connected(state);
            let mut loads = state.loads.borrow_mut();
            loads.record_signal(life, HealthSignal::Success, now);
            let mut pool = state.pool.borrow_mut();
            pool.put(life, connection, upkeep::REST, now);
            return true;
        }
    }
    false
}

/// Records a new connection to an endpoint.
pub fn record_connected(state: &State) {
    let now = state.now();
    let ended = state.isolation.borrow_mut().record_connected(now);
    if let Some(lasted) = ended {
        state.metrics.isolated.set(0);
        // Else all requests go to the first endpoint that is back.
        state.loads.borrow_mut().end_backoffs(now);
        state.news.notify_one();
        log::info!(for_ms = lasted.0; "endpoints can be connected to again");
    }
}
