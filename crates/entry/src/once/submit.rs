//! Takes in a request that carries an identity.

use std::net::SocketAddr;
use std::sync::Arc;

use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::once::sightings::Finding;
use woodgap_core::once::{ClaimOutcome, Digest, Issued, Key, identity};
use woodgap_core::verdict::Verdict;

use crate::once::follow::Opened;
use crate::once::message::{Question, Submission};
use crate::once::record::{Kind, Record};
use crate::once::recorder::{self, Recorder, Role};
use crate::once::registry::Entered;
use crate::once::{Reader, claims, find, follow, peer};
use crate::request::account::Account;
use crate::request::run::{self, Worker};
use crate::request::{Call, Code, Ending, Head, Item, Problem, Received, Request, Sink};

/// Claims of one submission, each after the last holder took its claim back.
const ROUNDS: u32 = 5;
/// When to come back while claims can't be recorded.
const PLATFORM_RETRY: Millis = Millis(2_000);
/// When to come back while too many identities are known.
const FULL_RETRY: Millis = Millis(10_000);

/// Who may send a request.
enum Way {
    /// Anyone, also again.
    Repeatable,
    /// Who claims it.
    Claim,
    /// This life, which issued its identity.
    Issued(Issued),
    /// The life that issued its identity.
    Issuer(Issued),
}

/// Takes in a submission: the first one of an identity is carried out, any other
/// follows the first. Returns a reader of the answer.
///
/// # Errors
///
/// If the identity was not issued to the workspace, or was used for another
/// request, or its answer is no longer kept.
pub async fn submit(worker: &Worker, head: Head, key: Key, kind: Kind) -> Result<Reader, Problem> {
    let shared = &worker.shared;
    let once = &shared.once;
    let way = way(worker, &head, &key)?;
    let body = digest(&head);
    let binding = matches!(way, Way::Issued(_));
    let tape = once.tape(head.id);
    let record = Record::new(key, head.id, body.clone(), kind, binding, tape);
    let now = shared.clock.now();
    let entered = once.registry().enter(now, record);
    let record = match entered {
        Entered::First(record) => record,
        Entered::Known(known, _) if known.body != body => return Err(reused()),
        Entered::Known(_, Some(reader)) => return Ok(reader),
        Entered::Known(known, None) => return find::kept(worker, &known.key).await,
        Entered::Full => return Err(full()),
    };
    if let Err(problem) = may_begin(worker, &way) {
        once.registry().remove(&record.key, record.request);
        return Err(problem);
    }
    let reader = record.tape.attach().ok_or_else(follow::gone);
    actix_web::rt::spawn(drive(worker.clone(), head, way, record));
    reader
}

fn way(worker: &Worker, head: &Head, key: &Key) -> Result<Way, Problem> {
    let shared = &worker.shared;
    if !key.identity.starts_with(identity::PREFIX) {
        return Ok(if head.repeatable {
            Way::Repeatable
        } else {
            Way::Claim
        });
    }
    let issued = issued(worker, key)?;
    Ok(if issued.issuer == shared.incarnation {
        Way::Issued(issued)
    } else {
        Way::Issuer(issued)
    })
}

/// What an issued identity says.
///
/// # Errors
///
/// If it was not issued to the workspace.
pub fn issued(worker: &Worker, key: &Key) -> Result<Issued, Problem> {
    let checked = worker
        .shared
        .once
        .issuer
        .verify(&key.identity, &key.workspace);
    checked.map_err(|foreign| Problem::not_run(Code::BadRequest, foreign.to_string()))
}

/// Whether a submission that nobody here knows of may begin.
fn may_begin(worker: &Worker, way: &Way) -> Result<(), Problem> {
    let shared = &worker.shared;
    if shared.stopping() {
        let message = "the entry that issued this identity takes no new work";
        return Err(Problem::not_run(Code::Stopping, message));
    }
    match way {
        // It may have run, and been forgotten since.
        Way::Issued(issued) if !issued.fresh(shared.clock.now()) => {
            let message = "the identity is too old to be submitted first; it is never run again";
            Err(Problem::new(
                Code::UnknownOutcome,
                Verdict::MayHaveRun,
                message,
            ))
        }
        _ => Ok(()),
    }
}

/// What is asked for. Whether the answer is streamed makes no difference.
fn digest(head: &Head) -> Digest {
    match &head.call {
        Call::Model(call) => Digest::of([b"model", call.form.path().as_bytes(), &call.body]),
        Call::Service(call) => Digest::of([
            b"service",
            head.target.as_str().as_bytes(),
            call.method.as_str().as_bytes(),
            call.path.as_bytes(),
            call.content_type.as_deref().unwrap_or("").as_bytes(),
            &call.body,
        ]),
    }
}

