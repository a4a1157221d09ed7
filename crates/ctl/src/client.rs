//! Calls to the entries, tried in turn.

use std::fmt::Write as _;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::future::join_all;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep};
use woodgap_core::admin::Failure;
use woodgap_core::clock::Millis;

use crate::error::Error;
use crate::key;
use crate::options::{Base, Connection};

/// The longest time for one attempt: an entry waits for the platform meanwhile.
const ATTEMPT: Duration = Duration::from_secs(5);

/// The pause before the entries are tried once more.
const PAUSE: Duration = Duration::from_millis(200);

/// The largest answer that is read, in bytes: a history of many documents fits.
const BODY_LIMIT: usize = 64 * 1024 * 1024;

/// Calls the entries in turn, in an operator's name.
pub struct Client {
    http: awc::Client,
    entries: Vec<Base>,
    key: String,
    timeout: Millis,
    deadline: Instant,
}

/// A call, to whichever entry.
pub struct Call {
    method: Method,
    path: String,
    body: Option<serde_json::Value>,
}

impl Call {
    /// Reads something.
    pub fn get(path: String) -> Self {
        Self {
            method: Method::GET,
            path,
            body: None,
        }
    }

    /// Changes something; it must be safe to repeat.
    ///
    /// # Panics
    ///
    /// Never: the bodies of the operators' calls all have a form in JSON.
    pub fn post(path: &str, body: &impl Serialize) -> Self {
        let body = serde_json::to_value(body).expect("a body has a form in JSON");
        Self {
            method: Method::POST,
            path: path.to_owned(),
            body: Some(body),
        }
    }
}

/// What an entry answered.
#[derive(Debug)]
pub struct Answer {
    /// The entry.
    pub entry: String,
    /// The HTTP status.
    pub status: StatusCode,
    body: Bytes,
}

/// An attempt that brought no usable answer.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The entry.
    pub entry: String,
    /// Why there was none.
    pub reason: String,
    /// Whether the entry may have carried out the call.
    pub sent: bool,
}

impl Attempt {
    /// The attempts as the tail of an error's text.
    pub fn list(attempts: &[Self]) -> String {
        let mut text = String::new();
        for attempt in attempts {
            let _ = write!(text, "\n  {}: {}", attempt.entry, attempt.reason);
        }
        text
    }
}

impl Client {
    /// A client of these entries, with the key of the connection's file or else
    /// this one. The time after which nothing is tried again starts now.
    ///
    /// # Errors
    ///
    /// [`Error::NoKey`] and [`Error::KeyFile`].
    pub fn new(connection: Connection, key: Option<String>) -> Result<Self, Error> {
        let key = key::find(connection.key_file.as_deref(), key)?;
        Ok(Self {
            http: awc::Client::builder().timeout(ATTEMPT).finish(),
            entries: connection.entries,
            key,
            timeout: connection.timeout,
            deadline: Instant::now() + Duration::from_millis(connection.timeout.0),
        })
    }

    /// The time after which nothing is tried again.
    pub fn timeout(&self) -> Millis {
        self.timeout
    }

    /// Waits a little; false if nothing is to be tried again.
    pub async fn pause(&self) -> bool {
        let left = self.deadline.saturating_duration_since(Instant::now());
        sleep(PAUSE.min(left)).await;
        Instant::now() < self.deadline
    }

    /// Asks each entry once, until one answers.
    ///
    /// # Errors
    ///
    /// The attempts, if none of the entries was able to answer.
    pub async fn ask(&self, call: &Call) -> Result<Answer, Vec<Attempt>> {
        let mut attempts = Vec::new();
        for entry in &self.entries {
            match self.attempt(entry, call).await {
                Ok(answer) => return Ok(answer),
                Err(attempt) => attempts.push(attempt),
            }
        }
        Err(attempts)
    }

