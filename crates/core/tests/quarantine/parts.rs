//! Tests of parts of prompts that crash endpoints, beside parts that sound requests hold.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::quarantine::{
    Cause, Change, Crash, DOUBTFUL_CRASH_THRESHOLD, DOUBTFUL_HOLD_DURATION, PART_CRASH_THRESHOLD,
    Quarantine, TRIAL_SPREAD, UNCERTAIN_HOLD_DURATION,
};

use super::{crash, request};

const FATAL: Cause = Cause::Part(0xfa7a);
/// A part that all requests of a caller hold.
const SHARED: Cause = Cause::Part(0x5a);

/// The causes in a request with these parts, no two alike.
fn with_parts(number: usize, parts: &[Cause]) -> Vec<Cause> {
    let own = request(&format!("with parts {number}"));
    [&[own], parts].concat()
}

/// Records so many crashes, one per second, each by a request with these parts.
fn crash_with(quarantine: &mut Quarantine, parts: &[Cause], crashes: std::ops::Range<usize>) {
    for number in crashes {
        let endpoint = u32::try_from(number).unwrap() + 1;
        let crash = crash(endpoint, u64::from(endpoint) * 1_000);
        quarantine.record_crash(&with_parts(number, parts), crash, crash.at);
    }
}

fn is_withheld(quarantine: &Quarantine, parts: &[Cause]) -> bool {
    let causes = with_parts(99, parts);
    quarantine.hold(&causes, Millis(9_000)).is_some()
}

#[rstest]
#[case::second(&[SHARED, FATAL])]
#[case::first(&[FATAL, SHARED])]
#[case::alone(&[FATAL])]
fn a_part_is_withheld_after_the_fifth_crash(#[case] parts: &[Cause]) {
    let mut quarantine = Quarantine::default();
    let sound = with_parts(0, &[SHARED]);
    quarantine.record_success(&sound, Millis(500), Millis(500));
    crash_with(&mut quarantine, parts, 0..PART_CRASH_THRESHOLD - 1);
    assert!(!is_withheld(&quarantine, parts));
    let last = PART_CRASH_THRESHOLD - 1;
    crash_with(&mut quarantine, parts, last..last + 1);
    assert!(is_withheld(&quarantine, parts));
    // Whatever else the request holds.
    assert!(is_withheld(
        &quarantine,
        &[Cause::Part(1), FATAL, Cause::Part(2)]
    ));
    assert!(!is_withheld(&quarantine, &[SHARED]));
}

/// Crashes overlap: requests are on their way to several endpoints at once.
#[test]
fn overlapping_crashes_count_for_a_part() {
    let mut quarantine = Quarantine::default();
    for number in 0..PART_CRASH_THRESHOLD as u64 {
        let crash = Crash {
            endpoint: u32::try_from(number).unwrap(),
            sent: Millis(1_000 + 200 * number),
            at: Millis(1_350 + 200 * number),
            pieces: 0,
        };
        let causes = with_parts(usize::try_from(number).unwrap(), &[SHARED, FATAL]);
        quarantine.record_crash(&causes, crash, crash.at);
        quarantine.record_success(&[SHARED], crash.at, crash.at);
    }
    assert!(is_withheld(&quarantine, &[SHARED, FATAL]));
    assert!(!is_withheld(&quarantine, &[SHARED]));
}

/// Two parts that come together in all crashes: sound requests with one of them are served, and
/// their ends tell which part it is.
#[test]
fn parts_that_always_come_together_are_withheld_together_only() {
    let mut quarantine = Quarantine::default();
    crash_with(&mut quarantine, &[SHARED, FATAL], 0..PART_CRASH_THRESHOLD);
    assert!(is_withheld(&quarantine, &[SHARED, FATAL]));
    assert!(!is_withheld(&quarantine, &[SHARED]));
    let sound = with_parts(50, &[SHARED]);
    let change = quarantine.record_success(&sound, Millis(8_000), Millis(8_000));
    assert_eq!(change.withheld, [FATAL]);
    assert!(is_withheld(&quarantine, &[FATAL]));
    assert!(!is_withheld(&quarantine, &[SHARED]));
}

