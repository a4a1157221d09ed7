//! What the stand-ins for endpoints say that they ran.

use awc::Client;
use serde::Deserialize;
use woodgap_core::clock::Millis;

use crate::{Error, loopback};

/// Path of the record at each stand-in.
const PATH: &str = "/fake/record";
/// The largest record that is read, in bytes.
const LIMIT: usize = 512 * 1024 * 1024;

/// One run at an endpoint. A record also has lines about orders: there, all
/// fields are left at their defaults, and the line counts as never started.
#[derive(Clone, Debug, Deserialize)]
pub struct Run {
    /// The request's identity at the endpoint.
    #[serde(default)]
    pub request: String,
    /// The tag in the prompt, which tells whose request it was.
    #[serde(default, alias = "tag")]
    pub prompt_tag: Option<String>,
    /// When it got its slot, in Unix milliseconds; none if it never ran.
    #[serde(default)]
    pub started_ms: Option<Millis>,
    /// When it ended, in Unix milliseconds.
    #[serde(default)]
    pub ended_ms: Option<Millis>,
    /// Tokens sent; 1 for a whole call of a plain service.
    #[serde(default)]
    pub tokens_sent: u64,
    /// The offset that it went on after.
    #[serde(default)]
    pub resumed_from: Option<u64>,
    /// How it ended.
    #[serde(default)]
    pub end: String,
}

/// Reads the records of all these endpoints.
///
/// # Errors
///
/// [`Error::Record`] for the first that can't be read, [`Error::NotLoopback`].
pub async fn read(urls: &[String]) -> Result<Vec<Run>, Error> {
    let client = Client::default();
    let mut runs = Vec::new();
    for url in urls {
        let base = loopback::base(url)?;
        let part = read_one(&client, &base).await;
        let part = part.map_err(|message| Error::Record {
            url: url.clone(),
            message,
        })?;
        runs.extend(part);
    }
    Ok(runs)
}

async fn read_one(client: &Client, base: &str) -> Result<Vec<Run>, String> {
    let call = client.get(format!("{base}{PATH}"));
    let mut response = call.send().await.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(response.status().to_string());
    }
    let body = response.body().limit(LIMIT).await;
    let body = body.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
