//! Why there is no report.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Why there is no report.
#[derive(Debug, Error)]
pub enum Error {
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The report or the plot can't be written.
    #[error("can't write: {0}")]
    Write(#[from] io::Error),
    /// The report can't be put into JSON.
    #[error("can't be told as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The plot can't be drawn.
    #[error("the plot can't be drawn: {0}")]
    Plot(String),
}
