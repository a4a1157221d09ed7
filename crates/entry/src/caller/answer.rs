//! Turns the items of an answer into an HTTP response.

use std::sync::Arc;

use actix_web::HttpResponse;
use actix_web::HttpResponseBuilder;
use actix_web::http::StatusCode;
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use serde_json::{Value, json};
use woodgap_core::name;
use woodgap_core::verdict::Verdict;

use crate::caller::refusal::{self, Body, ENTRY_HEADER, REQUEST_HEADER};
use crate::endpoint::Chunk;
use crate::endpoint::events::DONE;
use crate::once::Kind;
use crate::request::call::Form;
use crate::request::sink::Source;
use crate::request::{Code, Item, Problem};
use crate::shared::Shared;

/// What an answer needs beside its items.
pub struct Shape {
    /// Chat or completion.
    pub form: Form,
    /// The request, unless the source knows better.
    pub id: name::Request,
    /// The model asked for.
    pub model: String,
    /// The entry's state.
    pub shared: Arc<Shared>,
}

/// A streamed answer; an error before its first event is an HTTP error.
///
/// # Errors
///
/// Never: errors are rendered with the request's name.
pub async fn streamed(mut source: Source, shape: Shape) -> Result<HttpResponse, Problem> {
    let first = source.recv().await.unwrap_or_else(|| Item::Failed(lost()));
    let id = source.request().unwrap_or(shape.id);
    if let Item::Failed(problem) = &first {
        return Ok(refusal::response(problem, Some(id)));
    }
    let items = stream::once(std::future::ready(first)).chain(rest_of(source));
    let body = items.map(move |item| Ok::<_, Problem>(render(item, id)));
    Ok(builder(StatusCode::OK, id, &shape.shared)
        .content_type("text/event-stream")
        .insert_header(("cache-control", "no-store"))
        .streaming(body))
}

/// The items of a source; one that ends without its last item is a failure.
fn rest_of(source: Source) -> impl Stream<Item = Item> {
    stream::unfold(Some(source), |source| async move {
        let mut source = source?;
        match source.recv().await {
            Some(item @ (Item::Complete | Item::Failed(_))) => Some((item, None)),
            Some(item) => Some((item, Some(source))),
            None => Some((Item::Failed(lost()), None)),
        }
    })
}

/// The run ended without saying how, as after a panic.
fn lost() -> Problem {
    Problem::new(
        Code::EndpointFailed,
        Verdict::MayHaveRun,
        "the entry lost track of the request",
    )
}

fn render(item: Item, id: name::Request) -> Bytes {
    match item {
        Item::Event { offset, data } => Bytes::from(format!("id: {offset}\ndata: {data}\n\n")),
        Item::Complete => Bytes::from(format!("data: {DONE}\n\n")),
        Item::Failed(problem) => {
            let body = serde_json::to_string(&Body::new(&problem, Some(id))).unwrap_or_default();
            Bytes::from(format!("event: error\ndata: {body}\n\n"))
        }
        Item::Body(bytes) => bytes,
        Item::Head { .. } => Bytes::new(),
    }
}

/// A whole answer, put together from the engine's stream.
///
/// # Errors
///
/// Never: errors are rendered with the request's name.
pub async fn whole(mut source: Source, shape: Shape) -> Result<HttpResponse, Problem> {
    let gathered = gather(&mut source, &shape).await;
    let id = source.request().unwrap_or(shape.id);
    Ok(match gathered {
        Ok(answer) => builder(StatusCode::OK, id, &shape.shared).json(answer),
        Err(problem) => refusal::response(&problem, Some(id)),
    })
}

