use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::control::Refusal;
use woodgap_core::verdict::Verdict;

use super::{Attempt, Next, REFUSALS, Tally, Terms, pause};
use crate::request::{Ending, Problem};

/// What happened, one letter each: C complete, R refused, N no resume, J
/// rejected, B broken, G garbage, D differs, X gone; o the pool sheds, n the
/// pool has no endpoint; e the identity is elsewhere; s a service's answer began.
fn follow(repeatable: bool, story: &str) -> String {
    let mut tally = Tally::new(Terms {
        repeatable,
        attempts: 3,
    });
    let text = || "t".to_owned();
    let mut last = None;
    for letter in story.chars() {
        assert!(!matches!(last, Some(Next::End(_))), "{story} ended early");
        let attempt = match letter {
            's' => {
                tally.seal();
                continue;
            }
            'o' | 'n' => {
                let refusal = if letter == 'o' {
                    Refusal::Overloaded(Millis(1_000))
                } else {
                    Refusal::NoEndpoint
                };
                last = Some(tally.declined(Problem::from(refusal)));
                continue;
            }
            'e' => {
                last = Some(tally.elsewhere());
                continue;
            }
            'C' => Attempt::Complete,
            'R' => Attempt::Refused(text()),
            'N' => Attempt::NoResume,
            'J' => Attempt::Rejected(text()),
            'B' => Attempt::Broken(text()),
            'G' => Attempt::Garbage(text()),
            'D' => Attempt::Differs(text()),
            _ => Attempt::Gone,
        };
        last = Some(tally.attempted(attempt));
    }
    match last.unwrap() {
        Next::Again(pause) => format!("again after {}", pause.0),
        Next::End(Ending::Complete) => "complete".to_owned(),
        Next::End(Ending::Abandoned) => format!("abandoned {}", tally.verdict().as_str()),
        Next::End(Ending::Failed(problem)) => {
            let back = problem.retry_after.map(|span| format!(" back {}", span.0));
            let (code, verdict) = (problem.code.as_str(), problem.verdict.as_str());
            format!("{code} {verdict}{}", back.unwrap_or_default())
        }
    }
}

#[rstest]
#[case("C", "complete", "complete")]
#[case("X", "abandoned may_have_run", "abandoned may_have_run")]
#[case("RX", "abandoned may_have_run", "abandoned may_have_run")]
#[case("R", "again after 0", "again after 0")]
#[case("RR", "again after 10", "again after 10")]
#[case("RRRRRR", "again after 160", "again after 160")]
#[case("RRRRRRR", "again after 200", "again after 200")]
#[case("RC", "complete", "complete")]
#[case("e", "again after 0", "again after 0")]
#[case("eeC", "complete", "complete")]
#[case("RJ", "bad_request not_run", "bad_request not_run")]
#[case("Ro", "overloaded not_run back 1000", "overloaded not_run back 1000")]
#[case("Rn", "no_endpoint not_run back 2000", "no_endpoint not_run back 2000")]
#[case("o", "overloaded not_run back 1000", "overloaded not_run back 1000")]
#[case("B", "again after 0", "endpoint_failed may_have_run")]
#[case("RB", "again after 0", "endpoint_failed may_have_run")]
#[case("G", "again after 0", "bad_answer ran")]
#[case("D", "endpoint_failed may_have_run", "endpoint_failed may_have_run")]
#[case("sB", "endpoint_failed may_have_run", "endpoint_failed may_have_run")]
fn a_story(#[case] story: &str, #[case] repeatable: &str, #[case] once: &str) {
    assert_eq!(follow(true, story), repeatable, "repeatable");
    assert_eq!(follow(false, story), once, "once");
}

/// What follows a failed attempt of a request that may be repeated.
#[rstest]
#[case("BB", "again after 0")]
#[case("BBB", "endpoint_failed may_have_run")]
#[case("BGB", "endpoint_failed may_have_run")]
#[case("BBG", "bad_answer ran")]
#[case("BC", "complete")]
#[case("RRBC", "complete")]
#[case("BRRRRRRRC", "complete")]
#[case("RRRBB", "again after 0")]
#[case("BR", "again after 0")]
#[case("BN", "again after 0")]
#[case("BNC", "complete")]
#[case("BND", "endpoint_failed may_have_run")]
#[case("BJ", "endpoint_failed may_have_run")]
#[case("Bo", "again after 0")]
#[case("Boo", "again after 10")]
#[case("BnC", "complete")]
#[case("BnX", "abandoned may_have_run")]
fn after_a_failure(#[case] story: &str, #[case] expected: &str) {
    assert_eq!(follow(true, story), expected);
}

/// Endless refusals end, with the verdict of what came before.
#[rstest]
#[case("R", "", "no_endpoint not_run back 2000")]
#[case("R", "B", "endpoint_failed may_have_run")]
#[case("o", "G", "endpoint_failed may_have_run")]
fn endless_refusals(#[case] refusal: &str, #[case] first: &str, #[case] expected: &str) {
    let count = REFUSALS as usize;
    let story = |count| format!("{first}{}", refusal.repeat(count));
    assert_eq!(follow(true, &story(count - 1)), "again after 200");
    assert_eq!(follow(true, &story(count)), expected);
}

/// Another entry that has the identity and can't be followed may be running it,
/// unless this entry holds its claim.
#[rstest]
#[case(true, "overloaded may_have_run back 2000")]
#[case(false, "no_endpoint not_run back 2000")]
fn endlessly_elsewhere(#[case] repeatable: bool, #[case] expected: &str) {
    let story = "e".repeat(REFUSALS as usize);
    assert_eq!(follow(repeatable, &story), expected);
}

/// A caller that goes while its request waits is told apart by what came before.
#[test]
fn the_verdict_so_far() {
    let mut tally = Tally::new(Terms {
        repeatable: true,
        attempts: 3,
    });
    assert_eq!(tally.verdict(), Verdict::NotRun);
    tally.attempted(Attempt::Refused(String::new()));
    assert_eq!(tally.verdict(), Verdict::NotRun);
    tally.attempted(Attempt::Broken(String::new()));
    tally.attempted(Attempt::Refused(String::new()));
    assert_eq!(tally.verdict(), Verdict::MayHaveRun);
}

#[test]
fn all_pauses_together_are_bounded() {
    let all: u64 = (1..REFUSALS).map(|refusals| pause(refusals).0).sum();
    assert_eq!(all, 11_710);
}
