//! The model of an engine does what engines do.

use rstest::rstest;
use woodgap_core::relay::work::{Part, Work};
use woodgap_fake::batch::{Engine, Happening, Make, Request};

fn request(number: u64, urgency: u8, parts: &[(u64, u32)], output: u32) -> Request {
    let parts: Vec<_> = parts
        .iter()
        .map(|(id, tokens)| Part {
            id: *id,
            tokens: *tokens,
        })
        .collect();
    Request {
        number,
        work: Work {
            prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
            output_limit: output,
            output_hint: None,
            parts,
        },
        output,
        urgency,
    }
}

/// Steps until nothing is left to do; the time in ms and all that came to pass.
fn play(engine: &mut Engine) -> (f64, Vec<Happening>) {
    let (mut time, mut all) = (0.0, Vec::new());
    while !engine.is_idle() {
        let (took, happenings) = engine.step();
        time += took;
        all.extend(happenings);
    }
    (time, all)
}

#[test]
fn a_stream_has_an_event_for_so_many_tokens() {
    let mut engine = Engine::new(Make::MIDDLING);
    engine.take(request(1, 0, &[(7, 100)], 14));
    let (_, all) = play(&mut engine);
    let events = all.iter().filter(|it| **it == Happening::Event(1)).count();
    assert_eq!(events, 3);
    assert_eq!(all.last(), Some(&Happening::Ended(1)));
}

#[rstest]
#[case::the_same_part(&[(7, 8_000), (2, 100)], true)]
#[case::behind_another_part(&[(6, 10), (7, 8_000)], false)]
fn a_kept_part_is_not_read_again(#[case] parts: &[(u64, u32)], #[case] is_kept: bool) {
    let mut engine = Engine::new(Make::MIDDLING);
    engine.take(request(1, 0, &[(7, 8_000), (1, 100)], 1));
    play(&mut engine);
    engine.take(request(2, 0, parts, 1));
    let (time, _) = play(&mut engine);
    assert_eq!(time < 20.0, is_kept, "{time}");
}

#[test]
fn a_long_prompt_holds_up_the_streams_beside_it() {
    let alone = {
        let mut engine = Engine::new(Make::MIDDLING);
        engine.take(request(1, 0, &[(1, 10)], 60));
        play(&mut engine).0
    };
    let mut engine = Engine::new(Make::MIDDLING);
    engine.take(request(1, 0, &[(1, 10)], 60));
    engine.step();
    engine.take(request(2, 0, &[(2, 20_000)], 1));
    let beside = play(&mut engine).0;
    assert!(beside > alone + 300.0, "{alone} {beside}");
}

#[test]
fn a_more_urgent_request_takes_the_newest_place_of_the_least_urgent() {
    let make = Make {
        slots: 2,
        ..Make::MIDDLING
    };
    let mut engine = Engine::new(make);
    engine.take(request(1, 5, &[(1, 10)], 50));
    engine.take(request(2, 5, &[(2, 10)], 50));
    engine.step();
    engine.take(request(3, 1, &[(3, 10)], 50));
    let (_, happenings) = engine.step();
    assert_eq!(happenings, [Happening::Preempted(2)]);
    let (_, all) = play(&mut engine);
    let order: Vec<_> = all
        .iter()
        .filter(|it| matches!(it, Happening::Ended(_)))
        .collect();
    assert_eq!(order.last(), Some(&&Happening::Ended(2)));
}

#[test]
fn when_memory_is_short_the_newest_is_put_back_and_ends_all_the_same() {
    let make = Make {
        memory_tokens: 1_000,
        ..Make::MIDDLING
    };
    let mut engine = Engine::new(make);
    engine.take(request(1, 3, &[(1, 400)], 200));
    engine.take(request(2, 3, &[(2, 400)], 200));
    let (_, all) = play(&mut engine);
    assert!(all.contains(&Happening::Preempted(2)));
    assert!(!all.contains(&Happening::Preempted(1)));
    assert!(all.contains(&Happening::Ended(1)) && all.contains(&Happening::Ended(2)));
}
