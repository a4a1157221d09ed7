//! What endpoints report of their load and speed, in the choice of endpoints and the forecast.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::engine::{LoadBalancer, Report, ReportNotice, Ticket};
use woodgap_core::relay::load_report::{LoadReport, life_key};
use woodgap_core::relay::prefix::mix;
use woodgap_core::relay::roster::Endpoint;

use crate::engine::{ENGINE, Entry, PLAIN, caption, narration, profile};
use crate::roster::endpoint;

/// The load pattern of the page: 15 of 100 endpoints are slow, each for 600 ms.
const ENDPOINTS: usize = 100;
const SLOW: u64 = 15;
const PHASE: u64 = 600;
/// Four slots serve 25 requests per second, as on the page.
const SLOTS: u32 = 4;
const USUAL_MS: u64 = 160;
const SLOW_MS: u64 = 400;
const TARGET_MS: u64 = 350;

/// Whether an endpoint is slow: one of 15 drawn for each phase, which begin at different times.
fn is_slow(endpoint: usize, now: u64, seed: u64) -> bool {
    let drawn = |turn| mix(mix(seed, turn), (now + turn * PHASE / SLOW) / PHASE) % ENDPOINTS as u64;
    (0..SLOW).any(|turn| drawn(turn) == endpoint as u64)
}

/// How entries know the speed of endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Knowledge {
    /// The service is not scheduled.
    None,
    /// From reports that entries exchange in rounds of so many ms.
    Reports(u64),
    /// The entry sees when each endpoint would answer.
    Perfect,
}

/// Twenty entries in front of endpoints with a few slots each, and the late part of the answers.
struct Fleet {
    entries: Vec<LoadBalancer>,
    endpoints: Vec<Endpoint>,
    free_at: Vec<[u64; SLOTS as usize]>,
    sent: BinaryHeap<Reverse<(u64, usize, usize, usize)>>,
    tickets: Vec<Option<Ticket>>,
    /// Answers by endpoint.
    answers: Vec<usize>,
    late: usize,
    seed: u64,
    /// Changes the reports of the first ten endpoints.
    distort: fn(&mut Report),
}

impl Fleet {
    fn play(knowledge: Knowledge, per_second: u64, seed: u64, distort: fn(&mut Report)) -> Self {
        let entry = |seed| LoadBalancer::new(name::DataCentre::from("dub-a"), seed);
        let mut fleet = Self {
            entries: (0..20).map(entry).collect(),
            endpoints: (0..ENDPOINTS)
                .map(|it| endpoint(&format!("e{it}")))
                .collect(),
            free_at: vec![[0; SLOTS as usize]; ENDPOINTS],
            sent: BinaryHeap::new(),
            tickets: Vec::new(),
            answers: vec![0; ENDPOINTS],
            late: 0,
            seed,
            distort,
        };
        for endpoint in &mut fleet.endpoints {
            endpoint.slots = SLOTS;
        }
        let round = match knowledge {
            Knowledge::Reports(round) => round,
            _ => 300,
        };
        for entry in &mut fleet.entries {
            entry.set_scheduled("engines", matches!(knowledge, Knowledge::Reports(_)));
        }
        for now in 5_000..9_000 {
            fleet.answer(now);
            let draw = mix(seed, now) % 1_000;
            for nth in 0..(per_second + draw) / 1_000 {
                fleet.send(knowledge, mix(now, nth), now);
            }
            fleet.gossip(round, now);
        }
        fleet
    }

    fn late_part(&self) -> f64 {
        self.late as f64 / self.tickets.len() as f64
    }

