//! The command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::orders::Scope;

use crate::exit;

mod orders;
pub mod target;

pub use target::{Base, DocumentKey};

/// The time after which nothing is tried again, unless `--timeout-ms` gives one.
const TIMEOUT: Millis = Millis(30_000);

/// What the operator asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Check files without starting or calling anything.
    Check {
        /// At least one.
        files: Vec<PathBuf>,
    },
    /// Submit documents.
    Apply {
        /// The entries to call.
        connection: Connection,
        /// What to submit, and how.
        apply: Apply,
    },
    /// Print a document that is in force.
    Get {
        /// The entries to call.
        connection: Connection,
        /// The document.
        key: DocumentKey,
    },
    /// Compare a file with the document that is in force.
    Diff {
        /// The entries to call.
        connection: Connection,
        /// The file.
        file: PathBuf,
    },
    /// List accepted changes.
    History {
        /// The entries to call.
        connection: Connection,
        /// For machines.
        json: bool,
        /// Only those of this document.
        key: Option<DocumentKey>,
    },
    /// Show what is in force where, and the endpoints.
    Status {
        /// The entries to call.
        connection: Connection,
        /// For machines.
        json: bool,
    },
    /// Give an instance no new work.
    Drain {
        /// The entries to call.
        connection: Connection,
        /// The instance's name.
        instance: String,
    },
    /// Submit, withdraw and show orders to endpoints.
    Order {
        /// The entries to call.
        connection: Connection,
        /// Which of these.
        command: OrderCommand,
    },
    /// Show what became of a request.
    Request {
        /// The entries to call.
        connection: Connection,
        /// For machines.
        json: bool,
        /// The request.
        id: name::Request,
    },
}

/// Which entries to call, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connection {
    /// Base URLs, tried in turn; at least one.
    pub entries: Vec<Base>,
    /// The file that holds the operator's key.
    pub key_file: Option<PathBuf>,
    /// The time after which nothing is tried again.
    pub timeout: Millis,
}

/// What to submit, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Apply {
    /// Whether to wait until every live entry has the changes in force.
    pub wait: bool,
    /// The change's identity; drawn at random if none is given.
    pub identity: Option<String>,
    /// The version that the document must have now.
    pub expect_version: Option<u64>,
    /// At least one.
    pub files: Vec<PathBuf>,
}

/// What is to be done with orders to endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderCommand {
    /// Submit one.
    Apply {
        /// How.
        change: Change,
        /// The file.
        file: PathBuf,
    },
    /// Withdraw one: the endpoints stay as they are.
    Withdraw {
        /// How.
        change: Change,
        /// The order.
        scope: Scope,
    },
    /// Show them, and how far the endpoints have come.
    Show {
        /// For machines.
        json: bool,
    },
}

/// How one change is submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The change's identity; drawn at random if none is given.
    pub identity: Option<String>,
    /// The version that must be there now.
    pub expect_version: Option<u64>,
}

/// The parser of the command line.
///
/// ```
/// let parser = woodgap_ctl::options::parser();
/// let command = parser.run_inner(&["check", "entry.jsonc"]).unwrap();
/// let files = vec!["entry.jsonc".into()];
/// assert_eq!(command, woodgap_ctl::options::Command::Check { files });
/// ```
pub fn parser() -> OptionParser<Command> {
    let check = check();
    let apply = apply();
    let get = get();
    let diff = diff();
    let history = history();
    let status = status();
    let drain = drain();
    let order = orders::parser();
    let request = request();
    construct!([
        check, apply, get, diff, history, status, drain, order, request
    ])
    .to_options()
    .descr("The operators' command: checks files, changes the configuration, shows the fleet.")
    .footer(exit::HELP)
    .version(env!("CARGO_PKG_VERSION"))
}

fn command(
    parser: impl Parser<Command> + 'static,
    name: &'static str,
    description: &'static str,
) -> impl Parser<Command> {
    let options = parser.to_options().descr(description).footer(exit::HELP);
    options.command(name).help(description)
}

