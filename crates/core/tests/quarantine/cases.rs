//! Tests with one or two entries and a few crashes.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::quarantine::{
    CRASH_THRESHOLD, Cause, Crash, HOLD_DURATION, MAX_TRIALS, Quarantine, UNCERTAIN_CRASH_THRESHOLD,
};

use super::{crash, request};

/// How long what explains its crashes alone is withheld.
pub const HELD: Millis = HOLD_DURATION;

/// Returns a quarantine that has recorded these crashes of one request, and the request.
fn after(crashes: &[Crash]) -> (Quarantine, Cause) {
    let mut quarantine = Quarantine::default();
    let one = request("one");
    for crash in crashes {
        quarantine.record_crash(&[one], *crash, crash.at);
    }
    (quarantine, one)
}

/// Returns `count` sequential crashes, one per second.
fn sequential_crashes(count: usize) -> Vec<Crash> {
    let endpoints = 1..=u32::try_from(count).unwrap();
    endpoints
        .map(|it| crash(it, u64::from(it) * 1_000))
        .collect()
}

/// Returns sequential crashes, each after the given number of pieces of the response.
fn at_positions<const COUNT: usize>(pieces: [u32; COUNT]) -> Vec<Crash> {
    let crashes = sequential_crashes(COUNT).into_iter().zip(pieces);
    crashes
        .map(|(crash, pieces)| Crash { pieces, ..crash })
        .collect()
}

#[rstest]
#[case::two(&sequential_crashes(2), false)]
#[case::three(&sequential_crashes(3), true)]
#[case::all_at_once(&[crash(1, 1_000), crash(2, 1_000), crash(3, 1_001), crash(4, 1_002)], false)]
#[case::some_ms_apart(&[crash(1, 1_000), crash(2, 1_030), crash(3, 1_060), crash(4, 1_090)], false)]
#[case::sent_before_the_one_before(
    &[crash(1, 1_000), crash(2, 1_030), crash(3, 1_050), crash(4, 1_080), crash(5, 1_099)],
    false
)]
#[case::one_crash_told_three_times(&[crash(1, 1_000), crash(1, 1_200), crash(1, 1_900)], false)]
#[case::one_endpoint_three_times(&[crash(1, 1_000), crash(1, 4_000), crash(1, 8_000)], true)]
#[case::in_the_first_pieces(&at_positions([4, 2, 6]), true)]
#[case::at_the_same_place(&at_positions([40, 42, 39]), false)]
#[case::at_the_same_place_five_times(&at_positions([40, 42, 39, 40, 41]), true)]
#[case::anywhere(&at_positions([0, 40, 90]), false)]
#[case::at_the_same_place_in_the_end(&at_positions([90, 3, 0, 1]), true)]
#[case::at_once_and_then_two(
    &[crash(1, 1_000), crash(2, 1_000), crash(3, 2_000), crash(4, 3_000)], true
)]
fn sequential_crashes_withhold_a_request(#[case] crashes: &[Crash], #[case] is_held: bool) {
    let (quarantine, one) = after(crashes);
    assert_eq!(quarantine.hold(&[one], Millis(9_000)).is_some(), is_held);
    assert_eq!(
        quarantine.withheld(Millis(9_000)).count(),
        usize::from(is_held)
    );
}

/// Guards against dropping the crashes that form a sequence when the record is full. One run
/// takes 1 s and a crash comes every 100 ms, so no eight consecutive crashes contain three
/// sequential ones.
#[test]
fn overlapping_crashes_do_not_evict_sequential_ones() {
    let crashes: Vec<_> = (1..=30)
        .map(|it| Crash {
            sent: Millis(u64::from(it) * 100),
            at: Millis(u64::from(it) * 100 + 1_000),
            endpoint: it,
            pieces: 0,
        })
        .collect();
    let (quarantine, one) = after(&crashes);
    assert!(quarantine.hold(&[one], Millis(9_000)).is_some());
}