    fn send(&mut self, knowledge: Knowledge, draw: u64, now: u64) {
        let from = usize::try_from(draw % 20).unwrap();
        let end = |at: usize| {
            let span = if is_slow(at, now, self.seed) {
                SLOW_MS
            } else {
                USUAL_MS
            };
            self.free_at[at][0].max(now) + span
        };
        let soonest = (0..ENDPOINTS).min_by_key(|at| (end(*at), mix(draw, *at as u64)));
        let all: Vec<_> = match knowledge {
            Knowledge::Perfect => soonest.map(|at| &self.endpoints[at]).into_iter().collect(),
            _ => self.endpoints.iter().collect(),
        };
        let entry = &mut self.entries[from];
        let choice = entry.choose(&all, &PLAIN, Millis(now)).unwrap();
        let at = self
            .endpoints
            .iter()
            .position(|it| *it == choice.endpoint)
            .unwrap();
        let end = end(at);
        self.late += usize::from(end - now > TARGET_MS);
        self.free_at[at][0] = end;
        self.free_at[at].sort_unstable();
        self.sent.push(Reverse((end, at, from, self.tickets.len())));
        let ticket = self.entries[from].begin(&choice, &PLAIN, Millis(now));
        self.tickets.push(Some(ticket));
    }

    fn answer(&mut self, now: u64) {
        while let Some(Reverse((_, at, from, ticket))) = self.sent.peek().copied()
            && self.sent.peek().is_some_and(|it| it.0.0 <= now)
        {
            self.sent.pop();
            let ticket = self.tickets[ticket].take().unwrap();
            let others = self.sent.iter().filter(|it| it.0.1 == at).count();
            let percent = if is_slow(at, now, self.seed) {
                250
            } else {
                100
            };
            let mut report = Report {
                running: u32::try_from(others + 1).unwrap(),
                waiting: 0,
                slots: SLOTS,
                slowdown_percent: Some(percent),
            };
            if at < 10 {
                (self.distort)(&mut report);
            }
            let entry = &mut self.entries[from];
            entry.record_first_byte(&ticket, true, Millis(now));
            entry.record_report(ticket.endpoint(), report, Millis(now));
            entry.end(&ticket, Millis(now));
            self.answers[at] += 1;
        }
    }

    /// In each round an entry exchanges messages with six others.
    fn gossip(&mut self, round: u64, now: u64) {
        for from in 0..20 {
            if !(now + from * round / 20).is_multiple_of(round) {
                continue;
            }
            for step in 1..=6 {
                let pair = [from, (from + step + now / round * 6) % 20]
                    .map(|it| usize::try_from(it).unwrap());
                for [from, to] in [pair, [pair[1], pair[0]]] {
                    let message = self.entries[from].gossip(48, Millis(now));
                    let name = name::Entry::from(format!("r{from}"));
                    self.entries[to].apply_gossip(&name, &message, Millis(now));
                }
            }
        }
    }
}

fn honest(_: &mut Report) {}

/// The mean late part of two plays.
fn late_part(knowledge: Knowledge, per_second: u64, distort: fn(&mut Report)) -> f64 {
    let plays = [1, 2].map(|seed| Fleet::play(knowledge, per_second, seed, distort).late_part());
    plays.iter().sum::<f64>() / 2.0
}

/// Reports that are exchanged each round of 300 ms must help at 0.4 and 0.8 of the capacity, and
/// older ones must do no harm.
#[rstest]
#[case::moderate_load(1_000)]
#[case::high_load(2_000)]
fn reports_avoid_slow_endpoints(#[case] per_second: u64) {
    let late = |knowledge| late_part(knowledge, per_second, honest);
    let without = late(Knowledge::None);
    let rounds = [50, 300, 1_000].map(|round| late(Knowledge::Reports(round)));
    let perfect = late(Knowledge::Perfect);
    println!(
        "late at {per_second}/s: without {without:.3}, by round {rounds:.3?}, perfect {perfect:.3}"
    );
    assert!(rounds[0] < without && rounds[1] < without && rounds[2] <= without);
    assert!(perfect < rounds[0]);
}

