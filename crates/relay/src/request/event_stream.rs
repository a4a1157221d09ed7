//! Whether a stream of server-sent events stands between two events or inside one.

/// The position in a stream of events, followed byte by byte. Lines end with LF, CR or CRLF; an
/// empty line ends an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    line: Line,
    /// Whether the last byte was a CR: an LF after it ends no further line.
    is_after_cr: bool,
    /// Whether a field of an event has begun.
    has_field: bool,
}

/// What the current line holds so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Nothing,
    Comment,
    Field,
}

impl Position {
    /// Follows the next bytes of the stream.
    ///
    /// ```
    /// use woodgap_relay::request::event_stream::Position;
    ///
    /// let mut position = Position::default();
    /// position.follow(b"data: a\r\n\r\n: a comment\n");
    /// assert!(position.is_between_events());
    /// position.follow(b"data: b\n");
    /// assert!(!position.is_between_events());
    /// position.follow(b"\n");
    /// assert!(position.is_between_events());
    /// position.follow(b"data: c\n\nda");
    /// assert!(!position.is_between_events());
    /// ```
    pub fn follow(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.follow_byte(*byte);
        }
    }

    fn follow_byte(&mut self, byte: u8) {
        let was_after_cr = std::mem::replace(&mut self.is_after_cr, byte == b'\r');
        match byte {
            b'\n' if was_after_cr => {}
            b'\n' | b'\r' => {
                self.has_field &= self.line != Line::Nothing;
                self.line = Line::Nothing;
            }
            b':' if self.line == Line::Nothing => self.line = Line::Comment,
            _ if self.line == Line::Nothing => {
                self.line = Line::Field;
                self.has_field = true;
            }
            _ => {}
        }
    }

    /// Returns whether no event and no line has begun that has not ended.
    pub fn is_between_events(&self) -> bool {
        !self.has_field && self.line == Line::Nothing
    }
}
