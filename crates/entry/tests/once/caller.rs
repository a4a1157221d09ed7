//! A caller of one entry.

use std::net::SocketAddr;

use awc::http::Method;
use awc::{Client, ClientRequest};
use serde_json::{Value, json};
use woodgap_harness::{Entry, documents};

/// What a caller sends.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    pub key: &'a str,
    pub class: &'a str,
    pub identity: &'a str,
    /// The prompt, or the query of a call to the service.
    pub text: &'a str,
    pub stream: bool,
}

/// A narration, which may not be repeated.
pub const NARRATION: Call = Call {
    key: documents::MURPHY,
    class: "narration",
    identity: "n-1",
    text: "len=3 echo=tale",
    stream: false,
};
/// What its whole answer says.
pub const TALE: &str = "tale:1 tale:2 tale:3 ";
/// A flux correction, which may not be repeated.
pub const FLUX: Call = Call {
    class: "flux",
    identity: "f-1",
    text: "tag=bath-4",
    ..NARRATION
};
/// A caption, which may be repeated.
pub const CAPTION: Call = Call {
    class: "caption",
    identity: "c-1",
    ..NARRATION
};

/// What a caller gets; everything is empty where the connection broke.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub code: String,
    pub verdict: String,
    /// The name that the entry gave the request.
    pub request: String,
    pub retry_after: bool,
    pub body: String,
}

impl Answer {
    /// The text of a model's whole answer.
    pub fn text(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["choices"][0]["text"].as_str().unwrap_or("").to_owned()
    }

    /// Code and verdict of an error; the status of an answer.
    pub fn end(&self) -> String {
        if self.code.is_empty() {
            return self.status.to_string();
        }
        format!("{} {}", self.code, self.verdict)
    }
}

impl Call<'_> {
    /// Sends the call and waits for the end of the answer.
    pub async fn send(self, entry: &Entry) -> Answer {
        self.send_to(entry.address).await
    }

    /// Sends the call to an address, which may go away.
    pub async fn send_to(self, address: SocketAddr) -> Answer {
        let request = self.request(address);
        if self.class == "flux" || self.class == "look-up" {
            return read(request.send_body("flux 4 kg")).await;
        }
        read(request.send_json(&self.body())).await
    }

    /// Asks for the answer of the identity.
    pub async fn collect(self, entry: &Entry) -> Answer {
        let identity: String = self.identity.bytes().map(encoded).collect();
        let url = entry.url(&format!("/v1/answers/{identity}"));
        read(Client::default().get(url).bearer_auth(self.key).send()).await
    }

    fn request(self, address: SocketAddr) -> ClientRequest {
        let path = if self.class == "flux" || self.class == "look-up" {
            format!(
                "/v1/services/{}/corrections?{}",
                documents::SERVICE,
                self.text
            )
        } else {
            "/v1/completions".to_owned()
        };
        let client = Client::builder().disable_timeout().finish();
        let request = client
            .request(Method::POST, format!("http://{address}{path}"))
            .bearer_auth(self.key)
            .insert_header(("x-woodgap-class", self.class));
        if self.identity.is_empty() {
            return request;
        }
        request.insert_header(("idempotency-key", self.identity))
    }

    fn body(self) -> Value {
        json!({"model": documents::MODEL, "prompt": self.text, "stream": self.stream})
    }
}

/// A byte as it stands in a path.
fn encoded(byte: u8) -> String {
    if byte.is_ascii_alphanumeric() {
        char::from(byte).to_string()
    } else {
        format!("%{byte:02X}")
    }
}

async fn read(sent: awc::SendClientRequest) -> Answer {
    let Ok(mut response) = sent.await else {
        return Answer::default();
    };
    let header = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_owned()
    };
    let mut answer = Answer {
        status: response.status().as_u16(),
        verdict: header("x-woodgap-verdict"),
        request: header("x-woodgap-request"),
        retry_after: response.headers().contains_key("retry-after"),
        ..Answer::default()
    };
    let Ok(body) = response.body().limit(1 << 24).await else {
        return Answer::default();
    };
    answer.body = String::from_utf8_lossy(&body).into_owned();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let code = body["error"]["code"].as_str().unwrap_or("");
    code.clone_into(&mut answer.code);
    answer
}
