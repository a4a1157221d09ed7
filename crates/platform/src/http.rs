//! The platform's services over HTTP.

use std::rc::Rc;
use std::time::Duration;

use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::StatusCode;
use awc::{Client, ClientResponse};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;
use woodgap_core::era::Era;

use crate::Error;
use crate::connect;
use crate::era::{self, Eras};
use crate::instance::{self, Instance, List};
use crate::object::{self, Condition, Object, Store};
use crate::table::{self, Outcome, Place, Read, Row, Scan, Table, Transaction};

/// The largest answer that is read, in bytes: a full scan of small rows fits.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// A client of the table service, the object store and the instance list.
#[derive(Clone)]
pub struct Platform {
    client: Client,
    base: String,
    eras: Rc<Eras>,
}

impl Platform {
    /// A client of the platform at this base URL; every call ends within the timeout.
    pub fn new(base: &str, timeout: Duration) -> Self {
        let client = Client::builder()
            .connector(connect::strict())
            .timeout(timeout)
            .finish();
        Self {
            client,
            base: base.trim_end_matches('/').to_owned(),
            eras: Rc::default(),
        }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        question: &Q,
    ) -> Result<(A, Era), Error> {
        let url = format!("{}{path}", self.base);
        let response = self
            .client
            .post(url)
            .send_json(question)
            .await
            .map_err(|error| sent(&error))?;
        let named = named_era(&response);
        let body = body(response, &[]).await?;
        let era = self.eras.note(named).ok_or_else(outdated)?;
        Ok((decode(&body)?, era))
    }

    /// Carries out a transaction whose checks hold stamps.
    async fn change(&self, transaction: &Transaction) -> Result<Outcome, Error> {
        let asked_in = self.eras.latest();
        let unstamped = match self.eras.unstamped(transaction) {
            Ok(unstamped) => unstamped,
            Err(failed) => return Ok(Outcome::Conflict { failed }),
        };
        let (outcome, era) = self.call(table::TRANSACT_PATH, &unstamped).await?;
        Eras::stamped(transaction, outcome, asked_in, era)
    }
}

impl Table for Platform {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<Outcome, Error>> {
        Box::pin(self.change(transaction))
    }

    fn read<'a>(
        &'a self,
        places: &'a [Place],
    ) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>, Error>> {
        Box::pin(async move {
            let question = Read {
                places: places.to_vec(),
            };
            let (mut rows, era): (Vec<Option<Row>>, _) =
                self.call(table::READ_PATH, &question).await?;
            stamp(rows.iter_mut().flatten(), era);
            Ok(rows)
        })
    }

    fn scan<'a>(&'a self, scan: &'a Scan) -> LocalBoxFuture<'a, Result<Vec<Row>, Error>> {
        Box::pin(async move {
            let (mut rows, era): (Vec<Row>, _) = self.call(table::SCAN_PATH, scan).await?;
            stamp(rows.iter_mut(), era);
            Ok(rows)
        })
    }
}

impl Store for Platform {
    fn put<'a>(
        &'a self,
        key: &'a str,
        body: Bytes,
        condition: Condition<'a>,
    ) -> LocalBoxFuture<'a, Result<object::Outcome, Error>> {
        Box::pin(async move {
            let mut request = self.client.put(self.object_url(key));
            match condition {
                Condition::Always => {}
                Condition::Absent => request = request.insert_header(("If-None-Match", "*")),
                Condition::Tag(tag) => request = request.insert_header(("If-Match", quoted(tag))),
            }
            let response = request
                .send_body(body)
                .await
                .map_err(|error| sent(&error))?;
            if response.status() == StatusCode::PRECONDITION_FAILED {
                return Ok(object::Outcome::Conflict);
            }
            let tag = tag(&response);
            self::body(response, &[]).await?;
            Ok(object::Outcome::Written(tag))
        })
    }

    fn get<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Object>, Error>> {
        Box::pin(async move {
            let response = self
                .client
                .get(self.object_url(key))
                .send()
                .await
                .map_err(|error| sent(&error))?;
            if response.status() == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            let tag = tag(&response);
            let body = body(response, &[]).await?;
            Ok(Some(Object { body, tag }))
        })
    }

    fn delete<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            let response = self
                .client
                .delete(self.object_url(key))
                .send()
                .await
                .map_err(|error| sent(&error))?;
            body(response, &[StatusCode::NOT_FOUND]).await?;
            Ok(())
        })
    }
}

impl Platform {
    fn object_url(&self, key: &str) -> String {
        format!("{}{}{key}", self.base, object::PATH)
    }
}

impl List for Platform {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Instance>, Error>> {
        Box::pin(async move {
            let url = format!("{}{}", self.base, instance::PATH);
            let response = self
                .client
                .get(url)
                .send()
                .await
                .map_err(|error| sent(&error))?;
            decode(&body(response, &[]).await?)
        })
    }
}

fn stamp<'r>(rows: impl Iterator<Item = &'r mut Row>, era: Era) {
    for row in rows {
        row.version = era.stamp(row.version);
    }
}

fn named_era<S>(response: &ClientResponse<S>) -> Option<u64> {
    let header = response.headers().get(era::HEADER)?;
    header.to_str().ok()?.parse().ok()
}

/// The answer was made before the store came back from an older copy.
fn outdated() -> Error {
    Error::Unknown("the answer is of an earlier era of the store".to_owned())
}

fn quoted(tag: &str) -> String {
    format!("\"{tag}\"")
}

fn tag<S>(response: &ClientResponse<S>) -> String {
    let header = response
        .headers()
        .get("etag")
        .and_then(|value| value.to_str().ok());
    header.unwrap_or_default().trim_matches('"').to_owned()
}

async fn body<S>(mut response: ClientResponse<S>, also_good: &[StatusCode]) -> Result<Bytes, Error>
where
    S: futures_util::Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let status = response.status();
    let read = response.body().limit(BODY_LIMIT).await;
    let body = read.map_err(|error| match error {
        PayloadError::Overflow => Error::TooLarge,
        error => Error::Unknown(error.to_string()),
    })?;
    if status.is_success() || also_good.contains(&status) {
        return Ok(body);
    }
    let text = format!("{status}: {}", String::from_utf8_lossy(&body));
    match status {
        // By the interface, 503 and 429 say that nothing was done.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Err(Error::Unavailable(text))
        }
        status if status.is_client_error() => Err(Error::Rejected(text)),
        _ => Err(Error::Unknown(text)),
    }
}

fn decode<A: DeserializeOwned>(body: &[u8]) -> Result<A, Error> {
    serde_json::from_slice(body)
        .map_err(|error| Error::Unknown(format!("unreadable answer: {error}")))
}

/// A call that never left this process did nothing; any other may have.
fn sent(error: &SendRequestError) -> Error {
    match error {
        // The client's name for a connection that was closed under a sent call.
        SendRequestError::Connect(ConnectError::Disconnected) => Error::Unknown(error.to_string()),
        SendRequestError::Connect(_) => Error::Unavailable(error.to_string()),
        SendRequestError::Url(_) => Error::Rejected(error.to_string()),
        _ => Error::Unknown(error.to_string()),
    }
}
