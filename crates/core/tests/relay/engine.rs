//! Selection of the endpoint for a request.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::RequestProfile;
use woodgap_core::relay::engine::{Choice, LoadBalancer, Report, Ticket};
use woodgap_core::relay::health::HealthSignal;
use woodgap_core::relay::plan::Engine;
use woodgap_core::relay::roster::Endpoint;
use woodgap_core::relay::work::{Part, Work};

use crate::roster::{endpoint, life, started};

pub const ENGINE: Engine = Engine {
    slots: 64,
    memory_tokens: 290_000,
    event_tokens: 6,
    moves_prompts: false,
};

/// A long prompt with a short answer; the `subject` part is shared with other prompts.
pub fn caption(subject: u64, own: u64) -> Work {
    Work {
        prompt_tokens: 9_000,
        output_limit: 60,
        output_hint: Some(50),
        parts: vec![
            Part {
                id: subject,
                tokens: 6_000,
            },
            Part {
                id: own,
                tokens: 3_000,
            },
        ],
    }
}

/// A short prompt with a long answer.
pub fn narration(own: u64) -> Work {
    Work {
        prompt_tokens: 600,
        output_limit: 400,
        output_hint: Some(300),
        parts: vec![Part {
            id: own,
            tokens: 600,
        }],
    }
}

pub fn profile(work: &Work) -> RequestProfile<'_> {
    RequestProfile {
        work: Some(work),
        engine: Some(ENGINE),
        gap: Some(Millis(250)),
    }
}

pub const PLAIN: RequestProfile<'static> = RequestProfile {
    work: None,
    engine: None,
    gap: None,
};

fn engines(count: usize) -> Vec<Endpoint> {
    (0..count).map(|it| endpoint(&format!("e{it}"))).collect()
}

/// One entry and a few engines.
pub struct Entry {
    pub balancer: LoadBalancer,
    pub endpoints: Vec<Endpoint>,
    pub tickets: Vec<Ticket>,
}

impl Entry {
    pub fn new(count: usize) -> Self {
        Self {
            balancer: LoadBalancer::new(name::DataCentre::from("dub-a"), 1),
            endpoints: engines(count),
            tickets: Vec::new(),
        }
    }

    pub fn choose(&mut self, profile: &RequestProfile<'_>, now: u64) -> Option<Choice> {
        let endpoints: Vec<_> = self.endpoints.iter().collect();
        self.balancer.choose(&endpoints, profile, Millis(now))
    }

    pub fn send(&mut self, profile: &RequestProfile<'_>, now: u64) -> String {
        let choice = self.choose(profile, now).expect("an endpoint is open");
        let ticket = self.balancer.begin(&choice, profile, Millis(now));
        self.tickets.push(ticket);
        choice.endpoint.life.id.to_string()
    }

    /// Sends a request that is answered at once and ends.
    pub fn serve(&mut self, profile: &RequestProfile<'_>, now: u64) -> String {
        let name = self.send(profile, now);
        let ticket = self.tickets.pop().unwrap();
        self.balancer
            .record_first_byte(&ticket, profile.work.is_none(), Millis(now));
        self.balancer.end(&ticket, Millis(now));
        name
    }
}

#[test]
fn entries_send_a_shared_prompt_to_the_same_engine() {
    let chosen: Vec<_> = ["dub-a", "dub-b"]
        .map(|data_centre| {
            let mut entry = Entry::new(9);
            entry.balancer = LoadBalancer::new(name::DataCentre::from(data_centre), 2);
            entry.send(&profile(&caption(7, 1)), 0)
        })
        .to_vec();
    assert_eq!(chosen[0], chosen[1]);
}

#[test]
fn a_prompt_goes_where_its_parts_are_cached() {
    let mut entry = Entry::new(9);
    let first = entry.serve(&profile(&caption(7, 1)), 0);
    for own in 2..6 {
        assert_eq!(entry.serve(&profile(&caption(7, own)), 10), first);
    }
}

