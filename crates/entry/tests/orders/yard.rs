//! Some entries, one engine that checks fencing numbers, and one that does not.

use awc::Client;
use serde_json::{Value, json};
use woodgap_harness::{Entry, Fleet, Stand, documents, until};

const ENTRY: &str = env!("CARGO_BIN_EXE_woodgap-entry");

/// The fleet and its two engines.
pub struct Yard {
    pub fleet: Fleet,
    /// It does not check.
    pub plain: Stand,
}

fn settings(settings: &mut Value) {
    settings["platform"]["timeout_ms"] = json!(400);
    settings["lease"] = json!({"duration_ms": 1_500});
    settings["orders"] = json!({"poll_ms": 200, "send_timeout_ms": 400});
}

/// As the others have it, but for loads: one at a time.
pub fn one_load(changed: &mut Value) {
    settings(changed);
    changed["orders"]["loads_at_once"] = json!(1);
}

impl Yard {
    pub async fn start(entries: usize) -> Self {
        Self::with(entries, settings).await
    }

    pub async fn with(entries: usize, change: fn(&mut Value)) -> Self {
        let fleet = Fleet::with(ENTRY, entries, change).await;
        let plain = Stand::engine(woodgap_fake::engine::Options {
            checks_fencing: false,
            ..woodgap_harness::fleet::engine()
        });
        let list = fleet.platform.get("/instances/v1").await;
        let mut list = list.as_array().unwrap().clone();
        list.push(plain.get("/fake/instance").await);
        fleet.platform.post("/fake/instances", &json!(list)).await;
        Self { fleet, plain }
    }

    /// The engine that checks.
    pub fn checking(&self) -> &Stand {
        &self.fleet.engine
    }

    /// Submits an order for both engines, as a pool.
    pub async fn order(&self, entry: &Entry, change: &str, models: &[&str]) -> Value {
        let pool = json!({"target": documents::MODEL, "data_centre": "dub-a"});
        let wanted = json!({"models": models, "role": "serve"});
        let apply = json!({"change": change, "order": {"pool": pool, "wanted": wanted}});
        let call = Client::default()
            .post(entry.url("/admin/v1/orders"))
            .bearer_auth(documents::OPERATOR);
        let mut response = call.send_json(&apply).await.unwrap();
        assert!(response.status().is_success(), "{response:?}");
        response.json().await.unwrap()
    }

    /// What an entry tells operators.
    pub async fn show(&self, entry: &Entry) -> Option<Value> {
        let call = Client::default()
            .get(entry.url("/admin/v1/orders"))
            .bearer_auth(documents::OPERATOR);
        let mut response = call.send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        response.json().await.ok()
    }

    /// Waits until both engines were sent these models.
    pub async fn ordered(&self, models: &[&str]) {
        until("both engines are ordered", async || {
            let mut all = true;
            for engine in [self.checking(), &self.plain] {
                let orders = sent(engine).await;
                all &= orders.iter().any(|order| order.models == json!(models));
            }
            all.then_some(())
        })
        .await;
    }

    /// Waits until both engines hold these models, and the lease was given back.
    pub async fn in_force(&self, models: &[&str]) {
        until("the order is in force", async || {
            let mut all = true;
            for engine in [self.checking(), &self.plain] {
                let state = engine.get("/control/order").await;
                all &= state["models"] == json!(models);
            }
            (all && self.holder().await.is_none()).then_some(())
        })
        .await;
    }

    /// The entry that holds the lease for orders.
    pub async fn holder(&self) -> Option<String> {
        let call = Client::default().post(self.fleet.platform.url("/table/v1/read"));
        let read = json!({"places": [{"table": "leases", "key": "orders/dub-a"}]});
        let rows: Value = call.send_json(&read).await.unwrap().json().await.unwrap();
        let entry = rows[0]["value"]["holder"]["entry"].as_str()?;
        Some(entry.to_owned())
    }

    /// The index of the entry that holds the lease, once one does.
    pub async fn holding(&self, but: Option<usize>) -> usize {
        until("an entry gives orders", async || {
            let holder = self.holder().await?;
            let mut entries = self.fleet.entries.iter();
            let index = entries.position(|entry| entry.name == holder)?;
            (Some(index) != but).then_some(index)
        })
        .await
    }
}

/// The orders that an engine was sent.
pub async fn sent(engine: &Stand) -> Vec<Sent> {
    let record = engine.get("/fake/record").await;
    let lines = record.as_array().unwrap().iter();
    let orders = lines.filter(|line| line["order"].is_object());
    orders
        .map(|line| Sent {
            fence: line["order"]["fence"].as_u64().unwrap(),
            models: line["order"]["wanted"]["models"].clone(),
            accepted: line["accepted"].as_bool().unwrap(),
        })
        .collect()
}

/// An order that an engine was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    pub fence: u64,
    pub models: Value,
    pub accepted: bool,
}

/// Sends an order as a holder would that woke late.
pub async fn send(engine: &Stand, fence: u64, models: &[&str]) -> bool {
    let order = json!({"fence": fence, "wanted": {"models": models, "role": "serve"}});
    let call = Client::default().post(engine.url("/control/order"));
    let response = call.send_json(&order).await.unwrap();
    response.status().is_success()
}
