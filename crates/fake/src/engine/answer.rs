//! One answer: from the request to its events or its whole body.

use actix_web::http::header::HeaderMap;
use actix_web::web::{Bytes, Data, Json};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use futures_util::stream;
use woodgap_platform::endpoint::{PRIORITY_HEADER, REQUEST_HEADER, RESUME_HEADER};

use super::chunk::{Head, Kind};
use super::faults::Fault;
use super::prompt::{Question, tag};
use super::run::{Next, Run};
use super::{Detail, Engine};
use crate::endpoint::{Arrival, header, identity};
use crate::server::{Cut, cut};

/// The priority of a request that names none: the middle one.
const DEFAULT_PRIORITY: u8 = 5;

/// The lowest priority.
const LAST_PRIORITY: u8 = 9;

/// About how many bytes of a prompt make a token.
const BYTES_PER_TOKEN: u64 = 4;

/// The mark of completeness.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// What a run with the garbage fault sends.
const GARBAGE: &[u8] = b"\x00\xff<html>this is no event\n\n{\"choices\":";

/// `POST /v1/chat/completions`.
pub async fn chat(
    engine: Data<Engine>,
    request: HttpRequest,
    question: Json<Question>,
) -> HttpResponse {
    answer(engine, request.headers(), &question, Kind::Chat).await
}

/// `POST /v1/completions`.
pub async fn text(
    engine: Data<Engine>,
    request: HttpRequest,
    question: Json<Question>,
) -> HttpResponse {
    answer(engine, request.headers(), &question, Kind::Text).await
}

async fn answer(
    engine: Data<Engine>,
    headers: &HeaderMap,
    question: &Question,
    kind: Kind,
) -> HttpResponse {
    let now = engine.endpoint.unix();
    let held = engine.lock().orders.models(now).contains(&question.model);
    if !held {
        return HttpResponse::NotFound().body("this model is not held here");
    }
    let prompt = question.text();
    let tokens = question.tokens(&prompt);
    let resumed_from = header(headers, RESUME_HEADER).and_then(|offset| offset.parse().ok());
    // One event for each token, and the last one with the reason.
    let unknown = resumed_from.is_some_and(|offset: u64| offset > tokens + 1);
    if unknown || (resumed_from.is_some() && engine.options.no_resume) {
        return HttpResponse::Conflict().body("can't go on after this offset");
    }
    let fault = engine.lock().faults.draw();
    if fault == Some(Fault::Refuse) {
        return HttpResponse::ServiceUnavailable().body("refused before the start");
    }
    let id = identity(headers);
    let priority = header(headers, PRIORITY_HEADER).and_then(|priority| priority.parse().ok());
    let priority = priority.unwrap_or(DEFAULT_PRIORITY).min(LAST_PRIORITY);
    let ticket = engine.endpoint.enter(Arrival {
        request: id.clone(),
        detail: Detail {
            model: question.model.clone(),
            prompt_tag: tag(&prompt),
            priority,
            fault,
        },
        priority,
        resumed_from,
    });
    let cold = !engine.lock().prefixes.touch(&question.model, &prompt);
    let wrong = fault == Some(Fault::WrongId);
    let answer = Answer {
        head: Head {
            id: if wrong { another(&id) } else { id },
            kind,
            model: question.model.clone(),
            created: engine.endpoint.unix().0 / 1_000,
            prompt_tokens: prompt.len() as u64 / BYTES_PER_TOKEN,
        },
        tag: if wrong { another("") } else { tag(&prompt) },
        run: Run {
            engine,
            ticket,
            tokens,
            offset: resumed_from.unwrap_or(0),
            sent: 0,
            fault,
            cold,
            due: None,
        },
    };
    match fault {
        Some(Fault::Hang) => answer.run.hang().await,
        // Not even the head of the answer goes out.
        Some(Fault::Crash(0)) => answer.whole().await,
        _ if question.stream => answer.stream(),
        _ => answer.whole().await,
    }
}

fn another(id: &str) -> String {
    format!("another-{id}")
}

struct Answer {
    head: Head,
    tag: String,
    run: Run,
}

impl Answer {
    fn stream(self) -> HttpResponse {
        let mut response = self.response();
        let events = stream::unfold(self, |mut answer| async move {
            let event = answer.event().await?;
            Some((event, answer))
        });
        response
            .insert_header(("content-type", "text/event-stream"))
            .streaming(events)
    }

    async fn event(&mut self) -> Option<Result<Bytes, Cut>> {
        let next = self.run.next().await;
        let event = match next {
            Next::Token(number) => self.token_event(number),
            Next::Last => {
                let last = self.head.last(self.run.tokens);
                last.event(self.offset(self.run.tokens + 1))
            }
            Next::Done => Bytes::from_static(DONE),
            Next::Garbage => Bytes::from_static(GARBAGE),
            Next::Over => return None,
            Next::Cut => return Some(Err(Cut)),
        };
        Some(Ok(event))
    }

    fn token_event(&self, number: u64) -> Bytes {
        let text = self.token(number);
        let chunk = self.head.token(&text, number == 1);
        let event = chunk.event(self.offset(number));
        let twice = self.run.fault == Some(Fault::DuplicateEvent) && number == self.run.half();
        if twice {
            return Bytes::from([event.as_ref(), event.as_ref()].concat());
        }
        event
    }

    fn offset(&self, number: u64) -> u64 {
        let skips = self.run.fault == Some(Fault::BadOffset) && number > self.run.half();
        number + u64::from(skips)
    }

    fn token(&self, number: u64) -> String {
        format!("{}:{number} ", self.tag)
    }

    async fn whole(mut self) -> HttpResponse {
        let mut response = self.response();
        let mut text = String::new();
        let mut finished = false;
        loop {
            match self.run.next().await {
                Next::Token(number) => text.push_str(&self.token(number)),
                Next::Last => finished = true,
                Next::Garbage => return response.body(GARBAGE),
                // A shortened run has a part of its answer, a cancelled one none.
                Next::Over if self.run.fault == Some(Fault::Truncate) => break,
                Next::Over | Next::Cut => return cut(),
                Next::Done => break,
            }
        }
        response.json(self.head.whole(&text, self.run.tokens, finished))
    }

    fn response(&self) -> HttpResponseBuilder {
        let mut response = HttpResponse::Ok();
        if !self.head.id.is_empty() {
            response.insert_header((REQUEST_HEADER, self.head.id.as_str()));
        }
        response
    }
}
