//! The load patterns for which the shares are designed, with the code without them for
//! comparison. The best that could be known is an admission of exactly the capacity.

use std::ops::Range;

use rstest::rstest;

use super::model::{COST, Callers, Model, Setting, Sums, callers};

/// The overload lasts from here on, for 50 s unless stated otherwise.
const START: f64 = 5.0;
const END: f64 = 55.0;
const OVERLOAD: Range<usize> = 5..55;
/// Its part after the late answers of its beginning have been worked off.
const STEADY: Range<usize> = 15..55;
/// Of the capacity, the part that must produce answers in time.
const USEFUL: f64 = 0.85;

fn fleet(seed: u64) -> Setting {
    Setting {
        entries: 80,
        capacity: |_| 400.0,
        known_capacity: |_| 400.0,
        is_scheduled: true,
        silent: 0.0,
        killed_at: None,
        seconds: 70,
        seed,
    }
}

/// Three entries in front of a service of 100 requests per second.
fn small(seed: u64) -> Setting {
    Setting {
        entries: 3,
        capacity: |_| 100.0,
        known_capacity: |_| 100.0,
        ..fleet(seed)
    }
}

fn step(at: f64) -> f64 {
    if (START..END).contains(&at) { 3.0 } else { 0.5 }
}

/// Twenty workspaces that together ask for this multiple of 400 requests per second.
fn alike(load: fn(f64) -> f64) -> Vec<Callers> {
    let group = |number| callers(&format!("w-{number}"), 0, move |at| 20.0 * load(at));
    (0..20).map(group).collect()
}

/// One workspace that asks for `rate` during the overload, and eight small ones.
fn one_heavy(rate: f64, small: f64) -> Vec<Callers> {
    let heavy = move |at| {
        if (START..END).contains(&at) {
            rate
        } else {
            small
        }
    };
    let mut all = vec![callers("heavy", 0, heavy)];
    all.extend((0..8).map(|number| callers(&format!("w-{number}"), 0, move |_| small)));
    all
}

/// The urgent priority asks for half of 100 requests per second, the other one for twice as many.
fn two_priorities() -> Vec<Callers> {
    let urgent = callers("w-1", 0, |at| 50.0 * f64::from(at > START));
    let other = callers("w-2", 2, |at| 200.0 * f64::from(at > START));
    vec![urgent, other]
}

fn groups(model: &Model) -> Vec<usize> {
    (0..model.sums[0].len()).collect()
}

fn in_time(sums: Sums) -> f64 {
    sums.in_time / sums.offered
}

/// Runs a pattern without and with the shares, and prints what is useful of the capacity.
fn compare(name: &str, setting: impl Fn() -> Setting, load: impl Fn() -> Vec<Callers>) -> Model {
    let without = Setting {
        is_scheduled: false,
        ..setting()
    };
    let without = Model::run(without, load());
    let with = Model::run(setting(), load());
    let (before, steady) = (without.useful(OVERLOAD), with.useful(STEADY));
    let useful = with.useful(OVERLOAD);
    println!("{name}: without {before:.3}, with {useful:.3}, steady {steady:.3}");
    with
}

/// The lowest and highest mean level of a second.
fn level_range(model: &Model, seconds: Range<usize>) -> (f64, f64) {
    let means = model.levels[seconds].iter();
    let means = means.map(|levels| levels.iter().sum::<f64>() / levels.len() as f64);
    means.fold((f64::INFINITY, 0.0), |(low, high), it| {
        (low.min(it), high.max(it))
    })
}

/// Guards against an oscillation of the level, and against a limit that outlives the overload.
#[rstest]
#[case::all_heard(0.0, 1)]
#[case::half_silent(0.5, 2)]
fn step_to_three_times_the_capacity_and_back(#[case] silent: f64, #[case] seed: u64) {
    let setting = || Setting {
        silent,
        ..fleet(seed)
    };
    let model = compare("step", setting, || alike(step));
    assert!(model.useful(STEADY) >= USEFUL);
    let (low, high) = level_range(&model, STEADY);
    println!("level {low:.0} to {high:.0}");
    assert!(low > 0.85 * 400.0 && high < 1.1 * 400.0);
    let after = model.total(59..70, &groups(&model));
    assert!(in_time(after) >= 0.99, "{}", in_time(after));
}

#[test]
fn ramp_to_three_times_the_capacity() {
    let ramp = |at: f64| (0.5 + at / 20.0).min(3.0);
    let model = compare("ramp", || fleet(3), || alike(ramp));
    assert!(model.useful(15..70) >= USEFUL, "{}", model.useful(15..70));
}