fn check() -> impl Parser<Command> {
    let files =
        files("Settings files or configuration documents; several are also checked together");
    command(
        construct!(Command::Check { files }),
        "check",
        "Check files without starting or calling anything",
    )
}

fn apply() -> impl Parser<Command> {
    let wait = long("wait")
        .help("Wait until every live entry has the changes in force")
        .switch();
    let identity = identity();
    let expect_version = expect_version();
    let files = files("Configuration documents, applied in this order");
    let apply = construct!(Apply {
        wait,
        identity,
        expect_version,
        files,
    });
    let connection = connection();
    command(
        construct!(Command::Apply { connection, apply }),
        "apply",
        "Submit templates and workspaces",
    )
}

fn identity() -> impl Parser<Option<String>> {
    long("identity")
        .help("Identity of the change: the same one is never applied twice; random if left out")
        .argument::<String>("TEXT")
        .parse(target::identity)
        .optional()
}

fn expect_version() -> impl Parser<Option<u64>> {
    long("expect-version")
        .help("Change it only if it has this version now, 0 for a new one")
        .argument::<u64>("N")
        .optional()
}

fn get() -> impl Parser<Command> {
    let connection = connection();
    let key = document_key();
    command(
        construct!(Command::Get { connection, key }),
        "get",
        "Print a document that is in force",
    )
}

fn diff() -> impl Parser<Command> {
    let connection = connection();
    let file = positional::<PathBuf>("FILE").help("A configuration document");
    command(
        construct!(Command::Diff { connection, file }),
        "diff",
        "Compare a file with the document that is in force",
    )
}

fn history() -> impl Parser<Command> {
    let connection = connection();
    let json = json();
    let key = document_key().optional();
    command(
        construct!(Command::History {
            connection,
            json,
            key,
        }),
        "history",
        "List the accepted changes, newest first",
    )
}

fn status() -> impl Parser<Command> {
    let connection = connection();
    let json = json();
    command(
        construct!(Command::Status { connection, json }),
        "status",
        "Show the entries with the revision in force at each, and the endpoints",
    )
}

fn drain() -> impl Parser<Command> {
    let connection = connection();
    let instance = positional::<String>("NAME").help("Name of an endpoint or entry");
    command(
        construct!(Command::Drain {
            connection,
            instance,
        }),
        "drain",
        "Give an instance no new work; what runs there ends",
    )
}

fn request() -> impl Parser<Command> {
    let connection = connection();
    let json = json();
    let id = positional::<String>("ID")
        .help("The request's id, from the header X-Woodgap-Request or the logs")
        .parse(|text| target::request(&text));
    command(
        construct!(Command::Request {
            connection,
            json,
            id,
        }),
        "request",
        "Show what became of a request",
    )
}

fn connection() -> impl Parser<Connection> {
    let entries = long("entry")
        .help("Base URL of an entry, such as http://10.1.1.11:8080; repeat it for others to try")
        .argument::<Base>("URL")
        .some("--entry: give the base URL of at least one entry, such as http://10.1.1.11:8080");
    let key_file = long("key-file")
        .help("File that holds the operator's key; without it, WOODGAP_OPERATOR_KEY is used")
        .argument::<PathBuf>("FILE")
        .optional();
    let timeout = long("timeout-ms")
        .help("After this time nothing is tried again, 30000 if left out")
        .argument::<u64>("N")
        .map(Millis)
        .fallback(TIMEOUT);
    construct!(Connection {
        entries,
        key_file,
        timeout,
    })
}

fn json() -> impl Parser<bool> {
    long("json").help("Print JSON, for machines").switch()
}

fn files(help: &'static str) -> impl Parser<Vec<PathBuf>> {
    positional::<PathBuf>("FILE")
        .help(help)
        .some("FILE: give at least one file")
}

fn document_key() -> impl Parser<DocumentKey> {
    positional::<DocumentKey>("KEY").help("The document, as template/NAME or workspace/NAME")
}
