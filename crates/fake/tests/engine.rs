//! The engine's protocol: offsets, resume, cancel, faults and orders.

use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use awc::{Client, ClientRequest};
use insta::assert_snapshot;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use woodgap_fake::engine::{self, Options};

/// Ends a test that waits for what never comes.
const STUCK: Duration = Duration::from_mins(1);

/// More tokens than any test waits for.
const ENDLESS: u64 = 1_000_000_000;

struct Fixture {
    base: String,
}

fn options() -> Options {
    Options {
        models: vec!["m".to_owned()],
        slots: 1,
        tokens_per_second: 1_000.0,
        first_token_ms: 1,
        prefill_ms: 0,
        prefix_cache_entries: 0,
        jitter_percent: 20,
        seed: 7,
        report_lag_ms: 0,
        checks_fencing: false,
        no_resume: false,
        data_centre: "dub-a".to_owned(),
        record_file: None,
    }
}

/// What came of a call: the status, and the body up to its end or its cut.
#[derive(Debug, Default)]
struct Seen {
    status: u16,
    identity: String,
    body: String,
    cut: bool,
}

/// How a body ends.
#[derive(Debug, PartialEq)]
enum Tail {
    Marked,
    Unmarked,
    Cut,
}

impl Seen {
    fn tail(&self) -> Tail {
        match (self.done(), self.cut) {
            (_, true) => Tail::Cut,
            (true, false) => Tail::Marked,
            (false, false) => Tail::Unmarked,
        }
    }

    fn ids(&self) -> Vec<u64> {
        let lines = self.body.lines();
        let ids = lines.filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().unwrap()).collect()
    }

    fn text(&self) -> String {
        let lines = self.body.lines();
        let data = lines.filter_map(|line| line.strip_prefix("data: {"));
        let chunks = data.map(|rest| serde_json::from_str(&format!("{{{rest}")).unwrap());
        let texts = chunks.map(|chunk: Value| {
            let choice = &chunk["choices"][0];
            choice["text"].as_str().unwrap_or_default().to_owned()
        });
        texts.collect()
    }

    fn done(&self) -> bool {
        self.body.contains("data: [DONE]\n\n")
    }

    /// The body without the time of day.
    fn timeless(&self) -> String {
        let parts = self.body.split("\"created\":");
        let cleared = parts.map(|part| part.trim_start_matches(|c: char| c.is_ascii_digit()));
        cleared.collect::<Vec<_>>().join("\"created\":0")
    }
}

impl Fixture {
    fn start(options: Options) -> Self {
        let bound = engine::bind(([127, 0, 0, 1], 0).into(), options).unwrap();
        let base = format!("http://{}", bound.address);
        actix_rt::spawn(bound.server);
        Self { base }
    }

    fn post(&self, path: &str) -> ClientRequest {
        let client = Client::builder().timeout(STUCK).finish();
        client.post(format!("{}{path}", self.base))
    }

    async fn send(&self, path: &str, body: &Value) -> u16 {
        let response = self.post(path).send_json(body).await.unwrap();
        response.status().as_u16()
    }

    /// Asks without a client in between: ours takes a body that is cut between
    /// two chunks for one that has ended.
    async fn ask_plainly(&self, identity: &str, body: &Value) -> Seen {
        let address = self.base.trim_start_matches("http://");
        let body = body.to_string();
        let length = body.len();
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {length}\r\n\
             X-Woodgap-Request: {identity}\r\n\r\n"
        );
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all((head + &body).as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        let body = String::from_utf8_lossy(&answer).into_owned();
        Seen {
            cut: !body.ends_with("\r\n0\r\n\r\n"),
            body,
            ..Seen::default()
        }
    }

    async fn get(&self, path: &str) -> Value {
        let request = Client::default().get(format!("{}{path}", self.base));
        request.send().await.unwrap().json().await.unwrap()
    }

