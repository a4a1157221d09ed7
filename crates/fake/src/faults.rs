//! How faults are ordered: a JSON object replaces the faults that it names.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// Replaces the named faults and leaves the others as they are.
///
/// # Errors
///
/// When a name is unknown or a value has the wrong type; nothing is changed then.
pub fn merge<T>(faults: &mut T, change: Map<String, Value>) -> serde_json::Result<()>
where
    T: Serialize + DeserializeOwned,
{
    let mut whole = serde_json::to_value(&*faults)?;
    if let Value::Object(fields) = &mut whole {
        fields.extend(change);
    }
    *faults = serde_json::from_value(whole)?;
    Ok(())
}

/// Counts a fault down; false when none is left.
///
/// ```
/// let mut left = 1;
/// assert!(woodgap_fake::faults::take(&mut left));
/// assert!(!woodgap_fake::faults::take(&mut left));
/// ```
pub fn take(left: &mut u32) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}
