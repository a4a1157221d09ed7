//! Exit codes, which scripts may rely on.

use std::process::ExitCode;

/// How the command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Code {
    /// Done.
    Ok = 0,
    /// Refused or failed.
    Failed = 1,
    /// The command line is wrong; nothing was done.
    Usage = 2,
    /// Another change came first; nothing was changed.
    Conflict = 3,
    /// No entry could be reached, or none was able to answer.
    Unreachable = 4,
}

/// The codes as the help text gives them.
pub const HELP: &str = "Exit codes: 0 done, 1 refused or failed, 2 wrong command line, \
    3 conflict with another change, 4 no entry reached or none able to answer.";

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}
