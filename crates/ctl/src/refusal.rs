//! What an entry will not accept, whether a document or an order.

use woodgap_core::admin::Refused;

use crate::client::Answer;
use crate::error::Error;
use crate::terminal::Terminal;

/// Prints the problems of what was refused, one a line, and gives the command's error.
pub(crate) fn refused(answer: &Answer, key: String, terminal: &mut Terminal<'_>) -> Error {
    let refused: Refused = match answer.decode() {
        Ok(refused) => refused,
        Err(_) => return answer.failure(),
    };
    for problem in refused.problems {
        terminal.print(&problem);
    }
    Error::Refused { key }
}
