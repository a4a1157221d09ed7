//! Which entries a caller knows: those it was given, and what they answered.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use serde::Deserialize;

use crate::loopback;

/// Wait before asking again when no entry answered.
const RETRY: Duration = Duration::from_millis(500);
/// The shortest lifetime that is followed, so that an answer of 0 is no busy loop.
const SHORTEST_LIFETIME: Duration = Duration::from_millis(100);
/// The longest wait for an answer: a frozen entry must not hold the caller up.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The answer of `GET /v1/entries`.
#[derive(Debug, Deserialize)]
struct Answer {
    entries: Vec<Listed>,
    lifetime_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Listed {
    url: String,
}

/// One caller's view of the entries.
#[derive(Debug)]
pub struct Directory {
    given: Vec<String>,
    answered: RefCell<Vec<String>>,
    /// Which of the given entries this caller asks first.
    first: usize,
}

impl Directory {
    /// A caller that knows only what it was given.
    pub fn new(given: &[String], first: usize) -> Self {
        Self {
            given: given.to_vec(),
            answered: RefCell::default(),
            first,
        }
    }

    /// The entry for the n-th attempt: in the order of preference that was
    /// answered, or else around the given ones, starting at `start`.
    ///
    /// ```
    /// use woodgap_load::directory::Directory;
    ///
    /// let given = ["http://127.0.0.1:1".to_owned(), "http://127.0.0.1:2".to_owned()];
    /// let directory = Directory::new(&given, 0);
    /// assert_eq!(directory.entry(1, 0), given[1]);
    /// assert_eq!(directory.entry(1, 1), given[0]);
    /// ```
    pub fn entry(&self, start: usize, attempt: usize) -> String {
        let answered = self.answered.borrow();
        if answered.is_empty() {
            self.given[(start + attempt) % self.given.len()].clone()
        } else {
            answered[attempt % answered.len()].clone()
        }
    }

    /// Asks again whenever an answer's lifetime ends; never returns.
    pub async fn keep(self: Rc<Self>, client: Client) {
        loop {
            let wait = if let Some(answer) = self.ask_any(&client).await {
                self.take(answer)
            } else {
                self.answered.borrow_mut().clear();
                RETRY
            };
            actix_rt::time::sleep(wait).await;
        }
    }

    /// Asks until one entry answers; `None` if none does.
    pub async fn ask_once(&self, client: &Client) {
        if let Some(answer) = self.ask_any(client).await {
            self.take(answer);
        }
    }

    fn take(&self, answer: Answer) -> Duration {
        let local = |listed: Listed| loopback::base(&listed.url).ok();
        *self.answered.borrow_mut() = answer.entries.into_iter().filter_map(local).collect();
        Duration::from_millis(answer.lifetime_ms).max(SHORTEST_LIFETIME)
    }

    async fn ask_any(&self, client: &Client) -> Option<Answer> {
        let given = self.given.iter().cycle().skip(self.first);
        let given: Vec<_> = given.take(self.given.len()).cloned().collect();
        let mut known = self.answered.borrow().clone();
        known.extend(given);
        for entry in known {
            let answer = ask(client, &entry).await;
            if answer.is_some() {
                return answer;
            }
        }
        None
    }
}

async fn ask(client: &Client, entry: &str) -> Option<Answer> {
    let call = client.get(format!("{entry}/v1/entries")).timeout(TIMEOUT);
    let mut response = call.send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let answer: Answer = response.json().await.ok()?;
    (!answer.entries.is_empty()).then_some(answer)
}
