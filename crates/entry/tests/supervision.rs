//! What a crash of one part leaves alone: an entry inside the test, whose control
//! branch is ended and whose requests are made to panic.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix_rt::Arbiter;
use actix_web::App;
use actix_web::middleware::from_fn;
use actix_web::web::{self, Data};
use awc::Client;
use futures_util::StreamExt;
use log::{LevelFilter, Log, Metadata, Record};
use serde_json::{Value, json};
use woodgap_core::name;
use woodgap_entry::caller::guard;
use woodgap_entry::configuration::watcher;
use woodgap_entry::control::Actor;
use woodgap_entry::control::actor::Restart;
use woodgap_entry::control::socket::Bound;
use woodgap_entry::request::run::Worker;
use woodgap_entry::shared::Shared;
use woodgap_entry::start::Parts;
use woodgap_entry::supervisor::Branch;
use woodgap_entry::{endpoint, start};
use woodgap_fake::engine;
use woodgap_harness::{STUCK, Stand, documents, until};
use woodgap_platform::connect;

/// The entry, with a hold on its control branch.
struct Entry {
    address: SocketAddr,
    control: Branch<Actor>,
    engine: Stand,
    client: Client,
    shared: Arc<Shared>,
    _platform: Stand,
    _arbiter: Arbiter,
}

impl Entry {
    /// An entry whose requests' names begin with this number.
    async fn start(life: u64) -> Self {
        let platform = Stand::platform();
        let engine = Stand::engine(options());
        let instances = Value::from(vec![engine.get("/fake/instance").await]);
        platform.post("/fake/instances", &instances).await;
        let settings = documents::settings("entry", "dub-a", &platform.url("")).to_string();
        let settings = woodgap_settings::entry::parse(&settings, "settings").unwrap();
        let arbiter = Arbiter::new();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let peers = Bound::new(settings.peer_listen).unwrap();
        let life = name::Incarnation(life);
        let Parts { shared, control } =
            Parts::start(settings, life, address, peers, &arbiter).unwrap();
        actix_rt::spawn(start::server(&shared, listener, 1).unwrap());
        let entry = Self {
            address,
            control,
            engine,
            client: Client::builder()
                .connector(connect::strict())
                .timeout(STUCK)
                .finish(),
            shared,
            _platform: platform,
            _arbiter: arbiter,
        };
        entry.ready().await;
        entry
    }

    async fn ready(&self) {
        for (number, document) in documents::all().into_iter().enumerate() {
            let change = json!({"change": number.to_string(), "document": document});
            let call = self.client.post(self.url("/admin/v1/apply"));
            let response = call.bearer_auth(documents::OPERATOR).send_json(&change);
            assert!(response.await.unwrap().status().is_success());
        }
        until("a request is answered", async || {
            (self.ask("first", 1).await == text("first", 1)).then_some(())
        })
        .await;
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// The text of a streamed answer with its mark, else what came in its place.
    async fn ask(&self, tag: &str, tokens: u32) -> String {
        let body = json!({
            "model": documents::MODEL, "stream": true, "prompt": format!("echo={tag} len={tokens}"),
        });
        let call = self.client.post(self.url("/v1/completions"));
        let call = call.bearer_auth(documents::MURPHY).send_json(&body);
        let mut response = call.await.unwrap();
        let mut body = Vec::new();
        while let Some(piece) = response.next().await {
            body.extend_from_slice(&piece.unwrap());
        }
        read(&String::from_utf8(body).unwrap())
    }

    async fn until_running(&self, count: usize) {
        let running = async || {
            let runs = self.engine.started().await;
            let running = runs.iter().filter(|run| run["end"] == "running");
            (running.count() == count).then_some(())
        };
        until("the requests run", running).await;
    }
}

fn options() -> engine::Options {
    engine::Options {
        models: vec![documents::MODEL.to_owned()],
        slots: 2,
        tokens_per_second: 200.0,
        first_token_ms: 1,
        prefill_ms: 0,
        prefix_cache_entries: 0,
        jitter_percent: 0,
        seed: 1,
        report_lag_ms: 0,
        checks_fencing: false,
        no_resume: false,
        data_centre: "dub-a".to_owned(),
        record_file: None,
    }
}

fn text(tag: &str, tokens: u32) -> String {
    let tokens: Vec<_> = (1..=tokens)
        .map(|token| format!("{tag}:{token} "))
        .collect();
    tokens.concat()
}

/// The text of events that end with the mark, else the code and verdict of the error.
fn read(body: &str) -> String {
    let lines = body.lines().filter(|line| !line.is_empty());
    let data = lines.map(|line| line.strip_prefix("data: ").unwrap_or(line));
    let values: Vec<Value> = data
        .filter_map(|data| serde_json::from_str(data).ok())
        .collect();
    let error = values.last().and_then(|value| value.get("error"));
    if let Some(error) = error {
        return format!("{} {}", error["code"], error["verdict"]).replace('"', "");
    }
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    let texts = values
        .iter()
        .map(|value| value["choices"][0]["text"].as_str());
    texts.map(Option::unwrap_or_default).collect()
}

/// The control branch ends and starts again: what streams goes on, what waits is
/// served, what comes is served.
#[actix_rt::test]
async fn streams_outlive_the_control_branch() {
    let entry = Entry::start(1).await;
    let streams = async { tokio::join!(entry.ask("a", 200), entry.ask("b", 200)) };
    let waiting = async {
        entry.until_running(2).await;
        entry.ask("c", 3).await
    };
    let restarts = async {
        entry.until_running(2).await;
        for _ in 0..2 {
            let old = entry.control.address();
            old.clone().unwrap().do_send(Restart);
            let another = async || (entry.control.address()? != old.clone()?).then_some(());
            until("the branch runs again", another).await;
            assert_eq!(entry.ask("d", 3).await, text("d", 3));
        }
    };
    let (streams, waited, ()) = tokio::join!(streams, waiting, restarts);
    assert_eq!(streams, (text("a", 200), text("b", 200)));
    assert_eq!(waited, text("c", 3));
}

/// The life of the entry whose requests panic; other tests share the process.
const TRAPPED: u64 = 2;

/// Panics on the next line of this text that names a request of that life.
struct Trap {
    armed: AtomicBool,
    line: std::sync::Mutex<&'static str>,
}

static TRAP: Trap = Trap {
    armed: AtomicBool::new(false),
    line: std::sync::Mutex::new(""),
};

impl Trap {
    fn arm(&self, line: &'static str) {
        *self.line.lock().unwrap() = line;
        self.armed.store(true, Ordering::Release);
    }
}

impl Log for Trap {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("woodgap_entry")
    }

