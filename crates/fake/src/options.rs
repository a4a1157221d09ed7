//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};

use crate::{engine, platform, service};

/// The whole command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where to listen; port 0 picks a free one.
    pub listen: SocketAddr,
    /// What to stand in for.
    pub role: Role,
}

/// What to stand in for.
#[derive(Clone, Debug)]
pub enum Role {
    /// Table service, object store and instance list.
    Platform(platform::Options),
    /// A model engine.
    Engine(engine::Options),
    /// A plain service.
    Service(service::Options),
}

/// The parser of the command line.
///
/// ```
/// let options = woodgap_fake::options::parser()
///     .run_inner(&["service", "--name", "links", "--listen", "127.0.0.1:0"])
///     .unwrap();
/// assert_eq!(options.listen.port(), 0);
/// ```
pub fn parser() -> OptionParser<Options> {
    let platform = subcommand(
        platform_role(),
        "platform",
        "Table service, objects, instances",
    );
    let engine = subcommand(engine_role(), "engine", "A model engine");
    let service = subcommand(service_role(), "service", "A plain service");
    construct!([platform, engine, service])
        .to_options()
        .descr("Small stand-ins for tests and the demo")
}

fn subcommand(
    role: impl Parser<Role> + 'static,
    name: &'static str,
    description: &'static str,
) -> impl Parser<Options> {
    let listen = long("listen")
        .help("Where to listen; port 0 picks a free one")
        .argument::<SocketAddr>("IP:PORT")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)));
    construct!(Options { listen, role })
        .to_options()
        .descr(description)
        .command(name)
}

fn platform_role() -> impl Parser<Role> {
    let rate_writes = number(
        "rate-writes",
        "Most transactions and object writes a second",
    )
    .optional();
    let rate_reads = number("rate-reads", "Most reads, scans and object reads a second").optional();
    construct!(platform::Options {
        rate_writes,
        rate_reads
    })
    .map(Role::Platform)
}

fn engine_role() -> impl Parser<Role> {
    let models = long("models")
        .help("Names of the models held at the start, separated by commas")
        .argument::<String>("A,B")
        .map(|list| list.split(',').map(str::to_owned).collect());
    let slots = number("slots", "Requests that run side by side").fallback(8);
    let tokens_per_second = long("tokens-per-second")
        .help("Tokens a second of each stream")
        .argument::<f64>("F")
        .guard(|rate| *rate > 0.0, "must be above 0")
        .fallback(50.0);
    let first_token_ms = number("first-token-ms", "Time to the first token").fallback(20);
    let prefill_ms = number(
        "prefill-ms",
        "Added to the first token where the prefix is not cached",
    )
    .fallback(0);
    let prefix_cache_entries = number(
        "prefix-cache-entries",
        "Prompt prefixes that the cache holds",
    )
    .fallback(0);
    let jitter_percent = number(
        "jitter-percent",
        "How far a token's time strays from the rate",
    )
    .fallback(0);
    let seed = number("seed", "Draws the jitter").fallback(0);
    let report_lag_ms = number("report-lag-ms", "Age of the load report").fallback(0);
    let checks_fencing = long("checks-fencing")
        .help("Refuse an order with an old fencing number")
        .switch();
    let no_resume = long("no-resume")
        .help("Answer 409 to a request to resume")
        .switch();
    let data_centre = data_centre();
    let record_file = long("record-file")
        .help("Keeps the record in this file, and goes on with what is in it")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(engine::Options {
        models,
        slots,
        tokens_per_second,
        first_token_ms,
        prefill_ms,
        prefix_cache_entries,
        jitter_percent,
        seed,
        report_lag_ms,
        checks_fencing,
        no_resume,
        data_centre,
        record_file,
    })
    .map(Role::Engine)
}

fn service_role() -> impl Parser<Role> {
    let name = long("name")
        .help("Name of the service")
        .argument::<String>("X");
    let latency_ms = number("latency-ms", "Time that a call takes").fallback(10);
    let slots = number("slots", "Calls that run side by side").fallback(8);
    let report_lag_ms = number("report-lag-ms", "Age of the load report").fallback(0);
    let data_centre = data_centre();
    construct!(service::Options {
        name,
        latency_ms,
        slots,
        report_lag_ms,
        data_centre,
    })
    .map(Role::Service)
}

fn data_centre() -> impl Parser<String> {
    long("data-centre")
        .help("Data centre, as in the instance list")
        .argument::<String>("X")
        .fallback("here".to_owned())
}

fn number<T>(name: &'static str, help: &'static str) -> impl Parser<T>
where
    T: std::str::FromStr + 'static,
    T::Err: std::fmt::Display,
{
    long(name).help(help).argument::<T>("N")
}
