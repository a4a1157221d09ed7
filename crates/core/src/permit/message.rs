//! Messages by which places are asked for, granted and given back.

use serde::{Deserialize, Serialize};

use crate::name;

/// A message of the permit protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A request no longer waits, nor holds a place.
    Withdraw(name::Request),
}
