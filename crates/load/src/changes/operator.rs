//! An operator that repeats a change, under its identity, until its outcome is known.

use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use serde::de::DeserializeOwned;
use woodgap_core::admin::{self, Applied, Apply, Change, Kept};

use crate::Error;

/// How long one call may take.
const CALL: Duration = Duration::from_secs(3);
/// Pause before the same change is sent to the next entry.
const AGAIN: Duration = Duration::from_millis(50);
/// Tries of one change: enough for outages of a minute.
const TRIES: usize = 600;

/// How a change ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It is committed.
    Accepted(Applied),
    /// Another change came first; this one did nothing.
    Conflict,
    /// It was refused as wrong.
    Refused,
    /// No entry could tell.
    Unknown,
}

/// Calls entries in turn.
pub struct Operator {
    client: Client,
    entries: Vec<String>,
    key: String,
}

impl Operator {
    /// An operator with this key.
    pub fn new(entries: &[String], key: &str) -> Self {
        let client = Client::builder().timeout(CALL).finish();
        Self {
            client,
            entries: entries.to_vec(),
            key: key.to_owned(),
        }
    }

    /// Applies a change, first at the entry of this number.
    pub async fn apply(&self, first: usize, change: &Apply) -> End {
        for entry in self
            .entries
            .iter()
            .cycle()
            .skip(first % self.entries.len())
            .take(TRIES)
        {
            if let Some(end) = self.apply_at(entry, change).await {
                return end;
            }
            tokio::time::sleep(AGAIN).await;
        }
        End::Unknown
    }

    async fn apply_at(&self, entry: &str, change: &Apply) -> Option<End> {
        let url = format!("{entry}{}", admin::APPLY_PATH);
        let request = self
            .client
            .post(url)
            .bearer_auth(&self.key)
            .send_json(change);
        let mut response = request.await.ok()?;
        match response.status() {
            StatusCode::OK => response.json().await.ok().map(End::Accepted),
            StatusCode::CONFLICT => Some(End::Conflict),
            StatusCode::UNPROCESSABLE_ENTITY => Some(End::Refused),
            _ => None,
        }
    }

    /// The present version of a document; none if no entry can tell.
    pub async fn version(&self, key: &str) -> Option<u64> {
        let path = format!("{}{key}", admin::DOCUMENTS_PATH);
        self.get::<Kept>(&path).await.map(|kept| kept.version)
    }

    /// All changes.
    ///
    /// # Errors
    ///
    /// If no entry can tell.
    pub async fn history(&self) -> Result<Vec<Change>, Error> {
        self.get(admin::HISTORY_PATH)
            .await
            .ok_or_else(|| Error::Record {
                url: admin::HISTORY_PATH.to_owned(),
                message: "no entry gives the history".to_owned(),
            })
    }

    async fn get<A: DeserializeOwned>(&self, path: &str) -> Option<A> {
        for entry in self.entries.iter().cycle().take(TRIES) {
            let request = self
                .client
                .get(format!("{entry}{path}"))
                .bearer_auth(&self.key);
            if let Ok(mut response) = request.send().await
                && let Ok(answer) = response.json().await
            {
                return Some(answer);
            }
            tokio::time::sleep(AGAIN).await;
        }
        None
    }
}
