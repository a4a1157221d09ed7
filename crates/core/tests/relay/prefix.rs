//! Model of an engine's prefix cache.

use woodgap_core::clock::Millis;
use woodgap_core::relay::prefix::PrefixCache;
use woodgap_core::relay::work::Part;

fn part(id: u64, tokens: u32) -> Part {
    Part { id, tokens }
}

#[test]
fn a_part_counts_only_after_the_same_parts() {
    let mut cache = PrefixCache::new(10_000);
    cache.record(&[part(1, 100), part(2, 200)], Millis(0));
    cache.record(&[part(3, 100)], Millis(0));
    assert_eq!(cache.cached_tokens(&[part(3, 100), part(2, 200)]), 100);
    assert_eq!(
        cache.cached_tokens(&[part(1, 100), part(2, 200), part(9, 5)]),
        300
    );
}

#[test]
fn the_least_recently_used_part_is_evicted_first() {
    let mut cache = PrefixCache::new(300);
    cache.record(&[part(1, 100)], Millis(0));
    cache.record(&[part(2, 100)], Millis(1));
    cache.record(&[part(3, 100)], Millis(2));
    cache.record(&[part(1, 100)], Millis(3));
    cache.record(&[part(4, 100)], Millis(4));
    let cached = [1, 2, 3, 4].map(|id| cache.cached_tokens(&[part(id, 100)]));
    assert_eq!(cached, [100, 0, 100, 100]);
}

#[test]
fn a_prompt_larger_than_the_memory_empties_the_cache() {
    let mut cache = PrefixCache::new(300);
    cache.record(&[part(1, 100)], Millis(0));
    cache.record(&[part(2, 4_000)], Millis(1));
    assert_eq!(cache.cached_tokens(&[part(1, 100)]), 0);
    cache.record(&[part(3, 300)], Millis(2));
    assert_eq!(cache.cached_tokens(&[part(3, 300)]), 300);
}
