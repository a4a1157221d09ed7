//! Waits until a revision is in force at every entry.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

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
        let fleet = look(client).await?;
        if !fleet.is_empty() {
            progress.take(&fleet, terminal);
        }
        if progress.is_done() {
            let count = progress.done.len();
            terminal.print(&format!("revision {revision}: in force, entries: {count}"));
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

/// The fleet as the entries that answer see it; one that can't answer now is no
/// reason to give up.
async fn look(client: &Client) -> Result<Vec<Entry>, Error> {
    let mut seen = Vec::new();
    for answer in client.ask_all(&status_call()).await {
        let status: Status = answer.good("status")?;
        seen.extend(status.entries);
    }
    Ok(newest(seen))
}

/// Of each entry the newest life, and of that the youngest news.
fn newest(seen: Vec<Entry>) -> Vec<Entry> {
    let newness = |entry: &Entry| (entry.incarnation, Reverse(entry.age));
    let mut fleet: BTreeMap<name::Entry, Entry> = BTreeMap::new();
    for entry in seen {
        let known = fleet.get(&entry.name);
        if known.is_none_or(|known| newness(known) < newness(&entry)) {
            fleet.insert(entry.name.clone(), entry);
        }
    }
    fleet.into_values().collect()
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

    fn take(&mut self, fleet: &[Entry], terminal: &mut Terminal<'_>) {
        let serving = fleet.iter().filter(|entry| serves(entry));
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

#[cfg(test)]
mod tests;
