//! Back-offs that endpoints ask an entry for.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::back_off::BackOffs;

fn endpoint() -> name::Life {
    name::Life::from(name::Endpoint::from("e-1"))
}

/// When an endpoint gets a request again that turned one away at 0.
fn first_send(back_offs: &BackOffs) -> Option<u64> {
    (0..400_000).find(|at| back_offs.may_send(&endpoint(), Millis(*at)))
}

#[rstest]
#[case::as_asked(3_000, 0.0, 3_000)]
#[case::spread_over_a_tenth(3_000, 1.0, 3_300)]
#[case::nothing(0, 1.0, 0)]
#[case::beyond_bounds(u64::MAX, 0.0, 300_000)]
fn an_endpoint_gets_nothing_for_as_long_as_it_asks(
    #[case] span: u64,
    #[case] jitter: f64,
    #[case] expected: u64,
) {
    let mut back_offs = BackOffs::default();
    back_offs.record(&endpoint(), Millis(span), jitter, Millis(0));
    assert_eq!(first_send(&back_offs), Some(expected));
}

/// Requests that were under way are turned away as well, and some of them ask for less.
#[rstest]
#[case::longer(5_000, 5_100)]
#[case::shorter(500, 3_000)]
#[case::nothing(0, 3_000)]
fn the_longest_back_off_holds(#[case] second: u64, #[case] expected: u64) {
    let mut back_offs = BackOffs::default();
    assert!(back_offs.record(&endpoint(), Millis(3_000), 0.0, Millis(0)));
    assert!(!back_offs.record(&endpoint(), Millis(second), 0.0, Millis(100)));
    assert_eq!(first_send(&back_offs), Some(expected));
}

#[test]
fn an_answer_to_an_earlier_request_ends_no_back_off() {
    let mut back_offs = BackOffs::default();
    back_offs.record(&endpoint(), Millis(3_000), 0.0, Millis(0));
    assert!(!back_offs.record_taken(&endpoint(), Millis(2_000)));
    assert!(!back_offs.may_send(&endpoint(), Millis(2_000)));
}

#[test]
fn one_request_at_a_time_follows_a_back_off() {
    let mut back_offs = BackOffs::default();
    back_offs.record(&endpoint(), Millis(3_000), 0.0, Millis(0));
    back_offs.record_send(&endpoint(), Millis(3_000));
    assert!(!back_offs.may_send(&endpoint(), Millis(3_999)));
    // The first one has no answer: another one may have.
    assert!(back_offs.may_send(&endpoint(), Millis(4_000)));
    back_offs.record_send(&endpoint(), Millis(4_000));
    assert!(!back_offs.may_send(&endpoint(), Millis(4_500)));
    assert!(back_offs.record_taken(&endpoint(), Millis(4_600)));
    assert!(back_offs.may_send(&endpoint(), Millis(4_600)));
    assert!(back_offs.is_empty());
}

/// The one request is turned away as well.
#[test]
fn a_back_off_may_follow_another_one() {
    let mut back_offs = BackOffs::default();
    back_offs.record(&endpoint(), Millis(3_000), 0.0, Millis(0));
    back_offs.record_send(&endpoint(), Millis(3_000));
    back_offs.record(&endpoint(), Millis(2_000), 0.0, Millis(3_010));
    assert!(!back_offs.may_send(&endpoint(), Millis(5_009)));
    assert!(back_offs.may_send(&endpoint(), Millis(5_010)));
}

#[test]
fn back_offs_of_lives_that_are_over_are_forgotten() {
    let mut back_offs = BackOffs::default();
    back_offs.record(&endpoint(), Millis(3_000), 0.0, Millis(0));
    back_offs.remove(&[endpoint()]);
    assert_eq!(back_offs.count(Millis(0)), 0);
    assert!(back_offs.may_send(&endpoint(), Millis(0)));
}

/// Each request is declined as soon as it is sent.
#[test]
fn back_offs_double_with_each_decline() {
    let mut back_offs = BackOffs::default();
    let mut now = Millis(0);
    let spans = [50, 100, 200, 400, 800, 1_600, 1_600];
    for span in spans {
        assert!(back_offs.may_send(&endpoint(), now));
        back_offs.record_send(&endpoint(), now);
        let next = back_offs.record_declined(&endpoint(), 0.0, now);
        assert_eq!(next, Some(Millis(span)));
        // Requests that were sent together count once.
        assert_eq!(back_offs.record_declined(&endpoint(), 0.0, now), None);
        now = now + Millis(span);
    }
    assert!(
        !back_offs.record_taken(&endpoint(), now),
        "it had not asked for one"
    );
    assert_eq!(
        back_offs.record_declined(&endpoint(), 0.0, now),
        Some(Millis(50))
    );
}