    fn log(&self, record: &Record) {
        let text = record.args().to_string();
        let request = record.key_values().get("request".into());
        let life = format!("{TRAPPED:016x}-");
        let is_ours = request.is_some_and(|request| request.to_string().starts_with(&life));
        let is_line = is_ours && text == *self.line.lock().unwrap();
        let springs = is_line && self.armed.swap(false, Ordering::AcqRel);
        assert!(!springs, "as the test wants it");
    }

    fn flush(&self) {}
}

/// A panic within a request ends that request alone, with an error, and gives its
/// place at the endpoint back.
#[actix_rt::test]
async fn a_panic_ends_one_request() {
    log::set_logger(&TRAP).unwrap();
    log::set_max_level(LevelFilter::Debug);
    let entry = Entry::start(TRAPPED).await;
    let other = entry.ask("other", 200);
    let panics = async {
        entry.until_running(1).await;
        TRAP.arm("attempt begins");
        assert_eq!(entry.ask("a", 5).await, "entry_failed may_have_run");
        // In the middle of a stream, whose engine crashes and is left.
        TRAP.arm("attempt ended");
        entry.engine.fault(json!({"crash_after_tokens": 2})).await;
        assert_eq!(entry.ask("b", 5).await, "entry_failed may_have_run");
        assert_eq!(entry.ask("c", 5).await, text("c", 5));
    };
    let (other, ()) = tokio::join!(other, panics);
    assert_eq!(other, text("other", 200));
}

async fn panics() -> &'static str {
    panic!("as the test wants it")
}

/// A panic in a call's handler is answered, too.
#[actix_rt::test]
async fn a_panic_in_a_handler_is_answered() {
    let entry = Entry::start(3).await;
    let worker = Worker {
        shared: Arc::clone(&entry.shared),
        client: endpoint::Client::new(),
        platform: watcher::platform(&entry.shared),
    };
    let app = App::new()
        .app_data(Data::new(worker))
        .route("/", web::get().to(panics))
        .wrap(from_fn(guard::guard));
    let app = actix_web::test::init_service(app).await;
    let call = actix_web::test::TestRequest::get().to_request();
    let error = actix_web::test::try_call_service(&app, call)
        .await
        .unwrap_err();
    let response = error.error_response();
    assert_eq!(response.status(), 500);
    assert_eq!(
        response.headers().get("x-woodgap-verdict").unwrap(),
        "may_have_run"
    );
}
