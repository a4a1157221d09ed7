//! Sends orders to endpoints, and reads back what is in force there.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use woodgap_core::clock::Millis;
use woodgap_core::lease::Fence;
use woodgap_core::orders::{Answer, Wanted};
use woodgap_platform::connect;
use woodgap_platform::endpoint::{ORDER_PATH, Order};

/// Calls endpoints; every call ends within the time given.
#[derive(Clone)]
pub struct Wire {
    client: Client,
}

impl Wire {
    /// A wire whose calls take this long at most.
    pub fn new(timeout: Millis) -> Self {
        let client = Client::builder()
            .connector(connect::strict())
            .timeout(Duration::from_millis(timeout.0))
            .finish();
        Self { client }
    }

    /// The state in force at an endpoint; none if it does not answer.
    pub async fn read(&self, address: SocketAddr) -> Option<Wanted> {
        let url = format!("http://{address}{ORDER_PATH}");
        let mut response = self.client.get(url).send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        response.json().await.ok()
    }

    /// Sends an order.
    pub async fn send(&self, address: SocketAddr, fence: Fence, wanted: &Wanted) -> Answer {
        let url = format!("http://{address}{ORDER_PATH}");
        let order = Order {
            fence: fence.0,
            wanted: wanted.clone(),
        };
        match self.client.post(url).send_json(&order).await {
            Ok(response) if response.status().is_success() => Answer::Taken,
            Ok(response) if response.status() == StatusCode::CONFLICT => Answer::Fenced,
            Ok(_) | Err(_) => Answer::None,
        }
    }
}
