//! Keeps operators' orders in the table service.
//!
//! | table | key | value |
//! |---|---|---|
//! | `orders` | `endpoint/…` or `pool/…` | [`Kept`]; one that was withdrawn has no state |
//! | `order_changes` | the change's identity | [`Kept`] |

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;
use woodgap_core::admin;
use woodgap_core::clock::Millis;
use woodgap_core::orders::{Kept, Wanted};
use woodgap_platform::Error as PlatformError;
use woodgap_platform::table::{Outcome, Place, Row, Scan, Table, Transaction};

/// The table of orders.
pub const ORDERS: &str = "orders";
/// The table of changes by identity.
pub const CHANGES: &str = "order_changes";

/// Tries of one change against others that come in between.
const TRIES: u32 = 8;

/// Why an order was not accepted, or is not known to be.
#[derive(Debug, Error)]
pub enum Refusal {
    /// The order is not at the version expected.
    #[error("the order has changed")]
    Conflict {
        /// The order as it stands.
        current: Option<Box<Kept>>,
        /// Its version; 0 where there is none.
        version: u64,
    },
    /// It can't be carried out.
    #[error("the order is wrong")]
    Invalid(Vec<String>),
    /// The identity was used for another change.
    #[error("the identity was used for another change, of {0}")]
    IdentityReused(String),
    /// Other changes came in between every time, or nobody knows what became of it.
    #[error("not settled, try again with the same identity")]
    Busy,
    /// The platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

impl Refusal {
    /// The stable code of the refusal.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Conflict { .. } => admin::CONFLICT,
            Self::Invalid(_) => "invalid",
            Self::IdentityReused(_) => "identity_reused",
            Self::Busy => "busy",
            Self::Platform(_) => "platform_out",
        }
    }
}

/// Orders in a table service.
#[derive(Clone)]
pub struct Store<T> {
    table: T,
}

impl<T: Table> Store<T> {
    /// Orders in this table service.
    pub fn new(table: T) -> Self {
        Self { table }
    }

    /// The table service.
    pub fn table(&self) -> &T {
        &self.table
    }

    /// All orders that were not withdrawn.
    ///
    /// # Errors
    ///
    /// If the platform failed, or a row can't be read.
    pub async fn all(&self) -> Result<Vec<Kept>, PlatformError> {
        let mut orders = Vec::new();
        let mut after = String::new();
        loop {
            let scan = Scan {
                table: ORDERS.to_owned(),
                prefix: String::new(),
                after: after.clone(),
                limit: Scan::MOST,
            };
            let rows = self.table.scan(&scan).await?;
            for row in &rows {
                orders.push(decode::<Kept>(row)?);
            }
            match rows.last() {
                Some(last) if rows.len() == Scan::MOST => after.clone_from(&last.key),
                _ => break,
            }
        }
        orders.retain(|kept| kept.order.wanted.is_some());
        Ok(orders)
    }

    /// Accepts a change of one order: once, or not at all.
    ///
    /// A lost acknowledgement is settled by reading the change's identity back.
    ///
    /// # Errors
    ///
    /// Why it was not accepted.
    pub async fn apply(
        &self,
        apply: &admin::ApplyOrder,
        operator: &str,
        at: Millis,
    ) -> Result<admin::AppliedOrder, Refusal> {
        let wanted = apply.order.wanted.as_ref();
        let problems = wanted.map(Wanted::problems).unwrap_or_default();
        if !problems.is_empty() {
            return Err(Refusal::Invalid(problems));
        }
        let order = Place::new(ORDERS, &apply.order.scope.to_string());
        let change = Place::new(CHANGES, &apply.change);
        for _ in 0..TRIES {
            let rows = self.table.read(&[order.clone(), change.clone()]).await?;
            let row = |index: usize| rows.get(index).and_then(Option::as_ref);
            if let Some(done) = row(1) {
                return done_before(&decode(done)?, apply);
            }
            let current = row(0).map(decode::<Kept>).transpose()?;
            let kept = next(current, apply, operator, at)?;
            let value = encode(&kept)?;
            let transaction = Transaction::default()
                .check(order.clone(), row(0).map_or(0, |row| row.version))
                .check(change.clone(), 0)
                .put(order.clone(), value.clone())
                .put(change.clone(), value);
            match self.table.transact(&transaction).await {
                Ok(Outcome::Committed { .. }) => {
                    return Ok(admin::AppliedOrder {
                        version: kept.version,
                        already: false,
                    });
                }
                // Someone was faster, or nobody knows: the next round reads it back.
                Ok(Outcome::Conflict { .. }) => {}
                Err(error) if error.may_have_taken_effect() => {}
                Err(error) => return Err(error.into()),
            }
        }
        Err(Refusal::Busy)
    }
}

fn done_before(done: &Kept, apply: &admin::ApplyOrder) -> Result<admin::AppliedOrder, Refusal> {
    if done.order != apply.order {
        return Err(Refusal::IdentityReused(done.order.scope.to_string()));
    }
    Ok(admin::AppliedOrder {
        version: done.version,
        already: true,
    })
}

fn next(
    current: Option<Kept>,
    apply: &admin::ApplyOrder,
    operator: &str,
    at: Millis,
) -> Result<Kept, Refusal> {
    let version = current.as_ref().map_or(0, |kept| kept.version);
    if apply.expect.is_some_and(|expected| expected != version) {
        return Err(Refusal::Conflict {
            current: current.map(Box::new),
            version,
        });
    }
    Ok(Kept {
        order: apply.order.clone(),
        version: version + 1,
        operator: operator.to_owned(),
        change: apply.change.clone(),
        at,
    })
}

fn decode<D: DeserializeOwned>(row: &Row) -> Result<D, PlatformError> {
    D::deserialize(&row.value).map_err(|error| {
        let key = &row.key;
        PlatformError::Rejected(format!("row {key} can't be read: {error}"))
    })
}

fn encode<S: Serialize>(value: &S) -> Result<Value, PlatformError> {
    serde_json::to_value(value).map_err(|error| PlatformError::Rejected(error.to_string()))
}
