//! What can keep a report from being made.

use std::path::PathBuf;

use thiserror::Error as ThisError;

/// A report that could not be made.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The report would cover no time.
    #[error("--since: it must lie before --until")]
    EmptySpan,
    /// The report's end has not come yet.
    #[error("--until: it must not lie in the future")]
    Future,
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
    /// The plot could not be drawn.
    #[error("--svg: the plot can't be drawn: {0}")]
    Plot(String),
    /// The plot could not be written.
    #[error("--svg {}: {cause}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// Standard output takes nothing.
    #[error("standard output: {0}")]
    Print(std::io::Error),
}

impl Error {
    /// Whether the command line is at fault, and not something around it.
    pub fn is_misuse(&self) -> bool {
        matches!(self, Self::EmptySpan | Self::Future)
    }
}
