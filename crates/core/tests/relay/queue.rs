//! The waiting list of a service at one entry, replayed on a test clock.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::scheduling::queue::{Applicant, Decision, MAX_WAITING, Queue, Reason};

/// The rate of each entry: a third of 100 requests per second.
pub const RATE: f64 = 33.0;

pub fn applicant(number: u64, workspace: &str) -> Applicant<'_> {
    Applicant {
        number,
        workspace,
        weight: 100,
        priority: 0,
        class: "captions",
        cost: 1.0,
        bytes: 900,
        target: Millis(400),
        has_returned: false,
        is_within_share: false,
    }
}

/// Random arrivals at this rate, in ms.
pub fn arrivals(rate: f64, seconds: u64, seed: u64) -> Vec<u64> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut at = 0.0;
    let mut times = Vec::new();
    while at < seconds as f64 * 1_000.0 {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        times.push(at as u64);
        at -= (1.0 - random.random::<f64>()).ln() / rate * 1_000.0;
    }
    times
}

pub fn queue() -> Queue {
    let mut queue = Queue::default();
    queue.set_rate(Some(RATE), Millis(0), &mut Vec::new());
    queue
}

fn number(decision: Decision) -> u64 {
    let (Decision::Admit(number) | Decision::Refuse(number, _)) = decision;
    number
}

