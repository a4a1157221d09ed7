//! Admits or rejects a request and finds its route.

use std::rc::Rc;
use std::sync::Arc;

use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Method, Request};
use bytes::Bytes;
use woodgap_core::clock::Millis;
use woodgap_core::fingerprint::{self, Fingerprint};
use woodgap_core::intake::registry::SHORT_GRACE;
use woodgap_core::quarantine::Cause;
use woodgap_core::relay::Table;
use woodgap_core::relay::plan::{Kind, Route, Service, Workspace};
use woodgap_core::relay::resumption::Build;
use woodgap_intake::{Bounds, Refusal, Serving};

use crate::dialect::Call;
use crate::request::handover::{self, Accepted};
use crate::request::problem::{Code, OTHER_RELAY_RETRY_AFTER};
use crate::request::{AccessRecord, Problem};
use crate::state::State;
use crate::streams;

/// Maximum age of a plan's confirmation at which requests with an unknown route or key are
/// rejected: a newer plan may contain them. Longer than the interval between two confirmations.
const MAX_REJECTION_PLAN_AGE: Millis = Millis(3_000);
/// Bytes of a header beside its name and value: colon, blank, end of line.
const HEADER_MARKS: usize = 4;

/// Who has sent a request to this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Its caller.
    Caller,
    /// Another entry, which reaches no endpoint itself.
    Entry,
}

/// A request to forward to an endpoint.
pub struct AdmittedRequest {
    /// The parsed request headers.
    pub call: Call,
    /// Who has sent it.
    pub origin: Origin,
    /// At how many endpoints it may be tried.
    pub attempts: u32,
    /// The requested host.
    pub host: String,
    /// The HTTP method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: String,
    /// All headers, unfiltered.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The matching route.
    pub route: Arc<Route>,
    /// The service to forward to.
    pub service: Arc<Service>,
    /// The caller's workspace; `None` on a public route, or if the plan has no workspaces.
    pub workspace: Option<Arc<Workspace>>,
    /// If it takes a stream up: what began it. It must not go on anywhere else.
    pub build: Option<Build>,
    /// The priority among the requests to its service; 0 is the most urgent.
    pub priority: u8,
    /// The priority for a model engine; `None` for plain services.
    pub urgency: Option<u8>,
    /// Identifies repetitions of the same request by the same caller.
    pub fingerprint: Fingerprint,
    /// What in it may crash endpoints.
    pub causes: Rc<[Cause]>,
    /// When the response must be complete.
    pub deadline: Millis,
}

/// Reads the complete request and finds its route.
///
/// # Errors
///
/// Returns the error for the caller; the request has not run.
pub async fn admit(
    state: &Rc<State>,
    mut request: Request,
    origin: Origin,
    serving: &Serving,
    record: &mut AccessRecord,
) -> Result<AdmittedRequest, Problem> {
    let arrived = state.now();
    let malformed =
        |error: crate::dialect::Malformed| Problem::not_run(Code::BadRequest, error.to_string());
    let call = state.dialect.call(request.headers()).map_err(malformed)?;
    record.set_id(&call.id);
    if let Some(resumption) = &call.resumption {
        record.set_resumption(resumption);
    }
    let max_wait = call.patience.unwrap_or(Millis(u64::MAX / 2));
    reject_if_stopping(state, &request, arrived + max_wait)?;
    if origin == Origin::Entry {
        record.set_accepted(Accepted::take(state, request.headers())?);
    }
    check_header(state, &request, origin)?;
    let body = read_body(state, &mut request, serving, max_wait).await?;
    let table = table(state)?;
    let path = request.path();
    let host = requested_host(&request);
    let route = find_route(state, &table, &host, path)?;
    record.set_route(
        &route,
        table.version(),
        state.force.borrow().age(state.now()),
    );
    let workspace = identify_workspace(state, &table, &route, call.key.as_deref())?;
    let owner = workspace.as_deref().map_or("", |it| it.name.as_str());

    let build = streams::locate(state, &call, &route, owner, record).await?;
    let service = pick_service(state, &table, &route, build)?;
    let priority = table.priority(&service.name, workspace.as_deref(), &route);
    let urgency = (route.kind == Kind::Stream).then(|| table.urgency(workspace.as_deref(), &route));
    record.set_service(
        &service.name,
        workspace.as_deref().map(|it| it.name.as_str()),
    );
    if let Some(work) = &call.work {
        record.set_work(work);
    }
    let deadline = arrived + max_wait.min(route.timeout);
    if state.now() >= deadline {
        // With no time left, a write could still run, but its response would reach nobody.
        return Err(body_timeout());
    }
    let uri = request.uri();
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    let fingerprint = Fingerprint::of(&fingerprint::Request {
        caller: workspace.as_deref().map_or("", |it| it.name.as_str()),
        method: request.method().as_str(),
        host: &host.to_ascii_lowercase(),
        target,
        body: &body,
    });
    record.set_fingerprint(fingerprint);
    let causes = Cause::all(fingerprint, call.work.as_ref());
    let mut headers = request.headers().clone();
    let attempts = match origin {
        Origin::Caller => route.attempts,
        Origin::Entry => handover::attempts(&headers, route.attempts),
    };
    if origin == Origin::Entry {
        handover::remove_headers(&mut headers);
    }
    Ok(AdmittedRequest {
        origin,
        attempts,
        host,
        method: request.method().clone(),
        target: target.to_owned(),
        headers,
        call,
        body,
        route,
        service,
        workspace,
        build,
        priority,
        urgency,
        fingerprint,
        causes: causes.into(),
        deadline,
    })
}

