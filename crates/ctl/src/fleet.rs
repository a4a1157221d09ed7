//! The fleet's state, and instances taken out of it.

use serde::Serialize;
use woodgap_core::admin::{
    DRAIN_PATH, Drain, Endpoint, Entry, REQUESTS_PATH, Request, STATUS_PATH, Status,
};
use woodgap_core::name;

use crate::client::{Call, Client};
use crate::error::Error;
use crate::table;
use crate::terminal::Terminal;

/// Shows the entries with the revision in force at each, and the endpoints.
///
/// # Errors
///
/// That of the call.
pub async fn status(client: &Client, json: bool, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let answer = client.ask(&status_call()).await;
    let status: Status = answer.map_err(Error::Unreachable)?.good("status")?;
    if json {
        terminal.print(&text(&status));
        return Ok(());
    }
    terminal.print(&format!("revision {}", status.revision));
    let entries: Vec<_> = status.entries.iter().map(entry_row).collect();
    let header = [
        "ENTRY",
        "DATA CENTRE",
        "STATE",
        "REVISION",
        "INCARNATION",
        "AGE",
    ];
    print_table(terminal, &table::lines(header, &entries));
    let endpoints: Vec<_> = status.endpoints.iter().map(endpoint_row).collect();
    let header = ["ENDPOINT", "DATA CENTRE", "STATE", "IN FLIGHT", "SLOTS"];
    print_table(terminal, &table::lines(header, &endpoints));
    Ok(())
}

/// The call for the fleet's state.
pub fn status_call() -> Call {
    Call::get(STATUS_PATH.to_owned())
}

/// Gives an instance no new work.
///
/// # Errors
///
/// That of the call.
pub async fn drain(
    client: &Client,
    instance: String,
    terminal: &mut Terminal<'_>,
) -> Result<(), Error> {
    let call = Call::post(DRAIN_PATH, &Drain { instance });
    let answer = client.ask(&call).await.map_err(Error::Unreachable)?;
    let drain: Drain = answer.good("instance of this name")?;
    terminal.print(&format!("{}: drain accepted", drain.instance));
    Ok(())
}

/// Shows what became of a request.
///
/// # Errors
///
/// That of the call.
pub async fn request(
    client: &Client,
    id: name::Request,
    json: bool,
    terminal: &mut Terminal<'_>,
) -> Result<(), Error> {
    let call = Call::get(format!("{REQUESTS_PATH}{id}"));
    let answer = client.ask(&call).await.map_err(Error::Unreachable)?;
    let request: Request = answer.good(&format!("request {id} that is still remembered"))?;
    if json {
        terminal.print(&text(&request));
        return Ok(());
    }
    for line in table::lines(["REQUEST", &request.request], &request_rows(&request)) {
        terminal.print(&line);
    }
    Ok(())
}

fn print_table(terminal: &mut Terminal<'_>, lines: &[String]) {
    terminal.print("");
    for line in lines {
        terminal.print(line);
    }
}

fn entry_row(entry: &Entry) -> [String; 6] {
    [
        entry.name.to_string(),
        entry.data_centre.to_string(),
        word(&entry.state),
        entry.revision.to_string(),
        format!("{:016x}", entry.incarnation.0),
        entry.age.to_string(),
    ]
}

fn endpoint_row(endpoint: &Endpoint) -> [String; 5] {
    [
        endpoint.name.to_string(),
        endpoint.data_centre.to_string(),
        word(&endpoint.state),
        endpoint.in_flight.to_string(),
        endpoint.slots.to_string(),
    ]
}

fn request_rows(request: &Request) -> [[String; 2]; 10] {
    let endpoint = request.endpoint.as_ref().map(ToString::to_string);
    let verdict = request.verdict.map(|verdict| verdict.as_str().to_owned());
    let none = || "-".to_owned();
    [
        ("stage", word(&request.stage)),
        ("verdict", verdict.unwrap_or_else(none)),
        ("entry", request.entry.to_string()),
        ("workspace", request.workspace.to_string()),
        ("class", request.class.to_string()),
        ("tier", request.tier.to_string()),
        ("target", request.target.to_string()),
        ("endpoint", endpoint.unwrap_or_else(none)),
        ("attempts", request.attempts.to_string()),
        ("age", request.age.to_string()),
    ]
    .map(|(name, value)| [name.to_owned(), value])
}

/// A state as it stands in JSON.
pub fn word(state: &impl Serialize) -> String {
    text(state).trim_matches('"').to_owned()
}

fn text(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
