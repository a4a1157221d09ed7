//! Puts the reports of several runs side by side.

use std::path::Path;

use super::print_line;
use crate::Error;
use crate::case::{Measured, Side, Sides};
use crate::options::Case;

/// Carries out the command.
///
/// # Errors
///
/// Reports that can't be read.
pub fn run(options: &Case) -> Result<bool, Error> {
    let optional = |path: &Option<_>| path.as_deref().map(read).transpose();
    let ours = match &options.ours {
        Some(path) => Some(Side {
            run: read(path)?,
            calm: optional(&options.ours_calm)?,
        }),
        None => None,
    };
    let baseline = Side {
        run: read(&options.baseline)?,
        calm: optional(&options.baseline_calm)?,
    };
    print_line(&options.kind.line(&Sides { ours, baseline }));
    Ok(true)
}

fn read(path: &Path) -> Result<Measured, Error> {
    let failed = |error| Error::File {
        path: path.to_owned(),
        error,
    };
    let text = std::fs::read_to_string(path).map_err(failed)?;
    serde_json::from_str(&text).map_err(|error| failed(error.into()))
}
