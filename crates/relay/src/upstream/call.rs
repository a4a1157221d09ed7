//! One short call, with its answer read whole: for calls to the platform.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use bytes::Bytes;
use thiserror::Error as ThisError;
use woodgap_core::clock::Millis;

use crate::upstream::connection::{self, Connection};
use crate::upstream::{Error, Head};

/// The largest answer that is read, in bytes: a page of rows, with room.
const MOST_ANSWER: usize = 8 * 1024 * 1024;

/// A client that keeps one connection to one address.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

/// Nothing can be called at a URL.
#[derive(Debug, ThisError)]
#[error("expected http://IP:PORT, found `{0}`")]
pub struct Address(String);

/// A whole answer.
#[derive(Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

impl Client {
    /// A client of what a base URL of the form `http://IP:PORT` names; it has no connection yet.
    ///
    /// ```
    /// use woodgap_relay::upstream::call::Client;
    ///
    /// assert!(Client::from_url("http://127.0.0.1:8080").is_ok());
    /// assert!(Client::from_url("http://platform").is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// If the URL has another form.
    pub fn from_url(url: &str) -> Result<Self, Address> {
        let address = url.strip_prefix("http://").and_then(|it| it.parse().ok());
        let address = address.ok_or_else(|| Address(url.to_owned()))?;
        Ok(Self::new(address))
    }

    /// A client that has no connection yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Makes a call; a body is sent as JSON.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the connection is not used again then.
    pub async fn call(
        &mut self,
        method: &Method,
        target: &str,
        body: Option<&[u8]>,
        timeout: Millis,
    ) -> Result<Response, Error> {
        self.call_with_headers(method, target, &[], body, timeout)
            .await
    }

    /// Makes a call with these headers beside the usual ones.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the connection is not used again then.
    pub async fn call_with_headers(
        &mut self,
        method: &Method,
        target: &str,
        more: &[(&'static str, &str)],
        body: Option<&[u8]>,
        timeout: Millis,
    ) -> Result<Response, Error> {
        let mut connection = match self.connection.take().filter(Connection::is_reusable) {
            Some(connection) => connection,
            None => Connection::open(self.address).await?,
        };
        let host = self.address.to_string();
        let length = body.map_or(0, <[u8]>::len).to_string();
        let mut headers = vec![("Host", host.as_bytes())];
        if body.is_some() {
            headers.push(("Content-Type", b"application/json"));
            headers.push(("Content-Length", length.as_bytes()));
        }
        headers.extend(more.iter().map(|(name, value)| (*name, value.as_bytes())));
        let head = connection::request_head(method, target, headers);
        let exchange = exchange(&mut connection, method, &head, body.unwrap_or_default());
        let limit = Duration::from_millis(timeout.0);
        let exchanged = tokio::time::timeout(limit, exchange).await;
        let (head, body) = exchanged.map_err(|_| Error::TimedOut)??;
        if connection.is_reusable() {
            connection.release_buffer();
            self.connection = Some(connection);
        }
        Ok(Response {
            status: head.status,
            body,
        })
    }
}

async fn exchange(
    connection: &mut Connection,
    method: &Method,
    head: &[u8],
    body: &[u8],
) -> Result<(Head, Bytes), Error> {
    let answer = connection.exchange(head, body).await?;
    let framing = answer.framing(method)?;
    let body = connection.read_body(framing, MOST_ANSWER).await?;
    Ok((answer, body))
}