#[test]
fn a_completed_run_resets_the_count() {
    let (mut quarantine, one) = after(&sequential_crashes(2));
    quarantine.record_success(&[one], Millis(2_500), Millis(2_500));
    quarantine.record_crash(&[one], crash(3, 3_000), Millis(3_000));
    assert_eq!(quarantine.hold(&[one], Millis(3_000)), None);
}

#[rstest]
#[case::popular(true, UNCERTAIN_CRASH_THRESHOLD)]
#[case::unknown(false, CRASH_THRESHOLD)]
fn a_recently_completed_request_needs_more_crashes(
    #[case] is_popular: bool,
    #[case] needed: usize,
) {
    let one = request("one");
    let mut quarantine = Quarantine::default();
    if is_popular {
        quarantine.record_success(&[one], Millis(500), Millis(500));
    }
    for crash in sequential_crashes(needed) {
        assert_eq!(quarantine.hold(&[one], crash.sent), None);
        quarantine.record_crash(&[one], crash, crash.at);
    }
    assert!(quarantine.hold(&[one], Millis(9_000)).is_some());
}

/// Many callers send the same request, and another one crashes the endpoints that run it: the first
/// one stands beside more crashes.
#[test]
fn a_request_that_has_completed_lately_does_not_hide_the_cause() {
    let (cause, popular) = (request("cause"), request("popular"));
    let mut quarantine = Quarantine::default();
    quarantine.record_success(&[popular], Millis(500), Millis(500));
    let crashes = sequential_crashes(UNCERTAIN_CRASH_THRESHOLD + 2);
    for (at, crash) in crashes.into_iter().enumerate() {
        quarantine.record_crash(&[popular], crash, crash.at);
        if at < UNCERTAIN_CRASH_THRESHOLD {
            quarantine.record_crash(&[cause], crash, crash.at);
        }
        assert_eq!(quarantine.hold(&[popular], crash.at), None);
    }
    assert!(quarantine.hold(&[cause], Millis(9_000)).is_some());
}

/// Streams of many callers are the same request. Few of them end well where endpoints crash often, but
/// some go on past the place at which others were cut off.
#[test]
fn a_stream_that_goes_on_clears_the_crashes_at_its_beginning() {
    let (mut quarantine, one) = after(&sequential_crashes(CRASH_THRESHOLD));
    assert!(quarantine.hold(&[one], Millis(9_000)).is_some());
    let change = quarantine.record_progress(&[one], Millis(4_000));
    assert_eq!(change.released, [one]);
    // Also those of which others tell later.
    let (mut other, _) = after(&sequential_crashes(CRASH_THRESHOLD));
    quarantine.merge_histories(&other.histories_to_send(9, Millis(4_100)), Millis(4_100));
    assert_eq!(quarantine.hold(&[one], Millis(9_000)), None);
}

/// It may crash endpoints later in its response.
#[test]
fn a_stream_that_goes_on_clears_no_later_crashes() {
    let (mut quarantine, one) = after(&at_positions([40, 42, 39, 40, 41]));
    assert!(quarantine.hold(&[one], Millis(9_000)).is_some());
    quarantine.record_progress(&[one], Millis(7_000));
    assert!(quarantine.hold(&[one], Millis(9_000)).is_some());
    let mut other = Quarantine::default();
    other.record_progress(&[one], Millis(7_000));
    other.merge_histories(
        &quarantine.histories_to_send(9, Millis(7_100)),
        Millis(7_100),
    );
    assert!(other.hold(&[one], Millis(9_000)).is_some());
}

/// Two requests run on the same endpoints until a further crash shows which of them is the
/// cause.
#[test]
fn requests_beside_the_cause_are_not_withheld() {
    let (one, other) = (request("one"), request("other"));
    let mut quarantine = Quarantine::default();
    for crash in sequential_crashes(CRASH_THRESHOLD) {
        quarantine.record_crash(&[one], crash, crash.at);
        quarantine.record_crash(&[other], crash, crash.at);
    }
    let last = crash(9, 5_000);
    assert_eq!(quarantine.withheld(last.at).count(), 0);
    quarantine.record_crash(&[one], last, last.at);
    assert!(quarantine.hold(&[one], last.at).is_some());
    assert_eq!(quarantine.hold(&[other], last.at), None);
}

