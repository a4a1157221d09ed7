//! A client for short calls to the platform whose response body is read completely.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use thiserror::Error as ThisError;
use woodgap_core::clock::Millis;

use crate::upstream::connection::{self, Connection};
use crate::upstream::{Error, Head};

/// The maximum size of a response body, in bytes. It leaves headroom above a page of rows.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// A client for one address that keeps at most one connection alive.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

/// The URL is not of the form `http://IP:PORT`.
#[derive(Debug, ThisError)]
#[error("expected http://IP:PORT, found `{0}`")]
pub struct Address(String);

/// A complete response.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Client {
    /// Creates a client from a base URL of the form `http://IP:PORT`; it connects on the
    /// first call.
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
    /// [`Address`] if the URL has another form.
    pub fn from_url(url: &str) -> Result<Self, Address> {
        let address = url.strip_prefix("http://").and_then(|it| it.parse().ok());
        let address = address.ok_or_else(|| Address(url.to_owned()))?;
        Ok(Self::new(address))
    }

    /// Creates a client that connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Sends a request and reads the complete response; a body is sent as JSON.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the connection is then not reused.
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

    /// Like [`Self::call`], with additional request headers.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the connection is then not reused.
    pub async fn call_with_headers(
        &mut self,
        method: &Method,
        target: &str,
        extra_headers: &[(&'static str, &str)],
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
        headers.extend(
            extra_headers
                .iter()
                .map(|(name, value)| (*name, value.as_bytes())),
        );
        let head = connection::request_head(method, target, headers);
        let exchange = exchange(&mut connection, method, &head, body.unwrap_or_default());
        let limit = Duration::from_millis(timeout.0);
        let outcome = tokio::time::timeout(limit, exchange).await;
        let (head, body) = outcome.map_err(|_| Error::TimedOut)??;
        if connection.is_reusable() {
            connection.release_buffer();
            self.connection = Some(connection);
        }
        Ok(Response {
            status: head.status,
            headers: head.headers,
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
    let response = connection.exchange(head, body).await?;
    let framing = response.framing(method)?;
    let body = connection.read_body(framing, MAX_BODY_BYTES).await?;
    Ok((response, body))
}