/// The first ten endpoints report wrongly: measured times and known requests must keep the late
/// part below that without reports, and must keep these endpoints in use.
#[rstest]
#[case::too_little_load(|report: &mut Report| report.running = 0)]
#[case::too_much_load(|report: &mut Report| report.running = 1_000)]
#[case::too_fast(|report: &mut Report| report.slowdown_percent = Some(1))]
#[case::too_slow(|report: &mut Report| report.slowdown_percent = Some(u16::MAX))]
fn wrong_reports_are_corrected(#[case] distort: fn(&mut Report)) {
    let without = late_part(Knowledge::None, 1_500, honest);
    let fleet = Fleet::play(Knowledge::Reports(300), 1_500, 1, distort);
    let share = fleet.answers[..10].iter().sum::<usize>() as f64 / fleet.tickets.len() as f64;
    println!(
        "late: {:.3}, without {without:.3}; share of ten endpoints {share:.3}",
        fleet.late_part()
    );
    assert!(fleet.late_part() < without);
    assert!(share > 0.01 && share < 0.2, "{share}");
}

/// One report of an endpoint, made to another entry.
fn report(balancer: &mut LoadBalancer, notice: ReportNotice, now: u64) {
    let reports = vec![notice];
    let message = LoadReport {
        reports,
        ..LoadReport::default()
    };
    balancer.apply_gossip(&name::Entry::from("r2"), &message, Millis(now));
}

/// The mean squared error of the slowdown, over all endpoints of the load pattern, for a report
/// of this age: as the balancer uses it, as reported, and without reports (always the mean).
fn errors(age: u16) -> [f64; 3] {
    let mut balancer = LoadBalancer::new(name::DataCentre::from("dub-a"), 1);
    balancer.set_scheduled("engines", true);
    let endpoint = endpoint("e0");
    let slowdown = |slow| if slow { 2.5 } else { 1.0 };
    let mut sums = [0.0; 3];
    for step in 0..20_000_u64 {
        let now = 5_000 + step * 1_009;
        let at = usize::try_from(step % ENDPOINTS as u64).unwrap();
        let told = slowdown(is_slow(at, now - u64::from(age), 1));
        let slowdown_percent = if told > 1.0 { 250 } else { 100 };
        let notice = ReportNotice {
            endpoint: life_key(&endpoint.life),
            in_flight: 0,
            slowdown_percent,
            age_ms: age,
        };
        report(&mut balancer, notice, now);
        let used = 1.0 / balancer.capacity(&[&endpoint], Millis(now));
        let actual = slowdown(is_slow(at, now, 1));
        let mean = 1.0 + 1.5 * 0.14;
        for (sum, guess) in sums.iter_mut().zip([used, told, mean]) {
            *sum += (guess - actual).powi(2) / 20_000.0;
        }
    }
    sums
}

/// As reported, a slowdown is no better than the mean from half of the phase on. Weighted by its
/// age it helps for longer, and from the whole phase on it isn't used.
#[rstest]
#[case(0, true, true)]
#[case(200, true, true)]
#[case(400, true, false)]
#[case(600, false, false)]
fn a_reported_slowdown_expires(#[case] age: u16, #[case] helps: bool, #[case] helps_as_told: bool) {
    let [used, told, mean] = errors(age);
    println!("age {age}: used {used:.3}, as reported {told:.3}, mean {mean:.3}");
    assert_eq!([used < mean, told < mean], [helps, helps_as_told]);
}

