//! Ordered faults, rate limits and counts of the platform's calls.

use actix_web::HttpResponse;
use actix_web::body::BoxBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::HeaderName;
use actix_web::http::{Method, StatusCode};
use actix_web::middleware::Next;
use actix_web::web::{Data, Json};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use woodgap_core::clock::Millis;
use woodgap_platform::{era, instance, object, table};

use super::{Platform, State, sleep};
use crate::faults::{merge, take};
use crate::server;

/// What goes wrong; `POST /fake/faults` replaces the named ones.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers 503 to everything.
    pub down: bool,
    /// Answers 503 to the table service's calls.
    pub table_down: bool,
    /// Answers 503 to the object store's calls.
    pub objects_down: bool,
    /// Holds every answer back this long, after it was made.
    pub delay_ms: Millis,
    /// Lets writes take effect this late, whether or not the caller still waits.
    pub late_writes_ms: Millis,
    /// Writes that take effect and are not answered.
    pub lose_acks: u32,
    /// Calls that neither take effect nor are answered.
    pub lose_requests: u32,
    /// Answers that announce their length and are cut half-way.
    pub cut_answers: u32,
    /// How late the instance list shows a change.
    pub list_lag_ms: Millis,
    /// Orders of reclaimable endpoints that are refused, as there are none to be had.
    pub none_reclaimable: u32,
    /// Reads and scans show the state of this long ago.
    pub stale_reads_ms: Millis,
}

/// Calls since the start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Transactions, whatever their outcome.
    pub transactions: u64,
    /// Transactions that changed nothing.
    pub conflicts: u64,
    /// Rows written.
    pub writes: u64,
    /// Read calls.
    pub reads: u64,
    /// Scan calls.
    pub scans: u64,
    /// Rows asked for by reads or returned by scans.
    pub rows_read: u64,
    /// Puts and deletes.
    pub object_writes: u64,
    /// Gets.
    pub object_reads: u64,
    /// Reads of the instance list.
    pub lists: u64,
    /// Calls answered by 429.
    pub limited: u64,
    /// Calls answered by 503.
    pub refused: u64,
}

/// A limit of calls a second; a second's worth may come at once.
#[derive(Debug)]
pub struct Rate {
    limit: Option<u32>,
    // In thousandths of a call, so that each millisecond adds whole ones.
    allowance: u64,
    at: Millis,
}

impl Rate {
    /// A limit; none lets every call through.
    pub fn new(limit: Option<u32>) -> Self {
        Self {
            limit,
            allowance: u64::from(limit.unwrap_or(0)) * 1_000,
            at: Millis::ZERO,
        }
    }

    fn allows(&mut self, now: Millis) -> bool {
        let Some(limit) = self.limit.map(u64::from) else {
            return true;
        };
        let earned = (now - self.at).0.saturating_mul(limit);
        self.at = now;
        self.allowance = self.allowance.saturating_add(earned).min(limit * 1_000);
        let allowed = self.allowance >= 1_000;
        if allowed {
            self.allowance -= 1_000;
        }
        allowed
    }
}

/// What becomes of a call before its handler sees it.
enum Gate {
    Pass,
    Refuse(StatusCode),
    Lose,
}

impl State {
    fn gate(&mut self, now: Millis, path: &str, write: bool) -> Gate {
        if self.refuses(path) {
            self.counts.refused += 1;
            return Gate::Refuse(StatusCode::SERVICE_UNAVAILABLE);
        }
        if take(&mut self.faults.lose_requests) {
            return Gate::Lose;
        }
        let allowed = match path {
            // The list is no call of the rate-limited services.
            instance::PATH => true,
            _ if write => self.writes.allows(now),
            _ => self.reads.allows(now),
        };
        if !allowed {
            self.counts.limited += 1;
            return Gate::Refuse(StatusCode::TOO_MANY_REQUESTS);
        }
        Gate::Pass
    }

    fn refuses(&self, path: &str) -> bool {
        let table = self.faults.table_down && path.starts_with("/table/");
        let objects = self.faults.objects_down && path.starts_with(object::PATH);
        self.faults.down || table || objects
    }
}

fn is_write(method: &Method, path: &str) -> bool {
    path == table::TRANSACT_PATH || *method == Method::PUT || *method == Method::DELETE
}

/// Puts the ordered faults before and after a call.
pub async fn gate(
    platform: Data<Platform>,
    request: ServiceRequest,
    next: Next<BoxBody>,
) -> Result<ServiceResponse, actix_web::Error> {
    let write = is_write(request.method(), request.path());
    let now = platform.now();
    let gate = platform.lock().gate(now, request.path(), write);
    match gate {
        Gate::Pass => {}
        Gate::Refuse(status) => {
            return Ok(request.into_response(HttpResponse::new(status)));
        }
        Gate::Lose => return Ok(request.into_response(server::cut())),
    }
    let mut response = next.call(request).await?;
    let era = platform.lock().era;
    if era > 0 {
        let name = HeaderName::from_static(era::HEADER);
        response.headers_mut().insert(name, era.into());
    }
    let delay = platform.lock().faults.delay_ms;
    sleep(delay).await;
    if write && take(&mut platform.lock().faults.lose_acks) {
        return Ok(response.into_response(server::cut()));
    }
    if take(&mut platform.lock().faults.cut_answers) {
        let (request, response) = response.into_parts();
        let response = server::cut_half(response).await;
        return Ok(ServiceResponse::new(request, response));
    }
    Ok(response)
}

/// `POST /fake/faults`.
pub async fn set(platform: Data<Platform>, change: Json<Map<String, Value>>) -> HttpResponse {
    match merge(&mut platform.lock().faults, change.into_inner()) {
        Ok(()) => HttpResponse::NoContent().finish(),
        Err(error) => HttpResponse::BadRequest().body(error.to_string()),
    }
}

/// How old the copy is from which the table service comes back.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Restore {
    age_ms: Millis,
}

/// `POST /fake/restore`.
pub async fn restore(platform: Data<Platform>, body: Json<Restore>) -> HttpResponse {
    let at = platform.now() - body.age_ms;
    let mut state = platform.lock();
    state.rows.restore(at);
    state.era += 1;
    HttpResponse::NoContent().finish()
}

/// `GET /fake/faults`: those still to come.
pub async fn show(platform: Data<Platform>) -> Json<Faults> {
    Json(platform.lock().faults.clone())
}

/// `GET /fake/counts`.
pub async fn counts(platform: Data<Platform>) -> Json<Counts> {
    Json(platform.lock().counts.clone())
}

#[cfg(test)]
mod tests;
