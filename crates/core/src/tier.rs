//! Service tiers and their order.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The service tier that a workspace has bought; tier 1 is the highest.
///
/// The order is by precedence, so the highest tier is the smallest value and
/// sorts first.
///
/// ```
/// use woodgap_core::tier::Tier;
///
/// let gold = Tier::new(1).unwrap();
/// let basic = Tier::new(7).unwrap();
/// assert!(gold.outranks(basic));
/// assert!(Tier::new(0).is_none());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u8", into = "u8")]
pub struct Tier(u8);

impl Tier {
    /// The highest tier.
    pub const HIGHEST: Self = Self(1);
    /// The lowest tier that can be sold.
    pub const LOWEST: Self = Self(7);

    /// The tier of this number, if it is between 1 and 7.
    pub const fn new(number: u8) -> Option<Self> {
        if number >= Self::HIGHEST.0 && number <= Self::LOWEST.0 {
            Some(Self(number))
        } else {
            None
        }
    }

    /// Whether this tier is served before the other.
    pub const fn outranks(self, other: Self) -> bool {
        self.0 < other.0
    }

    /// The tier's number, 1 to 7.
    pub const fn number(self) -> u8 {
        self.0
    }
}

impl TryFrom<u8> for Tier {
    type Error = String;

    fn try_from(number: u8) -> Result<Self, Self::Error> {
        Self::new(number).ok_or_else(|| format!("tier {number} is not between 1 and 7"))
    }
}

impl From<Tier> for u8 {
    fn from(tier: Tier) -> Self {
        tier.0
    }
}

impl fmt::Display for Tier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
