//! Deletes claims that no caller comes back for, with the answers that they name.

use std::sync::Arc;

use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::once::{Claim, End, Key};
use woodgap_platform::Error;
use woodgap_platform::object::Store;
use woodgap_platform::table::{Place, Row, Scan, Table, Transaction};

use crate::endpoint::Client;
use crate::once::message::{Frame, Question};
use crate::once::{claims, kept, peer};
use crate::request::run::Worker;
use crate::shared::Shared;

/// How long a claim is kept. An identity that is submitted again after it is taken
/// for a new one.
pub const KEPT: Millis = Millis::from_secs(7 * 24 * 3_600);
/// Rows that are looked at in one round.
const ROUND: usize = 200;

/// A pass through all claims, some at a time.
pub struct Sweep {
    after: String,
}

impl Sweep {
    /// A pass from the first claim on.
    pub fn new() -> Self {
        Self {
            after: String::new(),
        }
    }

    /// Looks at the next claims, and deletes the old ones; says how many.
    ///
    /// # Errors
    ///
    /// If the platform failed; the rows are then looked at again.
    pub async fn round<P: Table + Store>(
        &mut self,
        platform: &P,
        unix: Millis,
    ) -> Result<usize, Error> {
        let scan = Scan {
            table: claims::TABLE.to_owned(),
            prefix: String::new(),
            after: self.after.clone(),
            limit: ROUND,
        };
        let rows = platform.scan(&scan).await?;
        let old: Vec<&Row> = rows.iter().filter(|row| is_old(row, unix)).collect();
        for row in &old {
            delete_answer(platform, row).await?;
        }
        delete(platform, &old).await?;
        let last = rows.last().filter(|_| rows.len() == ROUND);
        self.after = last.map_or_else(String::new, |row| row.key.clone());
        Ok(old.len())
    }
}

impl Default for Sweep {
    fn default() -> Self {
        Self::new()
    }
}

fn claim(row: &Row) -> Option<Claim> {
    serde_json::from_value(row.value.clone()).ok()
}

fn is_old(row: &Row, unix: Millis) -> bool {
    claim(row).is_some_and(|claim| claim.at + KEPT < unix)
}

/// Deletes the answer that a claim names. Most are gone: their entry deletes them.
async fn delete_answer<P: Store>(platform: &P, row: &Row) -> Result<(), Error> {
    let ended = claim(row).and_then(|claim| claim.end);
    let key = row.key.split_once('/');
    let (Some(End::Complete { kept: true }), Some((workspace, identity))) = (ended, key) else {
        return Ok(());
    };
    let object = kept::object(&Key::new(&name::Workspace::from(workspace), identity));
    if platform.get(&object).await?.is_some() {
        platform.delete(&object).await?;
    }
    Ok(())
}

async fn delete<P: Table>(platform: &P, rows: &[&Row]) -> Result<(), Error> {
    if rows.is_empty() {
        return Ok(());
    }
    let places = rows
        .iter()
        .map(|row| (Place::new(claims::TABLE, &row.key), row.version));
    let transaction = places.fold(Transaction::default(), |transaction, (place, version)| {
        transaction.check(place.clone(), version).delete(place)
    });
    platform.transact(&transaction).await.map(|_| ())
}

/// Whether another entry's clock agrees with this one's. A claim that is deleted
/// early could let its request run again, so that no entry deletes by a clock of
/// its own alone.
pub async fn clock_agrees(shared: &Arc<Shared>) -> bool {
    let worker = Worker {
        shared: Arc::clone(shared),
        client: Client::new(),
        platform: crate::configuration::watcher::platform(shared),
    };
    // Any identity will do: an entry refuses questions of another time.
    let question = Question::Know(Key::new(&name::Workspace::from("none"), "none"));
    let members = shared.members.load_full();
    let others = members
        .iter()
        .filter(|member| member.active() && member.incarnation != shared.incarnation);
    for member in others {
        if let Ok((Frame::Knows(_), _)) = peer::ask(&worker, member.http, &question).await {
            return true;
        }
    }
    false
}