/// Offers requests at their times, each with the fraction that is let through. Returns the decision
/// about each and its time.
fn replay(requests: &[(u64, Applicant<'_>, f64)]) -> Vec<(Decision, u64)> {
    let (mut queue, mut decisions) = (queue(), BTreeMap::new());
    let mut out = Vec::new();
    let mut record = |out: &mut Vec<Decision>, now| {
        for decision in out.drain(..) {
            let earlier = decisions.insert(number(decision), (decision, now));
            assert_eq!(earlier, None, "decided twice");
        }
    };
    let end = (u64::MAX, None);
    let offers = requests.iter().map(|it| (it.0, Some(it))).chain([end]);
    for (at, offer) in offers {
        while let Some(due) = queue.next_deadline().filter(|due| due.0 <= at) {
            queue.advance(due, &mut out);
            record(&mut out, due.0);
        }
        if let Some((_, applicant, fraction)) = offer {
            queue.offer(applicant, *fraction, Millis(at), &mut out);
            record(&mut out, at);
        }
    }
    assert_eq!(decisions.len(), requests.len());
    decisions.into_values().collect()
}

/// Offers several streams of requests, each at its load relative to [`RATE`], for a minute;
/// `fraction` of the last one is let through. Returns the admitted fraction of each.
fn serve(streams: &[(Applicant<'_>, f64)], fraction: f64, seed: u64) -> Vec<f64> {
    let mut times = Vec::new();
    for (stream, (_, load)) in streams.iter().enumerate() {
        let own = arrivals(load * RATE, 60, seed + stream as u64);
        times.extend(own.into_iter().map(|at| (at, stream)));
    }
    times.sort_unstable();
    let request = |(number, (at, stream)): (u64, &(u64, usize))| {
        let (mut applicant, _) = streams[*stream];
        applicant.number = number;
        let is_last = *stream + 1 == streams.len();
        (*at, applicant, if is_last { fraction } else { 1.0 })
    };
    let requests: Vec<_> = (0..).zip(&times).map(request).collect();
    let mut counts = vec![(0.0, 0.0); streams.len()];
    for ((decision, _), (_, stream)) in replay(&requests).iter().zip(&times) {
        counts[*stream].0 += f64::from(u8::from(matches!(decision, Decision::Admit(_))));
        counts[*stream].1 += 1.0;
    }
    counts
        .iter()
        .map(|(admitted, all)| admitted / all)
        .collect()
}

/// Guards against requests within their share that are admitted ahead of the rate without a bound:
/// no more than what the bucket saves up (100 ms) and one round of messages (300 ms) may be ahead.
#[rstest]
fn the_advance_of_requests_within_their_share_is_bounded(#[values(1, 2, 3)] seed: u64) {
    let mut own = applicant(0, "murphy");
    own.is_within_share = true;
    let requests: Vec<_> = (0..)
        .zip(arrivals(2.0 * RATE, 60, seed))
        .map(|(number, at)| (at, Applicant { number, ..own }, 1.0))
        .collect();
    let decisions = replay(&requests);
    let admitted = decisions
        .iter()
        .filter(|it| matches!(it.0, Decision::Admit(_)));
    let mut times: Vec<_> = admitted.map(|it| it.1).collect();
    times.sort_unstable();
    for (count, at) in (1..).zip(times) {
        let most = RATE * (at as f64 + 400.0) / 1_000.0 + 1.0;
        assert!(f64::from(count) <= most, "{count} requests after {at} ms");
    }
}

/// Guards against requests that wait for the rate although their workspace is within its share.
#[test]
fn requests_within_their_share_are_admitted_ahead_of_the_rate() {
    let admitted_at_once = |is_within_share| {
        let (mut queue, mut out) = (queue(), Vec::new());
        for number in 0..10 {
            let mut request = applicant(number, "murphy");
            request.is_within_share = is_within_share;
            queue.offer(&request, 1.0, Millis(1), &mut out);
        }
        let is_admitted = |it: &&Decision| matches!(it, Decision::Admit(_));
        out.iter().filter(is_admitted).count()
    };
    // 300 ms of 33 requests per second are 9.9.
    assert_eq!(admitted_at_once(true), 10);
    assert!(admitted_at_once(false) < 5);
}

/// How many requests the same bucket admits in order of arrival, each within `max_wait` ms or
/// never. No order admits more, since all cost the same and may wait equally long.
fn reference(times: &[u64], max_wait: f64) -> usize {
    // The time from which the bucket is positive; it saves up 100 ms.
    let mut free = 0.0_f64;
    let admitted = times.iter().map(|at| *at as f64).filter(|at| {
        let admits = free - at <= max_wait;
        if admits {
            free = free.max(at - 100.0) + 1_000.0 / RATE;
        }
        admits
    });
    admitted.count()
}

/// A queue that keeps capacity idle while requests wait, or refuses some that could be served.
#[rstest]
fn random_arrivals_are_served_as_well_as_could_be_known(
    #[values(0.8, 1.0, 1.6, 3.0)] load: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let times = arrivals(load * RATE, 120, seed);
    let requests = (0..).zip(&times);
    let requests: Vec<_> = requests
        .map(|(it, at)| (*at, applicant(it, "murphy"), 1.0))
        .collect();
    let mut admitted = 0;
    for ((decision, at), arrived) in replay(&requests).into_iter().zip(&times) {
        match decision {
            Decision::Admit(_) => assert!(at <= arrived + 100),
            // All are alike, so none becomes hopeless after it arrived.
            Decision::Refuse(_, reason) => assert_eq!((reason, at), (Reason::NoRoom, *arrived)),
        }
        admitted += usize::from(matches!(decision, Decision::Admit(_)));
    }
    let (none, best) = (reference(&times, 0.0), reference(&times, 100.0));
    let offered = times.len();
    println!("load {load} seed {seed}: offered {offered} none {none} queue {admitted} best {best}");
    assert!(admitted >= none, "{admitted} with, {none} without a queue");
    assert!(
        admitted as f64 >= 0.98 * best as f64,
        "{admitted} of {best}"
    );
}

/// Requests that wait for their time to pass although the rate has fallen, and capacity or memory
/// that is kept for callers who have gone.
#[test]
fn what_cannot_be_in_time_or_has_gone_leaves_at_once() {
    let (mut queue, mut out) = (queue(), Vec::new());
    for number in 0..9 {
        queue.offer(&applicant(number, "murphy"), 1.0, Millis(500), &mut out);
    }
    // Four use the burst, three more fit into 100 ms.
    assert!((queue.backlog() - 3.0).abs() < 1e-9);
    out.clear();
    queue.set_rate(Some(15.0), Millis(510), &mut out);
    assert_eq!(out, [5, 6].map(|it| Decision::Refuse(it, Reason::NoRoom)));
    queue.withdraw(4, Millis(520));
    assert!(queue.backlog() < 1e-9);
    assert_eq!(queue.next_deadline(), None);
}

/// Urgent requests that take all, or a floor that lets less urgent ones overtake.
#[rstest]
#[case::two([(0, 2.0), (2, 2.0)].as_slice())]
#[case::few_urgent(&[(0, 0.5), (2, 2.0)])]
#[case::many_urgent(&[(0, 3.0), (1, 0.3), (2, 0.3)])]
#[case::few_others(&[(0, 1.5), (1, 1.5), (3, 0.1)])]
fn no_priority_is_starved(#[case] loads: &[(u8, f64)], #[values(1, 2, 3)] seed: u64) {
    let stream = |(priority, load): &(u8, f64)| {
        let mut applicant = applicant(0, "murphy");
        applicant.priority = *priority;
        (applicant, *load)
    };
    let streams: Vec<_> = loads.iter().map(stream).collect();
    let fractions = serve(&streams, 1.0, 100 * seed);
    let offered: f64 = loads.iter().map(|(_, load)| load).sum();
    let admitted = loads
        .iter()
        .zip(&fractions)
        .map(|((_, load), it)| load * it);
    let mean = admitted.sum::<f64>() / offered;
    println!("{loads:?} seed {seed}: {fractions:.3?}, mean {mean:.3}");
    assert!(fractions.iter().all(|it| *it >= mean / 4.0));
    // The counts vary by chance: two less urgent priorities may both be at their floor.
    for ((_, load), pair) in loads[1..].iter().zip(fractions.windows(2)) {
        let deviation = (pair[1] * (1.0 - pair[1]) / (60.0 * RATE * load)).sqrt();
        assert!(pair[0] >= pair[1] - 2.0 * deviation);
    }
    assert!(loads[0].1 > 0.5 || fractions[0] >= 0.97);
}

/// A heavy workspace at whose cost others are refused. What the small ones leave is 0.28 of what it
/// asks for, which the shares let through.
#[rstest]
fn small_workspaces_are_served_beside_a_heavy_one(#[values(1, 2, 3)] seed: u64) {
    let names: Vec<_> = (0..8).map(|it| format!("small-{it}")).collect();
    let small = names.iter().map(|it| (applicant(0, it), 0.04));
    let streams: Vec<_> = small.chain([(applicant(0, "heavy"), 2.4)]).collect();
    let fractions = serve(&streams, 0.28, 100 * seed);
    println!("seed {seed}: {fractions:.3?}");
    assert!(fractions[..8].iter().sum::<f64>() / 8.0 >= 0.95);
}

/// Workspaces that are served alike although their weights differ.
#[test]
fn weights_divide_the_rate() {
    let mut heavy = applicant(0, "heavy");
    heavy.weight = 300;
    let fractions = serve(&[(applicant(0, "light"), 2.0), (heavy, 2.0)], 1.0, 1);
    let ratio = fractions[1] / fractions[0];
    assert!((2.7..3.3).contains(&ratio), "{fractions:.3?}");
}

/// A selection that prefers small prompts, or that lets nothing through where an entry sees only
/// a few requests of a workspace.
#[test]
fn a_fraction_holds_for_large_prompts_and_at_many_entries() {
    let mut admitted = [0, 0];
    for entry in 0..400 {
        let mut queue = Queue::default();
        queue.set_rate(Some(1e6), Millis(0), &mut Vec::new());
        for number in 0..4 {
            let kind = usize::from(number % 2 == 0);
            let mut applicant = applicant(entry * 4 + number, "murphy");
            applicant.cost = [1.0, 50.0][kind];
            let mut out = Vec::new();
            queue.offer(&applicant, 0.2, Millis(10 + number), &mut out);
            admitted[kind] += usize::from(matches!(out[..], [Decision::Admit(_)]));
        }
    }
    // 160 of 800 of each kind are expected; the standard deviation is 11.
    assert!(
        admitted.iter().all(|it| (120..=200).contains(it)),
        "{admitted:?}"
    );
}

proptest! {
    /// Requests that get no or two decisions, that stay beyond their time, or a list above its
    /// bounds, whatever is offered.
    #[test]
    fn bounds_hold_and_each_request_is_decided_once(
        steps in prop::collection::vec((0..20_u8, 0..900_u64, 0..9_u8, 0.0..6.0, any::<bool>()), 1..400),
    ) {
        const MAX_BYTES: usize = 200_000;
        let (mut queue, mut out, mut now) = (Queue::new(MAX_BYTES), Vec::new(), 0);
        queue.set_rate(Some(RATE), Millis(0), &mut out);
        let mut waiting: BTreeMap<u64, (usize, u64, f64)> = BTreeMap::new();
        for (number_here, (kind, amount, workspace, cost, flag)) in (0..).zip(steps) {
            match kind {
                0 => {
                    queue.withdraw(amount, Millis(now));
                    waiting.remove(&amount);
                }
                1 => queue.set_rate(flag.then_some(amount as f64), Millis(now), &mut out),
                2..=6 => {
                    now += amount % 90;
                    while let Some(at) = queue.next_deadline().filter(|at| at.0 <= now) {
                        queue.advance(at, &mut out);
                    }
                }
                _ => {
                    let workspace = workspace.to_string();
                    let mut it = applicant(number_here, &workspace);
                    (it.priority, it.cost, it.has_returned) = (kind - 7, cost, flag);
                    it.class = if cost < 2.0 { "short" } else { "long" };
                    (it.bytes, it.target) = (usize::from(kind) * 600, Millis(10 * amount));
                    waiting.insert(number_here, (it.bytes, now + it.target.0 / 4, cost));
                    queue.offer(&it, 0.3 + cost / 4.0, Millis(now), &mut out);
                }
            }
            for decision in out.drain(..) {
                prop_assert!(waiting.remove(&number(decision)).is_some());
            }
            prop_assert!(waiting.len() <= MAX_WAITING);
            prop_assert!(waiting.values().map(|it| it.0).sum::<usize>() <= MAX_BYTES);
            prop_assert!(waiting.values().all(|it| it.1 > now));
            let cost: f64 = waiting.values().map(|it| it.2).sum();
            prop_assert!((queue.backlog() - cost).abs() < 1e-6);
        }
        queue.set_rate(None, Millis(now), &mut out);
        prop_assert_eq!(out.len(), waiting.len());
    }
}