/// Two requests that each crash endpoints always run together. One is withheld first, and the
/// other after as many crashes without it.
#[test]
fn two_causes_do_not_hide_one_another() {
    let requests = [request("one"), request("other")];
    let mut quarantine = Quarantine::default();
    for crash in sequential_crashes(UNCERTAIN_CRASH_THRESHOLD + CRASH_THRESHOLD) {
        for request in requests {
            if quarantine.hold(&[request], crash.sent).is_none() {
                quarantine.record_crash(&[request], crash, crash.at);
            }
        }
    }
    for request in requests {
        assert!(quarantine.hold(&[request], Millis(9_000)).is_some());
    }
}

/// Each entry sees one crash and sends its history to the next one, whose clock differs.
#[test]
fn entries_combine_their_crash_histories() {
    let one = request("one");
    let mut histories = (Vec::new(), Millis::ZERO);
    let mut withheld = Vec::new();
    for (at, seen) in sequential_crashes(CRASH_THRESHOLD).into_iter().enumerate() {
        let ahead = Millis(500_000 * (at as u64 + 1));
        let now = seen.at + ahead;
        let mut entry = Quarantine::default();
        entry.merge_histories(&histories.0, histories.1 + ahead);
        let crash = Crash {
            sent: seen.sent + ahead,
            at: now,
            ..seen
        };
        let change = entry.record_crash(&[one], crash, now);
        assert_eq!(change.is_urgent, at > 0);
        withheld = change.withheld;
        histories = (entry.histories_to_send(9, now), seen.at);
    }
    assert_eq!(withheld, [one]);
}

/// Guards against restoring cleared crashes from an entry that has not yet heard of the
/// completed run.
#[test]
fn outdated_histories_do_not_restore_cleared_crashes() {
    let (mut first, one) = after(&sequential_crashes(2));
    let old = first.histories_to_send(9, Millis(2_100));
    let mut second = Quarantine::default();
    second.merge_histories(&old, Millis(2_100));
    second.record_success(&[one], Millis(2_200), Millis(2_200));
    second.merge_histories(&old, Millis(2_300));
    assert_eq!(second.histories_to_send(9, Millis(2_300))[0].crashes, []);
    // In the other direction, the entry with the crashes learns of the completed run.
    first.merge_histories(&second.histories_to_send(9, Millis(2_400)), Millis(2_400));
    first.record_crash(&[one], crash(3, 3_000), Millis(3_000));
    assert_eq!(first.hold(&[one], Millis(3_000)), None);
}

/// Guards against forgetting crashes that were seen by entries that are replaced one after the
/// other: those that start in between have missed when they were told.
#[test]
fn an_entry_that_has_just_started_hears_of_earlier_crashes() {
    let (mut first, one) = after(&sequential_crashes(2));
    let now = Millis(9_000);
    assert_eq!(first.histories_to_send(9, now), []);
    let mut second = Quarantine::new(1);
    second.merge_histories(&first.histories_for_newcomer(9, now), now);
    second.record_crash(&[one], crash(3, 9_500), Millis(9_500));
    assert!(second.hold(&[one], Millis(9_600)).is_some());
    // What is sent to all is not repeated.
    first.record_crash(&[one], crash(3, 9_500), Millis(9_500));
    assert_eq!(first.histories_for_newcomer(9, Millis(9_600)), []);
}

/// Guards against ignoring a completed run that was recorded before its entry knew of the
/// crashes.
#[test]
fn a_completed_run_clears_crashes_received_later() {
    let (mut first, one) = after(&sequential_crashes(2));
    let mut second = Quarantine::default();
    second.record_success(&[one], Millis(2_050), Millis(2_050));
    second.merge_histories(&first.histories_to_send(9, Millis(2_100)), Millis(2_100));
    assert_eq!(second.histories_to_send(9, Millis(2_100))[0].crashes, []);
}

