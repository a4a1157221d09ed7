//! Files of events, one JSON line each.

use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use super::Event;
use crate::Error;

/// Writes all events to a new file.
///
/// # Errors
///
/// [`Error::File`].
pub fn write(path: &Path, events: &[Event]) -> Result<(), Error> {
    let mut file = BufWriter::new(File::create(path).map_err(|error| failed(path, error))?);
    let mut written = Ok(());
    for event in events {
        written = written.and_then(|()| line(&mut file, event));
    }
    let written = written.and_then(|()| file.flush());
    written.map_err(|error| failed(path, error))
}

fn line(file: &mut impl Write, event: &Event) -> io::Result<()> {
    serde_json::to_writer(&mut *file, event)?;
    file.write_all(b"\n")
}

/// Reads all events of a file.
///
/// # Errors
///
/// [`Error::File`], or [`Error::Event`] with the line that is no event.
pub fn read(path: &Path) -> Result<Vec<Event>, Error> {
    let file = BufReader::new(File::open(path).map_err(|error| failed(path, error))?);
    let mut events = Vec::new();
    for (index, line) in file.lines().enumerate() {
        let line = line.map_err(|error| failed(path, error))?;
        let event = serde_json::from_str(&line).map_err(|error| Error::Event {
            path: path.to_owned(),
            line: index + 1,
            message: error.to_string(),
        })?;
        events.push(event);
    }
    Ok(events)
}

fn failed(path: &Path, error: io::Error) -> Error {
    Error::File {
        path: path.to_owned(),
        error,
    }
}