/// A burst at one engine with 24 slots whose streams hold them for 1 to 4 s. The forecast of the
/// wait must be within a factor of two of the modelled one, in the median.
#[test]
fn the_forecast_includes_the_wait_for_a_slot() {
    let mut entry = Entry::new(1);
    entry.balancer.set_scheduled("engines", true);
    let work = narration(1);
    let mut profile = profile(&work);
    profile.engine = Some(woodgap_core::relay::plan::Engine {
        slots: 24,
        ..ENGINE
    });
    let mut free_at = [0_u64; 24];
    let mut sent: Vec<(u64, u64, Ticket)> = Vec::new();
    let mut ratios = Vec::new();
    for now in 1..20_000_u64 {
        while let Some(at) = sent.iter().position(|it| it.0 == now) {
            entry
                .balancer
                .record_first_byte(&sent[at].2, false, Millis(now));
            sent[at].0 = 0;
        }
        while let Some(at) = sent.iter().position(|it| it.1 == now) {
            let (_, _, ticket) = sent.remove(at);
            entry.balancer.end(&ticket, Millis(now));
        }
        // 9 requests per second fill 0.94 of the slots; the burst adds 16 requests in 0.2 s.
        let is_burst = (15_000..15_200).contains(&now) && now % 12 == 0;
        if now % 111 != 0 && !is_burst {
            continue;
        }
        let choice = entry.choose(&profile, now).unwrap();
        free_at.sort_unstable();
        let wait = free_at[0].saturating_sub(now);
        let first = now + wait + 20;
        free_at[0] = first + 1_000 + mix(7, now) % 3_000;
        if is_burst && choice.running >= 28.0 {
            ratios.push(choice.expected_wait / (wait + 20) as f64);
        }
        let ticket = entry.balancer.begin(&choice, &profile, Millis(now));
        sent.push((first, free_at[0], ticket));
    }
    ratios.sort_by(f64::total_cmp);
    println!("forecast / modelled wait: {ratios:.2?}");
    let median = ratios[ratios.len() / 2];
    assert!((0.5..=2.0).contains(&median), "{ratios:?}");
}

/// Reports, and scheduling of another service, change nothing for a service that isn't scheduled,
/// and nothing of it goes into messages.
#[test]
fn a_service_that_is_not_scheduled_is_served_as_before() {
    let play = |is_other_scheduled: bool, slowdown_percent: Option<u16>| {
        let mut entry = Entry::new(9);
        entry.balancer.set_scheduled("other", is_other_scheduled);
        let mut choices = Vec::new();
        for step in 0..200 {
            let now = 5_000 + step * 20;
            let work = caption(step % 7, step);
            let profile = if step % 3 == 0 { profile(&work) } else { PLAIN };
            let choice = entry.choose(&profile, now).unwrap();
            let life = choice.endpoint.life.clone();
            let ticket = entry.balancer.begin(&choice, &profile, Millis(now));
            if step % 2 == 0 {
                entry
                    .balancer
                    .record_first_byte(&ticket, profile.work.is_none(), Millis(now + 15));
                let report = Report {
                    running: 9,
                    waiting: 60,
                    slots: 64,
                    slowdown_percent,
                };
                entry
                    .balancer
                    .record_report(&life, report, Millis(now + 15));
                entry.balancer.end(&ticket, Millis(now + 15));
            }
            if is_other_scheduled {
                let notice = ReportNotice {
                    endpoint: life_key(&life),
                    in_flight: 90,
                    slowdown_percent: 900,
                    age_ms: 3,
                };
                report(&mut entry.balancer, notice, now + 15);
            }
            choices.push(choice);
        }
        let message = entry.balancer.gossip(48, Millis(9_000));
        assert!(message.reports.is_empty() || is_other_scheduled);
        (choices, message.endpoints.len())
    };
    let before = play(false, None);
    assert_eq!(play(false, Some(900)).0, before.0);
    assert_eq!(play(true, Some(900)).0, before.0);
    assert!(before.0.iter().all(|choice| choice.slot_wait == 0.0));
}

/// The most recent report wins, whoever it was made to, and goes to others first.
#[test]
fn the_most_recent_report_is_passed_on() {
    let mut balancer = LoadBalancer::new(name::DataCentre::from("dub-a"), 1);
    balancer.set_scheduled("engines", true);
    let notice = |endpoint, in_flight, age_ms| ReportNotice {
        endpoint,
        in_flight,
        slowdown_percent: 0,
        age_ms,
    };
    for told in [
        notice(1, 5, 200),
        notice(1, 9, 300),
        notice(1, 7, 100),
        notice(2, 4, 50),
        notice(3, 1, 1_000),
    ] {
        report(&mut balancer, told, 5_000);
    }
    let passed_on = balancer.gossip(48, Millis(5_010)).reports;
    assert_eq!(passed_on, [notice(2, 4, 60), notice(1, 7, 110)]);
    assert!(balancer.gossip(48, Millis(6_000)).reports.is_empty());
    assert!(!balancer.reports_speed("engines", Millis(5_010)));
}