    /// Asks every entry; those that answer are returned.
    pub async fn ask_all(&self, call: &Call) -> Vec<Answer> {
        let attempts = self.entries.iter().map(|entry| self.attempt(entry, call));
        let answers = join_all(attempts).await;
        answers.into_iter().filter_map(Result::ok).collect()
    }

    /// Asks the entries round after round, until one answers or the time is over;
    /// at least one round.
    ///
    /// # Errors
    ///
    /// The attempts of the last round, marked as sent if any round's was.
    pub async fn insist(&self, call: &Call) -> Result<Answer, Vec<Attempt>> {
        let mut sent = false;
        loop {
            let mut attempts = match self.ask(call).await {
                Ok(answer) => return Ok(answer),
                Err(attempts) => attempts,
            };
            sent |= attempts.iter().any(|attempt| attempt.sent);
            if !self.pause().await {
                for attempt in &mut attempts {
                    attempt.sent = sent;
                }
                return Err(attempts);
            }
        }
    }

    async fn attempt(&self, entry: &Base, call: &Call) -> Result<Answer, Attempt> {
        let failed = |reason: String, sent: bool| Attempt {
            entry: entry.to_string(),
            reason,
            sent,
        };
        let request = self
            .http
            .request(call.method.clone(), entry.join(&call.path))
            .bearer_auth(&self.key);
        let sending = match &call.body {
            Some(body) => request.send_json(body),
            None => request.send(),
        };
        let mut response = sending
            .await
            .map_err(|error| failed(reason(&error), may_be_sent(&error)))?;
        let body = response
            .body()
            .limit(BODY_LIMIT)
            .await
            .map_err(|error| failed(format!("the answer was cut off: {error}"), true))?;
        let answer = Answer {
            entry: entry.to_string(),
            status: response.status(),
            body,
        };
        if answer.is_unable() {
            return Err(failed(answer.failure().to_string(), true));
        }
        Ok(answer)
    }
}

/// A call that found no connection was not sent; any other may have been.
fn may_be_sent(error: &SendRequestError) -> bool {
    match error {
        // The client's name for a connection that was closed under a sent call.
        SendRequestError::Connect(ConnectError::Disconnected) => true,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => false,
        _ => true,
    }
}

fn reason(error: &SendRequestError) -> String {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            "the connection was closed before an answer came".to_owned()
        }
        error => error.to_string(),
    }
}

impl Answer {
    /// Whether another entry, or this one later, may do better.
    fn is_unable(&self) -> bool {
        self.status.is_server_error() || self.status == StatusCode::TOO_MANY_REQUESTS
    }

    /// The body of an answer.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] if it is of another form.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Unreadable {
            entry: self.entry.clone(),
            reason: error.to_string(),
        })
    }

    /// The body of a good answer; `wanted` names what was asked for.
    ///
    /// # Errors
    ///
    /// What the entry answered instead.
    pub fn good<T: DeserializeOwned>(&self, wanted: &str) -> Result<T, Error> {
        if self.status.is_success() {
            return self.decode();
        }
        if self.status == StatusCode::NOT_FOUND && self.decode::<Failure>().is_ok() {
            return Err(Error::NotFound(wanted.to_owned()));
        }
        Err(self.failure())
    }

    /// The error that an answer stands for.
    pub fn failure(&self) -> Error {
        if self.status == StatusCode::UNAUTHORIZED {
            return Error::UnknownKey {
                entry: self.entry.clone(),
            };
        }
        let (code, message) = match self.decode::<Failure>() {
            Ok(failure) => (failure.error.code, failure.error.message),
            Err(_) => ("without a code".to_owned(), self.start_of_body()),
        };
        Error::Answer {
            entry: self.entry.clone(),
            status: self.status.as_u16(),
            code,
            message,
        }
    }

    /// Enough of a body of no known form to see what it is.
    fn start_of_body(&self) -> String {
        const MOST: usize = 120;
        let text = String::from_utf8_lossy(&self.body);
        text.chars().take(MOST).collect()
    }
}
