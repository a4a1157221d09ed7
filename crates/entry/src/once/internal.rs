//! Answers the other entries' questions about identities.

use std::time::Duration;

use actix_web::web::{Bytes, Data, PayloadConfig, ServiceConfig, post, resource};
use actix_web::{HttpRequest, HttpResponse};
use futures_util::{Stream, stream};
use woodgap_core::name;
use woodgap_core::once::sightings::Knowledge;
use woodgap_core::once::{Digest, Key};

use crate::once::message::{Frame, Question, Submission};
use crate::once::seal::{Chain, HEADER};
use crate::once::{Reader, Record, claims};
use crate::request::run::Worker;
use crate::request::{Code, Head, Problem};

/// Path of the questions: `POST` takes a [`Question`], sealed, and returns frames.
pub const PATH: &str = "/internal/v1/answers";
/// How often a follower is told that there is nothing to pass on yet.
pub const WAITING: Duration = Duration::from_secs(2);
/// How long a follower may wait for a claim to be taken back.
const RELEASE: Duration = Duration::from_secs(1);
/// What a question may be larger than the body that it passes on, in bytes.
const SURPLUS: usize = 64 * 1024;

/// Adds the route; callers' bodies of up to this many bytes are passed on.
pub fn routes(config: &mut ServiceConfig, body_bytes: usize) {
    let largest = PayloadConfig::new(body_bytes + SURPLUS);
    let questions = resource(PATH).app_data(largest).route(post().to(answer));
    config.service(questions);
}

/// The first frame of an answer, and whose items follow.
enum Answer {
    Short(Frame),
    Long(Frame, Reader),
}

async fn answer(
    worker: Data<Worker>,
    request: HttpRequest,
    body: Bytes,
) -> Result<HttpResponse, Problem> {
    let shared = &worker.shared;
    let header = request.headers().get(HEADER);
    let header = header.and_then(|value| value.to_str().ok()).unwrap_or("");
    let opened = shared.once.sealer.open(shared.clock.unix(), header, &body);
    let mut chain =
        opened.map_err(|broken| Problem::not_run(Code::UnknownKey, broken.to_string()))?;
    let question = postcard::from_bytes(&body)
        .map_err(|error| Problem::not_run(Code::BadRequest, error.to_string()))?;
    Ok(match reply(&worker, question).await {
        Answer::Short(frame) => HttpResponse::Ok().body(chain.write(&frame)),
        Answer::Long(first, reader) => HttpResponse::Ok().streaming(frames(chain, first, reader)),
    })
}

async fn reply(worker: &Worker, question: Question) -> Answer {
    match question {
        Question::Know(key) => {
            Answer::Short(Frame::Knows(worker.shared.once.reply(&worker.shared, &key)))
        }
        Question::Follow { key, request, body } => follow(worker, &key, request, body).await,
        Question::Submit(submission) => submit(worker, submission).await,
    }
}

async fn follow(
    worker: &Worker,
    key: &Key,
    request: Option<name::Request>,
    body: Option<Digest>,
) -> Answer {
    let once = &worker.shared.once;
    let known = once.registry().attach(key);
    let asked = |record: &Record| match request {
        Some(request) => request == record.request,
        None => record.knowledge() == Knowledge::Has,
    };
    let Some((record, reader)) = known.filter(|(record, _)| asked(record)) else {
        return unknown(worker, key, request).await;
    };
    if body.is_some_and(|body| body != record.body) {
        return Answer::Short(Frame::Refused(super::submit::reused()));
    }
    let Some(reader) = reader else {
        return Answer::Short(Frame::Refused(super::follow::gone()));
    };
    let first = Frame::Following {
        request: record.tape.request(),
        kind: record.kind.clone(),
    };
    Answer::Long(first, reader)
}

/// A submission that is not known was given up unsent, or is forgotten.
async fn unknown(worker: &Worker, key: &Key, request: Option<name::Request>) -> Answer {
    let once = &worker.shared.once;
    let given_up = request.filter(|request| once.notes().is_abandoned(*request));
    let Some(request) = given_up else {
        return Answer::Short(Frame::Missing);
    };
    let closing = claims::close(worker, key, request, None, None);
    match tokio::time::timeout(RELEASE, closing).await {
        Ok(()) => Answer::Short(Frame::Released),
        Err(_) => Answer::Short(Frame::Refused(super::submit::platform_out())),
    }
}

async fn submit(worker: &Worker, submission: Submission) -> Answer {
    let kind = submission.kind.clone();
    match take(worker, submission).await {
        Ok(Some(reader)) => {
            let request = reader.request();
            Answer::Long(Frame::Following { request, kind }, reader)
        }
        Ok(None) => Answer::Short(Frame::Missing),
        Err(problem) => Answer::Short(Frame::Refused(problem)),
    }
}

/// Takes a submission in; none if this life did not issue its identity.
async fn take(worker: &Worker, submission: Submission) -> Result<Option<Reader>, Problem> {
    let shared = &worker.shared;
    let key = submission.key;
    let issued = shared.once.issuer.verify(&key.identity, &key.workspace);
    if issued.ok().map(|issued| issued.issuer) != Some(shared.incarnation) {
        return Ok(None);
    }
    let not_ready = || Problem::not_run(Code::NotReady, "the identity's entry is not ready");
    let now = shared.clock.now();
    let catalog = shared.in_force.confirmed(now).ok_or_else(not_ready)?;
    let workspace = catalog.workspace(key.workspace.as_str());
    let workspace = workspace.ok_or_else(not_ready)?;
    let class = workspace.classes.get(submission.class.as_str());
    let head = Head {
        prefix: submission.prefix,
        identity: key.hash(),
        ..Head::new(
            shared,
            workspace,
            (&submission.class, class.ok_or_else(not_ready)?),
            submission.target,
            submission.call,
        )
    };
    let reader = super::submit(worker, head, key, submission.kind).await?;
    Ok(Some(reader))
}

fn frames(
    chain: Chain,
    first: Frame,
    reader: Reader,
) -> impl Stream<Item = Result<Bytes, actix_web::Error>> {
    let state = (chain, Some(first), Some(reader));
    stream::unfold(state, |(mut chain, first, reader)| async move {
        if let Some(first) = first {
            let bytes = chain.write(&first);
            return Some((Ok(bytes), (chain, None, reader)));
        }
        let mut reader = reader?;
        let Ok(item) = tokio::time::timeout(WAITING, reader.recv()).await else {
            let bytes = chain.write(&Frame::Waiting);
            return Some((Ok(bytes), (chain, None, Some(reader))));
        };
        let last = item.is_last();
        let bytes = chain.write(&Frame::Item(item));
        Some((Ok(bytes), (chain, None, (!last).then_some(reader))))
    })
}
