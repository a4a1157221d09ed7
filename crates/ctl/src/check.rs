//! Checks files without starting or calling anything.

use std::fs;
use std::path::{Path, PathBuf};

use woodgap_core::config::Document;
use woodgap_settings::entry::Entry;
use woodgap_settings::{Kind, Problem, Problems, burn, document, entry, order, relay};

use crate::error::Error;
use crate::terminal::Terminal;

pub mod together;

/// A file without problems of its own.
pub enum Checked {
    /// Settings of an entry.
    Entry(Box<Entry>),
    /// Settings of a relay.
    Relay,
    /// Settings of the report.
    Burn,
    /// A configuration document.
    Document(Document),
    /// An order to endpoints.
    Order,
}

/// Prints what each file was taken for and everything that is wrong.
///
/// # Errors
///
/// [`Error::Check`] if there is any problem.
pub fn run(files: &[PathBuf], terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let mut good = Vec::new();
    let mut bad = 0;
    for path in files {
        let file = path.display().to_string();
        match check(path, &file) {
            Ok((kind, checked)) => {
                terminal.print(&format!("{file}: {kind}: ok"));
                good.push((file, checked));
            }
            Err((kind, problems)) => {
                terminal.print(&problems.to_string());
                let taken = kind.map_or("no known kind".to_owned(), |kind| kind.to_string());
                let count = problems.problems.len();
                terminal.print(&format!("{file}: {taken}: problems: {count}"));
                bad += 1;
            }
        }
    }
    bad += together::check(&good, terminal);
    if bad == 0 {
        Ok(())
    } else {
        Err(Error::Check {
            files: bad,
            all: files.len(),
        })
    }
}

type Failed = (Option<Kind>, Problems);

fn check(path: &Path, file: &str) -> Result<(Kind, Checked), Failed> {
    let text =
        fs::read_to_string(path).map_err(|error| (None, Problems::unreadable(file, &error)))?;
    let kind = Kind::of(&text, file).map_err(|problems| (None, problems))?;
    let Some(kind) = kind else {
        return Err((None, unknown(file)));
    };
    let checked = match kind {
        Kind::Entry => entry::parse(&text, file).map(|entry| Checked::Entry(Box::new(entry))),
        Kind::Relay => relay::parse(&text, file).map(|_| Checked::Relay),
        Kind::Burn => burn::parse(&text, file).map(|_| Checked::Burn),
        Kind::Document => document::parse(&text, file).map(Checked::Document),
        Kind::Order => order::parse(&text, file).map(|_| Checked::Order),
    };
    match checked {
        Ok(checked) => Ok((kind, checked)),
        Err(problems) => Err((Some(kind), problems)),
    }
}

fn unknown(file: &str) -> Problems {
    let problem = Problem {
        line: 1,
        column: 1,
        path: String::new(),
        found: "the keys of no kind of file".to_owned(),
        expected: "settings with `listen`, a report's settings with `time_zone`, \
            a document with `kind`, or an order with `wanted`"
            .to_owned(),
        fix: String::new(),
    };
    Problems {
        file: file.to_owned(),
        problems: vec![problem],
    }
}