#[test]
fn a_popular_prefix_spreads_once_its_engine_has_a_backlog() {
    let mut entry = Entry::new(9);
    let mut used = std::collections::BTreeSet::new();
    for own in 0..40 {
        used.insert(entry.send(&profile(&caption(7, own)), 0));
    }
    assert!(used.len() > 2, "{used:?}");
}

#[test]
fn long_prompts_avoid_engines_of_decode_heavy_streams() {
    let mut entry = Entry::new(9);
    let mut decode = std::collections::BTreeSet::new();
    let mut prefill = std::collections::BTreeSet::new();
    for own in 0..20 {
        decode.insert(entry.send(&profile(&narration(own)), 0));
        prefill.insert(entry.serve(&profile(&caption(own, 100 + own)), 0));
    }
    // The first few are decided before any demand of the other kind was recorded.
    let both = decode.intersection(&prefill).count();
    assert!(both <= 1, "{decode:?} {prefill:?}");
    assert!(prefill.len() > decode.len());
}

#[test]
fn a_burst_does_not_overfill_an_engine() {
    let mut entry = Entry::new(9);
    let mut counts = std::collections::BTreeMap::new();
    for own in 0..200 {
        *counts
            .entry(entry.send(&profile(&narration(own)), 0))
            .or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count < 64), "{counts:?}");
}

#[test]
fn load_of_other_entries_counts() {
    let mut first = Entry::new(4);
    let mut second = Entry::new(4);
    let busy = first.send(&profile(&caption(7, 1)), 0);
    first.endpoints.retain(|it| it.life.id.as_str() == busy);
    for own in 2..30 {
        first.send(&profile(&caption(7, own)), 0);
    }
    let gossip = first.balancer.gossip(48, Millis(0));
    let other = name::Entry::from("first");
    second.balancer.apply_gossip(&other, &gossip, Millis(0));
    assert_ne!(second.send(&profile(&caption(7, 99)), 0), busy);
    // Gossip of another entry expires.
    assert_eq!(second.send(&profile(&caption(7, 100)), 5_000), busy);
}

#[test]
fn an_unresponsive_endpoint_is_avoided() {
    let mut entry = Entry::new(3);
    let silent = entry.send(&PLAIN, 0);
    let later: Vec<_> = (0..30).map(|at| entry.serve(&PLAIN, 600 + at)).collect();
    assert!(!later.contains(&silent));
}

#[test]
fn an_overdue_request_counts_as_failure_whoever_ends_it() {
    let mut entry = Entry::new(2);
    let silent = entry.send(&PLAIN, 0);
    let ticket = entry.tickets.pop().unwrap();
    entry.balancer.end(&ticket, Millis(4_000));
    let later: Vec<_> = (0..10).map(|_| entry.serve(&PLAIN, 4_001)).collect();
    assert!(!later.contains(&silent));
}

#[rstest]
#[case::lost(HealthSignal::Lost, false)]
#[case::failure(HealthSignal::Failure, true)]
#[case::success(HealthSignal::Success, true)]
fn only_an_unreachable_endpoint_is_suspended(#[case] signal: HealthSignal, #[case] is_open: bool) {
    let mut entry = Entry::new(1);
    entry.serve(&PLAIN, 0);
    let name = life("e0");
    entry.balancer.record_signal(&name, signal, Millis(1));
    assert_eq!(entry.choose(&PLAIN, 2).is_some(), is_open);
}

#[test]
fn a_reported_load_counts_and_expires() {
    let mut entry = Entry::new(2);
    let busy = entry.serve(&PLAIN, 0);
    let report = Report {
        running: 64,
        waiting: 100,
        slots: 64,
        slowdown_percent: None,
    };
    let name = life(&busy);
    entry.balancer.record_report(&name, report, Millis(0));
    assert_ne!(entry.serve(&PLAIN, 1), busy);
    entry.endpoints.retain(|it| it.life == name);
    let mut wait = |now| entry.choose(&PLAIN, now).map_or(0.0, |it| it.expected_wait);
    let (fresh, faded, gone) = (wait(1), wait(500), wait(1_000));
    assert!(fresh > faded && faded > gone, "{fresh} {faded} {gone}");
}

