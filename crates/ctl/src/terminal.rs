//! Where a command writes.

use std::io::Write;

/// Results go to one stream, what is said about them to the other.
pub struct Terminal<'a> {
    /// Results.
    pub out: &'a mut dyn Write,
    /// Progress and errors.
    pub err: &'a mut dyn Write,
}

impl Terminal<'_> {
    /// Writes a line of the result.
    pub fn print(&mut self, line: &str) {
        // A reader that went away, such as `head`, is no fault of the command.
        let _ = writeln!(self.out, "{line}");
    }

    /// Writes a line about the result.
    pub fn tell(&mut self, line: &str) {
        let _ = writeln!(self.err, "{line}");
    }
}
