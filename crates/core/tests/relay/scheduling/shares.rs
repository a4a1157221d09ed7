//! What must hold for every division of a capacity, and for what one entry keeps and reports.

use proptest::prelude::*;
use woodgap_core::clock::Millis;
use woodgap_core::relay::scheduling::demand::{Demand, TRACKED_WORKSPACES};
use woodgap_core::relay::scheduling::level::{Level, Observation};
use woodgap_core::relay::scheduling::report::{self, PRIORITIES, Report, Totals, Workspace};
use woodgap_core::relay::scheduling::room::{RequestInfo, Room, Surroundings};
use woodgap_core::relay::scheduling::share::Shares;

/// Rounding in sums of some hundred values.
const ROUNDING: f64 = 1e-6;

/// Workspaces that are all listed, by priority, demand and weight.
fn demands() -> impl Strategy<Value = Vec<(u8, f64, f64)>> {
    proptest::collection::vec((0_u8..4, 0.1_f64..500.0, 0.01_f64..100.0), 1..40)
}

fn totals(demands: &[(u8, f64, f64)]) -> Totals {
    let mut totals = Totals::default();
    for (number, (priority, offered, weight)) in demands.iter().copied().enumerate() {
        let key = report::workspace_key(&format!("w-{number}"), priority);
        totals.offered[usize::from(priority)] += offered;
        totals.workspaces.push(Workspace {
            key,
            offered,
            weight,
        });
    }
    totals
}

fn admitted(shares: &Shares, totals: &Totals, priority: usize) -> f64 {
    let of_priority = totals.workspaces.iter();
    let of_priority = of_priority.filter(|it| report::priority_of(it.key) == priority);
    of_priority
        .map(|it| it.offered * shares.fraction(it.key))
        .sum()
}

proptest! {
    #[test]
    fn division_keeps_to_the_capacity_and_the_order(demands in demands(), part in 0.01_f64..1.5) {
        let totals = totals(&demands);
        let all = totals.all_offered();
        let capacity = part * all;
        let shares = Shares::new(capacity, &totals);
        let by_priority: Vec<f64> =
            (0..PRIORITIES).map(|it| admitted(&shares, &totals, it)).collect();
        let sum: f64 = by_priority.iter().sum();
        prop_assert!(sum <= capacity.min(all) + ROUNDING * all);
        prop_assert!(sum >= capacity.min(all) - ROUNDING * all, "capacity is left unused");
        let used = (0..PRIORITIES).filter(|it| totals.offered[*it] > 0.0);
        let fractions: Vec<f64> = used.map(|it| by_priority[it] / totals.offered[it]).collect();
        for fraction in &fractions {
            prop_assert!(*fraction >= 0.25 * part.min(1.0) - ROUNDING);
        }
        prop_assert!(fractions.is_sorted_by(|a, b| *a >= *b - ROUNDING));
    }

    #[test]
    fn workspace_below_its_fair_share_is_not_cut(demands in demands(), part in 0.01_f64..1.5) {
        let totals = totals(&demands);
        let shares = Shares::new(part * totals.all_offered(), &totals);
        for priority in 0..PRIORITIES {
            let listed = totals.workspaces.iter();
            let listed = listed.filter(|it| report::priority_of(it.key) == priority);
            let listed: Vec<&Workspace> = listed.collect();
            let weights: f64 = listed.iter().map(|it| it.weight).sum();
            let fair = admitted(&shares, &totals, priority) / weights;
            for workspace in listed {
                if workspace.offered <= fair * workspace.weight * (1.0 - ROUNDING) {
                    prop_assert!(shares.fraction(workspace.key) >= 1.0);
                }
            }
        }
    }

    #[test]
    fn late_answers_alone_do_not_set_a_limit(
        served in 1.0_f64..1e6,
        late in 0.0_f64..1.0,
        occupancy in 0.0_f64..0.2,
    ) {
        let mut level = Level::default();
        let seen = observation(served, late, occupancy);
        for at in 1..20 {
            level.update(&seen, Millis(400), Millis(at * 250));
            prop_assert_eq!(level.limit(), None);
        }
    }

    /// Engines that can't read all prompts are short of capacity although half of their slots are
    /// free.
    #[test]
    fn late_answers_of_occupied_endpoints_set_a_limit(
        served in 1.0_f64..1e6,
        late in 0.3_f64..1.0,
        occupancy in 0.35_f64..3.0,
    ) {
        let mut level = Level::default();
        level.update(&observation(served, late, occupancy), Millis(400), Millis(250));
        prop_assert!(level.limit().is_some_and(|limit| limit < served));
    }
}

