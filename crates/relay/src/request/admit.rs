//! Whether a request is taken, and by which route.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Method, Payload, Request};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use woodgap_core::clock::Millis;
use woodgap_core::fingerprint::{self, Fingerprint};
use woodgap_core::relay::Table;
use woodgap_core::relay::plan::{Kind, Route, Service, Workspace};

use crate::dialect::Call;
use crate::request::problem::{Code, ELSEWHERE};
use crate::request::{Account, Problem};
use crate::state::State;

/// How old the confirmation of a plan may be for a request to be denied by it: a
/// newer plan may have its route or key. Above the time between two confirmations.
const DENY_AGE: Millis = Millis(3_000);

/// A request that is to be passed on.
pub struct Admitted {
    /// What its caller said.
    pub call: Call,
    /// Its method.
    pub method: Method,
    /// Path and query, as they came.
    pub target: String,
    /// All its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// The route that takes it.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: Arc<Service>,
    /// Its caller's workspace.
    pub workspace: Option<Arc<Workspace>>,
    /// How urgent it is to a model engine; none for plain services.
    pub urgency: Option<u8>,
    /// What tells that it is the same as others of its caller.
    pub fingerprint: Fingerprint,
    /// When it must have ended.
    pub deadline: Millis,
}

/// Reads a request to its end and finds its route.
///
/// # Errors
///
/// What its caller is told; it has not run then.
pub async fn admit(
    state: &Rc<State>,
    mut request: Request,
    account: &mut Account,
) -> Result<Admitted, Problem> {
    let arrived = state.now();
    let malformed =
        |error: crate::dialect::Malformed| Problem::not_run(Code::BadRequest, error.to_string());
    let call = state.dialect.call(request.headers()).map_err(malformed)?;
    account.name(&call.id);
    let patience = call.patience.unwrap_or(Millis(u64::MAX / 2));
    refuse_late(state, &request, arrived + patience)?;
    let most = body_limit(state)?;
    let body = read(request.take_payload(), most, patience).await?;
    let table = table(state)?;
    let path = request.path();
    let host = host(&request);
    let route = find(state, &table, &host, path)?;
    account.route(
        &route,
        table.version(),
        state.force.borrow().age(state.now()),
    );
    let workspace = identify(state, &table, &route, call.key.as_deref())?;
    let service = draw(&table, &route)?;
    let urgency = (route.kind == Kind::Stream).then(|| table.urgency(workspace.as_deref(), &route));
    account.service(
        &service.name,
        workspace.as_deref().map(|it| it.name.as_str()),
    );
    if let Some(work) = &call.work {
        account.work(work);
    }
    let deadline = arrived + patience.min(route.timeout);
    if state.now() >= deadline {
        // It would be begun with no time left: a write that runs and whose answer nobody gets.
        return Err(late_body());
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
    account.fingerprint(fingerprint);
    Ok(Admitted {
        method: request.method().clone(),
        target: target.to_owned(),
        headers: request.headers().clone(),
        call,
        body,
        route,
        service,
        workspace,
        urgency,
        fingerprint,
        deadline,
    })
}

/// Turns a request away before its body is read, if the entry is stopping and can't take it
/// whatever is still to be learnt of it. Whether it is taken is decided when it is sent.
fn refuse_late(state: &State, request: &Request, latest: Millis) -> Result<(), Problem> {
    let Some(shutdown) = state.shutdown() else {
        return Ok(());
    };
    let now = state.now();
    let table = table(state)?;
    let route = table.route(&host(request), request.path());
    let latest = route.map_or(latest, |route| latest.min(now + route.timeout));
    if shutdown.may_accept(latest, now) {
        return Ok(());
    }
    Err(Problem::stopping())
}

fn not_ready(message: &str) -> Problem {
    Problem::not_run(Code::NotReady, message).retry_after(ELSEWHERE)
}

fn table(state: &State) -> Result<Arc<Table>, Problem> {
    let force = state.force.borrow();
    let table = force.table().cloned();
    table.ok_or_else(|| not_ready("no configuration is known yet"))
}

fn body_limit(state: &State) -> Result<usize, Problem> {
    table(state).map(|table| table.limits().body_bytes)
}

/// Reads the body as a whole, so that it can be sent again.
async fn read(mut payload: Payload, most: usize, patience: Millis) -> Result<Bytes, Problem> {
    let mut body = BytesMut::new();
    let reading = async {
        while let Some(piece) = payload.next().await {
            let broken = |error: actix_http::error::PayloadError| {
                Problem::not_run(Code::BadRequest, format!("the body can't be read: {error}"))
            };
            body.extend_from_slice(&piece.map_err(broken)?);
            if body.len() > most {
                let message = format!("the body is above {most} bytes");
                return Err(Problem::not_run(Code::BodyTooLarge, message));
            }
        }
        Ok(())
    };
    let limit = Duration::from_millis(patience.0);
    let late = |_| late_body();
    tokio::time::timeout(limit, reading).await.map_err(late)??;
    Ok(body.freeze())
}

fn late_body() -> Problem {
    Problem::not_run(Code::RequestTimeout, "the body did not come in time")
}

/// The host that the caller names, in its header or in an absolute target.
fn host(request: &Request) -> String {
    let named = request.headers().get("host");
    let named = named.and_then(|value| value.to_str().ok());
    let host = request.uri().host().or(named);
    host.unwrap_or_default().to_owned()
}

fn find(state: &State, table: &Table, host: &str, path: &str) -> Result<Arc<Route>, Problem> {
    if let Some(route) = table.route(host, path) {
        return Ok(Arc::clone(route));
    }
    may_deny(state)?;
    let message = format!("no route of version {} takes {host}{path}", table.version());
    Err(Problem::not_run(Code::UnknownRoute, message))
}

fn identify(
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
    may_deny(state)?;
    let message = format!("no workspace of version {} has this key", table.version());
    Err(Problem::not_run(Code::UnknownKey, message))
}

/// A request is denied only by a plan that is known to be the newest.
fn may_deny(state: &State) -> Result<(), Problem> {
    if state.force.borrow().age(state.now()) < DENY_AGE {
        return Ok(());
    }
    Err(not_ready("the configuration may be outdated"))
}

fn draw(table: &Table, route: &Route) -> Result<Arc<Service>, Problem> {
    let service = table.pick_service(route, rand::random());
    let service = service.and_then(|name| table.service(name));
    // The plan was checked: each route has a service that exists.
    let missing = || Problem::not_run(Code::NoEndpoint, "the route has no service");
    service.cloned().ok_or_else(missing)
}