#[test]
fn the_local_one_of_two_equal_endpoints_is_chosen() {
    let mut entry = Entry::new(2);
    entry.endpoints[0].data_centre = name::DataCentre::from("dub-b");
    assert_eq!(entry.serve(&PLAIN, 0), "e1");
}

/// The expected wait of a request, before and after an engine or a plain endpoint refuses others.
#[rstest]
#[case::at_once(0)]
#[case::soon(50)]
#[case::late(2_000)]
fn a_refusal_is_no_sample_of_speed(#[case] took: u64, #[values(true, false)] is_plain: bool) {
    let new_work = caption(99, 999);
    let probe = if is_plain { PLAIN } else { profile(&new_work) };
    let mut entry = Entry::new(1);
    let wait = |entry: &mut Entry| entry.choose(&probe, took).unwrap().expected_wait;
    let before = wait(&mut entry);
    for own in 0..20 {
        let work = caption(own, 100 + own);
        let refused = if is_plain { PLAIN } else { profile(&work) };
        entry.send(&refused, 0);
        let ticket = entry.tickets.pop().unwrap();
        entry.balancer.record_refusal(&ticket);
        entry.balancer.end(&ticket, Millis(took));
    }
    let after = wait(&mut entry);
    assert!((after - before).abs() < 1e-9, "{before} {after}");
}

/// Its answer is there, so that it neither waits nor is a failure when it ends late.
#[test]
fn a_refused_request_is_not_overdue() {
    let mut entry = Entry::new(2);
    let refusing = entry.send(&PLAIN, 0);
    let ticket = entry.tickets.pop().unwrap();
    entry.balancer.record_refusal(&ticket);
    entry.endpoints.retain(|it| it.life == life(&refusing));
    let before = entry.choose(&PLAIN, 0).unwrap().cost;
    let late = entry.choose(&PLAIN, 60_000).unwrap().cost;
    entry.balancer.end(&ticket, Millis(60_000));
    let after = entry.choose(&PLAIN, 60_000).unwrap().cost;
    assert!(late <= before && after <= before, "{before} {late} {after}");
}

/// After a stall of the entry itself, answers seem to have taken long. The entry must still
/// use the endpoint, or no sample would ever correct the value.
#[test]
fn samples_from_a_stall_do_not_exclude_an_endpoint() {
    let mut entry = Entry::new(1);
    for _ in 0..30 {
        entry.send(&PLAIN, 0);
    }
    for ticket in std::mem::take(&mut entry.tickets) {
        entry
            .balancer
            .record_first_byte(&ticket, true, Millis(4_000));
        entry.balancer.end(&ticket, Millis(4_000));
    }
    let choice = entry.choose(&PLAIN, 4_001).unwrap();
    assert!(!choice.is_too_late(Millis(600)), "{choice:?}");
    let later = entry.choose(&PLAIN, 200_000).unwrap();
    assert!(later.expected_wait < 30.0, "{later:?}");
}

#[test]
fn a_known_queue_makes_a_request_too_late() {
    let mut entry = Entry::new(1);
    for own in 0..40 {
        entry.send(&profile(&caption(7, own)), 0);
    }
    let choice = entry.choose(&profile(&caption(7, 99)), 0).unwrap();
    assert!(choice.is_too_late(Millis(1_000)), "{choice:?}");
    assert!(!choice.is_too_late(Millis(60_000)), "{choice:?}");
}

/// The estimated end of a stream includes a margin, as a tenth of the streams take longer than
/// forecast; a stream of unknown length has no estimated end.
#[test]
fn an_estimated_end_includes_a_margin() {
    let work = narration(1);
    let mut entry = Entry::new(1);
    let stream = entry.choose(&profile(&work), 0).unwrap();
    let duration = (stream.expected_wait + stream.stream_time) * 2.0;
    let estimated = stream.estimated_end(true, Millis(1_000)).unwrap();
    assert!(stream.stream_time > 0.0 && (estimated.0 as f64 - 1_000.0 - duration).abs() <= 1.0);
    let plain = entry.choose(&PLAIN, 0).unwrap();
    assert_eq!(plain.estimated_end(true, Millis(1_000)), None);
    assert!(plain.estimated_end(false, Millis(1_000)).is_some());
}

