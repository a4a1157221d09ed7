//! Finds the answer to an identity: here, at another entry, or in the object store.

use std::sync::Arc;

use woodgap_core::name;
use woodgap_core::once::sightings::Finding;
use woodgap_core::once::{Digest, Key, identity};
use woodgap_core::verdict::Verdict;

use crate::once::follow::{self, Opened};
use crate::once::message::Question;
use crate::once::record::{Kind, Record};
use crate::once::table::Unreadable;
use crate::once::{Reader, Recorder, claims, peer, submit};
use crate::request::run::Worker;
use crate::request::{Code, Problem};

/// An answer, and how it is shown.
pub struct Found {
    /// Its items.
    pub reader: Reader,
    /// Whose it is.
    pub kind: Kind,
}

/// Finds the answer to an identity.
///
/// # Errors
///
/// The verdict, if there is no answer.
pub async fn find(worker: &Worker, key: &Key) -> Result<Found, Problem> {
    let known = worker.shared.once.registry().attach(key);
    if let Some((record, reader)) = known {
        let reader = match reader {
            Some(reader) => reader,
            None => kept(worker, key).await?,
        };
        let kind = record.kind.clone();
        return Ok(Found { reader, kind });
    }
    let opened = if key.identity.starts_with(identity::PREFIX) {
        issued(worker, key).await?
    } else {
        claimed(worker, key).await?
    };
    open(worker, key, opened)
}

/// A reader of an answer that only the object store still has.
///
/// # Errors
///
/// If it has not.
pub(super) async fn kept(worker: &Worker, key: &Key) -> Result<Reader, Problem> {
    let kept = super::kept::load(worker, key).await;
    let kept = kept.ok_or_else(follow::gone)?;
    let found = open(worker, key, Opened::Whole(kept))?;
    Ok(found.reader)
}

async fn issued(worker: &Worker, key: &Key) -> Result<Opened, Problem> {
    let shared = &worker.shared;
    let issued = submit::issued(worker, key)?;
    if issued.issuer != shared.incarnation {
        return Ok(follow::at(worker, issued.address, &question(key), issued.issuer).await);
    }
    Err(if issued.fresh(shared.clock.now()) {
        unknown_identity(Verdict::NotRun)
    } else {
        follow::unknown_outcome(shared, issued.issuer)
    })
}

async fn claimed(worker: &Worker, key: &Key) -> Result<Opened, Problem> {
    let read = claims::read(worker, key).await;
    if let Ok(Some(row)) = read {
        return Ok(follow::claimed(worker, key, row.claim, None).await);
    }
    // A request that may be repeated has no claim; entries that run it know it.
    match peer::inquire(worker, key).await {
        Finding::Found(address) => {
            Ok(follow::at(worker, address, &question(key), name::Incarnation(0)).await)
        }
        finding => Err(not_found(read.map(|_| ()), finding)),
    }
}

fn not_found(read: Result<(), Unreadable>, finding: Finding) -> Problem {
    match (read, finding) {
        (Ok(()), Finding::NotSent) => unknown_identity(Verdict::NotRun),
        (Ok(()), _) => unknown_identity(Verdict::MayHaveRun),
        (Err(Unreadable), _) => submit::in_doubt(),
    }
}

fn question(key: &Key) -> Question {
    Question::Follow {
        key: key.clone(),
        request: None,
        body: None,
    }
}

/// Follows an opened answer for one caller.
fn open(worker: &Worker, key: &Key, opened: Opened) -> Result<Found, Problem> {
    let (request, kind) = match &opened {
        Opened::Running { request, kind, .. } => (*request, kind.clone()),
        Opened::Whole(kept) => (kept.request, kept.kind.clone()),
        Opened::Failed(problem) => return Err(problem.clone()),
        Opened::Released => return Err(unknown_identity(Verdict::NotRun)),
    };
    let shared = &worker.shared;
    let tape = shared.once.tape(request);
    // A record of its own, which no other submission finds.
    let own = shared.next_request();
    let body = Digest::of([""; 0]);
    let record = Record::new(key.clone(), own, body, kind.clone(), false, tape);
    let record = Arc::new(record);
    let reader = record.tape.attach().ok_or_else(follow::gone)?;
    let recorder = Recorder::new(worker.clone(), record);
    actix_web::rt::spawn(async move { follow::feed(&recorder, opened).await });
    Ok(Found { reader, kind })
}

fn unknown_identity(verdict: Verdict) -> Problem {
    let message = "no request of this workspace has this identity";
    Problem::new(Code::UnknownIdentity, verdict, message)
}
