//! Follows an answer that another entry has, or that the object store keeps.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::de::IntoDeserializer;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::once::{Claim, Digest, End, Key};
use woodgap_core::verdict::Verdict;

use crate::once::message::{Frame, Question};
use crate::once::peer::{self, Frames, Silent};
use crate::once::record::Kind;
use crate::once::{Record, Recorder, kept};
use crate::request::run::Worker;
use crate::request::{Code, Item, Problem};
use crate::shared::Shared;

/// When to ask again for an outcome that an entry may yet tell.
const ASK_AGAIN: Millis = Millis(5_000);

/// An answer that was found.
pub enum Opened {
    /// It is whole.
    Whole(kept::Kept),
    /// It comes from another entry.
    Running {
        /// The request that is answered.
        request: name::Request,
        /// How the answer is shown.
        kind: Kind,
        /// The rest.
        frames: Frames,
    },
    /// There is none.
    Failed(Problem),
    /// The claim that led there is taken back: the identity is free.
    Released,
}

/// Opens the answer to a claimed identity.
pub async fn claimed(worker: &Worker, key: &Key, claim: Claim, body: Option<&Digest>) -> Opened {
    if body.is_some_and(|body| *body != claim.body) {
        return Opened::Failed(super::submit::reused());
    }
    match claim.end {
        Some(End::Failed {
            code,
            verdict,
            message,
        }) => Opened::Failed(Problem::new(read_code(&code), verdict, message)),
        Some(End::Complete { .. }) => complete(worker, key, &claim).await,
        None if claim.holder() == worker.shared.incarnation => {
            // This life has forgotten it.
            Opened::Failed(unknown_outcome(&worker.shared, claim.holder()))
        }
        None => at_holder(worker, key, &claim).await,
    }
}

/// The answer of a claim that has ended well: kept, or in its holder's memory.
async fn complete(worker: &Worker, key: &Key, claim: &Claim) -> Opened {
    if let Some(kept) = kept::load(worker, key).await {
        return Opened::Whole(kept);
    }
    if claim.holder() == worker.shared.incarnation {
        return Opened::Failed(gone());
    }
    match at_holder(worker, key, claim).await {
        Opened::Failed(_) | Opened::Released => Opened::Failed(gone()),
        opened => opened,
    }
}

async fn at_holder(worker: &Worker, key: &Key, claim: &Claim) -> Opened {
    let question = Question::Follow {
        key: key.clone(),
        request: Some(claim.request),
        body: Some(claim.body.clone()),
    };
    at(worker, claim.address, &question, claim.holder()).await
}

/// Opens the answer that a life of an entry has to a record's identity.
pub async fn at_life(worker: &Worker, record: &Record, life: name::Incarnation) -> Opened {
    let members = worker.shared.members.load_full();
    let member = members.iter().find(|member| member.incarnation == life);
    let Some(member) = member else {
        return Opened::Failed(unknown_outcome(&worker.shared, life));
    };
    let question = Question::Follow {
        key: record.key.clone(),
        request: None,
        body: Some(record.body.clone()),
    };
    at(worker, member.http, &question, life).await
}

/// Opens what the entry at an address, the life that is said to have it, answers.
pub async fn at(
    worker: &Worker,
    address: SocketAddr,
    question: &Question,
    life: name::Incarnation,
) -> Opened {
    match peer::ask(worker, address, question).await {
        Ok((Frame::Following { request, kind }, frames)) => Opened::Running {
            request,
            kind,
            frames,
        },
        Ok((Frame::Released, _)) => Opened::Released,
        Ok((Frame::Refused(problem), _)) => Opened::Failed(problem),
        Ok(_) | Err(Silent) => Opened::Failed(unknown_outcome(&worker.shared, life)),
    }
}

/// Passes an opened answer on to its end; false if there is none because the
/// identity is free.
pub async fn feed(recorder: &Recorder, opened: Opened) -> bool {
    match opened {
        Opened::Released => return false,
        Opened::Failed(problem) => recorder.send(Item::Failed(problem)).await,
        Opened::Whole(kept) => {
            recorder.passes_on(kept.request);
            for item in kept.items {
                recorder.send(item).await;
            }
            recorder.send(Item::Complete).await;
        }
        Opened::Running {
            request, frames, ..
        } => {
            recorder.passes_on(request);
            tokio::select! {
                () = relay(recorder, frames) => {}
                () = recorder.gone() => {}
            }
        }
    }
    true
}

async fn relay(recorder: &Recorder, mut frames: Frames) {
    loop {
        let item = match frames.next().await {
            Ok(Frame::Item(item)) => item,
            _ => Item::Failed(broken_off()),
        };
        let last = item.is_last();
        recorder.send(item).await;
        if last {
            return;
        }
    }
}

fn read_code(text: &str) -> Code {
    let text: serde::de::value::StrDeserializer<'_, serde::de::value::Error> =
        text.into_deserializer();
    Code::deserialize(text).unwrap_or(Code::EndpointFailed)
}

/// The life that may have run a request can't say what became of it. Asking again
/// helps only while that life may come back: it was not forgotten, and no later life
/// of its entry is known.
pub fn unknown_outcome(shared: &Shared, life: name::Incarnation) -> Problem {
    let message = "the entry that may have run this request does not answer; it is never run again";
    let problem = Problem::new(Code::UnknownOutcome, Verdict::MayHaveRun, message);
    let members = shared.members.load();
    let mut members = members.iter();
    if members.any(|member| member.incarnation == life) {
        problem.retry_after(ASK_AGAIN)
    } else {
        problem
    }
}

/// The request ran to its end, and its answer is no longer kept.
pub fn gone() -> Problem {
    let message = "the request ran; its answer is no longer kept";
    Problem::new(Code::AnswerGone, Verdict::Ran, message)
}

fn broken_off() -> Problem {
    let message = "the entry that runs this request stopped answering; ask again for the answer";
    Problem::new(Code::UnknownOutcome, Verdict::MayHaveRun, message).retry_after(ASK_AGAIN)
}
