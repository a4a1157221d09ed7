//! Calls for duties over HTTP, in whatever form.

use actix_http::{Method, StatusCode};
use serde::Serialize;
use tokio::sync::Mutex;
use woodgap_core::clock::Millis;
use woodgap_platform::Error;

use crate::duties::outlet::{Authority, Ordered};
use crate::upstream;
use crate::upstream::call::{Address, Client};

/// The longest wait for an answer.
const TIMEOUT: Millis = Millis(1_000);

/// The names of the headers of a call.
#[derive(Clone, Copy, Debug)]
pub struct Names {
    /// Who calls.
    pub holder: &'static str,
    /// Under which number.
    pub number: &'static str,
}

/// Makes calls under a holder's name and number.
pub struct Caller {
    client: Mutex<Client>,
    names: Names,
}

impl Caller {
    /// A caller of what a base URL of the form `http://IP:PORT` names.
    ///
    /// # Errors
    ///
    /// If the URL has another form.
    pub fn new(url: &str, names: Names) -> Result<Self, Address> {
        let client = Mutex::new(Client::from_url(url)?);
        Ok(Self { client, names })
    }

    /// Makes a call that is taken or refused.
    ///
    /// # Errors
    ///
    /// What is known of a call that was not taken.
    pub async fn report(
        &self,
        path: &str,
        by: &Authority,
        body: &impl Serialize,
    ) -> Result<(), Error> {
        match self.call(path, by, body).await? {
            status if status.is_success() => Ok(()),
            status => Err(refused(status)),
        }
    }

    /// Makes a call for something that may not be there to be had (409).
    ///
    /// # Errors
    ///
    /// As [`Self::report`].
    pub async fn order(
        &self,
        path: &str,
        by: &Authority,
        body: &impl Serialize,
    ) -> Result<Ordered, Error> {
        match self.call(path, by, body).await? {
            status if status.is_success() => Ok(Ordered::Taken),
            StatusCode::CONFLICT => Ok(Ordered::NoneToBeHad),
            status => Err(refused(status)),
        }
    }

    async fn call(
        &self,
        path: &str,
        by: &Authority,
        body: &impl Serialize,
    ) -> Result<StatusCode, Error> {
        let body = serde_json::to_vec(body).map_err(|it| Error::Rejected(it.to_string()))?;
        let number = by.number.to_string();
        let headers = [
            (self.names.holder, by.holder.as_str()),
            (self.names.number, number.as_str()),
        ];
        let mut client = self.client.lock().await;
        let called = client.call_with_headers(&Method::POST, path, &headers, Some(&body), TIMEOUT);
        let answer = called.await.map_err(|error| failed(&error))?;
        Ok(answer.status)
    }
}

/// What a status means that is no answer to a call.
pub fn refused(status: StatusCode) -> Error {
    let text = format!("the platform answered {status}");
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Error::Unavailable(text),
        status if status.is_client_error() => Error::Rejected(text),
        _ => Error::Unknown(text),
    }
}

/// What a call without an answer means.
pub fn failed(error: &upstream::Error) -> Error {
    match error {
        upstream::Error::Unsent(_) => Error::Unavailable(error.to_string()),
        _ => Error::Unknown(error.to_string()),
    }
}