#[rstest]
#[case::full_for_a_moment(1, true)]
#[case::full_for_longer(2, false)]
fn several_requests_at_a_time_follow_a_single_decline(#[case] declines: u32, #[case] open: bool) {
    let mut back_offs = BackOffs::default();
    let mut now = Millis(0);
    for _ in 0..declines {
        back_offs.record_declined(&endpoint(), 0.0, now);
        now = now + Millis(200);
    }
    back_offs.record_send(&endpoint(), now);
    assert_eq!(back_offs.may_send(&endpoint(), now), open);
}

/// A later life is listed so long after the earlier one has asked for a back-off.
#[rstest]
#[case::it_may_have_asked(4_999, false)]
#[case::the_earlier_one_asked(5_000, true)]
fn a_back_off_holds_for_a_life_that_was_listed_late(#[case] after: u64, #[case] may_send: bool) {
    let later = name::Life {
        started_unix: Some(Millis(1)),
        ..endpoint()
    };
    let mut back_offs = BackOffs::default();
    back_offs.record(&endpoint(), Millis(60_000), 0.0, Millis(0));
    back_offs.succeed(&endpoint(), &later, Millis(after));
    assert_eq!(back_offs.may_send(&later, Millis(after)), may_send);
    assert!(back_offs.may_send(&endpoint(), Millis(after)));
}

/// An endpoint is taken for gone while the platform is away, and listed again so long after.
#[rstest]
#[case::at_once(1, false)]
#[case::before_its_end(299_999, false)]
#[case::after_its_end(300_000, true)]
fn a_back_off_holds_for_a_life_that_is_listed_again(#[case] at: u64, #[case] may_send: bool) {
    let mut back_offs = BackOffs::default();
    back_offs.record(&endpoint(), Millis(300_000), 0.0, Millis(0));
    back_offs.give_up(&endpoint(), Millis(0));
    back_offs.remove(&[endpoint()]);
    assert!(back_offs.is_empty());
    back_offs.restore(|life| *life == endpoint(), Millis(at));
    assert_eq!(back_offs.may_send(&endpoint(), Millis(at)), may_send);
}

/// It has not taken a request since.
#[rstest]
#[case::within_ten_minutes(599_999, 1)]
#[case::later(600_000, 0)]
fn a_life_that_is_listed_again_after_its_back_off_gets_one_request(
    #[case] listed: u64,
    #[case] count: usize,
) {
    let mut back_offs = BackOffs::default();
    back_offs.record(&endpoint(), Millis(3_000), 0.0, Millis(0));
    back_offs.give_up(&endpoint(), Millis(0));
    back_offs.restore(|_| true, Millis(listed));
    assert_eq!(back_offs.count(Millis(listed)), count);
    back_offs.record_send(&endpoint(), Millis(listed));
    assert_eq!(back_offs.may_send(&endpoint(), Millis(listed)), count == 0);
}

/// A request that was under way when the endpoint was given up is declined without a word.
#[test]
fn a_late_decline_does_not_replace_a_back_off_that_is_kept() {
    let mut back_offs = BackOffs::default();
    back_offs.record(&endpoint(), Millis(60_000), 0.0, Millis(0));
    back_offs.give_up(&endpoint(), Millis(10_000));
    back_offs.record_declined(&endpoint(), 0.0, Millis(10_500));
    back_offs.restore(|_| true, Millis(20_000));
    assert!(!back_offs.may_send(&endpoint(), Millis(59_999)));
    assert!(!back_offs.is_fallback(&endpoint()));
}

#[test]
fn what_a_given_up_life_has_not_asked_for_or_another_one_has_is_not_restored() {
    let later = name::Life {
        started_unix: Some(Millis(1)),
        ..endpoint()
    };
    let mut back_offs = BackOffs::default();
    back_offs.record(&endpoint(), Millis(60_000), 0.0, Millis(0));
    back_offs.record_declined(&later, 0.0, Millis(0));
    for life in [endpoint(), later.clone()] {
        back_offs.give_up(&life, Millis(0));
    }
    assert_eq!(back_offs.restore(|life| *life == later, Millis(1)), []);
    assert!(back_offs.may_send(&later, Millis(1)));
}
