//! Whether a request is taken or turned away.

use woodgap_core::clock::Millis;
use woodgap_core::relay::admission::{Claim, Verdict, decide};
use woodgap_core::relay::work::{Part, Work};

use crate::engine::{Entry, PLAIN, ask, caption};

const STREAM: Claim = Claim {
    is_stream: true,
    target: Millis(600),
    left: Millis(6_000),
};

/// A burst of long prompts, all in one moment: as many are taken as one engine can
/// begin to answer at about the target, not as many as fit into the time that callers
/// wait (with those, all answers after the first few were late).
#[test]
fn a_burst_is_taken_as_far_as_it_can_be_answered_on_time() {
    let mut entry = Entry::new(1);
    let mut taken = 0;
    for own in 0..50 {
        let work = caption(own, 100 + own);
        let choice = entry.choose(&ask(&work), 0).expect("an engine is open");
        if decide(&choice, STREAM, 0.5) == Verdict::Take {
            entry.send(&ask(&work), 0);
            taken += 1;
        }
    }
    assert!((2..=13).contains(&taken), "{taken}");
}

#[test]
fn a_caller_who_is_turned_away_is_told_when_to_come_back() {
    let mut entry = Entry::new(1);
    for own in 0..20 {
        entry.send(&ask(&caption(own, 100 + own)), 0);
    }
    let work = caption(50, 150);
    let choice = entry.choose(&ask(&work), 0).unwrap();
    let after = |spread| match decide(&choice, STREAM, spread) {
        Verdict::Refuse(after) => after.0 as f64,
        Verdict::Take => panic!("{choice:?}"),
    };
    // Not before what waits now is done, and not all at one moment.
    assert!((after(0.0) - choice.wait).abs() < 1.0);
    assert!((after(1.0) - 2.0 * choice.wait).abs() < 1.0);
}

/// Long prompts are turned away no sooner than short ones by what they take themselves,
/// only by what waits before them.
#[test]
fn a_long_prompt_is_not_turned_away_for_its_length() {
    let mut entry = Entry::new(1);
    let long = Work {
        prompt_tokens: 60_000,
        parts: vec![Part {
            id: 1,
            tokens: 60_000,
        }],
        ..caption(1, 1)
    };
    let choice = entry.choose(&ask(&long), 0).expect("an engine is open");
    assert!(choice.wait > 900.0, "{choice:?}");
    entry.send(&ask(&caption(9, 99)), 0);
    let choice = entry.choose(&ask(&long), 0).unwrap();
    assert_eq!(decide(&choice, STREAM, 0.0), Verdict::Take, "{choice:?}");
    for own in 0..20 {
        entry.send(&ask(&caption(own, 100 + own)), 0);
    }
    let choice = entry.choose(&ask(&long), 0).unwrap();
    assert_ne!(decide(&choice, STREAM, 0.0), Verdict::Take, "{choice:?}");
}

/// A late answer of a plain service is worth as much as most: a queue there turns
/// nobody away who waits for long enough.
#[test]
fn requests_to_plain_services_may_be_late() {
    let mut entry = Entry::new(1);
    for _ in 0..600 {
        entry.send(&PLAIN, 0);
    }
    let choice = entry.choose(&PLAIN, 0).unwrap();
    let claim = Claim {
        is_stream: false,
        target: Millis(100),
        left: Millis(2_500),
    };
    assert!(choice.wait > 100.0);
    assert_eq!(decide(&choice, claim, 0.0), Verdict::Take);
}