/// The whole answer as one value.
///
/// # Errors
///
/// Why there is none.
pub async fn gather(source: &mut Source, shape: &Shape) -> Result<Value, Problem> {
    let mut whole = Whole::default();
    let limit = shape.shared.settings.limits.answer_bytes;
    loop {
        match source.recv().await.unwrap_or_else(|| Item::Failed(lost())) {
            Item::Event { data, .. } => whole.add(&data, limit)?,
            Item::Complete => return Ok(whole.render(shape)),
            Item::Failed(problem) => return Err(problem),
            Item::Head { .. } | Item::Body(_) => {}
        }
    }
}

#[derive(Debug, Default)]
struct Whole {
    id: String,
    created: u64,
    text: String,
    finish_reason: String,
    usage: Option<Value>,
}

impl Whole {
    fn add(&mut self, data: &str, limit: usize) -> Result<(), Problem> {
        let ran = |message: String| Problem::new(Code::BadAnswer, Verdict::Ran, message);
        let chunk = Chunk::parse(data).map_err(|problem| ran(problem.to_string()))?;
        if self.id.is_empty() {
            self.id = chunk.id.into_owned();
            self.created = chunk.created;
        }
        if let Some(choice) = chunk.choices.into_iter().next() {
            self.text.push_str(choice.content());
            if let Some(reason) = choice.finish_reason {
                self.finish_reason = reason.into_owned();
            }
        }
        self.usage = chunk.usage.or(self.usage.take());
        if self.text.len() > limit {
            return Err(ran(format!(
                "the answer is above {limit} bytes, ask for a stream"
            )));
        }
        Ok(())
    }

    fn render(self, shape: &Shape) -> Value {
        let (object, content) = match shape.form {
            Form::Chat => {
                let message = json!({"role": "assistant", "content": self.text});
                ("chat.completion", ("message", message))
            }
            Form::Completion => ("text_completion", ("text", Value::from(self.text))),
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": shape.model,
            "choices": [{"index": 0, content.0: content.1, "finish_reason": self.finish_reason}],
            "usage": self.usage,
        })
    }
}

/// An answer in the form that goes with its kind.
///
/// # Errors
///
/// Never: errors are rendered with the request's name.
pub async fn shown(
    source: Source,
    kind: Kind,
    id: name::Request,
    shared: Arc<Shared>,
) -> Result<HttpResponse, Problem> {
    let Kind::Model {
        form,
        model,
        stream,
    } = kind
    else {
        return relayed(source, id, &shared).await;
    };
    let shape = Shape {
        form,
        id,
        model,
        shared,
    };
    if stream {
        streamed(source, shape).await
    } else {
        whole(source, shape).await
    }
}

/// A plain service's answer, relayed as it comes.
///
/// # Errors
///
/// Never: errors are rendered with the request's name.
pub async fn relayed(
    mut source: Source,
    id: name::Request,
    shared: &Shared,
) -> Result<HttpResponse, Problem> {
    let first = source.recv().await;
    let id = source.request().unwrap_or(id);
    let (status, content_type) = match first {
        Some(Item::Head {
            status,
            content_type,
        }) => (status, content_type),
        Some(Item::Failed(problem)) => return Ok(refusal::response(&problem, Some(id))),
        _ => return Ok(refusal::response(&lost(), Some(id))),
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = builder(status, id, shared);
    if let Some(content_type) = content_type {
        builder.content_type(content_type);
    }
    // A failure in mid-body aborts the transfer, which the caller sees as cut. The
    // pause lets the server write out first what came before the failure.
    let body = rest_of(source).filter_map(|item| async move {
        match item {
            Item::Body(bytes) => Some(Ok(bytes)),
            Item::Failed(problem) => {
                tokio::task::yield_now().await;
                Some(Err(problem))
            }
            _ => None,
        }
    });
    Ok(builder.streaming(body))
}

fn builder(status: StatusCode, id: name::Request, shared: &Shared) -> HttpResponseBuilder {
    let mut builder = HttpResponse::build(status);
    builder.insert_header((REQUEST_HEADER, id.to_string()));
    builder.insert_header((ENTRY_HEADER, shared.settings.name.as_str()));
    builder
}
