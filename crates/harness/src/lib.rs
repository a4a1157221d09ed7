//! A small fleet for tests: real entry processes, and stand-ins inside the test.
//!
//! ```no_run
//! # async fn example() {
//! use woodgap_harness::Fleet;
//!
//! // In a test of the entry: env!("CARGO_BIN_EXE_woodgap-entry").
//! let fleet = Fleet::start("target/debug/woodgap-entry", 2).await;
//! fleet.platform.fault(serde_json::json!({"table_down": true})).await;
//! fleet.entries[0].freeze();
//! # }
//! ```

pub mod crowd;
pub mod documents;
pub mod entry;
pub mod fleet;
pub mod gauge;
pub mod stand;

pub use entry::Entry;
pub use fleet::Fleet;
pub use stand::Stand;

use std::time::Duration;

/// Ends a test that waits for what never comes.
pub const STUCK: Duration = Duration::from_mins(2);

/// Waits until a question has an answer, however long the machine takes.
///
/// # Panics
///
/// If there is none within [`STUCK`].
pub async fn until<T, F: AsyncFnMut() -> Option<T>>(what: &str, mut ask: F) -> T {
    let asking = async {
        loop {
            if let Some(answer) = ask().await {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let Ok(answer) = tokio::time::timeout(STUCK, asking).await else {
        panic!("waited in vain until {what}");
    };
    answer
}
