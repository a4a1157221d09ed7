//! What stops a run before it can start, or spoils its report.

use std::path::PathBuf;

use thiserror::Error;

/// A failure of the tool itself; what becomes of requests is in the report.
#[derive(Debug, Error)]
pub enum Error {
    /// A file can't be read or written.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: std::io::Error,
    },
    /// The traffic description can't be read.
    #[error("{path}: {message}")]
    Traffic {
        /// The file.
        path: PathBuf,
        /// What is wrong, with its place.
        message: String,
    },
    /// An address is not on this machine.
    #[error(
        "`{0}` is not a loopback address such as http://127.0.0.1:8080; load goes nowhere else"
    )]
    NotLoopback(String),
    /// The run would send more than the tool allows.
    #[error("{planned} requests are planned, at most {limit} are allowed: shorten the run")]
    TooMany {
        /// Requests planned.
        planned: usize,
        /// Requests allowed.
        limit: usize,
    },
    /// The record of an endpoint can't be read.
    #[error("the record at {url}: {message}")]
    Record {
        /// Where it was asked for.
        url: String,
        /// What went wrong.
        message: String,
    },
    /// A line of an events file is no event.
    #[error("{path}, line {line}: {message}")]
    Event {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// What is wrong with it.
        message: String,
    },
    /// An entry does not tell its status.
    #[error("the status of {url}: {message}")]
    Status {
        /// Where it was asked for.
        url: String,
        /// What went wrong.
        message: String,
    },
    /// A worker thread ended early.
    #[error("a worker thread failed")]
    Worker,
}
