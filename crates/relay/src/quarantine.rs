//! What the platform keeps of what is withheld.
//!
//! Entries tell one another what they know. The platform is for those that start when all others
//! are gone: else a request that crashes endpoints would crash as many again.

use std::rc::Rc;
use std::time::Duration;

use woodgap_core::clock::Millis;
use woodgap_core::quarantine::{Cause, CrashHistory, StoredHistory};

use crate::follow::usable;
use crate::source::row::UnusableRows;
use crate::source::{Error, row};
use crate::start::ANNOUNCED;
use crate::state::State;

/// Between two tries at a platform that does not answer.
const RETRY: Millis = Millis(1_000);
/// Between two looks at a start: callers wait for this entry.
const FIRST_LOOK: Millis = Millis(50);

/// Reads once what is kept, and has the platform keep what this entry finds out.
pub async fn run(state: Rc<State>) {
    let mut faults = UnusableRows::new("withheld requests");
    while !state.has_read_kept.get() {
        let mut pause = FIRST_LOOK;
        if is_reader(&state)
            && let Err(error) = read(&state, &mut faults).await
        {
            log::info!(error = error.to_string(); "withheld requests are not known yet");
            pause = RETRY;
        }
        tokio::time::sleep(Duration::from_millis(pause.0)).await;
    }
    loop {
        state.to_keep.notified().await;
        while let Err(error) = write(&state).await {
            log::info!(error = error.to_string(); "withheld requests are not kept yet");
            tokio::time::sleep(Duration::from_millis(RETRY.0)).await;
        }
    }
}

/// Whether this entry is one of those that read: at a start those that others ask first, later
/// the first few. All others hear of it.
fn is_reader(state: &State) -> bool {
    let standing = state.standing();
    standing.rank < ANNOUNCED && (standing.is_seed || standing.has_converged())
}

/// Takes in what is kept, and drops what is long over. A few entries do so, which tell the others.
async fn read(state: &State, faults: &mut UnusableRows) -> Result<(), Error> {
    let rows: Vec<row::Row<StoredHistory>> = state.source.list_withheld().await?;
    faults.replace(&rows, &state.metrics);
    let now = state.clock.unix();
    let kept = rows.into_iter().filter_map(usable);
    let (over, kept): (Vec<_>, Vec<_>) = kept.partition(|kept| kept.is_expired(now));
    let told: Vec<CrashHistory> = kept.iter().map(|kept| kept.history_at(now)).collect();
    state.told_of_crashes(&told);
    state.has_read_kept.set(true);
    for kept in over {
        state.rewrite(kept.told.cause);
    }
    Ok(())
}

async fn write(state: &State) -> Result<(), Error> {
    while let Some(cause) = next(state) {
        if let Err(error) = write_one(state, cause).await {
            state.unkept.borrow_mut().insert(cause);
            return Err(error);
        }
    }
    Ok(())
}

/// Takes the next cause off the list; it may come on it again while it is written.
fn next(state: &State) -> Option<Cause> {
    state.unkept.borrow_mut().pop_first()
}

async fn write_one(state: &State, cause: Cause) -> Result<(), Error> {
    let told = state
        .quarantine
        .borrow()
        .history_to_store(cause, state.now());
    let Some(told) = told else {
        return state.source.delete_withheld(cause).await;
    };
    let written_unix = state.clock.unix();
    state
        .source
        .save_withheld(&StoredHistory { told, written_unix })
        .await
}
