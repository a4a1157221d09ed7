//! The operators' command: checks of files, the configuration, the fleet's state.

pub mod apply;
pub mod check;
pub mod client;
pub mod difference;
pub mod document;
pub mod error;
pub mod exit;
pub mod fleet;
pub mod key;
pub mod options;
pub mod order;
mod refusal;
pub mod table;
pub mod terminal;

use bpaf::{Args, ParseFailure};

use client::Client;
pub use error::Error;
pub use exit::Code;
use options::{Command, Connection};
pub use terminal::Terminal;

/// Parses the arguments and carries out the command; `key` is the operator's
/// key from the environment.
///
/// ```
/// # actix_rt::System::new().block_on(async {
/// use woodgap_ctl::{Code, Terminal};
///
/// let (mut out, mut err) = (Vec::new(), Vec::new());
/// let mut terminal = Terminal { out: &mut out, err: &mut err };
/// let arguments = bpaf::Args::from(&["check", "no-such-file.jsonc"]);
/// let code = woodgap_ctl::run(arguments, None, &mut terminal).await;
/// assert_eq!(code, Code::Failed);
/// # });
/// ```
pub async fn run(arguments: Args<'_>, key: Option<String>, terminal: &mut Terminal<'_>) -> Code {
    match options::parser().run_inner(arguments) {
        Ok(command) => finish(carry_out(command, key, terminal).await, terminal),
        Err(ParseFailure::Stderr(problem)) => {
            terminal.tell(&format!("woodgap-ctl: {}", problem.monochrome(true)));
            Code::Usage
        }
        Err(ParseFailure::Stdout(text, full)) => {
            terminal.print(text.monochrome(full).trim_end());
            Code::Ok
        }
        Err(ParseFailure::Completion(text)) => {
            terminal.print(text.trim_end());
            Code::Ok
        }
    }
}

fn finish(result: Result<(), Error>, terminal: &mut Terminal<'_>) -> Code {
    match result {
        Ok(()) => Code::Ok,
        Err(error) => {
            terminal.tell(&format!("woodgap-ctl: {error}"));
            error.code()
        }
    }
}

async fn carry_out(
    command: Command,
    key: Option<String>,
    terminal: &mut Terminal<'_>,
) -> Result<(), Error> {
    let connect = |connection: Connection| Client::new(connection, key);
    match command {
        Command::Check { files } => check::run(&files, terminal),
        Command::Apply { connection, apply } => {
            apply::run(&connect(connection)?, &apply, terminal).await
        }
        Command::Get { connection, key } => {
            document::get(&connect(connection)?, &key, terminal).await
        }
        Command::Diff { connection, file } => {
            document::diff(&connect(connection)?, &file, terminal).await
        }
        Command::History {
            connection,
            json,
            key,
        } => {
            let key = key.as_ref();
            document::history(&connect(connection)?, key, json, terminal).await
        }
        Command::Status { connection, json } => {
            fleet::status(&connect(connection)?, json, terminal).await
        }
        Command::Drain {
            connection,
            instance,
        } => fleet::drain(&connect(connection)?, instance, terminal).await,
        Command::Order {
            connection,
            command,
        } => order::run(&connect(connection)?, &command, terminal).await,
        Command::Request {
            connection,
            json,
            id,
        } => fleet::request(&connect(connection)?, id, json, terminal).await,
    }
}
