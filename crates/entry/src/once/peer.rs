//! Asks other entries about identities.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use awc::error::PayloadError;
use awc::http::Method;
use bytes::{Bytes, BytesMut};
use futures_util::future::join_all;
use futures_util::{Stream, StreamExt};
use woodgap_core::once::Key;
use woodgap_core::once::sightings::Finding;

use crate::once::internal::{PATH, WAITING};
use crate::once::message::{Frame, Question};
use crate::once::seal::{Chain, HEADER};
use crate::request::run::Worker;

/// How long the first frame may take: the other entry answers before it does anything long.
const FIRST: Duration = Duration::from_secs(3);
/// How long any other frame may take. An entry that has nothing to pass on says so.
const QUIET: Duration = Duration::from_secs(4 * WAITING.as_secs());
/// How long an entry may take to say whether it knows an identity.
const KNOW: Duration = Duration::from_secs(2);

/// The other entry did not answer, or not as agreed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silent;

type Body = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// The frames of an answer.
pub struct Frames {
    body: Body,
    bytes: BytesMut,
    chain: Chain,
}

impl Frames {
    /// The next frame that passes something on.
    ///
    /// # Errors
    ///
    /// [`Silent`] if none comes in time.
    pub async fn next(&mut self) -> Result<Frame, Silent> {
        loop {
            let frame = tokio::time::timeout(QUIET, self.frame()).await;
            match frame.map_err(|_| Silent)?? {
                Frame::Waiting => {}
                frame => return Ok(frame),
            }
        }
    }

    async fn frame(&mut self) -> Result<Frame, Silent> {
        loop {
            match self.chain.read(&mut self.bytes) {
                Ok(Some(frame)) => return Ok(frame),
                Ok(None) => {}
                Err(broken) => {
                    log::warn!(error = broken.to_string(); "another entry's frame is refused");
                    return Err(Silent);
                }
            }
            let more = self.body.next().await.ok_or(Silent)?;
            self.bytes.extend_from_slice(&more.map_err(|_| Silent)?);
        }
    }
}

/// Asks an entry; returns the first frame and the rest.
///
/// # Errors
///
/// [`Silent`] if it does not answer. It may have taken the question in.
pub async fn ask(
    worker: &Worker,
    address: SocketAddr,
    question: &Question,
) -> Result<(Frame, Frames), Silent> {
    let asking = async {
        let mut frames = send(worker, address, question).await?;
        let first = frames.frame().await?;
        Ok((first, frames))
    };
    let answered = tokio::time::timeout(FIRST, asking).await;
    answered.unwrap_or(Err(Silent))
}

async fn send(worker: &Worker, address: SocketAddr, question: &Question) -> Result<Frames, Silent> {
    let shared = &worker.shared;
    let body = postcard::to_stdvec(question).map_err(|_| Silent)?;
    let nonce = rand::random();
    let (header, chain) = shared.once.sealer.seal(shared.clock.unix(), nonce, &body);
    let call = worker
        .client
        .request(Method::POST, &format!("http://{address}{PATH}"), false)
        .insert_header((HEADER, header));
    let response = call.send_body(body).await.map_err(|_| Silent)?;
    if !response.status().is_success() {
        log::warn!(status = response.status().as_u16(); "another entry refused a question");
        return Err(Silent);
    }
    Ok(Frames {
        body: Box::pin(response),
        bytes: BytesMut::new(),
        chain,
    })
}

/// Asks every entry that was seen of late whether it knows an identity.
pub async fn inquire(worker: &Worker, key: &Key) -> Finding {
    let once = &worker.shared.once;
    super::see(&worker.shared);
    let addresses: Vec<SocketAddr> = once.sightings().addresses().collect();
    let question = Question::Know(key.clone());
    let asked = addresses.iter().map(|address| {
        let asking = ask(worker, *address, &question);
        tokio::time::timeout(KNOW, asking)
    });
    let answers = join_all(asked).await;
    let replies: Vec<_> = answers
        .into_iter()
        .filter_map(|answer| match answer {
            Ok(Ok((Frame::Knows(reply), _))) => Some(reply),
            _ => None,
        })
        .collect();
    once.sightings().evaluate(&replies)
}
