//! Which endpoint a request is sent to.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::Ask;
use woodgap_core::relay::engine::{Choice, Loads, Report, Ticket};
use woodgap_core::relay::health::Sign;
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

/// A long prompt with a short answer; `subject` is shared with others.
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

pub fn ask(work: &Work) -> Ask<'_> {
    Ask {
        work: Some(work),
        engine: Some(ENGINE),
        gap: Some(Millis(250)),
    }
}

pub const PLAIN: Ask<'static> = Ask {
    work: None,
    engine: None,
    gap: None,
};

fn engines(count: usize) -> Vec<Endpoint> {
    (0..count).map(|it| endpoint(&format!("e{it}"))).collect()
}

/// One entry before a few engines.
pub struct Entry {
    pub loads: Loads,
    pub endpoints: Vec<Endpoint>,
    pub tickets: Vec<Ticket>,
}

impl Entry {
    pub fn new(count: usize) -> Self {
        Self {
            loads: Loads::new(name::DataCentre::from("dub-a"), 1),
            endpoints: engines(count),
            tickets: Vec::new(),
        }
    }

    pub fn choose(&mut self, ask: &Ask<'_>, now: u64) -> Option<Choice> {
        let endpoints: Vec<_> = self.endpoints.iter().collect();
        self.loads.choose(&endpoints, ask, Millis(now))
    }

    pub fn send(&mut self, ask: &Ask<'_>, now: u64) -> String {
        let choice = self.choose(ask, now).expect("an endpoint is open");
        let ticket = self.loads.begin(&choice, ask, Millis(now));
        self.tickets.push(ticket);
        choice.endpoint.life.id.to_string()
    }

    /// Sends a request that is answered at once and ends.
    pub fn serve(&mut self, ask: &Ask<'_>, now: u64) -> String {
        let name = self.send(ask, now);
        let ticket = self.tickets.pop().unwrap();
        self.loads
            .answered(&ticket, ask.work.is_none(), Millis(now));
        self.loads.end(&ticket, Millis(now));
        name
    }
}

#[test]
fn entries_send_a_shared_prompt_to_the_same_engine() {
    let chosen: Vec<_> = ["dub-a", "dub-b"]
        .map(|data_centre| {
            let mut entry = Entry::new(9);
            entry.loads = Loads::new(name::DataCentre::from(data_centre), 2);
            entry.send(&ask(&caption(7, 1)), 0)
        })
        .to_vec();
    assert_eq!(chosen[0], chosen[1]);
}

#[test]
fn a_prompt_goes_where_its_parts_are_kept() {
    let mut entry = Entry::new(9);
    let first = entry.serve(&ask(&caption(7, 1)), 0);
    for own in 2..6 {
        assert_eq!(entry.serve(&ask(&caption(7, own)), 10), first);
    }
}

#[test]
fn a_hot_subject_spreads_once_its_engine_is_behind() {
    let mut entry = Entry::new(9);
    let mut used = std::collections::BTreeSet::new();
    for own in 0..40 {
        used.insert(entry.send(&ask(&caption(7, own)), 0));
    }
    assert!(used.len() > 2, "{used:?}");
}

#[test]
fn long_prompts_keep_away_from_steady_streams() {
    let mut entry = Entry::new(9);
    let mut steady = std::collections::BTreeSet::new();
    let mut others = std::collections::BTreeSet::new();
    for own in 0..20 {
        steady.insert(entry.send(&ask(&narration(own)), 0));
        others.insert(entry.serve(&ask(&caption(own, 100 + own)), 0));
    }
    // The first few decide before any demand for the other sort was seen.
    let both = steady.intersection(&others).count();
    assert!(both <= 1, "{steady:?} {others:?}");
    assert!(others.len() > steady.len());
}

#[test]
fn a_burst_does_not_overfill_an_engine() {
    let mut entry = Entry::new(9);
    let mut counts = std::collections::BTreeMap::new();
    for own in 0..200 {
        *counts
            .entry(entry.send(&ask(&narration(own)), 0))
            .or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count < 64), "{counts:?}");
}