    async fn ask(&self, identity: &str, after: Option<u64>, body: &Value) -> Seen {
        let path = if body.get("messages").is_some() {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        let mut request = self
            .post(path)
            .insert_header(("X-Woodgap-Request", identity));
        if let Some(after) = after {
            request = request.insert_header(("Last-Event-ID", after.to_string()));
        }
        read(request, body).await
    }

    /// Waits until a field of the load report has this value.
    async fn until(&self, field: &str, count: u64) {
        let seen = async {
            while self.get("/control/load").await[field] != count {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(STUCK, seen).await.expect("the load gets there");
    }

    async fn ends(&self) -> Vec<Value> {
        let record = self.get("/fake/record").await;
        let runs = record.as_array().unwrap();
        runs.iter().map(|run| run["end"].clone()).collect()
    }
}

async fn read(request: ClientRequest, body: &Value) -> Seen {
    let mut seen = Seen::default();
    let Ok(mut response) = request.send_json(body).await else {
        seen.cut = true;
        return seen;
    };
    seen.status = response.status().as_u16();
    if let Some(identity) = response.headers().get("x-woodgap-request") {
        seen.identity = identity.to_str().unwrap().to_owned();
    }
    while let Some(part) = futures_util::StreamExt::next(&mut response).await {
        match part {
            Ok(bytes) => seen.body.push_str(&String::from_utf8_lossy(&bytes)),
            Err(_) => seen.cut = true,
        }
    }
    seen
}

fn prompt(stream: bool) -> Value {
    json!({"model": "m", "stream": stream, "prompt": "tell echo=T len=4"})
}

#[actix_rt::test]
async fn a_chat_stream_has_offsets_a_reason_and_a_mark() {
    let fixture = Fixture::start(options());
    let messages = json!([{"role": "user", "content": "tell echo=T len=9"}]);
    let body = json!({"model": "m", "stream": true, "messages": messages, "max_tokens": 2});
    let seen = fixture.ask("r-1", None, &body).await;

    assert_eq!((seen.status, seen.identity.as_str()), (200, "r-1"));
    assert_snapshot!(seen.timeless(), @r#"
    id: 1
    data: {"id":"r-1","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"T:1 "},"finish_reason":null}]}

    id: 2
    data: {"id":"r-1","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"content":"T:2 "},"finish_reason":null}]}

    id: 3
    data: {"id":"r-1","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":4,"completion_tokens":2,"total_tokens":6}}

    data: [DONE]
    "#);
}

#[actix_rt::test]
async fn a_whole_answer_has_all_the_text() {
    let fixture = Fixture::start(options());
    let seen = fixture.ask("r-1", None, &prompt(false)).await;
    assert_snapshot!(seen.timeless(), @r#"{"id":"r-1","object":"text_completion","created":0,"model":"m","choices":[{"index":0,"text":"T:1 T:2 T:3 T:4 ","finish_reason":"stop"}],"usage":{"prompt_tokens":4,"completion_tokens":4,"total_tokens":8}}"#);
}

#[rstest]
#[case::from_the_start(None, 200, &[1, 2, 3, 4, 5], "T:1 T:2 T:3 T:4 ")]
#[case::after_two(Some(2), 200, &[3, 4, 5], "T:3 T:4 ")]
#[case::after_the_tokens(Some(4), 200, &[5], "")]
#[case::after_the_last_chunk(Some(5), 200, &[], "")]
#[case::beyond_the_end(Some(6), 409, &[], "")]
#[actix_rt::test]
async fn a_stream_goes_on_after_an_offset(
    #[case] after: Option<u64>,
    #[case] status: u16,
    #[case] ids: &[u64],
    #[case] text: &str,
) {
    let fixture = Fixture::start(options());
    let seen = fixture.ask("r-1", after, &prompt(true)).await;
    assert_eq!(seen.status, status);
    assert_eq!((seen.ids(), seen.text().as_str()), (ids.to_vec(), text));
    assert_eq!(seen.done(), status == 200);
}

#[actix_rt::test]
async fn an_engine_without_resume_says_so_and_runs_nothing() {
    let fixture = Fixture::start(Options {
        no_resume: true,
        ..options()
    });
    let seen = fixture.ask("r-1", Some(2), &prompt(true)).await;
    assert_eq!(seen.status, 409);
    assert!(fixture.ends().await.is_empty());
}

#[rstest]
#[case::crash(json!({"crash_after_tokens": 2}), &[1, 2], Tail::Cut, "crashed")]
#[case::crash_at_the_end(json!({"crash_after_tokens": 4}), &[1, 2, 3, 4], Tail::Cut, "crashed")]
#[case::crash_before_the_head(json!({"crash_after_tokens": 0}), &[], Tail::Cut, "crashed")]
#[case::truncate(json!({"truncate": 1}), &[1, 2], Tail::Unmarked, "crashed")]
#[case::bad_offset(json!({"bad_offset": 1}), &[1, 2, 4, 5, 6], Tail::Marked, "complete")]
#[case::duplicate(json!({"duplicate_event": 1}), &[1, 2, 2, 3, 4, 5], Tail::Marked, "complete")]
#[case::garbage(json!({"garbage": 1}), &[], Tail::Unmarked, "crashed")]
#[case::slow(json!({"slow": 2.0, "late_ms": 20}), &[1, 2, 3, 4, 5], Tail::Marked, "complete")]
#[actix_rt::test]
async fn a_fault_spoils_one_stream(
    #[case] faults: Value,
    #[case] ids: &[u64],
    #[case] tail: Tail,
    #[case] end: &str,
) {
    let fixture = Fixture::start(options());
    assert_eq!(fixture.send("/fake/faults", &faults).await, 204);
    let spoilt = fixture.ask_plainly("r-1", &prompt(true)).await;
    let next = fixture.ask("r-2", None, &prompt(true)).await;

    assert_eq!(spoilt.ids(), ids);
    assert_eq!(spoilt.tail(), tail, "{spoilt:?}");
    assert_eq!(fixture.ends().await, [end, "complete"]);
    assert_eq!(next.text(), "T:1 T:2 T:3 T:4 ");
}

#[actix_rt::test]
async fn a_wrong_answer_carries_another_identity_and_text() {
    let fixture = Fixture::start(options());
    fixture.send("/fake/faults", &json!({"wrong_id": 1})).await;
    let seen = fixture.ask("r-1", None, &prompt(true)).await;
    assert_ne!(seen.identity, "r-1");
    assert!(!seen.text().contains("T:1"));
}

#[actix_rt::test]
async fn a_refused_request_leaves_no_run() {
    let fixture = Fixture::start(options());
    fixture.send("/fake/faults", &json!({"refuse": 1})).await;
    assert_eq!(fixture.ask("r-1", None, &prompt(true)).await.status, 503);
    let unheld = json!({"model": "other", "prompt": ""});
    assert_eq!(fixture.ask("r-2", None, &unheld).await.status, 404);
    assert!(fixture.ends().await.is_empty());
}

/// How a long run is brought to its end.
#[derive(Clone, Copy, Debug)]
enum Stop {
    Cancel,
    Disconnect,
}

#[rstest]
#[case::cancelled(json!({}), true, Stop::Cancel, "cancelled")]
#[case::cancelled_whole(json!({}), false, Stop::Cancel, "cancelled")]
#[case::cancelled_in_a_hang(json!({"hang": 1}), true, Stop::Cancel, "cancelled")]
#[case::disconnected(json!({}), true, Stop::Disconnect, "disconnected")]
#[case::disconnected_whole(json!({}), false, Stop::Disconnect, "disconnected")]
#[case::disconnected_in_a_hang(json!({"hang": 1}), true, Stop::Disconnect, "disconnected")]
#[actix_rt::test]
async fn a_stopped_run_frees_its_slot(
    #[case] faults: Value,
    #[case] stream: bool,
    #[case] stop: Stop,
    #[case] end: &str,
) {
    let fixture = Fixture::start(options());
    fixture.send("/fake/faults", &faults).await;
    let long = json!({"model": "m", "stream": stream, "prompt": "", "max_tokens": ENDLESS});
    let post = fixture.post("/v1/completions");
    let request = post.insert_header(("X-Woodgap-Request", "long"));
    let caller = actix_rt::spawn(async move { read(request, &long).await });
    fixture.until("running", 1).await;

    let short = prompt(true);
    let (next, ()) = futures_util::join!(fixture.ask("next", None, &short), async {
        fixture.until("queued", 1).await;
        match stop {
            Stop::Cancel => {
                let cancel = json!({"request": "long"});
                fixture.send("/control/cancel", &cancel).await;
            }
            Stop::Disconnect => caller.abort(),
        }
    });
    assert!(next.done());
    assert_eq!(fixture.ends().await, [end, "complete"]);
}

#[rstest]
#[case::checked(true, &[(3, 204), (2, 409), (3, 204), (4, 204)], "4")]
#[case::unchecked(false, &[(3, 204), (2, 204)], "2")]
#[actix_rt::test]
async fn an_old_order_is_refused_where_fencing_is_checked(
    #[case] checks_fencing: bool,
    #[case] orders: &[(u64, u16)],
    #[case] in_force: &str,
) {
    let fixture = Fixture::start(Options {
        checks_fencing,
        ..options()
    });
    for (fence, status) in orders {
        let wanted = json!({"models": [fence.to_string()], "role": "serve"});
        let order = json!({"fence": fence, "wanted": wanted});
        assert_eq!(fixture.send("/control/order", &order).await, *status);
    }
    let wanted = fixture.get("/control/order").await;
    assert_eq!(wanted["models"], json!([in_force]));
    let summary = fixture.get("/fake/record?summary").await;
    assert_eq!(summary["orders"], orders.len());
}
