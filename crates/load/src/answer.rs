//! Checks an answer against what its own request must get.
//!
//! The stand-in for an engine answers a prompt with `echo=TAG len=N` by the
//! tokens `TAG:1 TAG:2 … TAG:N `, so every fault shows in the text.

use serde::{Deserialize, Serialize};

/// What is wrong with the text of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is found or not, on its own"
)]
pub struct Faults {
    /// Tokens of another request's answer.
    pub crossed: bool,
    /// Tokens that came more than once.
    pub doubled: bool,
    /// Tokens or events that are missing between others or at the end.
    pub missing: bool,
    /// What is no token of the stand-in at all.
    pub garbled: bool,
}

impl Faults {
    /// Whether nothing is wrong.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }

    /// Adds the faults of another attempt.
    pub fn add(&mut self, other: Self) {
        self.crossed |= other.crossed;
        self.doubled |= other.doubled;
        self.missing |= other.missing;
        self.garbled |= other.garbled;
    }
}

/// The part of a plain service's answer that is checked.
#[derive(Debug, Deserialize)]
struct Echo {
    tag: String,
}

/// Follows one answer, token by token.
///
/// ```
/// use woodgap_load::answer::Checker;
///
/// let mut checker = Checker::new("a7", 2);
/// checker.text("a7:1 a7");
/// checker.text(":2 ");
/// assert!(checker.finish(true).is_empty());
/// ```
#[derive(Debug)]
pub struct Checker<'a> {
    tag: &'a str,
    expected: u32,
    seen: u32,
    next_id: u64,
    word: String,
    faults: Faults,
}

impl<'a> Checker<'a> {
    /// A checker for the answer to this tag, which has so many tokens.
    pub fn new(tag: &'a str, expected: u32) -> Self {
        Self {
            tag,
            expected,
            seen: 0,
            next_id: 1,
            word: String::new(),
            faults: Faults::default(),
        }
    }

    /// Tokens seen so far, each counted once.
    pub fn tokens(&self) -> u32 {
        self.seen
    }

    /// Takes the offset of a streamed event, which must have no gap.
    pub fn id(&mut self, id: u64) {
        match id {
            id if id < self.next_id => self.faults.doubled = true,
            id if id > self.next_id => self.faults.missing = true,
            _ => {}
        }
        self.next_id = id + 1;
    }

    /// Takes the next piece of text; a token ends with a space.
    pub fn text(&mut self, piece: &str) {
        for letter in piece.chars() {
            if letter.is_whitespace() {
                self.end_word();
            } else {
                self.word.push(letter);
            }
        }
    }

    /// Takes the answer of a plain service, whose stand-in repeats the tag.
    pub fn service(&mut self, body: &[u8]) {
        match serde_json::from_slice(body) {
            Ok(Echo { tag }) if tag == self.tag => self.seen = self.expected,
            Ok(_) => self.faults.crossed = true,
            Err(_) => self.faults.garbled = true,
        }
    }

    /// Notes something that has no place in an answer.
    pub fn garbled(&mut self) {
        self.faults.garbled = true;
    }

    /// What is wrong with the answer; one with its mark of completeness must be whole.
    pub fn finish(mut self, is_marked: bool) -> Faults {
        if is_marked {
            self.end_word();
            self.faults.missing |= self.seen < self.expected;
        }
        self.faults
    }

    fn end_word(&mut self) {
        let word = std::mem::take(&mut self.word);
        if word.is_empty() {
            return;
        }
        let token = word
            .rsplit_once(':')
            .and_then(|(tag, number)| Some((tag, number.parse::<u32>().ok()?)));
        match token {
            Some((tag, number)) if tag == self.tag => self.token(number),
            Some(_) => self.faults.crossed = true,
            None => self.faults.garbled = true,
        }
    }

    fn token(&mut self, number: u32) {
        let next = self.seen + 1;
        match number {
            number if number < next => self.faults.doubled = true,
            number if number > next || number > self.expected => self.faults.missing = true,
            _ => {}
        }
        self.seen = self.seen.max(number);
    }
}

#[cfg(test)]
mod tests;
