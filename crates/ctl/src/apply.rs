//! Submits documents, each as a change of its own.

use std::path::PathBuf;

use awc::http::StatusCode;
use woodgap_core::admin::{APPLY_PATH, Applied, Conflict};
use woodgap_core::config::Document;
use woodgap_settings::document;

use crate::client::{Answer, Call, Client};
use crate::difference::Difference;
use crate::error::Error;
use crate::options::Apply;
use crate::refusal::refused;
use crate::terminal::Terminal;

pub mod wait;

/// Submits the documents in order and stops at the first that is not accepted.
///
/// # Errors
///
/// That of a file, before anything is sent; else that of the first document
/// that was not accepted.
pub async fn run(
    client: &Client,
    options: &Apply,
    terminal: &mut Terminal<'_>,
) -> Result<(), Error> {
    refuse_several(options)?;
    let documents = load(&options.files)?;
    let mut revision = 0;
    for (index, document) in documents.iter().enumerate() {
        let change = change(document, options);
        match submit(client, &change, terminal).await {
            Ok(applied) => revision = revision.max(applied.revision),
            Err(error) => {
                tell_left(&documents[index + 1..], terminal);
                return Err(error);
            }
        }
    }
    if options.wait {
        wait::until_in_force(client, revision, terminal).await?;
    }
    Ok(())
}

/// An identity or a version belongs to a single document.
fn refuse_several(options: &Apply) -> Result<(), Error> {
    if options.files.len() == 1 {
        return Ok(());
    }
    if options.identity.is_some() {
        return Err(Error::OneFile {
            option: "--identity",
        });
    }
    if options.expect_version.is_some() {
        return Err(Error::OneFile {
            option: "--expect-version",
        });
    }
    Ok(())
}

/// Reads all files before any is sent.
fn load(files: &[PathBuf]) -> Result<Vec<Document>, Error> {
    let documents = files.iter().map(|file| document::load(file));
    Ok(documents.collect::<Result<_, _>>()?)
}

fn change(document: &Document, options: &Apply) -> woodgap_core::admin::Apply {
    let drawn = || format!("{:032x}", rand::random::<u128>());
    woodgap_core::admin::Apply {
        change: options.identity.clone().unwrap_or_else(drawn),
        document: document.clone(),
        expect: options.expect_version,
    }
}

/// Sends a change under its identity until an entry has settled it.
async fn submit(
    client: &Client,
    change: &woodgap_core::admin::Apply,
    terminal: &mut Terminal<'_>,
) -> Result<Applied, Error> {
    let key = change.document.key();
    let call = Call::post(APPLY_PATH, change);
    let answer = match client.insist(&call).await {
        Ok(answer) => answer,
        Err(attempts) => return Err(Error::unsettled(&key, &change.change, attempts)),
    };
    match answer.status {
        StatusCode::CONFLICT => Err(conflict(&answer, change, terminal)),
        StatusCode::UNPROCESSABLE_ENTITY => Err(refused(&answer, key, terminal)),
        _ => {
            let applied: Applied = answer.good("such call: is this a woodgap entry?")?;
            tell_applied(&key, &change.change, applied, terminal);
            Ok(applied)
        }
    }
}

fn conflict(
    answer: &Answer,
    change: &woodgap_core::admin::Apply,
    terminal: &mut Terminal<'_>,
) -> Error {
    let conflict: Conflict = match answer.decode() {
        Ok(conflict) => conflict,
        Err(_) => return answer.failure(),
    };
    let key = change.document.key();
    let Some(current) = &conflict.current else {
        return Error::Absent { key };
    };
    let difference = Difference::between(Some(current), &change.document);
    if difference.is_empty() {
        terminal.tell("The document in force is the same as yours.");
    } else {
        terminal.tell("- in force, + yours:");
        terminal.print(&difference.to_string());
    }
    Error::Conflict {
        key,
        version: conflict.version,
    }
}

fn tell_applied(key: &str, identity: &str, applied: Applied, terminal: &mut Terminal<'_>) {
    let before = if applied.already {
        ", accepted before"
    } else {
        ""
    };
    terminal.print(&format!(
        "{key}: revision {}, version {}, change {identity}{before}",
        applied.revision, applied.version
    ));
}

fn tell_left(documents: &[Document], terminal: &mut Terminal<'_>) {
    for document in documents {
        terminal.tell(&format!("{}: not sent", document.key()));
    }
}
