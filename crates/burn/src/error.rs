//! What can keep a report from being made.

use std::path::PathBuf;

use thiserror::Error as ThisError;

/// A report that could not be made.
#[derive(Debug, ThisError)]
pub enum Error {
    /// `--since` is not before `--until`.
    #[error("--since: the report would cover no time, since it starts at or after --until")]
    EmptySpan,
    /// Nothing could be read from the table service.
    #[error("--platform {url}: nothing could be read from the table service: {cause}")]
    Platform {
        /// The base URL that was asked.
        url: String,
        /// The last failure.
        cause: woodgap_platform::Error,
    },
    /// The report could not be put into JSON.
    #[error("--format json: {0}")]
    Json(#[from] serde_json::Error),
    /// A file could not be written.
    #[error("--svg {}: {cause}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
}
