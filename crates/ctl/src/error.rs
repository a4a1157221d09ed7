//! What can go wrong with a command, and the exit code that it gives.

use std::path::PathBuf;

use thiserror::Error;
use woodgap_settings::Problems;

use crate::client::Attempt;
use crate::exit::Code;
use crate::key;

/// Why a command failed. Each text names what is at fault and what to do.
#[derive(Debug, Error)]
pub enum Error {
    /// There is no operator's key.
    #[error("no operator's key: give --key-file FILE or set {}", key::VARIABLE)]
    NoKey,
    /// The file of the key can't be used.
    #[error("--key-file {}: {reason}", .file.display())]
    KeyFile {
        /// The file.
        file: PathBuf,
        /// What is wrong with it, and what to do.
        reason: String,
    },
    /// An option goes with a single file only.
    #[error("{option} is about one change: give one FILE with it")]
    OneFile {
        /// The option.
        option: &'static str,
    },
    /// A file has problems; nothing was sent.
    #[error("{0}")]
    File(#[from] Problems),
    /// Files that were checked have problems, which were printed.
    #[error("{files} of {all} files have problems")]
    Check {
        /// Files with problems.
        files: usize,
        /// Files checked.
        all: usize,
    },
    /// No operator has this key.
    #[error(
        "{entry} knows no operator with this key: check --key-file or {}, \
         and `operators` in the entry's settings",
        key::VARIABLE
    )]
    UnknownKey {
        /// The entry that refused it.
        entry: String,
    },
    /// What was asked for does not exist.
    #[error("there is no {0}")]
    NotFound(String),
    /// The document breaks the configuration; the problems were printed.
    #[error("{key}: refused, nothing was changed")]
    Refused {
        /// The document's key.
        key: String,
    },
    /// Another change came first; the difference was printed.
    #[error(
        "{key}: conflict, nothing was changed: version {version} is in force. \
         Merge your change into it and apply that with --expect-version {version}"
    )]
    Conflict {
        /// The document's key.
        key: String,
        /// The version in force.
        version: u64,
    },
    /// A version was expected of a document that does not exist.
    #[error(
        "{key}: conflict, nothing was changed: there is no such document. \
         Apply it with --expect-version 0 to create it"
    )]
    Absent {
        /// The document's key.
        key: String,
    },
    /// The entry answered with another error.
    #[error("{entry} answered {status} {code}: {message}")]
    Answer {
        /// The entry.
        entry: String,
        /// The HTTP status.
        status: u16,
        /// The error's code.
        code: String,
        /// What it says.
        message: String,
    },
    /// The entry's answer can't be read.
    #[error("{entry} gave an unreadable answer ({reason}): is it a woodgap entry of this version?")]
    Unreadable {
        /// The entry.
        entry: String,
        /// Why.
        reason: String,
    },
    /// No entry answered.
    #[error("--entry: no entry could answer{}", Attempt::list(.0))]
    Unreachable(Vec<Attempt>),
    /// A change was sent, and whether it was accepted is not known.
    #[error(
        "{key}: whether the change was accepted is not known. Repeat the command with \
         --identity {identity}, which can't apply it twice{}",
        Attempt::list(.attempts)
    )]
    Unsettled {
        /// The document's key.
        key: String,
        /// The change's identity.
        identity: String,
        /// What was tried last.
        attempts: Vec<Attempt>,
    },
    /// A change was accepted but is not yet in force everywhere.
    #[error(
        "revision {revision} is accepted but not yet in force at {entries} after --timeout-ms \
         {timeout}: see `woodgap-ctl status`"
    )]
    Waiting {
        /// The revision.
        revision: u64,
        /// The entries that lag.
        entries: String,
        /// The time given.
        timeout: u64,
    },
}

impl Error {
    /// A change that no entry has answered: it may have been accepted if it was
    /// sent to any.
    pub fn unsettled(key: &str, identity: &str, attempts: Vec<Attempt>) -> Self {
        if attempts.iter().any(|attempt| attempt.sent) {
            Self::Unsettled {
                key: key.to_owned(),
                identity: identity.to_owned(),
                attempts,
            }
        } else {
            Self::Unreachable(attempts)
        }
    }

    /// The exit code that goes with the error.
    pub fn code(&self) -> Code {
        match self {
            Self::NoKey | Self::KeyFile { .. } | Self::OneFile { .. } => Code::Usage,
            Self::Conflict { .. } | Self::Absent { .. } => Code::Conflict,
            Self::Unreachable(_) | Self::Unsettled { .. } => Code::Unreachable,
            Self::File(_)
            | Self::Check { .. }
            | Self::UnknownKey { .. }
            | Self::NotFound(_)
            | Self::Refused { .. }
            | Self::Answer { .. }
            | Self::Unreadable { .. }
            | Self::Waiting { .. } => Code::Failed,
        }
    }
}