/// After the hold one request with all of them is sent, and no other until it has ended.
#[test]
fn parts_that_are_withheld_together_are_tried_again_by_one_request() {
    let mut quarantine = Quarantine::default();
    crash_with(&mut quarantine, &[SHARED, FATAL], 0..PART_CRASH_THRESHOLD);
    let causes = with_parts(50, &[SHARED, FATAL]);
    let hold = quarantine.hold(&causes, Millis(6_000)).unwrap();
    assert_eq!(quarantine.hold(&causes, hold.until), None);
    quarantine.record_send(&causes, hold.until);
    let another = with_parts(51, &[SHARED, FATAL]);
    let next = quarantine.hold(&another, hold.until + Millis(1)).unwrap();
    assert!(next.until > hold.until);
    // Those that hold some of them go on.
    let sound = with_parts(52, &[SHARED]);
    assert_eq!(quarantine.hold(&sound, hold.until + Millis(1)), None);
}

/// One request more shows that the other part is the cause.
#[test]
fn a_further_crash_tells_parts_apart() {
    let mut quarantine = Quarantine::default();
    crash_with(&mut quarantine, &[SHARED, FATAL], 0..PART_CRASH_THRESHOLD);
    let last = PART_CRASH_THRESHOLD;
    crash_with(&mut quarantine, &[FATAL], last..last + 1);
    assert!(is_withheld(&quarantine, &[FATAL]));
    assert!(!is_withheld(&quarantine, &[SHARED]));
}

/// A repeated request is withheld after as many crashes as one without parts, and the parts that
/// only it has held so far hold nobody back.
#[test]
fn a_repeated_request_with_parts_is_withheld_after_the_third_crash() {
    let mut quarantine = Quarantine::default();
    let causes = with_parts(0, &[SHARED, Cause::Part(1)]);
    for endpoint in 1..=3 {
        assert_eq!(quarantine.hold(&causes, Millis(9_000)), None);
        let crash = crash(endpoint, u64::from(endpoint) * 1_000);
        quarantine.record_crash(&causes, crash, crash.at);
    }
    assert!(quarantine.hold(&causes, Millis(9_000)).is_some());
    assert!(!is_withheld(&quarantine, &[SHARED, Cause::Part(1)]));
}

/// A sound request that is repeated after each crash stands beside all of them.
#[test]
fn a_request_beside_a_part_that_crashes_endpoints_is_served() {
    let mut quarantine = Quarantine::default();
    let beside = with_parts(77, &[SHARED]);
    quarantine.record_success(&[SHARED], Millis(500), Millis(500));
    for number in 0..PART_CRASH_THRESHOLD {
        let endpoint = u32::try_from(number).unwrap() + 1;
        let crash = crash(endpoint, u64::from(endpoint) * 1_000);
        quarantine.record_crash(&with_parts(number, &[SHARED, FATAL]), crash, crash.at);
        if number > 0 {
            quarantine.record_crash(&beside, crash, crash.at);
        }
    }
    assert!(is_withheld(&quarantine, &[SHARED, FATAL]));
    assert_eq!(quarantine.hold(&beside, Millis(9_000)), None);
}

/// A popular first part beside crashes of another cause: it stands beside each of them, and a run
/// of it ends well between any two.
#[test]
fn a_popular_part_beside_crashes_is_served() {
    let mut quarantine = Quarantine::default();
    for endpoint in 1..=20 {
        let at = Millis(u64::from(endpoint) * 1_000);
        quarantine.record_success(&with_parts(1_000, &[SHARED]), at - Millis(400), at);
        let crash = crash(endpoint, at.0);
        let cut_off = usize::try_from(endpoint).unwrap();
        quarantine.record_crash(&with_parts(cut_off, &[SHARED]), crash, at);
        assert!(!is_withheld(&quarantine, &[SHARED]));
    }
}

/// Each entry tries a part again at a moment of its own, with one request.
#[test]
fn a_part_is_tried_again_by_one_entry_after_the_other() {
    let mut moments = Vec::new();
    for seed in 0..6 {
        let mut quarantine = Quarantine::new(seed);
        // It has run for a while.
        quarantine.record_success(&[SHARED], Millis(500), Millis(500));
        crash_with(&mut quarantine, &[FATAL], 0..PART_CRASH_THRESHOLD);
        let causes = with_parts(0, &[FATAL]);
        let hold = quarantine.hold(&causes, Millis(6_000)).unwrap();
        let end = hold.since + super::cases::HELD;
        assert!(hold.until >= end && hold.until < end + TRIAL_SPREAD);
        moments.push(hold.until);
        assert_eq!(quarantine.hold(&causes, hold.until), None);
        quarantine.record_send(&causes, hold.until);
        let another = with_parts(1, &[FATAL]);
        let next = quarantine.hold(&another, hold.until + Millis(1)).unwrap();
        assert!(next.until > hold.until);
    }
    moments.sort();
    moments.dedup();
    assert_eq!(moments.len(), 6);
}

