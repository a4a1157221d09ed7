//! The options of the command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};

use crate::case::Kind;
use crate::command::overhead;

/// What the program is asked to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send load.
    Run(Run),
    /// Cross-check events with records.
    Check(Check),
    /// Change the configuration and watch it take hold.
    Changes(Changes),
    /// Put the reports of several runs side by side.
    Case(Case),
    /// Measure what permits cost.
    Permits(Permits),
    /// Read what the control side of entries costs.
    Control(Control),
    /// Measure what an entry adds to streams.
    Overhead(overhead::Options),
}

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Base URLs of entries.
    pub entry: Vec<String>,
    /// Description of the traffic.
    pub traffic: PathBuf,
    /// Fixes arrivals, lengths and retries.
    pub seed: u64,
    /// Span of the arrivals.
    pub duration_ms: Option<u64>,
    /// Number of requests.
    pub count: Option<usize>,
    /// Threads that send.
    pub threads: usize,
    /// Callers, each with its own view of the entries.
    pub callers: usize,
    /// Retries after the first attempt.
    pub retries: u32,
    /// Silence after which a connection counts as broken.
    pub patience_ms: u64,
    /// Whether only the given entries are used.
    pub no_discovery: bool,
    /// The run's name.
    pub name: Option<String>,
    /// Where the events are written.
    pub events: Option<PathBuf>,
    /// Base URLs of stand-ins for endpoints.
    pub record: Vec<String>,
    /// The form of the report.
    pub format: Format,
    /// The name in the JSON line that is printed last.
    pub case: Option<String>,
    /// File of what was done to the fleet meanwhile.
    pub acts: Option<PathBuf>,
    /// Whether the run fails unless all requests are complete.
    pub expect_complete: bool,
    /// Whether bursts are left out.
    pub no_bursts: bool,
    /// Part of a pool's service that each class is owed.
    pub share: f64,
}

/// Options of a cross-check.
#[derive(Clone, Debug)]
pub struct Check {
    /// Files that runs wrote.
    pub events: Vec<PathBuf>,
    /// Base URLs of stand-ins for endpoints.
    pub record: Vec<String>,
    /// Part of a pool's service that each class is owed.
    pub share: f64,
}

/// Options of a run of configuration changes.
#[derive(Clone, Debug)]
pub struct Changes {
    /// Base URLs of entries.
    pub entry: Vec<String>,
    /// File with an operator's key.
    pub operator_key_file: PathBuf,
    /// A key of the workspace.
    pub workspace_key: String,
    /// The workspace's document.
    pub workspace: PathBuf,
    /// How many changes are made.
    pub count: usize,
}

/// Options of a reading of the control side's cost.
#[derive(Clone, Debug)]
pub struct Control {
    /// Base URLs of entries.
    pub entry: Vec<String>,
    /// File with an operator's key.
    pub operator_key_file: PathBuf,
    /// Time between the two readings.
    pub span_ms: u64,
    /// Requests a second that are sent meanwhile.
    pub rate: f64,
    /// Probes a second that the most loaded home sends.
    pub probes: f64,
    /// Workspaces in force.
    pub workspaces: u64,
}

/// Options of a comparison of runs.
#[derive(Clone, Debug)]
pub struct Case {
    /// What is compared.
    pub kind: Kind,
    /// The JSON report of the run under the policy in question.
    pub ours: Option<PathBuf>,
    /// The JSON report of the run under the baseline policy.
    pub baseline: PathBuf,
    /// The same without bursts.
    pub ours_calm: Option<PathBuf>,
    /// The same without bursts.
    pub baseline_calm: Option<PathBuf>,
}

/// Options of a measurement of permits.
#[derive(Clone, Debug)]
pub struct Permits {
    /// Base URLs of entries.
    pub entry: Vec<String>,
    /// File with an operator's key.
    pub operator_key_file: PathBuf,
    /// Traffic that finds free slots.
    pub lent: PathBuf,
    /// Traffic above the capacity.
    pub contended: PathBuf,
    /// The entries' logs, at level info.
    pub log: Vec<PathBuf>,
    /// Fixes arrivals, lengths and retries.
    pub seed: u64,
    /// Span of each of the three parts.
    pub duration_ms: u64,
}

