//! Requests that are recorded now and carried out later.

use std::sync::Arc;

use actix_web::http::StatusCode;
use actix_web::web::{Bytes, Data, Path};
use actix_web::{HttpRequest, HttpResponse};
use serde::Serialize;
use serde_json::value::RawValue;
use woodgap_core::clock::Millis;
use woodgap_core::deferred::{self, Job, Shard, Stage, State};
use woodgap_core::once::identity::PREFIX;
use woodgap_core::once::{Digest, Key};
use woodgap_core::verdict::Verdict;
use woodgap_platform::http::Platform;

use crate::caller::authority::IDENTITY_HEADER;
use crate::caller::model::Parsed;
use crate::caller::refusal::ENTRY_HEADER;
use crate::caller::{Authority, Body};
use crate::deferred::accept::Refusal;
use crate::deferred::{Accept, Store};
use crate::request::call::Form;
use crate::request::run::Worker;
use crate::request::{Code, Problem};
use crate::shared::Shared;

/// Where chat requests are recorded.
pub const CHAT_PATH: &str = "/v1/deferred/chat/completions";
/// Where completions are recorded.
pub const COMPLETION_PATH: &str = "/v1/deferred/completions";
/// Where they are collected.
pub const ANSWER_PATH: &str = "/v1/deferred/{identity:.*}";

/// What the identities that an entry gives begin with.
const GIVEN: &str = "deferred-";
/// When to come back with a queue that was full: some of it has ended by then.
const FULL_RETRY: Millis = Millis(30_000);
/// When to come back after an outage of the platform.
const OUT_RETRY: Millis = Millis(2_000);

/// How far a request has come, as its caller is told.
#[derive(Debug, Serialize)]
struct Told<'a> {
    identity: &'a str,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    code: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    verdict: Option<Verdict>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer: Option<&'a RawValue>,
}

impl<'a> Told<'a> {
    fn new(identity: &'a str, state: &'a State) -> Self {
        let mut told = Self {
            identity,
            state: state.as_str(),
            code: None,
            verdict: None,
            message: None,
            answer: None,
        };
        if let State::Failed {
            code,
            verdict,
            message,
        } = state
        {
            told.code = Some(code);
            told.verdict = Some(*verdict);
            told.message = Some(message);
        }
        told
    }
}

/// `POST /v1/deferred/chat/completions`.
pub(crate) async fn chat(
    worker: Data<Worker>,
    request: HttpRequest,
    body: Body,
) -> Result<HttpResponse, Problem> {
    take(&worker, &request, &body.0, Form::Chat).await
}

/// `POST /v1/deferred/completions`.
pub(crate) async fn completion(
    worker: Data<Worker>,
    request: HttpRequest,
    body: Body,
) -> Result<HttpResponse, Problem> {
    take(&worker, &request, &body.0, Form::Completion).await
}

async fn take(
    worker: &Worker,
    request: &HttpRequest,
    body: &Bytes,
    form: Form,
) -> Result<HttpResponse, Problem> {
    let shared = &worker.shared;
    let authority = Authority::of(shared, request)?;
    let parsed = Parsed::read(body, form)?;
    let job = job(shared, &authority, &parsed, form)?;
    let key = job.key.clone();
    // A caller that goes away must not leave its request half recorded.
    let recording = record(
        Arc::clone(shared),
        worker.platform.clone(),
        job,
        parsed.body,
    );
    let recorded = actix_web::rt::spawn(recording).await;
    let state = recorded
        .map_err(|_| lost(&key))?
        .map_err(|refusal| refused(&refusal, &key))?;
    Ok(answer(shared, StatusCode::ACCEPTED, &key.identity).json(Told::new(&key.identity, &state)))
}

async fn record(
    shared: Arc<Shared>,
    platform: Platform,
    job: Job,
    body: Bytes,
) -> Result<State, Refusal> {
    let _running = shared.running.enter();
    let store = Store::new(platform);
    let bound = shared.settings.deferred.queue_per_workspace;
    let accept = Accept::new(&store, &shared.clock, bound);
    let state = accept.record(&job, body).await?;
    shared.deferred.record(Shard::of(&job.key));
    Ok(state)
}