/// What one entry knows to have ended well clears a part at the others.
#[test]
fn a_trial_that_ends_well_releases_a_part_at_all_entries() {
    let mut first = Quarantine::default();
    crash_with(&mut first, &[FATAL], 0..PART_CRASH_THRESHOLD);
    let mut second = Quarantine::default();
    second.merge_histories(&first.histories_to_send(9, Millis(6_000)), Millis(6_000));
    assert!(is_withheld(&second, &[FATAL]));
    let later = Millis(6_000) + UNCERTAIN_HOLD_DURATION + UNCERTAIN_HOLD_DURATION;
    let change = first.record_success(&[FATAL], later, later);
    assert_eq!(change.released, [FATAL]);
    let change = second.merge_histories(&first.histories_to_send(9, later), later);
    assert_eq!(change.released, [FATAL]);
}

/// A part that all prompts hold stands beside each crash of a repeated request, and beside one more
/// of another cause; few runs end well meanwhile.
#[test]
fn a_popular_part_does_not_explain_the_crashes_of_a_request() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(&[SHARED], Millis(500), Millis(500));
    let fatal = with_parts(0, &[SHARED]);
    for endpoint in 1..=6 {
        let crash = crash(endpoint, u64::from(endpoint) * 1_000);
        let is_of_another_cause = endpoint == 3;
        let causes = if is_of_another_cause {
            with_parts(1, &[SHARED])
        } else {
            fatal.clone()
        };
        quarantine.record_crash(&causes, crash, crash.at);
        assert!(!is_withheld(&quarantine, &[SHARED]));
    }
    assert!(quarantine.hold(&fatal, Millis(9_000)).is_some());
}

/// Long streams are cut off before they end wherever endpoints crash often; that they go on after their
/// first pieces is enough for their parts.
#[test]
fn a_stream_that_goes_on_clears_its_parts() {
    let mut quarantine = Quarantine::default();
    crash_with(&mut quarantine, &[SHARED], 0..PART_CRASH_THRESHOLD);
    assert!(is_withheld(&quarantine, &[SHARED]));
    let change = quarantine.record_progress(&with_parts(50, &[SHARED]), Millis(6_000));
    assert_eq!(change.released, [SHARED]);
}

/// All endpoints end within a second and a half, and nothing ends well in between: the part that all
/// prompts hold stands beside each crash.
#[test]
fn a_popular_part_is_served_where_all_endpoints_crash_at_nearly_the_same_time() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(&[SHARED], Millis(500), Millis(500));
    for endpoint in 1..=6 {
        let crash = crash(endpoint, 1_000 + u64::from(endpoint) * 250);
        let number = usize::try_from(endpoint).unwrap();
        quarantine.record_crash(&with_parts(number, &[SHARED]), crash, crash.at);
        assert!(!is_withheld(&quarantine, &[SHARED]));
    }
}

/// A part that ran well before and crashes endpoints now, as after a change of these, is withheld a
/// little later, and tried again soon.
#[test]
fn a_popular_part_that_begins_to_crash_endpoints_is_withheld_for_a_short_time() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(&[FATAL], Millis(500), Millis(500));
    crash_with(&mut quarantine, &[FATAL], 0..DOUBTFUL_CRASH_THRESHOLD);
    let causes = with_parts(99, &[FATAL]);
    let hold = quarantine.hold(&causes, Millis(7_000)).unwrap();
    assert_eq!(hold.until - hold.since, DOUBTFUL_HOLD_DURATION);
    let trial = Crash {
        endpoint: 50,
        sent: hold.until,
        at: hold.until + Millis(100),
        pieces: 0,
    };
    quarantine.record_crash(&causes, trial, trial.at);
    let hold = quarantine.hold(&causes, trial.at).unwrap();
    assert_eq!(
        hold.until - hold.since,
        DOUBTFUL_HOLD_DURATION + DOUBTFUL_HOLD_DURATION
    );
}

/// What is stored of parts that can't be told apart withholds them together only, also at entries that
/// start later; and a part that is cleared is stored no longer.
#[test]
fn parts_that_are_withheld_together_are_stored_until_one_is_cleared() {
    let mut quarantine = Quarantine::default();
    crash_with(&mut quarantine, &[SHARED, FATAL], 0..PART_CRASH_THRESHOLD);
    let now = Millis(6_000);
    let stored = [SHARED, FATAL].map(|part| quarantine.history_to_store(part, now).unwrap());
    let mut later = Quarantine::default();
    later.merge_histories(&stored, now);
    assert!(is_withheld(&later, &[SHARED, FATAL]));
    assert!(!is_withheld(&later, &[SHARED]));
    let change = quarantine.record_success(&with_parts(50, &[SHARED]), now, now);
    assert_eq!(change.cleared, [SHARED]);
    assert_eq!(quarantine.history_to_store(SHARED, now), None);
    assert!(quarantine.history_to_store(FATAL, now).is_some());
}