/// The form of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Table,
    /// For machines.
    Json,
}

/// The parser of the command line.
///
/// ```
/// use woodgap_load::options::parser;
///
/// let options = parser().run_inner(&["--entry", "http://127.0.0.1:80", "--traffic", "x.jsonc"]);
/// assert!(options.is_ok());
/// assert!(parser().run_inner(&["check"]).is_err());
/// ```
pub fn parser() -> OptionParser<Command> {
    let check = check_options()
        .to_options()
        .descr("Compares events of runs with what the stand-ins for endpoints ran")
        .command("check")
        .map(Command::Check);
    let changes = changes_options()
        .to_options()
        .descr("Changes a workspace's tier again and again, and watches each entry follow")
        .command("changes")
        .map(Command::Changes);
    let case = case_options()
        .to_options()
        .descr("Puts the JSON reports of several runs side by side, as one JSON line")
        .command("case")
        .map(Command::Case);
    let permits = permits_options()
        .to_options()
        .descr("Measures what permits cost: bytes between entries, and the wait for them")
        .command("permits")
        .map(Command::Permits);
    let control = control_options()
        .to_options()
        .descr("Reads twice what the control side of entries costs; prints the most loaded one")
        .command("control")
        .map(Command::Control);
    let overhead = overhead::options()
        .to_options()
        .descr("Measures what an entry adds to streams, beside direct ones in the same run")
        .command("overhead")
        .map(Command::Overhead);
    let run = run_options().map(Command::Run);
    construct!([check, changes, case, permits, control, overhead, run])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Sends bounded load to entries on loopback and checks each answer")
        .footer(
            "Exit codes: 0 all sent (with --expect-complete: and all complete), \
             1 otherwise, 2 wrong arguments.",
        )
}

fn run_options() -> impl Parser<Run> {
    let entry = entries();
    let traffic = long("traffic")
        .help("Description of the traffic, JSON with comments")
        .argument::<PathBuf>("FILE");
    let seed = seed();
    let duration_ms = long("duration-ms")
        .help("Span of the arrivals; 10 s if neither this nor a count is given")
        .argument::<u64>("N")
        .optional();
    let count = long("count")
        .help("Number of requests")
        .argument::<usize>("N")
        .optional();
    let threads = long("threads")
        .help("Threads that send")
        .argument::<usize>("N")
        .fallback(2);
    let callers = long("callers")
        .help("Callers, each with its own view of the entries")
        .argument::<usize>("N")
        .fallback(24);
    let retries = long("retries")
        .help("Retries after the first attempt")
        .argument::<u32>("N")
        .fallback(8);
    let patience_ms = long("patience-ms")
        .help("Silence after which a connection counts as broken")
        .argument::<u64>("N")
        .fallback(60_000);
    let no_discovery = long("no-discovery")
        .help("Use the given entries in turn, and never ask for others")
        .switch();
    let name = long("name")
        .help("Name of the run, which all tags begin with; by default the time of day")
        .argument::<String>("TEXT")
        .optional();
    let events = long("events")
        .help("Writes one JSON line per request")
        .argument::<PathBuf>("FILE")
        .optional();
    let record = records();
    let format = long("format")
        .help("table or json")
        .argument::<String>("FORMAT")
        .parse(|text| match text.as_str() {
            "table" => Ok(Format::Table),
            "json" => Ok(Format::Json),
            _ => Err("expected table or json"),
        })
        .fallback(Format::Table);
    let case = long("case")
        .help("Prints the totals last, as one JSON line with this name")
        .argument::<String>("NAME")
        .optional();
    let acts = long("acts")
        .help("JSON lines of what was done to the fleet meanwhile; read at the end")
        .argument::<PathBuf>("FILE")
        .optional();
    let expect_complete = long("expect-complete")
        .help("Fails unless each request got its own whole answer once")
        .switch();
    let no_bursts = long("no-bursts")
        .help("Leaves out the bursts of the traffic")
        .switch();
    let share = share();
    construct!(Run {
        entry,
        traffic,
        seed,
        duration_ms,
        count,
        threads,
        callers,
        retries,
        patience_ms,
        no_discovery,
        name,
        events,
        record,
        format,
        case,
        acts,
        expect_complete,
        no_bursts,
        share,
    })
}