#[rstest]
#[case::three_entries(3, 0.0, 4)]
#[case::many_entries(80, 0.0, 5)]
#[case::half_silent(80, 0.5, 6)]
fn heavy_workspace_does_not_take_the_share_of_small_ones(
    #[case] entries: usize,
    #[case] silent: f64,
    #[case] seed: u64,
) {
    let setting = || Setting {
        entries,
        silent,
        ..small(seed)
    };
    let model = compare("heavy", setting, || one_heavy(240.0, 4.0));
    let served = in_time(model.total(STEADY, &[1, 2, 3, 4, 5, 6, 7, 8]));
    println!("small workspaces in time: {served:.3}");
    assert!(served >= 0.95);
    assert!(model.useful(STEADY) >= USEFUL);
}

#[test]
fn small_workspaces_are_served_while_an_entry_is_killed() {
    let setting = || Setting {
        killed_at: Some(30_000),
        ..small(7)
    };
    let model = compare("killed", setting, || one_heavy(240.0, 4.0));
    let served = in_time(model.total(30..40, &[1, 2, 3, 4, 5, 6, 7, 8]));
    println!("small workspaces in time: {served:.3}");
    assert!(served >= 0.90);
}

/// Guards against a share that follows the reports only after seconds.
#[test]
fn workspace_with_ten_times_its_demand_is_limited_within_a_second() {
    // Nine others ask for the capacity and a half, so that there is a shortage before.
    let load = || {
        let heavy = |at: f64| if at < 30.0 { 44.0 } else { 440.0 };
        let mut all = vec![callers("heavy", 0, heavy)];
        all.extend((0..9).map(|number| callers(&format!("w-{number}"), 0, |_| 60.0)));
        all
    };
    let model = compare("ten times", || fleet(8), load);
    let admitted = model.total(31..32, &[0]).admitted / COST;
    println!("admitted in the second after the first: {admitted:.0}");
    // Ten workspaces that ask for more than a tenth of the capacity each.
    assert!(admitted <= 1.25 * 40.0, "{admitted}");
}

#[rstest]
#[case::three_entries(3, 9)]
#[case::many_entries(80, 10)]
fn urgent_priority_is_served_first(#[case] entries: usize, #[case] seed: u64) {
    let model = compare(
        "priorities",
        || Setting {
            entries,
            ..small(seed)
        },
        two_priorities,
    );
    let urgent = in_time(model.total(STEADY, &[0]));
    let other = in_time(model.total(STEADY, &[1]));
    println!("priority 0 in time: {urgent:.3}, priority 2: {other:.3}");
    assert!(urgent >= 0.97);
    assert!(other >= 0.25 * in_time(model.total(STEADY, &[0, 1])));
    assert!(model.useful(STEADY) >= USEFUL);
}

#[rstest]
#[case::known(|at| if at < 30.0 { 400.0 } else { 150.0 }, 11)]
#[case::hidden(|_| 400.0, 12)]
fn sudden_loss_of_capacity(#[case] known_capacity: fn(f64) -> f64, #[case] seed: u64) {
    let setting = || Setting {
        capacity: |at| if at < 30.0 { 400.0 } else { 150.0 },
        known_capacity,
        ..fleet(seed)
    };
    let model = compare("loss", setting, || alike(|at| 1.2 * f64::from(at > START)));
    let useful = model.useful(40..70);
    println!("from ten seconds after the loss on: {useful:.3}");
    assert!(useful >= USEFUL);
}

/// The required results with the beginning of an overload, of which nothing can be known before
/// answers are late.
#[rstest]
#[case::step(|| fleet(1), || alike(step))]
#[case::step_half_silent(|| Setting { silent: 0.5, ..fleet(2) }, || alike(step))]
#[case::heavy_three_entries(|| small(4), || one_heavy(240.0, 4.0))]
#[case::heavy_many_entries(|| Setting { entries: 80, ..small(5) }, || one_heavy(240.0, 4.0))]
#[case::priorities_three_entries(|| small(9), two_priorities)]
fn useful_part_of_an_overload_with_its_beginning(
    #[case] setting: fn() -> Setting,
    #[case] load: fn() -> Vec<Callers>,
) {
    let useful = Model::run(setting(), load()).useful(OVERLOAD);
    println!("useful with the beginning: {useful:.3}");
    assert!(useful >= USEFUL, "{useful:.3}");
}
