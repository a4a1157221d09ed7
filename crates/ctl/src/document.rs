//! Documents that are in force, and how they came to be.

use std::path::Path;

use jiff::Timestamp;
use woodgap_core::admin::{Change, DOCUMENTS_PATH, HISTORY_PATH, Kept};
use woodgap_core::clock::Millis;
use woodgap_settings::document;

use crate::client::{Call, Client};
use crate::difference::Difference;
use crate::error::Error;
use crate::options::DocumentKey;
use crate::table;
use crate::terminal::Terminal;

/// Prints a document; its version goes beside it, so that the output is a file
/// that can be edited and applied.
///
/// # Errors
///
/// That of the call.
pub async fn get(
    client: &Client,
    key: &DocumentKey,
    terminal: &mut Terminal<'_>,
) -> Result<(), Error> {
    let kept = fetch(client, key.as_str()).await?;
    terminal.print(&serde_json::to_string_pretty(&kept.document).unwrap_or_default());
    terminal.tell(&format!(
        "{}: version {}, revision {}",
        key.as_str(),
        kept.version,
        kept.revision
    ));
    Ok(())
}

/// Prints what applying a file would change.
///
/// # Errors
///
/// That of the file or of the call.
pub async fn diff(client: &Client, file: &Path, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let document = document::load(file)?;
    let key = document.key();
    let kept = match fetch(client, &key).await {
        Ok(kept) => Some(kept),
        Err(Error::NotFound(_)) => None,
        Err(error) => return Err(error),
    };
    let old = kept.as_ref().map(|kept| &kept.document);
    let difference = Difference::between(old, &document);
    match &kept {
        Some(kept) if difference.is_empty() => {
            terminal.tell(&format!("{key}: same as version {}", kept.version));
        }
        Some(kept) => terminal.tell(&format!(
            "{key}: - version {}, + {}",
            kept.version,
            file.display()
        )),
        None => terminal.tell(&format!("{key}: not there yet")),
    }
    if !difference.is_empty() {
        terminal.print(&difference.to_string());
    }
    Ok(())
}

/// Lists the accepted changes, of one document or of all.
///
/// # Errors
///
/// That of the call.
pub async fn history(
    client: &Client,
    key: Option<&DocumentKey>,
    as_json: bool,
    terminal: &mut Terminal<'_>,
) -> Result<(), Error> {
    let path = match key {
        Some(key) => format!("{HISTORY_PATH}?key={}", key.as_str()),
        None => HISTORY_PATH.to_owned(),
    };
    let answer = client.ask(&Call::get(path)).await;
    let changes: Vec<Change> = answer.map_err(Error::Unreachable)?.good("history")?;
    if as_json {
        terminal.print(&serde_json::to_string(&changes).unwrap_or_default());
        return Ok(());
    }
    let rows: Vec<_> = changes.into_iter().map(row).collect();
    let header = ["REVISION", "AT", "DOCUMENT", "OPERATOR", "CHANGE"];
    for line in table::lines(header, &rows) {
        terminal.print(&line);
    }
    Ok(())
}

async fn fetch(client: &Client, key: &str) -> Result<Kept, Error> {
    let call = Call::get(format!("{DOCUMENTS_PATH}{key}"));
    let answer = client.ask(&call).await.map_err(Error::Unreachable)?;
    answer.good(key)
}

fn row(change: Change) -> [String; 5] {
    [
        change.revision.to_string(),
        moment(change.at),
        change.key,
        change.operator,
        change.change,
    ]
}

/// A time of day in UTC, by the second.
fn moment(at: Millis) -> String {
    let seconds = i64::try_from(at.0 / 1_000).unwrap_or(i64::MAX);
    match Timestamp::from_second(seconds) {
        Ok(timestamp) => timestamp.to_string(),
        Err(_) => format!("{at}"),
    }
}
