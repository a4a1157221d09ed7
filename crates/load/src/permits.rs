//! Measures what permits cost: bytes between entries, and the wait for them.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use awc::Client;
use serde::{Deserialize, Serialize};
use woodgap_core::admin;

use crate::Error;
use crate::report::Recorder;
use crate::run;
use crate::totals::Totals;

/// What is measured.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The operator's key.
    pub operator_key: String,
    /// Traffic that finds free slots.
    pub lent: run::Plan,
    /// Traffic above the capacity.
    pub contended: run::Plan,
    /// How long the fleet is watched without traffic.
    pub idle: Duration,
    /// The entries' logs.
    pub logs: Vec<PathBuf>,
}

/// The result. Bytes are those that entries sent to each other, with IP and UDP
/// headers, without those that an idle fleet sends in the same time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Findings {
    /// Fixes the arrivals.
    pub seed: u64,
    /// Bytes a request while slots are free.
    pub bytes_per_request_lent: f64,
    /// Bytes a request above the capacity.
    pub bytes_per_request_contended: f64,
    /// Bytes a second of all entries without traffic, which are subtracted.
    pub idle_bytes_per_s: f64,
    /// Half of the requests waited longer for their permit while slots were free.
    pub added_ms_median: f64,
    /// One in a hundred waited longer.
    pub added_ms_p99: f64,
    /// Waits that were read from the logs.
    pub waits: u64,
    /// Requests sent while slots were free.
    pub sent_lent: u64,
    /// Those complete.
    pub complete_lent: u64,
    /// Requests sent above the capacity.
    pub sent_contended: u64,
    /// Those complete.
    pub complete_contended: u64,
}

/// Traffic's cost.
#[derive(Clone, Copy, Debug)]
struct Part {
    totals: Totals,
    bytes_per_request: f64,
}

/// What all entries have sent at a time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    bytes: u64,
}

impl Plan {
    /// Watches the fleet idle, then under both kinds of traffic.
    ///
    /// # Errors
    ///
    /// Entries that don't tell their status, logs that can't be read, and what
    /// keeps a run from starting.
    pub fn run(self) -> Result<Findings, Error> {
        let before = self.sample()?;
        std::thread::sleep(self.idle);
        let idle = rate(before, self.sample()?);
        let lent = self.part(&self.lent, idle)?;
        let waits = waits(&self.logs)?;
        let contended = self.part(&self.contended, idle)?;
        let delays = waits.delays();
        Ok(Findings {
            seed: self.lent.seed,
            bytes_per_request_lent: lent.bytes_per_request,
            bytes_per_request_contended: contended.bytes_per_request,
            idle_bytes_per_s: idle,
            added_ms_median: delays.p50_ms,
            added_ms_p99: delays.p99_ms,
            waits: waits.count(),
            sent_lent: lent.totals.sent,
            complete_lent: lent.totals.complete,
            sent_contended: contended.totals.sent,
            complete_contended: contended.totals.complete,
        })
    }

    fn part(&self, plan: &run::Plan, idle: f64) -> Result<Part, Error> {
        let before = self.sample()?;
        let found = plan.clone().run()?;
        let after = self.sample()?;
        let totals = Totals::of(&found.events);
        let bytes = (rate(before, after) - idle) * (after.at - before.at).as_secs_f64();
        Ok(Part {
            totals,
            bytes_per_request: bytes / totals.sent as f64,
        })
    }

    fn sample(&self) -> Result<Sample, Error> {
        let entries = &self.lent.entries;
        let bytes = actix_rt::System::new().block_on(bytes(entries, &self.operator_key))?;
        Ok(Sample {
            at: Instant::now(),
            bytes,
        })
    }
}

/// Bytes a second between two samples.
fn rate(before: Sample, after: Sample) -> f64 {
    let bytes = after.bytes.saturating_sub(before.bytes) as f64;
    bytes / (after.at - before.at).as_secs_f64()
}

async fn bytes(entries: &[String], key: &str) -> Result<u64, Error> {
    let client = Client::default();
    let mut sum = 0;
    for entry in entries {
        let status = status(&client, entry, key).await;
        let status = status.map_err(|message| Error::Status {
            url: entry.clone(),
            message,
        })?;
        sum += status.control.bytes_sent;
    }
    Ok(sum)
}

async fn status(client: &Client, entry: &str, key: &str) -> Result<admin::Status, String> {
    let call = client.get(format!("{entry}{}", admin::STATUS_PATH));
    let sent = call.bearer_auth(key).send().await;
    let mut response = sent.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(response.status().to_string());
    }
    response.json().await.map_err(|error| error.to_string())
}

/// A line of an entry's log, as far as it is of use here.
#[derive(Debug, Deserialize)]
struct Line {
    #[serde(default)]
    kvs: Fields,
}

#[derive(Debug, Default, Deserialize)]
struct Fields {
    permit_us: Option<u64>,
}

/// How long requests waited for their permit, as the entries logged it.
fn waits(logs: &[PathBuf]) -> Result<Recorder, Error> {
    let mut waits = Recorder::default();
    for path in logs {
        for wait in read(path)? {
            waits.add(Duration::from_micros(wait));
        }
    }
    Ok(waits)
}

fn read(path: &Path) -> Result<Vec<u64>, Error> {
    let text = std::fs::read_to_string(path).map_err(|error| Error::File {
        path: path.to_owned(),
        error,
    })?;
    Ok(text.lines().filter_map(wait).collect())
}

/// Lines of something else, or half written, have no wait.
fn wait(line: &str) -> Option<u64> {
    let line: Line = serde_json::from_str(line).ok()?;
    line.kvs.permit_us
}

#[cfg(test)]
mod tests;
