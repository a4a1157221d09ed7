//! The replay window of one sender's life.

/// Words of the bitmap.
const WORDS: usize = 16;
/// How far a frame may come late and still be told from a repeated one.
pub const SPAN: u64 = 64 * WORDS as u64;

/// Remembers which of the newest [`SPAN`] sequence numbers have come.
///
/// ```
/// let mut window = woodgap_wire::Window::default();
/// assert!(window.accept(7));
/// assert!(window.accept(5));
/// assert!(!window.accept(7));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// One above the highest number seen; 0 before the first.
    next: u64,
    /// A ring of bits, by number modulo [`SPAN`].
    seen: [u64; WORDS],
}

impl Window {
    /// Takes a number in; false if it has come before, or is too old to tell.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence == u64::MAX {
            return false;
        }
        if sequence >= self.next {
            self.advance(sequence + 1);
        } else if self.next - sequence > SPAN {
            return false;
        }
        let (word, bit) = place(sequence);
        let fresh = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        fresh
    }

    /// Clears the bits of the numbers between the old and the new end.
    fn advance(&mut self, next: u64) {
        if next - self.next >= SPAN {
            self.seen = [0; WORDS];
        } else {
            for sequence in self.next..next {
                let (word, bit) = place(sequence);
                self.seen[word] &= !bit;
            }
        }
        self.next = next;
    }
}

fn place(sequence: u64) -> (usize, u64) {
    let index = sequence % SPAN;
    // Below `WORDS`, which any `usize` holds.
    ((index / 64) as usize, 1 << (index % 64))
}
