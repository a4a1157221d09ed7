//! What a caller saw of one answer.

use std::fmt;

use awc::ClientResponse;
use awc::error::{PayloadError, SendRequestError};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use serde_json::Value;

/// An answer up to its end or its cut.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// The status; 0 if none came.
    pub status: u16,
    /// The body as far as it came.
    pub body: String,
    /// Whether the connection ended before the body did.
    pub cut: bool,
    verdict: String,
    retry_after: String,
}

impl Seen {
    /// Reads an answer to its end.
    pub async fn of<S>(answer: Result<ClientResponse<S>, SendRequestError>) -> Self
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        let Ok(mut response) = answer else {
            return Self {
                cut: true,
                ..Self::default()
            };
        };
        let header = |name: &str| {
            let value = response.headers().get(name);
            value.map_or_else(String::new, |value| value.to_str().unwrap().to_owned())
        };
        let mut seen = Self {
            status: response.status().as_u16(),
            verdict: header("x-woodgap-verdict"),
            retry_after: header("retry-after"),
            ..Self::default()
        };
        let mut body = Vec::new();
        while let Some(piece) = response.next().await {
            let Ok(bytes) = piece else {
                seen.cut = true;
                break;
            };
            body.extend_from_slice(&bytes);
        }
        seen.body = String::from_utf8(body).unwrap();
        seen
    }

    /// Reads the bytes of an answer, up to where its connection was closed.
    pub fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8(bytes.to_vec()).unwrap();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            return Self {
                cut: true,
                ..Self::default()
            };
        };
        let header = |name: &str| {
            let fields = head.lines().filter_map(|line| line.split_once(": "));
            let mut named = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
            named.next().map(|(_, value)| value.to_owned())
        };
        let whole = if header("transfer-encoding").is_some() {
            unchunked(body)
        } else {
            Some(body.to_owned())
        };
        Self {
            status: head.split(' ').nth(1).unwrap().parse().unwrap(),
            cut: whole.is_none(),
            body: whole.unwrap_or_else(|| body.to_owned()),
            verdict: header("x-woodgap-verdict").unwrap_or_default(),
            retry_after: header("retry-after").unwrap_or_default(),
        }
    }

    /// The text of an answer, streamed or whole.
    pub fn text(&self) -> String {
        let lines = self.body.lines();
        let data = lines.map(|line| line.strip_prefix("data: ").unwrap_or(line));
        let chunks = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
        let texts = chunks.map(|chunk| {
            let choice = &chunk["choices"][0];
            let of = |part: &str| choice[part]["content"].as_str().map(str::to_owned);
            let text = choice["text"].as_str().map(str::to_owned);
            of("delta").or(of("message")).or(text).unwrap_or_default()
        });
        texts.collect()
    }

    /// The offsets of a stream's events.
    pub fn ids(&self) -> Vec<u64> {
        let lines = self.body.lines();
        let ids = lines.filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().unwrap()).collect()
    }

    /// Whether the answer has its mark of completeness.
    pub fn whole(&self) -> bool {
        let marked = self.body.ends_with("data: [DONE]\n\n");
        let streamed = self.body.starts_with("id: ");
        self.status == 200 && !self.cut && (marked || !streamed)
    }

    /// The error, as body or as last event.
    fn error(&self) -> Option<Value> {
        let last = self.body.lines().rfind(|line| !line.is_empty())?;
        let last = last.strip_prefix("data: ").unwrap_or(last);
        let body: Value = serde_json::from_str(last).ok()?;
        body.get("error").cloned()
    }
}

/// A chunked body without its chunks' marks; none if the last one is missing.
fn unchunked(mut rest: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (length, after) = rest.split_once("\r\n")?;
        let length = usize::from_str_radix(length, 16).ok()?;
        if length == 0 {
            return Some(body);
        }
        body += after.get(..length)?;
        rest = after.get(length + 2..)?;
    }
}

/// One line: status, then what the end was. The header must say what the body says.
impl fmt::Display for Seen {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.status)?;
        if self.cut {
            return formatter.write_str(" cut");
        }
        let Some(error) = self.error() else {
            let end = if self.whole() { " whole" } else { " bare" };
            return formatter.write_str(end);
        };
        let text = |field: &str| error[field].as_str().unwrap_or("?").to_owned();
        write!(formatter, " {} {}", text("code"), text("verdict"))?;
        if self.status != 200 && self.verdict != text("verdict") {
            write!(formatter, " but header {}", self.verdict)?;
        }
        if !self.retry_after.is_empty() {
            write!(formatter, " retry after {}", self.retry_after)?;
        }
        Ok(())
    }
}
