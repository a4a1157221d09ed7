//! Selection of the engine from which cached prompt parts are fetched.

use std::collections::BTreeSet;

use woodgap_core::clock::Millis;
use woodgap_core::relay::RequestProfile;
use woodgap_core::relay::health::HealthSignal;
use woodgap_core::relay::plan::Engine;
use woodgap_core::relay::work::{Part, Work};

use crate::engine::{ENGINE, Entry, caption, profile};
use crate::roster::life;

/// Engines that can transfer cached prompt parts to each other.
const TRANSFERRING: Engine = Engine {
    moves_prompts: true,
    ..ENGINE
};

pub fn transferring(work: &Work) -> RequestProfile<'_> {
    RequestProfile {
        engine: Some(TRANSFERRING),
        ..profile(work)
    }
}

/// The engine of a popular subject gets a backlog and others serve the subject as well. They
/// fetch the shared part from its holder instead of prefilling it again.
#[test]
fn an_additional_engine_fetches_the_shared_part_from_its_holder() {
    let mut entry = Entry::new(9);
    let holder = entry.serve(&transferring(&caption(7, 1)), 0);
    let mut helped = 0;
    for own in 2..60 {
        let work = caption(7, own);
        let choice = entry
            .choose(&transferring(&work), 10)
            .expect("an engine is open");
        let source = choice
            .prompt_source
            .as_ref()
            .map(|it| it.life.id.to_string());
        if choice.endpoint.life.id.as_str() == holder {
            assert_eq!(source, None);
        } else if choice.cached_tokens == 0 {
            assert_eq!(source, Some(holder.clone()));
            helped += 1;
        }
        entry.send(&transferring(&work), 10);
    }
    assert!(helped > 0);
}

#[test]
fn engines_without_transfer_are_no_source() {
    let mut entry = Entry::new(9);
    for own in 0..60 {
        let work = caption(7, own);
        let choice = entry
            .choose(&profile(&work), 10)
            .expect("an engine is open");
        assert_eq!(choice.prompt_source, None);
        entry.send(&profile(&work), 10);
    }
}

/// An engine that cannot be reached is no source.
#[test]
fn nothing_is_fetched_from_an_unreachable_engine() {
    let mut entry = Entry::new(3);
    let holder = entry.serve(&transferring(&caption(7, 1)), 0);
    let name = life(&holder);
    entry
        .balancer
        .record_signal(&name, HealthSignal::Lost, Millis(5));
    for own in 2..20 {
        let work = caption(7, own);
        let choice = entry
            .choose(&transferring(&work), 10)
            .expect("an engine is open");
        let source = choice.prompt_source.map(|it| it.life);
        assert_ne!(source, Some(name.clone()));
        entry.send(&transferring(&work), 10);
    }
}

/// A prompt that begins with a part that prompts of many subjects have in common.
fn prompt_with_common_part(subject: u64, own: u64) -> Work {
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

/// All caches are empty, and requests come for many subjects that begin with the same part.
/// That part is prefilled once and fetched by all other engines, from one engine that all
/// entries agree on although none of them has sent anything there yet.
#[test]
fn engines_fetch_the_common_part_from_the_same_engine_at_their_first_request() {
    let mut sources = BTreeSet::new();
    let mut chosen = BTreeSet::new();
    for subject in 100..160 {
        // Each entry sends only one request.
        let mut entry = Entry::new(9);
        let work = prompt_with_common_part(subject, subject + 1_000);
        let choice = entry
            .choose(&transferring(&work), 0)
            .expect("an engine is open");
        let source = choice.prompt_source.map(|it| it.life.id.to_string());
        let endpoint = choice.endpoint.life.id.to_string();
        if source.is_none() {
            // This is the owner of the common part.
            sources.insert(endpoint);
        } else {
            chosen.insert(endpoint);
            sources.extend(source);
        }
    }
    assert_eq!(sources.len(), 1, "{sources:?}");
    assert_eq!(chosen.len(), 8, "{chosen:?}");
}

/// Nothing is fetched if this entry knows that the engine has everything in its cache.
#[test]
fn an_engine_that_has_everything_cached_fetches_nothing() {
    let mut entry = Entry::new(9);
    let holder = entry.serve(&transferring(&prompt_with_common_part(7, 1)), 0);
    let work = prompt_with_common_part(7, 2);
    let choice = entry
        .choose(&transferring(&work), 10)
        .expect("an engine is open");
    assert_eq!(choice.endpoint.life.id.as_str(), holder);
    assert_eq!(choice.prompt_source, None);
}