/// Else an entry that starts when all others are gone counts from nothing.
#[test]
fn crashes_are_stored_from_the_second_one_on() {
    let mut quarantine = Quarantine::default();
    crash_with(&mut quarantine, &[FATAL], 0..1);
    let now = Millis(3_000);
    assert_eq!(quarantine.history_to_store(FATAL, now), None);
    crash_with(&mut quarantine, &[FATAL], 1..2);
    let stored = quarantine.history_to_store(FATAL, now).unwrap();
    let mut later = Quarantine::default();
    later.merge_histories(&[stored], now);
    crash_with(&mut later, &[FATAL], 2..PART_CRASH_THRESHOLD);
    assert!(is_withheld(&later, &[FATAL]));
    // Until a run ends well.
    let change = quarantine.record_success(&[FATAL], now, now);
    assert_eq!(change.cleared, [FATAL]);
    assert_eq!(quarantine.history_to_store(FATAL, now), None);
}

/// Each entry has seen one crash, and neither writes it.
#[test]
fn crashes_that_several_entries_have_seen_are_stored_once_these_tell() {
    let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
    crash_with(&mut first, &[FATAL], 0..1);
    crash_with(&mut second, &[FATAL], 1..2);
    let now = Millis(2_100);
    assert_eq!(second.history_to_store(FATAL, now), None);
    let change = second.merge_histories(&first.histories_to_send(9, now), now);
    assert_eq!(change.marked, [FATAL]);
    assert!(second.history_to_store(FATAL, now).is_some());
    let change = second.merge_histories(&first.histories_to_send(9, now), now);
    assert_eq!(change.marked, []);
}

/// What is withheld is told in each message, and would be written at each.
#[test]
fn what_is_withheld_already_is_not_stored_anew_whenever_it_is_told() {
    let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
    crash_with(&mut first, &[FATAL], 0..PART_CRASH_THRESHOLD);
    let now = Millis(6_000);
    let told = first.histories_to_send(9, now);
    assert_eq!(second.merge_histories(&told, now).withheld, [FATAL]);
    assert_eq!(second.merge_histories(&told, now), Change::default());
}

/// Many sound requests hold it: it stands beside each crash, and would be written at each.
#[test]
fn crashes_of_a_part_that_has_completed_lately_are_not_stored() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(&[SHARED], Millis(500), Millis(500));
    crash_with(&mut quarantine, &[SHARED], 0..3);
    assert_eq!(quarantine.history_to_store(SHARED, Millis(4_000)), None);
}
/// All entries have just been replaced, and endpoints crash faster than any stream outlasts its first
/// pieces: none of them knows that all prompts hold this part.
#[test]
fn an_entry_that_has_just_started_does_not_blame_a_part_of_all_prompts() {
    let mut quarantine = Quarantine::new(1);
    let last = DOUBTFUL_CRASH_THRESHOLD - 1;
    crash_with(&mut quarantine, &[SHARED], 0..last);
    assert!(!is_withheld(&quarantine, &[SHARED]));
    // Nor for long if it has to.
    crash_with(&mut quarantine, &[SHARED], last..last + 1);
    let hold = quarantine.hold(&with_parts(99, &[SHARED]), Millis(7_000));
    let hold = hold.unwrap();
    assert!(hold.until - hold.since < UNCERTAIN_HOLD_DURATION);
}

#[test]
fn an_entry_that_has_just_started_blames_a_part_once_another_one_has_completed() {
    let mut quarantine = Quarantine::new(1);
    quarantine.record_progress(&with_parts(0, &[SHARED]), Millis(500));
    crash_with(&mut quarantine, &[SHARED, FATAL], 0..PART_CRASH_THRESHOLD);
    assert!(is_withheld(&quarantine, &[SHARED, FATAL]));
    assert!(!is_withheld(&quarantine, &[SHARED]));
}

/// The others know which parts complete.
#[test]
fn an_entry_that_has_just_started_withholds_what_the_others_do() {
    let mut other = Quarantine::default();
    crash_with(&mut other, &[FATAL], 0..PART_CRASH_THRESHOLD);
    let now = Millis(6_000);
    let mut quarantine = Quarantine::new(1);
    quarantine.merge_histories(&other.histories_to_send(9, now), now);
    assert!(is_withheld(&quarantine, &[FATAL]));
}
