//! A caller that keeps asking one entry, and notes the revision that it serves by.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use woodgap_core::clock::Millis;
use woodgap_platform::clock::Clock;

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(10);
/// How long one look may take.
const CALL: Duration = Duration::from_secs(2);
/// The header with the revision that an answer was made by.
const REVISION_HEADER: &str = "x-woodgap-revision";

/// One answer: when it was asked for, and the revision that it was made by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sight {
    /// Before this the answer can't have been made.
    pub asked: Millis,
    /// The revision.
    pub revision: u64,
}

/// A watch on one entry.
pub struct Watch {
    state: Rc<State>,
    task: actix_rt::task::JoinHandle<()>,
}

#[derive(Default)]
struct State {
    stopped: Cell<bool>,
    last: Cell<u64>,
    sights: RefCell<Vec<Sight>>,
}

impl Watch {
    /// Starts to watch.
    pub fn start(url: &str, key: &str, clock: Clock) -> Self {
        let state = Rc::new(State::default());
        let client = Client::builder().timeout(CALL).finish();
        let (url, key) = (format!("{url}/v1/models"), key.to_owned());
        let watched = Rc::clone(&state);
        let task = actix_rt::spawn(async move {
            while !watched.stopped.get() {
                let asked = clock.now();
                if let Some(revision) = look(&client, &url, &key).await {
                    watched.see(Sight { asked, revision });
                }
                tokio::time::sleep(LOOK).await;
            }
        });
        Self { state, task }
    }

    /// The revision last seen.
    pub fn last(&self) -> u64 {
        self.state.last.get()
    }

    /// Ends the watch and tells what was seen.
    pub async fn stop(self) -> Vec<Sight> {
        self.state.stopped.set(true);
        // A watch that panicked has seen what it has seen.
        let _ = self.task.await;
        self.state.sights.take()
    }
}

impl State {
    fn see(&self, sight: Sight) {
        self.last.set(sight.revision);
        let mut sights = self.sights.borrow_mut();
        match sights.last_mut() {
            // Only the last sight of a run with one revision is needed.
            Some(last) if last.revision == sight.revision => *last = sight,
            _ => sights.push(sight),
        }
    }
}

async fn look(client: &Client, url: &str, key: &str) -> Option<u64> {
    let response = client.get(url).bearer_auth(key).send().await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    response
        .headers()
        .get(REVISION_HEADER)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}