/// Of crashes received together, those before a completed run are void and the one after it
/// counts.
#[test]
fn a_completed_run_clears_only_earlier_crashes() {
    let (mut first, one) = after(&sequential_crashes(CRASH_THRESHOLD));
    let mut second = Quarantine::default();
    second.record_success(&[one], Millis(2_050), Millis(2_050));
    second.merge_histories(&first.histories_to_send(9, Millis(3_100)), Millis(3_100));
    assert_eq!(second.hold(&[one], Millis(3_100)), None);
    let histories = second.histories_to_send(9, Millis(3_100));
    assert_eq!(histories[0].crashes.len(), 1);
    first.merge_histories(&histories, Millis(3_200));
    assert_eq!(first.hold(&[one], Millis(3_200)), None);
}

#[test]
fn hold_durations_double_until_trials_are_exhausted() {
    let (mut quarantine, one) = after(&sequential_crashes(CRASH_THRESHOLD));
    let mut span = HOLD_DURATION;
    for endpoint in 10..10 + MAX_TRIALS {
        let hold = quarantine.hold(&[one], Millis(9_000)).unwrap();
        assert_eq!(hold.until - hold.since, span);
        assert_eq!(quarantine.hold(&[one], hold.until), None);
        let trial = Crash {
            endpoint,
            sent: hold.until,
            at: hold.until + Millis(100),
            pieces: 0,
        };
        quarantine.record_crash(&[one], trial, trial.at);
        assert!(quarantine.hold(&[one], trial.at).is_some());
        span = Millis(span.0 * 2);
    }
    let hold = quarantine.hold(&[one], Millis(9_000)).unwrap();
    quarantine.expire(hold.until);
    assert_eq!(quarantine.histories_to_send(9, hold.until), []);
}

#[test]
fn a_completed_trial_releases_the_request() {
    let (mut quarantine, one) = after(&sequential_crashes(CRASH_THRESHOLD));
    let change = quarantine.record_success(&[one], Millis(700_000), Millis(700_000));
    assert_eq!(change.released, [one]);
    assert_eq!(quarantine.hold(&[one], Millis(9_000)), None);
}

/// Many different requests with one crash each use a bounded amount of memory and evict no
/// withheld request.
#[test]
fn eviction_keeps_withheld_requests() {
    let (mut quarantine, one) = after(&sequential_crashes(CRASH_THRESHOLD));
    for number in 0..5_000 {
        let at = Millis(4_000 + number);
        let other = request(&number.to_string());
        quarantine.record_crash(&[other], crash(50, at.0), at);
        quarantine.record_success(&[request(&format!("well {number}"))], at, at);
    }
    assert!(quarantine.hold(&[one], Millis(10_000)).is_some());
    let histories = quarantine.histories_to_send(usize::MAX, Millis(9_000));
    assert_eq!(histories.len(), 1_024);
    assert!(histories.iter().any(|history| history.cause == one));
}

/// The history with the most crashes is sent in each round, and all others are sent in turn.
#[test]
fn histories_are_sent_in_turns() {
    let (mut quarantine, one) = after(&sequential_crashes(2));
    let others: Vec<_> = (0..6).map(|it| request(&it.to_string())).collect();
    for other in &others {
        quarantine.record_crash(&[*other], crash(2, 2_000), Millis(2_000));
    }
    let mut sent = Vec::new();
    for round in 0..3 {
        let histories = quarantine.histories_to_send(3, Millis(2_100 + round));
        assert_eq!(histories[0].cause, one);
        sent.extend(histories.into_iter().skip(1).map(|it| it.cause));
    }
    sent.sort();
    let mut others = others;
    others.sort();
    assert_eq!(sent, others);
}

/// The encoded size of a history in bytes, with one crash and with three.
#[test]
fn what_is_told_is_short() {
    let bytes = |count: usize| {
        let (mut quarantine, _) = after(&sequential_crashes(count));
        let histories = quarantine.histories_to_send(1, Millis(count as u64 * 1_000 + 500));
        postcard::to_stdvec(&histories[0]).unwrap().len()
    };
    insta::assert_debug_snapshot!((bytes(1), bytes(3)));
}
