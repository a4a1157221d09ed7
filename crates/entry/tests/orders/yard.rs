//! Some entries, one engine that checks fencing numbers, and one that does not.

use std::cell::Cell;
use std::rc::Rc;

use awc::Client;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
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

/// As the others have it, with room for all loads at once.
pub fn all_loads(changed: &mut Value) {
    settings(changed);
    changed["orders"]["loads_at_once"] = json!(1_000);
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

    /// Adds endpoints that never answer an order.
    pub async fn hang(&self, count: usize) -> Hung {
        let orders = Rc::new(Cell::new(0));
        let list = self.fleet.platform.get("/instances/v1").await;
        let mut list = list.as_array().unwrap().clone();
        let like = self.plain.get("/fake/instance").await;
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut instance = like.clone();
            instance["name"] = json!(format!("hung-{number}"));
            instance["address"] = json!(listener.local_addr().unwrap());
            list.push(instance);
            let orders = Rc::clone(&orders);
            actix_rt::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    actix_rt::spawn(hold(stream, Rc::clone(&orders)));
                }
            });
        }
        let list = json!(list);
        self.fleet.platform.post("/fake/instances", &list).await;
        Hung { orders }
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

/// Endpoints that tell their state, and never answer an order.
pub struct Hung {
    orders: Rc<Cell<usize>>,
}

impl Hung {
    /// The orders that were sent to them.
    pub fn orders(&self) -> usize {
        self.orders.get()
    }
}

/// Answers a read of the state, and leaves an order without an answer.
async fn hold(mut stream: TcpStream, orders: Rc<Cell<usize>>) {
    let mut start = [0; 4];
    if stream.read_exact(&mut start).await.is_err() {
        return;
    }
    if start == *b"POST" {
        orders.set(orders.get() + 1);
        // The other side closes in its own time.
        let _ = stream.read_to_end(&mut Vec::new()).await;
        return;
    }
    let state = json!({"models": [documents::MODEL], "role": "serve"}).to_string();
    let length = state.len();
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close";
    let answer = format!("{head}\r\ncontent-length: {length}\r\n\r\n{state}");
    // Whoever asked may have gone.
    let _ = stream.write_all(answer.as_bytes()).await;
    let _ = stream.read_to_end(&mut Vec::new()).await;
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
