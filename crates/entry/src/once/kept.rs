//! Whole answers in the object store, for when their entry's memory is gone.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use woodgap_core::name;
use woodgap_core::once::Key;
use woodgap_platform::object::{Condition, Store};

use crate::once::Record;
use crate::once::record::Kind;
use crate::request::Item;
use crate::request::run::Worker;

/// Tries of one write; beyond them the answer stays in memory alone.
const TRIES: u32 = 3;
/// The wait between two tries.
const PAUSE: Duration = Duration::from_millis(500);

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The request that is answered.
    pub request: name::Request,
    /// How the answer is shown.
    pub kind: Kind,
    /// All items but the last.
    pub items: Vec<Item>,
}

/// The key of an answer in the object store.
pub fn object(key: &Key) -> String {
    format!("answers/{}", key.digest())
}

/// Writes a whole answer; false if that failed, or it is too large.
pub async fn store(worker: &Worker, record: &Record) -> bool {
    let Some(items) = record.tape.items() else {
        return false;
    };
    let kept = Kept {
        request: record.request,
        kind: record.kind.clone(),
        items,
    };
    let Ok(body) = postcard::to_stdvec(&kept).map(Bytes::from) else {
        return false;
    };
    let key = object(&record.key);
    for _ in 0..TRIES {
        // Only the holder of the claim writes here, so a repeated write is the same.
        let put = worker.platform.put(&key, body.clone(), Condition::Always);
        match put.await {
            Ok(_) => return true,
            Err(error) => log::warn!(error = error.to_string(); "answer not kept"),
        }
        tokio::time::sleep(PAUSE).await;
    }
    false
}

/// Reads a whole answer; none if there is none, or the store fails.
pub async fn load(worker: &Worker, key: &Key) -> Option<Kept> {
    let object = match worker.platform.get(&object(key)).await {
        Ok(object) => object?,
        Err(error) => {
            log::warn!(error = error.to_string(); "kept answer not read");
            return None;
        }
    };
    postcard::from_bytes(&object.body).ok()
}

/// Deletes an answer whose time has passed. One whose entry went before that goes
/// with its claim.
pub async fn delete(worker: &Worker, key: &Key) {
    if let Err(error) = worker.platform.delete(&object(key)).await {
        log::warn!(error = error.to_string(); "kept answer not deleted");
    }
}