#[test]
fn what_others_have_in_flight_counts() {
    let mut first = Entry::new(4);
    let mut second = Entry::new(4);
    let busy = first.send(&ask(&caption(7, 1)), 0);
    first.endpoints.retain(|it| it.life.id.as_str() == busy);
    for own in 2..30 {
        first.send(&ask(&caption(7, own)), 0);
    }
    let tidings = first.loads.tidings(48, Millis(0));
    let other = name::Entry::from("first");
    second.loads.tell(&other, &tidings, Millis(0));
    assert_ne!(second.send(&ask(&caption(7, 99)), 0), busy);
    // What an entry told counts for a while only.
    assert_eq!(second.send(&ask(&caption(7, 100)), 5_000), busy);
}

#[test]
fn an_endpoint_that_does_nothing_is_left_after_a_moment() {
    let mut entry = Entry::new(3);
    let silent = entry.send(&PLAIN, 0);
    let later: Vec<_> = (0..30).map(|at| entry.serve(&PLAIN, 600 + at)).collect();
    assert!(!later.contains(&silent));
}

#[test]
fn an_overdue_request_tells_against_its_endpoint_whoever_ends_it() {
    let mut entry = Entry::new(2);
    let silent = entry.send(&PLAIN, 0);
    let ticket = entry.tickets.pop().unwrap();
    entry.loads.end(&ticket, Millis(4_000));
    let later: Vec<_> = (0..10).map(|_| entry.serve(&PLAIN, 4_001)).collect();
    assert!(!later.contains(&silent));
}

#[rstest]
#[case::lost(Sign::Lost, false)]
#[case::bad(Sign::Bad, true)]
#[case::good(Sign::Good, true)]
fn only_a_lost_endpoint_is_closed(#[case] sign: Sign, #[case] is_open: bool) {
    let mut entry = Entry::new(1);
    entry.serve(&PLAIN, 0);
    let name = life("e0");
    entry.loads.note(&name, sign, Millis(1));
    assert_eq!(entry.choose(&PLAIN, 2).is_some(), is_open);
}

#[test]
fn a_reported_load_counts_and_fades() {
    let mut entry = Entry::new(2);
    let busy = entry.serve(&PLAIN, 0);
    let report = Report {
        running: 64,
        waiting: 100,
        slots: 64,
    };
    let name = life(&busy);
    entry.loads.report(&name, report, Millis(0));
    assert_ne!(entry.serve(&PLAIN, 1), busy);
    entry.endpoints.retain(|it| it.life == name);
    let mut wait = |now| entry.choose(&PLAIN, now).map_or(0.0, |it| it.wait);
    let (fresh, faded, gone) = (wait(1), wait(500), wait(1_000));
    assert!(fresh > faded && faded > gone, "{fresh} {faded} {gone}");
}

#[test]
fn the_near_one_of_two_equals_is_chosen() {
    let mut entry = Entry::new(2);
    entry.endpoints[0].data_centre = name::DataCentre::from("dub-b");
    assert_eq!(entry.serve(&PLAIN, 0), "e1");
}

/// An entry that stood still finds answers that seem to have taken long. It asks the
/// endpoint all the same: else it would never learn better.
#[test]
fn what_was_learnt_in_a_standstill_shuts_no_endpoint_out() {
    let mut entry = Entry::new(1);
    for _ in 0..30 {
        entry.send(&PLAIN, 0);
    }
    for ticket in std::mem::take(&mut entry.tickets) {
        entry.loads.answered(&ticket, true, Millis(4_000));
        entry.loads.end(&ticket, Millis(4_000));
    }
    let choice = entry.choose(&PLAIN, 4_001).unwrap();
    assert!(!choice.is_too_late(Millis(600)), "{choice:?}");
    let later = entry.choose(&PLAIN, 200_000).unwrap();
    assert!(later.wait < 30.0, "{later:?}");
}

#[test]
fn a_queue_that_is_there_makes_a_request_too_late() {
    let mut entry = Entry::new(1);
    for own in 0..40 {
        entry.send(&ask(&caption(7, own)), 0);
    }
    let choice = entry.choose(&ask(&caption(7, 99)), 0).unwrap();
    assert!(choice.is_too_late(Millis(1_000)), "{choice:?}");
    assert!(!choice.is_too_late(Millis(60_000)), "{choice:?}");
}

