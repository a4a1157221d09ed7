//! Reads a request's body, within bounds of size and time.

use std::time::Duration;

use actix_web::dev::Payload;
use actix_web::error::PayloadError;
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::web::{BytesMut, Data};
use actix_web::{FromRequest, HttpRequest};
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use tokio::time::{Instant, timeout_at};

use crate::request::run::Worker;
use crate::request::{Code, Problem};

/// The slowest that a body may come, in bytes a second: far below any line of
/// today, and fast enough that a connection can't be held for hours.
const SLOWEST: u64 = 16 * 1024;

/// A whole request body.
#[derive(Clone, Debug)]
pub struct Body(pub Bytes);

/// The bounds of one body.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// The most bytes.
    bytes: usize,
    /// The longest pause.
    pause: Duration,
}

impl FromRequest for Body {
    type Error = Problem;
    type Future = LocalBoxFuture<'static, Result<Self, Problem>>;

    fn from_request(request: &HttpRequest, payload: &mut Payload) -> Self::Future {
        let payload = payload.take();
        let announced = announced(request);
        let limits = request
            .app_data::<Data<Worker>>()
            .map(|worker| worker.shared.settings.limits.clone())
            .unwrap_or_default();
        let bounds = Bounds {
            bytes: limits.body_bytes,
            pause: Duration::from_millis(limits.header_timeout.0),
        };
        Box::pin(async move {
            if announced.is_some_and(|length| length > bounds.bytes) {
                return Err(bounds.exceeded());
            }
            bounds.read(payload).await.map(Self)
        })
    }
}

fn announced(request: &HttpRequest) -> Option<usize> {
    let length = request.headers().get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

impl Bounds {
    async fn read(self, mut payload: Payload) -> Result<Bytes, Problem> {
        let end = Instant::now() + self.pause + Duration::from_secs(self.bytes as u64 / SLOWEST);
        let mut body = BytesMut::new();
        loop {
            let pause = end.min(Instant::now() + self.pause);
            let piece = timeout_at(pause, payload.next());
            let piece = piece.await.map_err(|_| too_slow())?;
            let Some(piece) = piece else {
                return Ok(body.freeze());
            };
            body.extend_from_slice(&piece.map_err(|error| broken(&error))?);
            if body.len() > self.bytes {
                return Err(self.exceeded());
            }
        }
    }

    fn exceeded(self) -> Problem {
        let message = format!("the body is above {} bytes", self.bytes);
        Problem::not_run(Code::BodyTooLarge, message)
    }
}

fn too_slow() -> Problem {
    Problem::not_run(Code::RequestTimeout, "the body did not come in time")
}

fn broken(error: &PayloadError) -> Problem {
    Problem::not_run(Code::BadRequest, format!("the body is broken: {error}"))
}
