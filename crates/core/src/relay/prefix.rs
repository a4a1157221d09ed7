//! Model of the prompt parts in an engine's prefix cache.
//!
//! An engine can reuse a part only if every part before it is cached too, so a part is
//! identified by the hash of the prefix that ends with it.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::relay::work::Part;

/// The parts expected in the prefix cache of one engine, bounded by its memory.
#[derive(Debug)]
pub struct PrefixCache {
    cached_parts: HashMap<u64, CachedPart>,
    tokens: u64,
    capacity_tokens: u64,
}

#[derive(Debug)]
struct CachedPart {
    tokens: u32,
    last_used: Millis,
}

impl PrefixCache {
    /// Creates an empty cache; `capacity_tokens` is the engine's memory.
    pub fn new(capacity_tokens: u32) -> Self {
        Self {
            cached_parts: HashMap::new(),
            tokens: 0,
            capacity_tokens: u64::from(capacity_tokens),
        }
    }

    /// The number of tokens at the beginning of a prompt that are expected to be cached.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::prefix::PrefixCache;
    /// use woodgap_core::relay::work::Part;
    ///
    /// let shared = Part { id: 1, tokens: 800 };
    /// let own = Part { id: 2, tokens: 100 };
    /// let mut prefix = PrefixCache::new(10_000);
    /// prefix.record(&[shared, own], Millis(0));
    /// assert_eq!(prefix.cached_tokens(&[shared, Part { id: 3, tokens: 50 }]), 800);
    /// assert_eq!(prefix.cached_tokens(&[own, shared]), 0);
    /// ```
    pub fn cached_tokens(&self, parts: &[Part]) -> u32 {
        let hits = prefix_hashes(parts).zip(parts);
        let hits = hits.take_while(|(hash, _)| self.cached_parts.contains_key(hash));
        hits.map(|(_, part)| part.tokens).sum()
    }

    /// Records that the engine has prefilled a prompt.
    pub fn record(&mut self, parts: &[Part], now: Millis) {
        for (hash, part) in prefix_hashes(parts).zip(parts) {
            let cached = self.cached_parts.entry(hash).or_insert_with(|| {
                self.tokens += u64::from(part.tokens);
                CachedPart {
                    tokens: part.tokens,
                    last_used: now,
                }
            });
            cached.last_used = now;
        }
        while self.tokens > self.capacity_tokens {
            self.evict_least_recently_used();
        }
    }

    /// Empties the cache after a restart of the engine.
    pub fn clear(&mut self) {
        self.cached_parts.clear();
        self.tokens = 0;
    }

    fn evict_least_recently_used(&mut self) {
        let oldest = self
            .cached_parts
            .iter()
            .min_by_key(|(hash, cached)| (cached.last_used, **hash));
        let Some(hash) = oldest.map(|(hash, _)| *hash) else {
            self.tokens = 0;
            return;
        };
        if let Some(cached) = self.cached_parts.remove(&hash) {
            self.tokens -= u64::from(cached.tokens);
        }
    }
}

/// The hashes of all prefixes that end with a part of the prompt.
pub fn prefix_hashes(parts: &[Part]) -> impl Iterator<Item = u64> {
    parts.iter().scan(0, |hash, part| {
        *hash = mix(*hash, part.id);
        Some(*hash)
    })
}

/// Mixes two numbers evenly over all 64 bits: the finalizer of `SplitMix64`.
pub fn mix(left: u64, right: u64) -> u64 {
    let mut mixed = left.wrapping_add(0x9e37_79b9_7f4a_7c15) ^ right;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
