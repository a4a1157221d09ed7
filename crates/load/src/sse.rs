//! Reads server-sent events from pieces of a body, wherever they are cut.

/// One event, with the fields that woodgap's streams use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The `id` field, if it is a number.
    pub id: Option<u64>,
    /// The `event` field; empty for plain data.
    pub name: String,
    /// The `data` lines, joined by newlines.
    pub data: String,
}

/// Collects bytes until events are whole.
///
/// ```
/// use woodgap_load::sse::Reader;
///
/// let mut reader = Reader::default();
/// assert!(reader.push(b"id: 1\nda").is_empty());
/// let events = reader.push(b"ta: hello\n\n");
/// assert_eq!((events[0].id, events[0].data.as_str()), (Some(1), "hello"));
/// ```
#[derive(Debug, Default)]
pub struct Reader {
    line: Vec<u8>,
    event: Event,
    has_data: bool,
}

impl Reader {
    /// Takes the next piece and returns the events that it completes.
    pub fn push(&mut self, piece: &[u8]) -> Vec<Event> {
        let mut events = Vec::new();
        let mut rest = piece;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.line.extend_from_slice(&rest[..end]);
            rest = &rest[end + 1..];
            events.extend(self.end_line());
        }
        self.line.extend_from_slice(rest);
        events
    }

    fn end_line(&mut self) -> Option<Event> {
        let line = std::mem::take(&mut self.line);
        let line = String::from_utf8_lossy(&line);
        let line = line.trim_end_matches('\r');
        if line.is_empty() {
            return self.end_event();
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        self.field(field, value.strip_prefix(' ').unwrap_or(value));
        None
    }

    fn field(&mut self, field: &str, value: &str) {
        match field {
            "id" => self.event.id = value.parse().ok(),
            "event" => value.clone_into(&mut self.event.name),
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.has_data = true;
            }
            // Comments (an empty field name) keep connections open; others are unknown.
            _ => {}
        }
    }

    fn end_event(&mut self) -> Option<Event> {
        let event = std::mem::take(&mut self.event);
        std::mem::take(&mut self.has_data).then_some(event)
    }
}

#[cfg(test)]
mod tests;
