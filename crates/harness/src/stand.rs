//! One stand-in, served from a thread of the test's own process.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;

use actix_rt::System;
use awc::Client;
use serde_json::Value;
use woodgap_fake::server::Bound;
use woodgap_fake::{engine, platform, service};

/// Port 0: the system chooses.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A stand-in that runs until the test's process ends, or until it is stopped.
#[derive(Debug)]
pub struct Stand {
    /// Where it listens.
    pub address: SocketAddr,
    system: System,
}

impl Stand {
    /// A platform without limits.
    pub fn platform() -> Self {
        Self::start(|| platform::bind(ANY, &platform::Options::default()))
    }

    /// A model engine.
    pub fn engine(options: engine::Options) -> Self {
        Self::start(|| engine::bind(ANY, options))
    }

    /// A plain service.
    pub fn service(options: service::Options) -> Self {
        Self::start(|| service::bind(ANY, options))
    }

    fn start(bind: impl FnOnce() -> io::Result<Bound> + Send + 'static) -> Self {
        let (ready, started) = mpsc::channel();
        std::thread::spawn(move || {
            System::new().block_on(async move {
                let bound = bind().expect("loopback has a free port");
                let started = (bound.address, System::current());
                ready.send(started).expect("the test waits");
                bound.server.await.expect("the stand-in serves");
            });
        });
        let (address, system) = started.recv().expect("the stand-in starts");
        Self { address, system }
    }

    /// The address of a path.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Reads JSON, such as `/fake/record`.
    ///
    /// # Panics
    ///
    /// If there is none.
    pub async fn get(&self, path: &str) -> Value {
        let response = Client::default().get(self.url(path)).send().await;
        let mut response = response.expect("the stand-in answers");
        response.json().limit(LIMIT).await.expect("JSON")
    }

    /// Sends JSON, such as to `/fake/instances`.
    ///
    /// # Panics
    ///
    /// If it is refused.
    pub async fn post(&self, path: &str, body: &Value) {
        let call = Client::default().post(self.url(path));
        let response = call.send_json(body).await.expect("the stand-in answers");
        assert!(response.status().is_success(), "{path}: {response:?}");
    }

    /// Orders faults; those not named stay as they are.
    pub async fn fault(&self, faults: Value) {
        self.post("/fake/faults", &faults).await;
    }

    /// The runs that an endpoint started.
    ///
    /// # Panics
    ///
    /// If this is no endpoint.
    pub async fn started(&self) -> Vec<Value> {
        let record = self.get("/fake/record").await;
        let runs = record.as_array().expect("a list of runs").iter();
        let started = runs.filter(|run| run["started_ms"].is_number());
        started.cloned().collect()
    }
}

impl Drop for Stand {
    fn drop(&mut self) {
        self.system.stop();
    }
}

/// The largest record that is read, in bytes.
const LIMIT: usize = 16 * 1024 * 1024;
