//! Waits until a revision is in force at every entry.

use std::collections::BTreeSet;

use woodgap_core::admin::{Entry, EntryState, Status};
use woodgap_core::name;

use crate::client::Client;
use crate::error::Error;
use crate::fleet::status_call;
use crate::terminal::Terminal;

/// Asks for the fleet's state until every entry that serves has the revision,
/// and tells the entries' progress.
///
/// # Errors
///
/// [`Error::Waiting`] if the time after which nothing is tried again comes first.
pub async fn until_in_force(
    client: &Client,
    revision: u64,
    terminal: &mut Terminal<'_>,
) -> Result<(), Error> {
    let mut progress = Progress::new(revision);
    loop {
        // An entry that can't answer now is no reason to give up.
        if let Ok(answer) = client.ask(&status_call()).await {
            progress.take(&answer.good("status")?, terminal);
        }
        if progress.is_done() {
            terminal.print(&format!(
                "revision {revision} is in force at all {} entries",
                progress.done.len()
            ));
            return Ok(());
        }
        if !client.pause().await {
            return Err(Error::Waiting {
                revision,
                entries: progress.lagging(),
                timeout: client.timeout().0,
            });
        }
    }
}

/// Which entries have the revision in force, by the newest answer.
struct Progress {
    revision: u64,
    done: BTreeSet<name::Entry>,
    left: BTreeSet<name::Entry>,
}

impl Progress {
    fn new(revision: u64) -> Self {
        Self {
            revision,
            done: BTreeSet::new(),
            left: BTreeSet::new(),
        }
    }

    fn take(&mut self, status: &Status, terminal: &mut Terminal<'_>) {
        let serving = status.entries.iter().filter(|entry| serves(entry));
        let (done, left): (Vec<&Entry>, Vec<_>) =
            serving.partition(|entry| entry.revision >= self.revision);
        for entry in &done {
            if !self.done.contains(&entry.name) {
                terminal.tell(&format!("{}: revision {}", entry.name, entry.revision));
            }
        }
        let names = |entries: Vec<&Entry>| entries.iter().map(|it| it.name.clone()).collect();
        self.done = names(done);
        self.left = names(left);
    }

    fn is_done(&self) -> bool {
        self.left.is_empty() && !self.done.is_empty()
    }

    fn lagging(&self) -> String {
        if self.left.is_empty() {
            return "any entry".to_owned();
        }
        let names: Vec<&str> = self.left.iter().map(name::Entry::as_str).collect();
        names.join(", ")
    }
}

/// Whether an entry takes new work, for all that is known: only there does the
/// revision matter. An entry that is not ready takes the newest one first.
fn serves(entry: &Entry) -> bool {
    matches!(entry.state, EntryState::Live | EntryState::Suspect)
}
