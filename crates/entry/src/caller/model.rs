//! Requests to models.

use std::hash::{DefaultHasher, Hash, Hasher};

use actix_web::web::{Bytes, Data};
use actix_web::{HttpRequest, HttpResponse};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::caller::{self, Authority, Body};
use crate::once::Kind;
use crate::request::call::{Form, Model};
use crate::request::run::Worker;
use crate::request::{Call, Code, Head, Problem};
use crate::shared::Shared;

/// Bytes of a prompt's start that are hashed to find a warm cache.
const PREFIX_BYTES: usize = 256;

/// `POST /v1/chat/completions`.
pub(crate) async fn chat(
    worker: Data<Worker>,
    request: HttpRequest,
    body: Body,
) -> Result<HttpResponse, Problem> {
    take(&worker, &request, &body.0, Form::Chat).await
}

/// `POST /v1/completions`.
pub(crate) async fn completion(
    worker: Data<Worker>,
    request: HttpRequest,
    body: Body,
) -> Result<HttpResponse, Problem> {
    take(&worker, &request, &body.0, Form::Completion).await
}

async fn take(
    worker: &Worker,
    request: &HttpRequest,
    body: &Bytes,
    form: Form,
) -> Result<HttpResponse, Problem> {
    let authority = Authority::of(&worker.shared, request)?;
    let parsed = Parsed::read(body, form)?;
    let head = head(&worker.shared, &authority, &parsed, form)?;
    let kind = Kind::Model {
        form,
        model: parsed.target,
        stream: parsed.stream,
    };
    caller::carry_out(worker, &authority, head, kind).await
}

/// The parts of a body that the entry needs.
pub(super) struct Parsed {
    pub(super) target: String,
    stream: bool,
    pub(super) prefix: u64,
    pub(super) body: Bytes,
}

impl Parsed {
    pub(super) fn read(body: &[u8], form: Form) -> Result<Self, Problem> {
        let bad = |message: String| Problem::not_run(Code::BadRequest, message);
        let mut fields: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|error| bad(format!("the body is not a JSON object: {error}")))?;
        let target = match fields.get("model") {
            Some(Value::String(model)) if !model.is_empty() => model.clone(),
            _ => return Err(bad("`model` must be a text".to_owned())),
        };
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(other) => return Err(bad(format!("`stream` is {other}, expected true or false"))),
        };
        let prompt = match form {
            Form::Chat => fields
                .get("messages")
                .filter(|messages| messages.is_array()),
            Form::Completion => fields.get("prompt").filter(|prompt| prompt.is_string()),
        };
        // An engine would answer an empty conversation as if it were a whole one.
        let is_empty = prompt.and_then(Value::as_array).is_some_and(Vec::is_empty);
        if is_empty {
            return Err(bad("`messages` must not be empty".to_owned()));
        }
        let Some(prompt) = prompt else {
            return Err(bad(match form {
                Form::Chat => "`messages` must be a list".to_owned(),
                Form::Completion => "`prompt` must be a text".to_owned(),
            }));
        };
        let prefix = prefix(prompt);
        fields.insert("stream".to_owned(), Value::Bool(true));
        let body =
            Bytes::from(serde_json::to_vec(&fields).map_err(|error| bad(error.to_string()))?);
        Ok(Self {
            target,
            stream,
            prefix,
            body,
        })
    }
}

/// Hash of the start of a prompt.
fn prefix(prompt: &Value) -> u64 {
    let text = prompt.to_string();
    let end = text.len().min(PREFIX_BYTES);
    let mut hasher = DefaultHasher::new();
    text.as_bytes()[..end].hash(&mut hasher);
    hasher.finish().max(1)
}

fn head(
    shared: &Shared,
    authority: &Authority,
    parsed: &Parsed,
    form: Form,
) -> Result<Head, Problem> {
    let class = authority.class(&parsed.target)?;
    authority.check_identity(class.1)?;
    let target = parsed.target.as_str().into();
    let call = Call::Model(Model {
        form,
        body: parsed.body.clone(),
    });
    Ok(Head {
        prefix: parsed.prefix,
        ..Head::new(shared, &authority.workspace, class, target, call)
    })
}

/// Header with the revision of the configuration that an answer was made by.
const REVISION_HEADER: &str = "x-woodgap-revision";

/// The answer to `GET /v1/models`.
#[derive(Debug, Serialize)]
pub(crate) struct Models {
    object: &'static str,
    data: Vec<Listed>,
}

#[derive(Debug, Serialize)]
struct Listed {
    id: String,
    object: &'static str,
    classes: Vec<String>,
}

/// `GET /v1/models`: what the workspace may use.
pub(crate) async fn list(
    worker: Data<Worker>,
    request: HttpRequest,
) -> Result<HttpResponse, Problem> {
    let authority = Authority::of(&worker.shared, &request)?;
    let mut data: Vec<Listed> = Vec::new();
    for (name, class) in authority.workspace.classes.iter() {
        for target in &class.targets {
            match data.iter_mut().find(|listed| listed.id == target.as_str()) {
                Some(listed) => listed.classes.push(name.to_string()),
                None => data.push(Listed {
                    id: target.to_string(),
                    object: "model",
                    classes: vec![name.to_string()],
                }),
            }
        }
    }
    Ok(HttpResponse::Ok()
        .insert_header((REVISION_HEADER, authority.revision))
        .json(Models {
            object: "list",
            data,
        }))
}
