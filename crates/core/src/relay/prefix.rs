//! Which prompt parts an engine is believed to keep.
//!
//! A part can be read from memory only if every part before it is kept too, so a
//! part is known by the chain that ends with it.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::relay::work::Part;

/// The parts believed to be kept by one engine, bounded by its memory.
#[derive(Debug)]
pub struct Prefix {
    chains: HashMap<u64, Kept>,
    tokens: u64,
    most_tokens: u64,
}

#[derive(Debug)]
struct Kept {
    tokens: u32,
    used: Millis,
}

impl Prefix {
    /// Nothing is kept yet; `most_tokens` is the engine's memory.
    pub fn new(most_tokens: u32) -> Self {
        Self {
            chains: HashMap::new(),
            tokens: 0,
            most_tokens: u64::from(most_tokens),
        }
    }

    /// How many tokens at the beginning of a prompt are believed to be kept.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::prefix::Prefix;
    /// use woodgap_core::relay::work::Part;
    ///
    /// let shared = Part { id: 1, tokens: 800 };
    /// let own = Part { id: 2, tokens: 100 };
    /// let mut prefix = Prefix::new(10_000);
    /// prefix.touch(&[shared, own], Millis(0));
    /// assert_eq!(prefix.kept(&[shared, Part { id: 3, tokens: 50 }]), 800);
    /// assert_eq!(prefix.kept(&[own, shared]), 0);
    /// ```
    pub fn kept(&self, parts: &[Part]) -> u32 {
        let known = chains(parts).zip(parts);
        let known = known.take_while(|(chain, _)| self.chains.contains_key(chain));
        known.map(|(_, part)| part.tokens).sum()
    }

    /// Notes that the engine has read a prompt.
    pub fn touch(&mut self, parts: &[Part], now: Millis) {
        for (chain, part) in chains(parts).zip(parts) {
            let kept = self.chains.entry(chain).or_insert_with(|| {
                self.tokens += u64::from(part.tokens);
                Kept {
                    tokens: part.tokens,
                    used: now,
                }
            });
            kept.used = now;
        }
        while self.tokens > self.most_tokens {
            self.drop_oldest();
        }
    }

    /// Forgets all, since the engine has started anew.
    pub fn clear(&mut self) {
        self.chains.clear();
        self.tokens = 0;
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .chains
            .iter()
            .min_by_key(|(chain, kept)| (kept.used, **chain));
        let Some(chain) = oldest.map(|(chain, _)| *chain) else {
            self.tokens = 0;
            return;
        };
        if let Some(kept) = self.chains.remove(&chain) {
            self.tokens -= u64::from(kept.tokens);
        }
    }
}

/// The chains that end with each part of a prompt.
pub fn chains(parts: &[Part]) -> impl Iterator<Item = u64> {
    parts.iter().scan(0, |chain, part| {
        *chain = mix(*chain, part.id);
        Some(*chain)
    })
}

/// Mixes two numbers evenly over all 64 bits: the finaliser of `SplitMix64`.
pub fn mix(left: u64, right: u64) -> u64 {
    let mut mixed = left.wrapping_add(0x9e37_79b9_7f4a_7c15) ^ right;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
