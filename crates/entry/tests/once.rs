//! What may not be repeated runs at most once, and `not_run` means that it did not
//! run: every answer is compared with the endpoints' own record.

#[path = "once/answers.rs"]
mod answers;
#[path = "once/caller.rs"]
mod caller;
#[path = "once/claims.rs"]
mod claims;
#[path = "once/cost.rs"]
mod cost;
#[path = "once/issued.rs"]
mod issued;
#[path = "once/outage.rs"]
mod outage;
#[path = "once/storm.rs"]
mod storm;
#[path = "once/watch.rs"]
mod watch;

const ENTRY: &str = env!("CARGO_BIN_EXE_woodgap-entry");
