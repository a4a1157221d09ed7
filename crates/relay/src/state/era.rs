//! What an entry does when the platform's store has come back from an older copy.

use woodgap_core::era::Era;

use crate::state::{Announcement, State};

impl State {
    /// Takes in the era of a stamp. In a new one, what this entry has had the platform keep may be
    /// gone, and is written again.
    pub fn note_era(&self, stamp: u64) {
        let era = Era::of(stamp);
        let known = self.era.get();
        if stamp == 0 || known.is_some_and(|known| known >= era) {
            return;
        }
        self.era.set(Some(era));
        if let Some(known) = known {
            self.store_again(known, era);
        }
    }

    /// Has the platform told again of this entry and of what is withheld, or may soon be. The latter
    /// is known to all entries, one of which writes it.
    fn store_again(&self, known: Era, era: Era) {
        log::warn!(before = known.number(), era = era.number(); "what the platform keeps is written again");
        self.metrics.store_restores.inc();
        if self.announcement.get() == Announcement::Taken {
            self.announcement.set(Announcement::Unanswered);
        }
        self.streams.store_again();
        if self.standing().rank == 0 {
            let now = self.now();
            let causes: Vec<_> = self.quarantine.borrow().to_store(now).collect();
            for cause in causes {
                self.rewrite(cause);
            }
        }
    }
}