/// Rejects a request before its body is read if the entry is stopping and cannot finish it in
/// any case. The final decision is made when the request is sent.
fn reject_if_stopping(state: &State, request: &Request, latest_end: Millis) -> Result<(), Problem> {
    let Some(shutdown) = state.shutdown() else {
        return Ok(());
    };
    let now = state.now();
    let table = table(state)?;
    let route = table.route(&requested_host(request), request.path());
    let latest_end = route.map_or(latest_end, |route| latest_end.min(now + route.timeout));
    if shutdown.may_accept(latest_end, now) {
        return Ok(());
    }
    Err(Problem::stopping())
}

fn not_ready(message: &str) -> Problem {
    Problem::not_run(Code::NotReady, message).retry_after(OTHER_RELAY_RETRY_AFTER)
}

fn table(state: &State) -> Result<Arc<Table>, Problem> {
    let force = state.force.borrow();
    let table = force.table().cloned();
    table.ok_or_else(|| not_ready("no configuration is known yet"))
}

/// Rejects a caller's request whose header is above the limit. Other entries add to theirs.
fn check_header(state: &State, request: &Request, origin: Origin) -> Result<(), Problem> {
    let max_bytes = table(state)?.limits().header_bytes;
    if origin == Origin::Entry || header_bytes(request) <= max_bytes {
        return Ok(());
    }
    let message = format!("the header is above {max_bytes} bytes");
    Err(Problem::not_run(Code::HeaderTooLarge, message))
}

/// The bytes of the request line and the headers.
fn header_bytes(request: &Request) -> usize {
    let target = request.uri().path_and_query().map_or("", |it| it.as_str());
    let headers = request.headers().iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_MARKS);
    request.method().as_str().len() + target.len() + headers.sum::<usize>()
}

/// Whether a request with these headers has a body.
pub fn has_body(headers: &HeaderMap) -> bool {
    headers.contains_key("transfer-encoding") || announced_length(headers).is_some_and(|it| it > 0)
}

/// The length of the body, if it is announced.
fn announced_length(headers: &HeaderMap) -> Option<usize> {
    if headers.contains_key("transfer-encoding") {
        return None;
    }
    let length = headers.get("content-length")?;
    length.to_str().ok()?.parse().ok()
}

/// Reads the complete body, so that the request can be retried.
async fn read_body(
    state: &State,
    request: &mut Request,
    serving: &Serving,
    max_wait: Millis,
) -> Result<Bytes, Problem> {
    if !has_body(request.headers()) {
        return Ok(Bytes::new());
    }
    let table = table(state)?;
    let limits = table.limits();
    // A caller may wait for longer than its route allows, or say nothing of it.
    let route = table.route(&requested_host(request), request.path());
    let bounds = Bounds {
        announced: announced_length(request.headers()),
        max_bytes: limits.body_bytes.min(state.intake.largest_request()),
        grace: limits.header_timeout,
        timeout: route.map_or(max_wait, |route| max_wait.min(route.timeout)),
    };
    let body = serving.read(request.take_payload(), &bounds).await;
    body.map_err(|refusal| match refusal {
        Refusal::TooLarge => {
            let message = format!("the body is above {} bytes", bounds.max_bytes);
            Problem::not_run(Code::BodyTooLarge, message)
        }
        Refusal::NoRoom => {
            let message = "this entry has no room for the body now";
            Problem::not_run(Code::EntryFull, message).retry_after(SHORT_GRACE)
        }
        Refusal::TooSlow => body_timeout(),
        Refusal::Broken(error) => {
            let message = format!("the body can't be read: {error}");
            Problem::not_run(Code::BadRequest, message)
        }
    })
}

fn body_timeout() -> Problem {
    Problem::not_run(Code::RequestTimeout, "the body did not come in time")
}

/// The requested host, from an absolute target or else from the `Host` header.
fn requested_host(request: &Request) -> String {
    let header = request.headers().get("host");
    let header = header.and_then(|value| value.to_str().ok());
    let host = request.uri().host().or(header);
    host.unwrap_or_default().to_owned()
}

fn find_route(state: &State, table: &Table, host: &str, path: &str) -> Result<Arc<Route>, Problem> {
    if let Some(route) = table.route(host, path) {
        return Ok(Arc::clone(route));
    }
    check_plan_age(state)?;
    let message = format!("no route of version {} takes {host}{path}", table.version());
    Err(Problem::not_run(Code::UnknownRoute, message))
}

fn identify_workspace(
    state: &State,
    table: &Table,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<Arc<Workspace>>, Problem> {
    if table.requires_key(route) && !state.trusts_keys() {
        return Err(not_ready(
            "keys can't be checked: the configuration is not confirmed",
        ));
    }
    if let Ok(workspace) = table.workspace(route, key) {
        return Ok(workspace.cloned());
    }
    check_plan_age(state)?;
    let message = format!("no workspace of version {} has this key", table.version());
    Err(Problem::not_run(Code::UnknownKey, message))
}

/// Requests are rejected only if the plan is known to be current.
fn check_plan_age(state: &State) -> Result<(), Problem> {
    if state.force.borrow().age(state.now()) < MAX_REJECTION_PLAN_AGE {
        return Ok(());
    }
    Err(not_ready("the configuration may be outdated"))
}

fn pick_service(
    state: &State,
    table: &Table,
    route: &Route,
    build: Option<Build>,
) -> Result<Arc<Service>, Problem> {
    let service = match build {
        Some(build) => Some(streams::service(state, route, build)?),
        None => table.pick_service(route, rand::random()),
    };
    let service = service.and_then(|name| table.service(name));
    // Validated plans have an existing service for each route.
    let no_service = || Problem::not_run(Code::NoEndpoint, "the route has no service");
    service.cloned().ok_or_else(no_service)
}
