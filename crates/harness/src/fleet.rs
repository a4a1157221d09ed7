//! A platform, one engine, one plain service and some entries, ready for requests.

use std::path::{Path, PathBuf};

use awc::Client;
use serde_json::{Value, json};
use woodgap_fake::{engine, service};

use crate::{Entry, Stand, documents, until};

/// The data centre of everything.
const DATA_CENTRE: &str = "dub-a";
/// Engine and service.
const ENDPOINTS: usize = 2;

/// The whole fleet; it stops when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The stand-in for the platform.
    pub platform: Stand,
    /// The engine that holds [`documents::MODEL`].
    pub engine: Stand,
    /// The plain service [`documents::SERVICE`].
    pub service: Stand,
    /// The entries.
    pub entries: Vec<Entry>,
    program: PathBuf,
    change: fn(&mut Value),
}

impl Fleet {
    /// Starts a fleet with this many entries of the program at the path.
    pub async fn start(program: &str, entries: usize) -> Self {
        Self::with(program, entries, |_| {}).await
    }

    /// As [`Fleet::start`], with changed settings of every entry.
    pub async fn with(program: &str, entries: usize, change: fn(&mut Value)) -> Self {
        let mut fleet = Self {
            platform: Stand::platform(),
            engine: Stand::engine(engine()),
            service: Stand::service(service()),
            entries: Vec::new(),
            program: Path::new(program).to_owned(),
            change,
        };
        for index in 0..entries {
            let entry = fleet.new_entry(index);
            fleet.entries.push(entry);
        }
        fleet.configure().await;
        fleet.list().await;
        fleet.ready().await;
        fleet
    }

    /// Starts an entry in place of the one at an index, which is killed: another
    /// life of the same name, at another port. The instance list stays as it is.
    pub fn restart(&mut self, index: usize) {
        self.entries[index].kill();
        self.entries[index] = self.new_entry(index);
    }

    fn new_entry(&self, index: usize) -> Entry {
        let name = format!("entry-{index}");
        let mut settings = documents::settings(&name, DATA_CENTRE, &self.platform.url(""));
        (self.change)(&mut settings);
        Entry::start(&self.program, &settings)
    }

    /// Applies the documents through the first entry.
    async fn configure(&self) {
        for (number, document) in documents::all().into_iter().enumerate() {
            let change = json!({"change": format!("start-{number}"), "document": document});
            let call = Client::default()
                .post(self.entries[0].url("/admin/v1/apply"))
                .bearer_auth(documents::OPERATOR);
            let response = call.send_json(&change).await.expect("the entry answers");
            assert!(response.status().is_success(), "{document}: {response:?}");
        }
    }

    /// Has the platform list everything that runs.
    pub async fn list(&self) {
        let mut list = vec![
            self.engine.get("/fake/instance").await,
            self.service.get("/fake/instance").await,
        ];
        list.extend(self.entries.iter().map(|entry| {
            json!({
                "name": entry.name,
                "role": "entry",
                "address": entry.address,
                "data_centre": DATA_CENTRE,
                "state": "live",
                "peer_address": entry.peer,
            })
        }));
        self.platform
            .post("/fake/instances", &Value::from(list))
            .await;
    }

    /// Waits until every entry knows the configuration, all entries and all endpoints.
    pub async fn ready(&self) {
        for entry in &self.entries {
            until("the entry is ready", async || self.is_ready(entry).await).await;
        }
    }

    async fn is_ready(&self, entry: &Entry) -> Option<()> {
        let client = Client::default();
        let models = client
            .get(entry.url("/v1/models"))
            .bearer_auth(documents::KELLY);
        if !models.send().await.ok()?.status().is_success() {
            return None;
        }
        let entries = client.get(entry.url("/v1/entries")).send().await;
        let entries: Value = entries.ok()?.json().await.ok()?;
        let known = entries["entries"].as_array()?.len();
        let status = client
            .get(entry.url("/admin/v1/status"))
            .bearer_auth(documents::OPERATOR);
        let status: Value = status.send().await.ok()?.json().await.ok()?;
        let endpoints = status["endpoints"].as_array()?.len();
        (known == self.entries.len() && endpoints == ENDPOINTS).then_some(())
    }
}

/// What the fleet's engine is like.
pub fn engine() -> engine::Options {
    engine::Options {
        models: vec![documents::MODEL.to_owned()],
        slots: 8,
        tokens_per_second: 1_000.0,
        first_token_ms: 1,
        prefill_ms: 0,
        prefix_cache_entries: 0,
        jitter_percent: 0,
        seed: 0,
        report_lag_ms: 0,
        checks_fencing: true,
        no_resume: false,
        record_file: None,
        data_centre: DATA_CENTRE.to_owned(),
    }
}

fn service() -> service::Options {
    service::Options {
        name: documents::SERVICE.to_owned(),
        latency_ms: 5,
        slots: 8,
        report_lag_ms: 0,
        data_centre: DATA_CENTRE.to_owned(),
    }
}
