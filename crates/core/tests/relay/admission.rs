//! Admission control: whether a request is sent or refused.

use woodgap_core::clock::Millis;
use woodgap_core::relay::admission::{Decision, LatencyRequirement, decide};
use woodgap_core::relay::work::{Part, Work};

use crate::engine::{Entry, PLAIN, caption, profile};

const STREAM: LatencyRequirement = LatencyRequirement {
    is_stream: true,
    target: Millis(600),
    remaining: Millis(6_000),
};

/// A burst of long prompts at one moment: only as many are admitted as one engine can begin to
/// answer at about the target. If as many are admitted as callers would wait for, all answers
/// after the first few are late.
#[test]
fn a_burst_is_admitted_up_to_what_can_be_answered_on_time() {
    let mut entry = Entry::new(1);
    let mut admitted = 0;
    for own in 0..50 {
        let work = caption(own, 100 + own);
        let choice = entry.choose(&profile(&work), 0).expect("an engine is open");
        if decide(&choice, STREAM, 0.5) == Decision::Admit {
            entry.send(&profile(&work), 0);
            admitted += 1;
        }
    }
    assert!((2..=13).contains(&admitted), "{admitted}");
}

#[test]
fn a_refused_caller_gets_a_retry_delay() {
    let mut entry = Entry::new(1);
    for own in 0..20 {
        entry.send(&profile(&caption(own, 100 + own)), 0);
    }
    let work = caption(50, 150);
    let choice = entry.choose(&profile(&work), 0).unwrap();
    let retry_after = |jitter| match decide(&choice, STREAM, jitter) {
        Decision::Refuse(retry_after) => retry_after.0 as f64,
        Decision::Admit => panic!("{choice:?}"),
    };
    // Callers retry no earlier than the current queue is done, and not all at the same time.
    assert!((retry_after(0.0) - choice.expected_wait).abs() < 1.0);
    assert!((retry_after(1.0) - 2.0 * choice.expected_wait).abs() < 1.0);
}

/// A long prompt is refused because of the queue before it, not because of the time that it
/// takes itself.
#[test]
fn a_long_prompt_is_not_refused_for_its_own_length() {
    let mut entry = Entry::new(1);
    let long = Work {
        prompt_tokens: 60_000,
        parts: vec![Part {
            id: 1,
            tokens: 60_000,
        }],
        ..caption(1, 1)
    };
    let choice = entry.choose(&profile(&long), 0).expect("an engine is open");
    assert!(choice.expected_wait > 900.0, "{choice:?}");
    entry.send(&profile(&caption(9, 99)), 0);
    let choice = entry.choose(&profile(&long), 0).unwrap();
    assert_eq!(decide(&choice, STREAM, 0.0), Decision::Admit, "{choice:?}");
    for own in 0..20 {
        entry.send(&profile(&caption(own, 100 + own)), 0);
    }
    let choice = entry.choose(&profile(&long), 0).unwrap();
    assert_ne!(decide(&choice, STREAM, 0.0), Decision::Admit, "{choice:?}");
}

/// A late answer of a plain service has most of its value: a queue there refuses nobody who
/// would wait long enough.
#[test]
fn requests_to_plain_services_may_exceed_their_target() {
    let mut entry = Entry::new(1);
    for _ in 0..600 {
        entry.send(&PLAIN, 0);
    }
    let choice = entry.choose(&PLAIN, 0).unwrap();
    let requirement = LatencyRequirement {
        is_stream: false,
        target: Millis(100),
        remaining: Millis(2_500),
    };
    assert!(choice.expected_wait > 100.0);
    assert_eq!(decide(&choice, requirement, 0.0), Decision::Admit);
}