async fn drive(worker: Worker, head: Head, way: Way, record: Arc<Record>) {
    let _running = worker.shared.running.enter();
    let recorder = Recorder::new(worker.clone(), record);
    match way {
        // The pool's home names the entry where it waits or runs already.
        Way::Repeatable => send(worker, head, recorder, Role::Repeatable).await,
        Way::Issued(_) => send(worker, head, recorder, Role::Issued).await,
        Way::Claim => claim(worker, head, recorder).await,
        Way::Issuer(issued) => pass_on(worker, head, recorder, issued).await,
    }
}

async fn send(worker: Worker, head: Head, recorder: Recorder, role: Role) {
    recorder.may_send(role);
    let request = Request::<Received>::new(head);
    run::run(worker, request, Sink::recorded(recorder)).await;
}

async fn claim(worker: Worker, head: Head, recorder: Recorder) {
    for _ in 0..ROUNDS {
        match claims::claim(&worker, recorder.record()).await {
            ClaimOutcome::Acquired(version) => {
                return send(worker, head, recorder, Role::Claimed(version)).await;
            }
            ClaimOutcome::Held(claim) => {
                let record = recorder.record();
                let opened = follow::claimed(&worker, &record.key, claim, Some(&record.body)).await;
                if follow::feed(&recorder, opened).await {
                    // A write of this submission's claim may yet land.
                    worker
                        .shared
                        .once
                        .notes()
                        .abandon(recorder.record().request);
                    return;
                }
            }
            ClaimOutcome::Unresolved { may_exist } => {
                return unsettled(&worker, &head, &recorder, may_exist).await;
            }
        }
    }
    unsettled(&worker, &head, &recorder, true).await;
}

/// The claim can't be settled: the submission is given up, and its caller is told
/// "not run" only if no life may have run an earlier one.
async fn unsettled(worker: &Worker, head: &Head, recorder: &Recorder, may_exist: bool) {
    recorder.give_up();
    let (key, request) = (&recorder.record().key, recorder.record().request);
    if may_exist {
        recorder::close(worker, key, request, None, None);
    }
    let problem = match peer::inquire(worker, key).await {
        Finding::NotSent => platform_out(),
        Finding::Inconclusive => in_doubt(),
        Finding::Found(address) => {
            let opened = found(worker, recorder.record(), address).await;
            if !matches!(opened, Opened::Failed(_) | Opened::Released) {
                follow::feed(recorder, opened).await;
                return;
            }
            in_doubt()
        }
    };
    Account::new(&worker.shared, head).close(&Ending::Failed(problem.clone()));
    recorder.send(Item::Failed(problem)).await;
}

async fn found(worker: &Worker, record: &Record, address: SocketAddr) -> Opened {
    let question = Question::Follow {
        key: record.key.clone(),
        request: None,
        body: Some(record.body.clone()),
    };
    follow::at(worker, address, &question, name::Incarnation(0)).await
}

/// Has the life that issued the identity run it.
async fn pass_on(worker: Worker, head: Head, recorder: Recorder, issued: Issued) {
    let record = recorder.record();
    let question = Question::Submit(Submission {
        key: record.key.clone(),
        class: head.class.clone(),
        target: head.target.clone(),
        prefix: head.prefix,
        kind: record.kind.clone(),
        call: head.call.clone(),
    });
    let opened = follow::at(&worker, issued.address, &question, issued.issuer).await;
    let missing =
        matches!(&opened, Opened::Failed(problem) if problem.code == Code::UnknownOutcome);
    if missing && head.repeatable {
        return send(worker, head, recorder, Role::Repeatable).await;
    }
    follow::feed(&recorder, opened).await;
}

/// The identity was used for another request.
pub fn reused() -> Problem {
    let message = "this Idempotency-Key was used for another request";
    Problem::not_run(Code::IdentityReused, message)
}

/// The claim can't be recorded, and nobody has run the request.
pub fn platform_out() -> Problem {
    let message = "the claim of this request can't be recorded now";
    Problem::not_run(Code::PlatformOut, message).retry_after(PLATFORM_RETRY)
}

/// The claim can't be recorded, and not every entry can say that it did not run
/// an earlier submission.
pub fn in_doubt() -> Problem {
    let message = "the claim of this request can't be read now, and an entry that may have run \
                   it does not answer; come back with the same Idempotency-Key";
    Problem::new(Code::PlatformOut, Verdict::MayHaveRun, message).retry_after(PLATFORM_RETRY)
}

fn full() -> Problem {
    let message = "this entry knows too many identities, use another";
    Problem::not_run(Code::NotReady, message).retry_after(FULL_RETRY)
}
