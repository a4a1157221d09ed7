//! The record in a file, so that a killed process leaves its evidence behind.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::record::{End, Run};

/// A file of JSON lines; the last line of a run holds.
#[derive(Debug)]
pub struct Journal {
    file: File,
    life: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct Line<R> {
    /// The number of the process; each counts its runs by itself.
    life: u32,
    index: usize,
    run: R,
}

impl Journal {
    /// Opens the file, which may not be there yet, and reads the runs in it.
    ///
    /// # Errors
    ///
    /// A file that can't be opened, or that holds something else.
    pub fn open<D: DeserializeOwned>(path: &Path) -> io::Result<(Self, Vec<Run<D>>)> {
        let mut options = OpenOptions::new();
        let file = options.create(true).append(true).read(true).open(path)?;
        let mut runs = BTreeMap::new();
        for line in BufReader::new(&file).lines() {
            let Line { life, index, run } = serde_json::from_str::<Line<Run<D>>>(&line?)?;
            runs.insert((life, index), run);
        }
        let life = runs.keys().next_back().map_or(0, |(life, _)| life + 1);
        let journal = Self { file, life };
        Ok((journal, runs.into_values().map(after).collect()))
    }

    /// Writes a run as it stands. The line is out of the process when this returns.
    ///
    /// # Panics
    ///
    /// When the file can't be written: evidence that is lost must not pass unseen.
    pub fn write<D: Serialize>(&mut self, index: usize, run: &Run<D>) {
        let life = self.life;
        let mut text =
            serde_json::to_vec(&Line { life, index, run }).expect("runs have simple keys");
        text.push(b'\n');
        self.file
            .write_all(&text)
            .expect("the record can be written");
    }
}

/// What ran when the process was killed ended with it.
fn after<D>(mut run: Run<D>) -> Run<D> {
    if run.end == End::Running {
        run.end = End::Crashed;
    }
    run
}

#[cfg(test)]
mod tests;