fn seed() -> impl Parser<u64> {
    long("seed")
        .help("Fixes arrivals, lengths and retries")
        .argument::<u64>("N")
        .fallback(1)
}

fn entries() -> impl Parser<Vec<String>> {
    long("entry")
        .help("Base URL of an entry on loopback")
        .argument::<String>("URL")
        .some("name at least one entry by --entry URL")
}

fn operator_key_file() -> impl Parser<PathBuf> {
    long("operator-key-file")
        .help("File with an operator's key")
        .argument::<PathBuf>("FILE")
}

fn changes_options() -> impl Parser<Changes> {
    let entry = entries();
    let operator_key_file = operator_key_file();
    let workspace_key = long("workspace-key")
        .help("A key of the workspace, to ask the entries with")
        .argument::<String>("KEY");
    let workspace = long("workspace")
        .help("The workspace's document, with a value `tier`")
        .argument::<PathBuf>("FILE");
    let count = long("changes")
        .help("How many changes are made; every fifth is a race of two")
        .argument::<usize>("N")
        .fallback(60);
    construct!(Changes {
        entry,
        operator_key_file,
        workspace_key,
        workspace,
        count
    })
}

fn permits_options() -> impl Parser<Permits> {
    let entry = entries();
    let operator_key_file = operator_key_file();
    let lent = report("lent", "Traffic that finds free slots");
    let contended = report("contended", "Traffic above the capacity");
    let log = long("log")
        .help("Log of an entry at level info")
        .argument::<PathBuf>("FILE")
        .some("name the entries' logs by --log FILE");
    let seed = seed();
    let duration_ms = long("duration-ms")
        .help("Span of each part: idle, lent, contended")
        .argument::<u64>("N")
        .fallback(20_000);
    construct!(Permits {
        entry,
        operator_key_file,
        lent,
        contended,
        log,
        seed,
        duration_ms
    })
}

fn control_options() -> impl Parser<Control> {
    let entry = entries();
    let operator_key_file = operator_key_file();
    let span_ms = long("span-ms")
        .help("Time between the two readings")
        .argument::<u64>("N")
        .fallback(30_000);
    let rate = long("rate")
        .help("Requests a second that are sent to all entries meanwhile")
        .argument::<f64>("N")
        .fallback(0.0);
    let probes = long("probes")
        .help("Probes a second that the most loaded home sends: two for each endpoint of its pools")
        .argument::<f64>("N")
        .fallback(0.0);
    let workspaces = long("workspaces")
        .help("Workspaces in force")
        .argument::<u64>("N")
        .fallback(1);
    construct!(Control {
        entry,
        operator_key_file,
        span_ms,
        rate,
        probes,
        workspaces
    })
}

fn check_options() -> impl Parser<Check> {
    let events = long("events")
        .help("Events that a run wrote")
        .argument::<PathBuf>("FILE")
        .some("name at least one file by --events FILE");
    let record = records();
    let share = share();
    construct!(Check {
        events,
        record,
        share
    })
}

fn case_options() -> impl Parser<Case> {
    let ours = report(
        "ours",
        "JSON report of the run under the policy in question",
    )
    .optional();
    let baseline = report(
        "baseline",
        "JSON report of the run under the baseline policy",
    );
    let ours_calm = report("ours-calm", "The same as --ours, without bursts").optional();
    let baseline_calm =
        report("baseline-calm", "The same as --baseline, without bursts").optional();
    let kind = positional::<String>("CASE")
        .help("tiers, burst or unequal")
        .parse(|text| Kind::named(&text).ok_or("expected tiers, burst or unequal"));
    construct!(Case {
        ours,
        baseline,
        ours_calm,
        baseline_calm,
        kind
    })
}

fn report(name: &'static str, help: &'static str) -> impl Parser<PathBuf> {
    long(name).help(help).argument::<PathBuf>("FILE")
}

fn share() -> impl Parser<f64> {
    long("share")
        .help("Part of a pool's service that each class is owed, as in the entries' settings")
        .argument::<f64>("PART")
        .fallback(0.02)
}

fn records() -> impl Parser<Vec<String>> {
    long("record")
        .help("Base URL of a stand-in for an endpoint, whose record is compared")
        .argument::<String>("URL")
        .many()
}
