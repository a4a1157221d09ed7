//! Requests that wait for what the platform stores of versions.

use woodgap_core::clock::Millis;
use woodgap_core::relay::plan::Kind;
use woodgap_core::relay::resumption::{Build, Message, Service};

use crate::request::AdmittedRequest;
use crate::state::State;
use crate::streams::history::WAIT_INTERVAL;
use crate::streams::keepers;

/// How long a request waits until a version may begin it.
const PATIENCE: Millis = Millis(1_000);
/// How long one waits for what is stored: among many entries for the next reading, and that.
const READING_PATIENCE: Millis = Millis(2_000);
/// The time between two questions to other entries while a request waits.
const QUESTION_INTERVAL: Millis = Millis(200);

/// Waits until a stream may begin at an endpoint of its service, for as long as that may take.
pub async fn until_registered(state: &State, request: &AdmittedRequest) {
    if request.route.kind != Kind::Stream || request.build.is_some() {
        return;
    }
    let service = request.service.name.as_str();
    if !is_waiting(state, service) {
        return;
    }
    let history = &state.streams.history;
    let begun = state.now();
    let end = request.deadline.min(begun + PATIENCE);
    history.look_again();
    while is_waiting(state, service) && state.now() < end {
        history.want(service, begun);
        ask_others(state);
        history.until_changed().await;
    }
    history.wanted.borrow_mut().remove(service);
}

/// Asks some entries which versions may begin streams, if it is time: the platform may be out of
/// reach.
fn ask_others(state: &State) {
    let now = state.now();
    let questioned = &state.streams.history.questioned;
    if questioned
        .get()
        .is_some_and(|at| now - at < QUESTION_INTERVAL)
    {
        return;
    }
    questioned.set(Some(now));
    for peer in keepers(state, None) {
        state.streams.send(&Message::PastRequest, peer);
    }
}

/// Whether a service has usable endpoints, and none at which streams may begin. Many requests ask at
/// once, and one look at the endpoints serves them.
fn is_waiting(state: &State, service: &str) -> bool {
    let now = state.now();
    if !state.streams.registry.borrow().has_unregistered(service) {
        return false;
    }
    let mut looks = state.streams.history.waiting.borrow_mut();
    let last = looks.get(service);
    if let Some((_, is_waiting)) = last.filter(|(at, _)| now - *at < WAIT_INTERVAL) {
        return *is_waiting;
    }
    let is_waiting = has_none_registered(state, service, now);
    looks.insert(service.to_owned(), (now, is_waiting));
    is_waiting
}

fn has_none_registered(state: &State, service: &str, now: Millis) -> bool {
    let roster = state.roster.borrow();
    let evacuation = state.evacuation.borrow();
    let registry = state.streams.registry.borrow();
    let usable = roster.usable(service, &evacuation, now);
    let mut versions = usable.iter().map(|it| it.version.as_str());
    !usable.is_empty() && !versions.any(|version| registry.is_registered(service, version))
}

/// The only version that can have begun a stream of these services that was lost before `lost`, by
/// what the platform stores now.
pub(super) async fn only_stored(
    state: &State,
    services: &[Service],
    lost: Millis,
) -> Option<Build> {
    let history = &state.streams.history;
    loop {
        let now = state.now();
        {
            let registry = state.streams.registry.borrow();
            if !registry.may_be_told(services) {
                return None;
            }
            if history.read.get().is_some_and(|read| read >= lost) {
                return registry.only_stored(services, lost, now);
            }
        }
        if now >= lost + READING_PATIENCE || state.is_platform_lost.get() {
            return None;
        }
        if !history.is_asked.get() {
            history.ask_for_reading();
        }
        history.until_changed().await;
    }
}
