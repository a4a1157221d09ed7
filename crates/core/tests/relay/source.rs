//! From which engine a prompt's kept parts are taken.

use std::collections::BTreeSet;

use woodgap_core::clock::Millis;
use woodgap_core::relay::Ask;
use woodgap_core::relay::health::Sign;
use woodgap_core::relay::plan::Engine;
use woodgap_core::relay::work::{Part, Work};

use crate::engine::{ENGINE, Entry, ask, caption};
use crate::roster::life;

/// Engines that give kept prompt parts to one another.
const MOVING: Engine = Engine {
    moves_prompts: true,
    ..ENGINE
};

pub fn moving(work: &Work) -> Ask<'_> {
    Ask {
        engine: Some(MOVING),
        ..ask(work)
    }
}

/// A hot subject: its engine falls behind, others help out. They take the shared part
/// from the engine that keeps it instead of reading it again.
#[test]
fn an_engine_that_helps_out_takes_the_shared_part_from_the_one_that_keeps_it() {
    let mut entry = Entry::new(9);
    let keeper = entry.serve(&moving(&caption(7, 1)), 0);
    let mut helped = 0;
    for own in 2..60 {
        let work = caption(7, own);
        let choice = entry.choose(&moving(&work), 10).expect("an engine is open");
        let source = choice.source.as_ref().map(|it| it.life.id.to_string());
        if choice.endpoint.life.id.as_str() == keeper {
            assert_eq!(source, None);
        } else if choice.kept == 0 {
            assert_eq!(source, Some(keeper.clone()));
            helped += 1;
        }
        entry.send(&moving(&work), 10);
    }
    assert!(helped > 0);
}

#[test]
fn engines_that_give_nothing_are_not_asked() {
    let mut entry = Entry::new(9);
    for own in 0..60 {
        let work = caption(7, own);
        let choice = entry.choose(&ask(&work), 10).expect("an engine is open");
        assert_eq!(choice.source, None);
        entry.send(&ask(&work), 10);
    }
}

/// An engine that is lost has nothing to give.
#[test]
fn nothing_is_taken_from_a_lost_engine() {
    let mut entry = Entry::new(3);
    let keeper = entry.serve(&moving(&caption(7, 1)), 0);
    let name = life(&keeper);
    entry.loads.note(&name, Sign::Lost, Millis(5));
    for own in 2..20 {
        let work = caption(7, own);
        let choice = entry.choose(&moving(&work), 10).expect("an engine is open");
        let source = choice.source.map(|it| it.life);
        assert_ne!(source, Some(name.clone()));
        entry.send(&moving(&work), 10);
    }
}

/// A prompt that begins with a part which the prompts of many subjects have in common.
fn album(subject: u64, own: u64) -> Work {
    let caption = caption(subject, own);
    let common = Part {
        id: 1,
        tokens: 2_500,
    };
    Work {
        prompt_tokens: caption.prompt_tokens + common.tokens,
        parts: [&[common], &caption.parts[..]].concat(),
        ..caption
    }
}

/// All engines are cold, and requests come for hundreds of subjects that begin alike: the
/// common part is read once and taken by all other engines, from one that all entries agree
/// on, though no entry has sent anything there yet.
#[test]
fn engines_take_the_common_part_from_the_same_engine_at_their_first_request() {
    let mut sources = BTreeSet::new();
    let mut chosen = BTreeSet::new();
    for subject in 100..160 {
        // Each entry sends one request only.
        let mut entry = Entry::new(9);
        let work = album(subject, subject + 1_000);
        let choice = entry.choose(&moving(&work), 0).expect("an engine is open");
        let source = choice.source.map(|it| it.life.id.to_string());
        let endpoint = choice.endpoint.life.id.to_string();
        if source.is_none() {
            // It is the common keeper itself.
            sources.insert(endpoint);
        } else {
            chosen.insert(endpoint);
            sources.extend(source);
        }
    }
    assert_eq!(sources.len(), 1, "{sources:?}");
    assert_eq!(chosen.len(), 8, "{chosen:?}");
}

/// Nothing is taken where this entry knows that the engine keeps all.
#[test]
fn an_engine_that_is_known_to_keep_all_takes_nothing() {
    let mut entry = Entry::new(9);
    let keeper = entry.serve(&moving(&album(7, 1)), 0);
    let work = album(7, 2);
    let choice = entry.choose(&moving(&work), 10).expect("an engine is open");
    assert_eq!(choice.endpoint.life.id.as_str(), keeper);
    assert_eq!(choice.source, None);
}