fn job(
    shared: &Shared,
    authority: &Authority,
    parsed: &Parsed,
    form: Form,
) -> Result<Job, Problem> {
    let (name, class) = authority.deferrable(&parsed.target)?;
    authority.check_identity(class)?;
    if authority
        .identity
        .as_ref()
        .is_some_and(|identity| identity.starts_with(PREFIX))
    {
        let message = "an identity that an entry has issued can't be deferred: use one of your own";
        return Err(Problem::not_run(Code::BadRequest, message));
    }
    let submission = shared.next_request();
    let given = || format!("{GIVEN}{submission}");
    let identity = authority.identity.clone().unwrap_or_else(given);
    Ok(Job {
        key: Key::new(&authority.workspace.name, &identity),
        class: name.clone(),
        tier: authority.workspace.tier,
        weight: class.weight,
        target: parsed.target.as_str().into(),
        form: match form {
            Form::Chat => deferred::Form::Chat,
            Form::Completion => deferred::Form::Completion,
        },
        repeatable: class.repeatable,
        latency: class.target,
        measure: class.measure,
        prefix: parsed.prefix,
        body: Digest::of([form.path().as_bytes(), &parsed.body]),
        submission,
        created: shared.clock.unix(),
        attempts: 0,
        stage: Stage::Queued,
    })
}

/// The recording ended without saying how, as after a panic.
fn lost(key: &Key) -> Problem {
    let error = woodgap_platform::Error::Unknown("the recording broke off".to_owned());
    refused(&Refusal::Unknown(error), key)
}

fn refused(refusal: &Refusal, key: &Key) -> Problem {
    let message = refusal.to_string();
    match refusal {
        Refusal::Reused | Refusal::Claimed => Problem::not_run(Code::IdentityReused, message),
        Refusal::Full => Problem::not_run(Code::QueueFull, message).retry_after(FULL_RETRY),
        Refusal::NotRecorded(_) => {
            Problem::not_run(Code::PlatformOut, message).retry_after(OUT_RETRY)
        }
        Refusal::Unknown(_) => {
            let identity = &key.identity;
            let message =
                format!("{message}; submit it again with Idempotency-Key `{identity}` to find out");
            Problem::new(Code::PlatformOut, Verdict::MayHaveRun, message).retry_after(OUT_RETRY)
        }
    }
}

/// `GET /v1/deferred/{identity}`.
pub(crate) async fn get(
    worker: Data<Worker>,
    request: HttpRequest,
    identity: Path<String>,
) -> Result<HttpResponse, Problem> {
    let authority = Authority::of(&worker.shared, &request)?;
    let key = Key::new(&authority.workspace.name, &identity);
    match collect(&worker, &key).await? {
        Some(response) => Ok(response),
        None => Err(unknown(&identity)),
    }
}

/// How far a deferred request has come, with its answer; none if the identity is
/// not that of one.
///
/// # Errors
///
/// If that can't be found out now.
pub async fn collect(worker: &Worker, key: &Key) -> Result<Option<HttpResponse>, Problem> {
    let store = Store::new(worker.platform.clone());
    let found = store.lookup(key).await;
    let Some(state) = found.map_err(|error| unreadable(&error))? else {
        return Ok(None);
    };
    let identity = key.identity.as_str();
    let mut told = Told::new(identity, &state);
    let mut builder = answer(&worker.shared, StatusCode::OK, identity);
    let State::Done(object) = &state else {
        return Ok(Some(builder.json(told)));
    };
    let kept = store.answer(object).await;
    let kept = kept.map_err(|error| unreadable(&error))?;
    // Its time was over between the two reads.
    let Some(kept) = kept else {
        return Ok(None);
    };
    let raw: &RawValue = serde_json::from_slice(&kept)
        .map_err(|error| Problem::new(Code::BadAnswer, Verdict::Ran, error.to_string()))?;
    told.answer = Some(raw);
    Ok(Some(builder.json(told)))
}

fn answer(shared: &Shared, status: StatusCode, identity: &str) -> actix_web::HttpResponseBuilder {
    let mut builder = HttpResponse::build(status);
    builder.insert_header((ENTRY_HEADER, shared.settings.name.as_str()));
    builder.insert_header((IDENTITY_HEADER, identity));
    builder
}

fn unknown(identity: &str) -> Problem {
    let message = format!("no deferred request of this workspace has the identity `{identity}`");
    Problem::not_run(Code::UnknownIdentity, message)
}

fn unreadable(error: &woodgap_platform::Error) -> Problem {
    let message = format!("the request can't be looked up now: {error}");
    Problem::new(Code::PlatformOut, Verdict::MayHaveRun, message).retry_after(OUT_RETRY)
}