/// Replaces the endpoints of an entry by lives that started at the given time.
fn restart(entry: &mut Entry, at: u64) {
    for (number, endpoint) in entry.endpoints.iter_mut().enumerate() {
        *endpoint = started(&format!("e{number}"), at);
    }
}

/// For its first requests, a new life is treated like an endpoint that was never seen before.
#[rstest]
#[case::running(|entry: &mut Entry| { entry.send(&profile(&caption(7, 1)), 0); })]
#[case::kept_parts(|entry: &mut Entry| { entry.serve(&profile(&caption(7, 1)), 0); })]
#[case::failures(|entry: &mut Entry| {
    entry.serve(&profile(&caption(7, 1)), 0);
    let life = entry.endpoints[0].life.clone();
    entry.balancer.record_signal(&life, HealthSignal::Failure, Millis(0));
    entry.balancer.record_signal(&life, HealthSignal::Lost, Millis(0));
})]
#[case::reported_load(|entry: &mut Entry| {
    entry.serve(&profile(&caption(7, 1)), 0);
    let life = entry.endpoints[0].life.clone();
    let report = Report { running: 64, waiting: 100, slots: 64, slowdown_percent: None };
    entry.balancer.record_report(&life, report, Millis(0));
})]
#[case::told_by_others(|entry: &mut Entry| {
    let mut other = Entry::new(1);
    other.endpoints.clone_from(&entry.endpoints);
    other.send(&profile(&caption(7, 1)), 0);
    let gossip = other.balancer.gossip(48, Millis(0));
    entry.balancer.apply_gossip(&name::Entry::from("other"), &gossip, Millis(0));
    // Speed estimates of the service as a whole are kept.
    entry.serve(&profile(&caption(8, 1)), 0);
})]
fn a_new_life_starts_without_state(#[case] event: fn(&mut Entry)) {
    let mut entry = Entry::new(1);
    restart(&mut entry, 100);
    event(&mut entry);
    let met = entry.choose(&profile(&caption(7, 2)), 1);
    restart(&mut entry, 200);
    let again = entry
        .choose(&profile(&caption(7, 2)), 1)
        .expect("it is open");
    entry.endpoints = vec![started("e-never-heard-of", 100)];
    let fresh = entry
        .choose(&profile(&caption(7, 2)), 1)
        .expect("it is open");
    let figures = |it: &Choice| {
        (
            it.own_running,
            it.cached_tokens,
            format!("{:?}", (it.expected_wait, it.running, it.cost)),
        )
    };
    assert_eq!(figures(&again), figures(&fresh));
    // The events did leave state about the earlier life.
    assert_ne!(met.as_ref().map(figures), Some(figures(&again)));
}

/// Reports, failures and ends of requests of an earlier life do not affect the later one.
#[test]
fn late_signals_of_an_earlier_life_do_not_affect_the_later_one() {
    let mut entry = Entry::new(1);
    restart(&mut entry, 100);
    let earlier = entry.endpoints[0].life.clone();
    entry.send(&PLAIN, 0);
    restart(&mut entry, 200);
    entry.send(&PLAIN, 1);
    let before = entry.choose(&PLAIN, 2);
    let report = Report {
        running: 64,
        waiting: 100,
        slots: 64,
        slowdown_percent: None,
    };
    entry.balancer.record_report(&earlier, report, Millis(2));
    entry
        .balancer
        .record_signal(&earlier, HealthSignal::Lost, Millis(2));
    let ticket = entry.tickets.remove(0);
    entry.balancer.end(&ticket, Millis(2));
    entry.balancer.remove(&[earlier]);
    let after = entry.choose(&PLAIN, 2);
    assert!(after.is_some());
    assert_eq!(after, before);
}
