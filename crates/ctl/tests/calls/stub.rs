//! Entries that answer operators' calls out of memory, with faults on order.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::{Arc, Mutex};

use actix_web::dev::ServerHandle;
use actix_web::web::{self, Bytes, Data, Json, Path};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer};
use futures_util::stream;
use serde_json::{Value, json};
use woodgap_core::admin::{APPLY_PATH, Applied, Apply};

/// The only key that the entries know.
pub const KEY: &str = "sample-operator-key";

/// How an entry answers a change.
#[derive(Clone, Debug)]
pub enum Mood {
    /// Accepts it.
    Well,
    /// Accepts it, and cuts the connection in place of an answer.
    Mute,
    /// Answers this, and accepts nothing.
    Says(u16, Value),
}

/// What all entries of a fleet share.
#[derive(Default)]
pub struct Fleet {
    /// Changes as they came, in order.
    pub received: Vec<Apply>,
    /// Changes as they were accepted, by identity.
    pub accepted: BTreeMap<String, Applied>,
    /// Answers to reads by path; the last one of each is given for ever.
    pub answers: BTreeMap<String, VecDeque<(u16, Value)>>,
    /// Bodies of other calls.
    pub posted: Vec<Value>,
}

impl Fleet {
    fn accept(&mut self, apply: &Apply) -> Applied {
        let next = u64::try_from(self.accepted.len()).unwrap() + 1;
        if let Some(before) = self.accepted.get(&apply.change) {
            return Applied {
                already: true,
                ..*before
            };
        }
        let applied = Applied {
            revision: next + 10,
            version: next,
            already: false,
        };
        self.accepted.insert(apply.change.clone(), applied);
        applied
    }

    fn answer(&mut self, path: &str) -> (u16, Value) {
        let missing = || (404, json!({"error": {"code": "not_found"}}));
        let Some(answers) = self.answers.get_mut(path) else {
            return missing();
        };
        if answers.len() > 1 {
            return answers.pop_front().unwrap();
        }
        answers.front().cloned().unwrap_or_else(missing)
    }
}

pub type Shared = Arc<Mutex<Fleet>>;

/// A running entry.
pub struct Entry {
    pub url: String,
    handle: ServerHandle,
}

impl Entry {
    pub fn start(fleet: &Shared, mood: &Mood) -> Self {
        let (fleet, mood) = (Arc::clone(fleet), mood.clone());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(Data::new(Arc::clone(&fleet)))
                .app_data(Data::new(mood.clone()))
                .route(APPLY_PATH, web::post().to(apply))
                .route("/{path:.*}", web::get().to(read))
                .route("/{path:.*}", web::post().to(post))
        })
        .workers(1)
        .bind(("127.0.0.1", 0))
        .unwrap();
        let url = format!("http://{}", server.addrs()[0]);
        let server = server.run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Self { url, handle }
    }

    pub async fn stop(self) {
        self.handle.stop(false).await;
    }
}

async fn apply(
    fleet: Data<Shared>,
    mood: Data<Mood>,
    request: HttpRequest,
    apply: Json<Apply>,
) -> HttpResponse {
    if let Some(refusal) = refuse_stranger(&request) {
        return refusal;
    }
    let mut fleet = fleet.lock().unwrap();
    fleet.received.push(apply.clone());
    match mood.get_ref() {
        Mood::Well => HttpResponse::Ok().json(fleet.accept(&apply)),
        Mood::Mute => {
            fleet.accept(&apply);
            let cut = Err::<Bytes, _>(io::Error::other("cut"));
            HttpResponse::Ok().streaming(stream::iter([cut]))
        }
        Mood::Says(status, body) => respond(*status, body),
    }
}

async fn read(fleet: Data<Shared>, request: HttpRequest, _path: Path<String>) -> HttpResponse {
    if let Some(refusal) = refuse_stranger(&request) {
        return refusal;
    }
    let path = request.uri().to_string();
    let (status, body) = fleet.lock().unwrap().answer(&path);
    respond(status, &body)
}

async fn post(fleet: Data<Shared>, request: HttpRequest, body: Json<Value>) -> HttpResponse {
    if let Some(refusal) = refuse_stranger(&request) {
        return refusal;
    }
    fleet.lock().unwrap().posted.push(body.clone());
    respond(200, &body)
}

fn refuse_stranger(request: &HttpRequest) -> Option<HttpResponse> {
    let header = request.headers().get("authorization")?;
    let known = header.as_bytes() == format!("Bearer {KEY}").as_bytes();
    let body = json!({"error": {"code": "unknown_key", "message": "no operator has this key"}});
    (!known).then(|| respond(401, &body))
}

fn respond(status: u16, body: &Value) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status).unwrap();
    HttpResponse::build(status).json(body)
}
