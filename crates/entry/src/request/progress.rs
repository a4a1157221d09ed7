//! How far a model's answer has come, over all attempts, so that a resumed or
//! repeated attempt goes on without a gap or a repeat.

use std::hash::{DefaultHasher, Hash, Hasher};

use thiserror::Error;

use crate::endpoint::Chunk;

/// How far an answer has come.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    offset: u64,
    finished: bool,
    starts_over: bool,
    /// Hash of the text passed on, to compare another attempt with.
    text: DefaultHasher,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Pass it on.
    New,
    /// Drop it: it was passed on before.
    Old,
}

/// Why an event can't follow what was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// Events are missing.
    #[error("event {found} follows event {last}")]
    Gap {
        /// The last event seen.
        last: u64,
        /// The event that came.
        found: u64,
    },
    /// The attempt started over, and its text is another one.
    #[error("the engine could not resume, and its new answer differs from the part passed on")]
    Differs,
}

impl Progress {
    /// The offset of the last event passed on; 0 for none.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Whether the last chunk of the answer was passed on.
    pub fn finished(&self) -> bool {
        self.finished
    }

    /// Where the next attempt shall go on; none if it starts over.
    pub fn resume_after(&self) -> Option<u64> {
        (self.offset > 0 && !self.starts_over).then_some(self.offset)
    }

    /// From now on attempts start over: an engine could not resume.
    pub fn start_over(&mut self) {
        self.starts_over = true;
    }

    /// Follows the events of a new attempt.
    pub fn attempt(&mut self) -> Cursor<'_> {
        Cursor {
            progress: self,
            last: 0,
            text: DefaultHasher::new(),
        }
    }
}

/// Follows the events of one attempt.
#[derive(Debug)]
pub struct Cursor<'a> {
    progress: &'a mut Progress,
    last: u64,
    text: DefaultHasher,
}

impl Cursor<'_> {
    /// Whether the last chunk of the answer was passed on.
    pub fn finished(&self) -> bool {
        self.progress.finished
    }

    /// The offset of the last event passed on.
    pub fn offset(&self) -> u64 {
        self.progress.offset
    }

    /// Takes an event by its offset.
    ///
    /// # Errors
    ///
    /// If it does not follow what was passed on.
    pub fn take(&mut self, offset: u64, chunk: &Chunk<'_>) -> Result<Step, Fault> {
        if self.last == 0 && offset == self.progress.offset + 1 {
            self.last = self.progress.offset;
            self.text = self.progress.text.clone();
        }
        if offset <= self.last {
            return Ok(Step::Old);
        }
        if offset != self.last + 1 {
            return Err(Fault::Gap {
                last: self.last,
                found: offset,
            });
        }
        self.last = offset;
        for choice in &chunk.choices {
            choice.content().hash(&mut self.text);
        }
        if offset > self.progress.offset {
            self.pass_on(chunk);
            return Ok(Step::New);
        }
        let at_the_end = offset == self.progress.offset;
        if at_the_end && self.text.finish() != self.progress.text.finish() {
            return Err(Fault::Differs);
        }
        Ok(Step::Old)
    }

    fn pass_on(&mut self, chunk: &Chunk<'_>) {
        self.progress.offset = self.last;
        self.progress.text = self.text.clone();
        self.progress.finished |= chunk.finishes();
    }
}

#[cfg(test)]
mod tests;
