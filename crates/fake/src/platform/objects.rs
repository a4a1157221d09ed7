//! The object store: whole objects, with conditional writes.

use std::collections::HashMap;

use actix_web::http::header::{ETAG, HeaderMap, HeaderName, IF_MATCH, IF_NONE_MATCH};
use actix_web::web::{Bytes, Data, Path};
use actix_web::{HttpRequest, HttpResponse};

use super::{Platform, detached};

/// All objects.
#[derive(Debug, Default)]
pub struct Objects {
    writes: u64,
    objects: HashMap<String, (u64, Bytes)>,
}

/// The condition of a write, as the headers give it.
#[derive(Clone, Debug)]
enum Condition {
    Always,
    Absent,
    Tag(String),
}

impl Objects {
    fn put(&mut self, key: String, body: Bytes, condition: &Condition) -> Option<u64> {
        if !self.holds(&key, condition) {
            return None;
        }
        self.writes += 1;
        self.objects.insert(key, (self.writes, body));
        Some(self.writes)
    }

    fn holds(&self, key: &str, condition: &Condition) -> bool {
        let found = self.objects.get(key);
        match condition {
            Condition::Always => true,
            Condition::Absent => found.is_none(),
            Condition::Tag(tag) => found.is_some_and(|(number, _)| quoted(*number) == *tag),
        }
    }
}

fn quoted(tag: u64) -> String {
    format!("\"{tag}\"")
}

fn condition(headers: &HeaderMap) -> Condition {
    let text = |name: HeaderName| {
        let value = headers.get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    if text(IF_NONE_MATCH).as_deref() == Some("*") {
        return Condition::Absent;
    }
    text(IF_MATCH).map_or(Condition::Always, Condition::Tag)
}

fn allowed(key: &str) -> bool {
    let letter = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    key.split('/')
        .all(|segment| !segment.is_empty() && segment.bytes().all(letter))
}

/// `PUT /objects/{key}`.
pub async fn put(
    platform: Data<Platform>,
    request: HttpRequest,
    key: Path<String>,
    body: Bytes,
) -> HttpResponse {
    if !allowed(&key) {
        return HttpResponse::BadRequest().body("not an object key");
    }
    let condition = condition(request.headers());
    let write = async move {
        let mut state = platform.lock_for_write().await;
        state.counts.object_writes += 1;
        match state.objects.put(key.into_inner(), body, &condition) {
            Some(tag) => HttpResponse::Ok()
                .insert_header((ETAG, quoted(tag)))
                .finish(),
            None => HttpResponse::PreconditionFailed().finish(),
        }
    };
    detached(write).await
}

/// `GET /objects/{key}`.
pub async fn get(platform: Data<Platform>, key: Path<String>) -> HttpResponse {
    let mut state = platform.lock();
    state.counts.object_reads += 1;
    match state.objects.objects.get(key.as_str()) {
        Some((tag, body)) => HttpResponse::Ok()
            .insert_header((ETAG, quoted(*tag)))
            .body(body.clone()),
        None => HttpResponse::NotFound().finish(),
    }
}

/// `DELETE /objects/{key}`.
pub async fn delete(
    platform: Data<Platform>,
    request: HttpRequest,
    key: Path<String>,
) -> HttpResponse {
    let condition = condition(request.headers());
    let write = async move {
        let mut state = platform.lock_for_write().await;
        state.counts.object_writes += 1;
        if !state.objects.holds(&key, &condition) {
            return HttpResponse::PreconditionFailed().finish();
        }
        match state.objects.objects.remove(key.as_str()) {
            Some(_) => HttpResponse::NoContent().finish(),
            None => HttpResponse::NotFound().finish(),
        }
    };
    detached(write).await
}
