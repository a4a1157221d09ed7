//! Reads what the control side of entries costs, and works out what it would
//! cost at the size that is planned for.

pub mod reading;
pub mod target;

use std::time::Duration;

use awc::Client;
use futures_util::future::join_all;
use serde::Serialize;
use woodgap_core::admin::{STATUS_PATH, Status};
use woodgap_platform::clock::Clock;

use crate::Error;
use reading::{Cost, Reading};
use target::{BUDGET, Budget, Size};

/// How long one call may take.
const CALL: Duration = Duration::from_secs(3);

/// What is read.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Base URLs of the entries.
    pub entries: Vec<String>,
    /// The operator's key.
    pub operator_key: String,
    /// Time between the two readings.
    pub span: Duration,
    /// Requests a second that callers send meanwhile, in all.
    pub rate: f64,
    /// Probes a second that the most loaded home sends.
    pub probes: f64,
    /// Workspaces in force.
    pub workspaces: u64,
}

/// The result: the most loaded entry, and what follows for the target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Findings {
    /// The entry that used most processor time.
    #[serde(flatten)]
    pub most: Cost,
    /// Entries that were read.
    pub entries: usize,
    /// Endpoints that they know.
    pub endpoints: usize,
    /// Mean of the entries' shares of a core.
    pub mean_core_share: f64,
    /// Mean of the bytes that entries sent a second.
    pub mean_bytes_per_s: f64,
    /// Share of a core at the target.
    pub target_core_share: f64,
    /// Memory of the process at the target, in MB.
    pub target_rss_mb: f64,
    /// Bytes sent a second at the target.
    pub target_bytes_per_s: f64,
    /// What the target allows.
    #[serde(flatten)]
    pub budget: Budget,
    /// Whether all three are within it.
    pub within_budget: bool,
}

/// Reads all entries twice.
///
/// # Errors
///
/// If an entry gives no status.
pub async fn run(plan: Plan) -> Result<Findings, Error> {
    let client = Client::builder().timeout(CALL).finish();
    let clock = Clock::start();
    let before = read_all(&client, &plan, clock).await?;
    tokio::time::sleep(plan.span).await;
    let after = read_all(&client, &plan, clock).await?;
    Ok(findings(&plan, &before, &after))
}

async fn read_all(client: &Client, plan: &Plan, clock: Clock) -> Result<Vec<Reading>, Error> {
    let readings = plan
        .entries
        .iter()
        .map(|url| read(client, url, plan, clock));
    join_all(readings).await.into_iter().collect()
}

async fn read(client: &Client, url: &str, plan: &Plan, clock: Clock) -> Result<Reading, Error> {
    let failed = |message: String| Error::Record {
        url: url.to_owned(),
        message,
    };
    let request = client
        .get(format!("{url}{STATUS_PATH}"))
        .bearer_auth(&plan.operator_key);
    let mut response = request
        .send()
        .await
        .map_err(|error| failed(error.to_string()))?;
    let at = clock.now();
    let status: Status = response
        .json()
        .await
        .map_err(|error| failed(error.to_string()))?;
    Ok(Reading {
        at,
        endpoints: status.endpoints.len(),
        control: status.control,
    })
}

/// What two readings of the same entries say.
pub fn findings(plan: &Plan, before: &[Reading], after: &[Reading]) -> Findings {
    let costs: Vec<Cost> = before
        .iter()
        .zip(after)
        .map(|(before, after)| Cost::between(before, after))
        .collect();
    let mean = |of: fn(&Cost) -> f64| costs.iter().map(of).sum::<f64>() / costs.len().max(1) as f64;
    let endpoints = after
        .iter()
        .map(|reading| reading.endpoints)
        .max()
        .unwrap_or(0);
    let most = costs
        .iter()
        .copied()
        .max_by(|one, other| one.core_share.total_cmp(&other.core_share))
        .unwrap_or_default();
    let here = Size {
        entries: costs.len() as f64,
        endpoints: endpoints as f64,
        probes: plan.probes,
        requests: plan.rate / costs.len().max(1) as f64,
        workspaces: plan.workspaces as f64,
    };
    let target = target::extrapolate(&most, &here);
    Findings {
        most,
        entries: costs.len(),
        endpoints,
        mean_core_share: mean(|cost| cost.core_share),
        mean_bytes_per_s: mean(|cost| cost.bytes_per_s),
        target_core_share: target.core_share,
        target_rss_mb: target.rss_mb,
        target_bytes_per_s: target.bytes_per_s,
        budget: BUDGET,
        within_budget: BUDGET.holds(&target),
    }
}

#[cfg(test)]
mod tests;
