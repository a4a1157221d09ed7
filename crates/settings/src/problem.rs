//! What is wrong with a file, and where.

use std::fmt;

use thiserror::Error;

/// One problem of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// The key's path, such as `limits.body_bytes`; empty for the file itself.
    pub path: String,
    /// The value found, or what stands in its place. Never a secret.
    pub found: String,
    /// What would be accepted.
    pub expected: String,
    /// What to do about it; empty where the rest says it.
    pub fix: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: ", self.line, self.column)?;
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        write!(
            formatter,
            "found {}, expected {}.",
            self.found, self.expected
        )?;
        if !self.fix.is_empty() {
            write!(formatter, " {}", self.fix)?;
        }
        Ok(())
    }
}

/// All problems of a file, by their place in it; printed one a line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Problems {
    /// The file's name as it was given.
    pub file: String,
    /// At least one.
    pub problems: Vec<Problem>,
}

impl Problems {
    /// The problem of a file that can't be read at all.
    pub fn unreadable(file: &str, error: &std::io::Error) -> Self {
        let problem = Problem {
            line: 1,
            column: 1,
            path: String::new(),
            found: format!("no readable file ({error})"),
            expected: "a text file in UTF-8".to_owned(),
            fix: "Check the path and its permissions.".to_owned(),
        };
        Self {
            file: file.to_owned(),
            problems: vec![problem],
        }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{}:{problem}", self.file)?;
        }
        Ok(())
    }
}