fn observation(served: f64, late: f64, occupancy: f64) -> Observation {
    Observation {
        offered: 3.0 * served,
        admitted: served,
        served,
        late: late * served,
        occupancy,
        endpoint_capacity: 10.0,
        own_late: late,
        own_occupancy: occupancy,
        heard: 1.0,
        ..Observation::default()
    }
}

/// Guards against memory and messages that grow with the number of workspaces.
#[test]
fn workspaces_and_report_are_bounded() {
    let mut demand = Demand::default();
    for number in 0..5_000_u32 {
        let priority = u8::try_from(number % 7).unwrap();
        let key = report::workspace_key(&format!("w-{number}"), priority);
        demand.record_arrival(key, 1.0, 1e6, Millis(u64::from(number) / 10));
        demand.record_arrival(report::workspace_key("heavy", 1), 1.0, 1e6, Millis(500));
    }
    assert_eq!(demand.tracked(), TRACKED_WORKSPACES);
    let mut report = demand.report(Millis(500));
    report.service = u32::MAX;
    report.in_flight = u16::MAX;
    assert_eq!(
        report.heaviest[0].workspace,
        report::workspace_key("heavy", 1)
    );
    let bytes = postcard::to_stdvec(&report).unwrap().len();
    assert!(bytes <= 140, "{bytes} bytes");
    let totals = Totals::new(
        &demand.full_report(Millis(500)),
        [&report; 80].into_iter(),
        81,
    );
    assert!(totals.workspaces.len() <= TRACKED_WORKSPACES);
}

/// Guards against a fleet that admits too little because a workspace is listed by some entries
/// only and counts with the rest at the others.
#[test]
fn partly_listed_workspaces_are_counted_in_full() {
    let mut rooms = vec![Demand::default(); 20];
    for number in 0..2_000_usize {
        let workspace = format!("w-{}", number * 7 % 40);
        let key = report::workspace_key(&workspace, 0);
        rooms[number * 13 % 20].record_arrival(key, 1.0, 10.0, Millis(number as u64 / 2));
    }
    let reports: Vec<Report> = rooms.iter().map(|it| it.report(Millis(999))).collect();
    let totals = Totals::new(&reports[0], reports[1..].iter(), 20);
    let all = totals.all_offered();
    let shares = Shares::new(0.5 * all, &totals);
    let fractions = (0..40).map(|it| shares.fraction(report::workspace_key(&format!("w-{it}"), 0)));
    let mean = fractions.sum::<f64>() / 40.0;
    assert!((mean - 0.5).abs() < 0.05, "{mean}");
}

/// Guards against reports of another version or a faulty entry that spoil the sums.
#[test]
fn values_that_are_no_numbers_are_ignored() {
    let mut report = Report {
        served: f32::NAN,
        late: f32::INFINITY,
        ..Report::default()
    };
    report.limit = f32::NEG_INFINITY;
    let totals = Totals::new(&report, std::iter::once(&report), 2);
    assert_eq!(
        (totals.served, totals.late, totals.peer_limit),
        (0.0, 0.0, None)
    );
}

/// Guards against an entry that admits nothing, or all, before it knows its own demand.
#[test]
fn new_entry_admits_at_the_mean_rate() {
    let mut room = Room::default();
    let mut peer = Demand::default();
    for at in 0..100 {
        peer.record_arrival(report::workspace_key("w-1", 0), 1.0, 50.0, Millis(at * 10));
    }
    let mut peer = peer.report(Millis(999));
    peer.limit = 10.0;
    let around = Surroundings {
        entries: 4,
        endpoint_capacity: 100.0,
        slots: 10.0,
        nominal: 0.0,
        target: Millis(400),
    };
    let request = RequestInfo {
        workspace: "w-1",
        weight: 1.0,
        priority: 0,
        cost: 50.0,
    };
    room.record_arrival(&request, Millis(990));
    room.update([&peer; 3].into_iter(), 0, &around, Millis(1_000));
    let level = room.snapshot().level.unwrap();
    assert!((level - 1_000.0).abs() < 1.0);
    assert!((room.rate().unwrap() - level / 4.0).abs() < 1.0);
}