/// The end of a stream is told with room for the tenth that takes longer than forecast; that
/// of a stream of unknown length is not told.
#[test]
fn a_likely_end_leaves_room_for_doubt() {
    let work = narration(1);
    let mut entry = Entry::new(1);
    let stream = entry.choose(&ask(&work), 0).unwrap();
    let lasts = (stream.wait + stream.run) * 2.0;
    let told = stream.likely_end(true, Millis(1_000)).unwrap();
    assert!(stream.run > 0.0 && (told.0 as f64 - 1_000.0 - lasts).abs() <= 1.0);
    let plain = entry.choose(&PLAIN, 0).unwrap();
    assert_eq!(plain.likely_end(true, Millis(1_000)), None);
    assert!(plain.likely_end(false, Millis(1_000)).is_some());
}

/// The endpoints of an entry in the lives that began at a moment.
fn begin_again(entry: &mut Entry, at: u64) {
    for (number, endpoint) in entry.endpoints.iter_mut().enumerate() {
        *endpoint = started(&format!("e{number}"), at);
    }
}

/// The first requests meet a new life as they would meet an endpoint never heard of.
#[rstest]
#[case::running(|entry: &mut Entry| { entry.send(&ask(&caption(7, 1)), 0); })]
#[case::kept_parts(|entry: &mut Entry| { entry.serve(&ask(&caption(7, 1)), 0); })]
#[case::failures(|entry: &mut Entry| {
    entry.serve(&ask(&caption(7, 1)), 0);
    let life = entry.endpoints[0].life.clone();
    entry.loads.note(&life, Sign::Bad, Millis(0));
    entry.loads.note(&life, Sign::Lost, Millis(0));
})]
#[case::reported_load(|entry: &mut Entry| {
    entry.serve(&ask(&caption(7, 1)), 0);
    let life = entry.endpoints[0].life.clone();
    let report = Report { running: 64, waiting: 100, slots: 64 };
    entry.loads.report(&life, report, Millis(0));
})]
#[case::told_by_others(|entry: &mut Entry| {
    let mut other = Entry::new(1);
    other.endpoints.clone_from(&entry.endpoints);
    other.send(&ask(&caption(7, 1)), 0);
    let tidings = other.loads.tidings(48, Millis(0));
    entry.loads.tell(&name::Entry::from("other"), &tidings, Millis(0));
    // What is learnt of the service as a whole stays.
    entry.serve(&ask(&caption(8, 1)), 0);
})]
fn a_new_life_begins_with_nothing(#[case] happen: fn(&mut Entry)) {
    let mut entry = Entry::new(1);
    begin_again(&mut entry, 100);
    happen(&mut entry);
    let met = entry.choose(&ask(&caption(7, 2)), 1);
    begin_again(&mut entry, 200);
    let again = entry.choose(&ask(&caption(7, 2)), 1).expect("it is open");
    entry.endpoints = vec![started("e-never-heard-of", 100)];
    let fresh = entry.choose(&ask(&caption(7, 2)), 1).expect("it is open");
    let figures = |it: &Choice| {
        (
            it.own,
            it.kept,
            format!("{:?}", (it.wait, it.running, it.cost)),
        )
    };
    assert_eq!(figures(&again), figures(&fresh));
    // Of the earlier life, something was known.
    assert_ne!(met.as_ref().map(figures), Some(figures(&again)));
}

/// Reports, failures and ends of an earlier life do not count for the later one.
#[test]
fn late_news_of_an_earlier_life_do_not_count_for_the_later_one() {
    let mut entry = Entry::new(1);
    begin_again(&mut entry, 100);
    let earlier = entry.endpoints[0].life.clone();
    entry.send(&PLAIN, 0);
    begin_again(&mut entry, 200);
    entry.send(&PLAIN, 1);
    let before = entry.choose(&PLAIN, 2);
    let report = Report {
        running: 64,
        waiting: 100,
        slots: 64,
    };
    entry.loads.report(&earlier, report, Millis(2));
    entry.loads.note(&earlier, Sign::Lost, Millis(2));
    let ticket = entry.tickets.remove(0);
    entry.loads.end(&ticket, Millis(2));
    entry.loads.forget(&[earlier]);
    let after = entry.choose(&PLAIN, 2);
    assert!(after.is_some());
    assert_eq!(after, before);
}
