//! The operator's key: never an argument, since those are seen by other users.

use std::fs;
use std::path::Path;

use crate::error::Error;

/// The environment variable that may hold the key.
pub const VARIABLE: &str = "WOODGAP_OPERATOR_KEY";

/// The key from the file, or else from the environment.
///
/// # Errors
///
/// [`Error::NoKey`] if there is none, [`Error::KeyFile`] if the file is no use.
///
/// ```
/// use woodgap_ctl::key;
///
/// assert_eq!(key::find(None, Some("sample".to_owned())).unwrap(), "sample");
/// assert!(key::find(None, None).is_err());
/// ```
pub fn find(file: Option<&Path>, variable: Option<String>) -> Result<String, Error> {
    match file {
        Some(file) => read(file),
        None => variable.filter(|key| !key.is_empty()).ok_or(Error::NoKey),
    }
}

fn read(file: &Path) -> Result<String, Error> {
    let fault = |reason: String| Error::KeyFile {
        file: file.to_owned(),
        reason,
    };
    let text = fs::read_to_string(file).map_err(|error| fault(error.to_string()))?;
    let key = text.trim();
    let usable = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
    if usable {
        Ok(key.to_owned())
    } else {
        Err(fault(
            "expected one line of visible ASCII characters".to_owned(),
        ))
    }
}
