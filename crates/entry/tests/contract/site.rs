//! A platform, endpoints of any kind and one entry, ready to take requests.

use std::cell::Cell;
use std::path::Path;

use awc::{Client, ClientRequest};
use bytes::Bytes;
use serde_json::{Value, json};
use woodgap_fake::{engine, service};
use woodgap_harness::{Entry, STUCK, Stand, documents, until};
use woodgap_platform::connect;

use crate::raw::Raw;
use crate::seen::Seen;

const ENTRY: &str = env!("CARGO_BIN_EXE_woodgap-entry");

/// What a site has beside its platform and its entry.
#[derive(Default)]
pub struct Plan {
    /// Engines and plain services.
    pub endpoints: Vec<Stand>,
    /// Endpoints written by hand, which serve everything.
    pub raw: Vec<Raw>,
    /// Settings of the entry in place of the usual ones.
    pub settings: Value,
}

/// The running site.
pub struct Site {
    /// The entry.
    pub entry: Entry,
    /// Engines and plain services.
    pub endpoints: Vec<Stand>,
    /// Their ports are theirs for as long as the site runs.
    _raw: Vec<Raw>,
    client: Client,
    platform: Stand,
    identities: Cell<u32>,
}

/// An engine with fast answers.
pub fn engine() -> engine::Options {
    engine::Options {
        models: vec![documents::MODEL.to_owned()],
        slots: 8,
        tokens_per_second: 1_000.0,
        first_token_ms: 1,
        prefill_ms: 0,
        prefix_cache_entries: 0,
        jitter_percent: 0,
        seed: 1,
        report_lag_ms: 0,
        checks_fencing: false,
        no_resume: false,
        record_file: None,
        data_centre: "dub-a".to_owned(),
    }
}

/// A plain service with fast answers.
pub fn service() -> service::Options {
    service::Options {
        name: documents::SERVICE.to_owned(),
        latency_ms: 1,
        slots: 8,
        report_lag_ms: 0,
        data_centre: "dub-a".to_owned(),
    }
}

impl Site {
    /// A site with these endpoints.
    pub async fn new(endpoints: Vec<Stand>) -> Self {
        Self::start(Plan {
            endpoints,
            ..Plan::default()
        })
        .await
    }

    /// A site with one endpoint written by hand.
    pub async fn raw(raw: Raw) -> Self {
        Self::start(Plan {
            raw: vec![raw],
            ..Plan::default()
        })
        .await
    }

    /// Starts everything and waits until the entry knows its endpoints and workspaces.
    pub async fn start(plan: Plan) -> Self {
        let platform = Stand::platform();
        let mut instances: Vec<Value> = plan.raw.iter().map(Raw::instance).collect();
        for endpoint in &plan.endpoints {
            instances.push(endpoint.get("/fake/instance").await);
        }
        platform
            .post("/fake/instances", &Value::from(instances))
            .await;
        let site = Self {
            entry: Entry::logged(Path::new(ENTRY), &settings(&platform, &plan.settings)),
            endpoints: plan.endpoints,
            _raw: plan.raw,
            client: Client::builder()
                .connector(connect::strict())
                .timeout(STUCK)
                .finish(),
            platform,
            identities: Cell::new(0),
        };
        site.configure().await;
        site.ready().await;
        site
    }

    async fn configure(&self) {
        for (number, document) in documents::all().into_iter().enumerate() {
            let change = json!({"change": number.to_string(), "document": document});
            // An entry with short timeouts may refuse it on a busy machine; the
            // same change applied twice is applied once.
            let applied = async || {
                let call = self.client.post(self.entry.url("/admin/v1/apply"));
                let call = call.bearer_auth(documents::OPERATOR);
                let response = call.send_json(&change).await.ok()?;
                response.status().is_success().then_some(())
            };
            until("the document is applied", applied).await;
        }
    }

    async fn ready(&self) {
        let lists = async || {
            let counts = self.platform.get("/fake/counts").await;
            // The first list is taken in before the second is asked for.
            (counts["lists"].as_u64()? > 1).then_some(())
        };
        until("the entry knows its endpoints", lists).await;
        let models = async || {
            let response = self.get("/v1/models").send().await.ok()?;
            response.status().is_success().then_some(())
        };
        until("the entry knows its workspaces", models).await;
    }

    /// A `GET` to the entry with the workspace's key.
    pub fn get(&self, path: &str) -> ClientRequest {
        let request = self.client.get(self.entry.url(path));
        request.bearer_auth(documents::MURPHY)
    }

    /// A `POST` to the entry with the workspace's key.
    pub fn post(&self, path: &str) -> ClientRequest {
        let request = self.client.post(self.entry.url(path));
        request.bearer_auth(documents::MURPHY)
    }

    /// Sends a model request in a class.
    pub async fn ask(&self, class: &str, body: &Value) -> Seen {
        let request = self.post("/v1/completions");
        let request = request.insert_header(("x-woodgap-class", class));
        let request = request.insert_header(("idempotency-key", self.identity()));
        Seen::of(request.send_json(body).await).await
    }

    /// Calls the plain service in a class.
    pub async fn call(&self, class: &str, path: &str) -> Seen {
        self.upload(class, path, "flux +2".into()).await
    }

    /// The same with this body.
    pub async fn upload(&self, class: &str, path: &str, body: Bytes) -> Seen {
        let request = self.post(&format!("/v1/services/{}/{path}", documents::SERVICE));
        let request = request.insert_header(("x-woodgap-class", class));
        let request = request.insert_header(("idempotency-key", self.identity()));
        Seen::of(request.send_body(body).await).await
    }

    /// An identity that no other request of the site has.
    fn identity(&self) -> String {
        self.identities.set(self.identities.get() + 1);
        format!("request-{}", self.identities.get())
    }

    /// Orders faults of every endpoint, whichever is chosen first.
    pub async fn fault(&self, faults: &Value) {
        for endpoint in &self.endpoints {
            endpoint.fault(faults.clone()).await;
        }
    }

    /// The runs of all endpoints, in order of their arrival.
    pub async fn runs(&self) -> Vec<Value> {
        let mut runs = Vec::new();
        for endpoint in &self.endpoints {
            runs.extend(endpoint.started().await);
        }
        runs.sort_by_key(|run| run["arrived_ms"].as_u64());
        runs
    }

    /// How the runs of all endpoints ended.
    pub async fn ends(&self) -> Vec<String> {
        let runs = self.runs().await;
        let ends = runs.iter().map(|run| run["end"].as_str());
        ends.map(|end| end.unwrap().to_owned()).collect()
    }
}

fn settings(platform: &Stand, changes: &Value) -> Value {
    let mut settings = documents::settings("entry", "dub-a", &platform.url(""));
    settings["workers"] = Value::from(1);
    settings["log_level"] = Value::from("info");
    for (key, value) in changes.as_object().into_iter().flatten() {
        settings[key] = value.clone();
    }
    settings
}

/// A streamed request whose answer has this many tokens.
pub fn question(tokens: u32) -> Value {
    json!({"model": documents::MODEL, "stream": true, "prompt": format!("echo=t len={tokens}")})
}
