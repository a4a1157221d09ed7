//! The settings of one `woodgap-entry`.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use woodgap_core::clock::Millis;
use woodgap_core::name;

use crate::platform::Platform;
use crate::problem::Problems;
use crate::reader::{self, Section};
use crate::rule;

pub mod deferred;
pub mod dispatch;
pub mod lease;
pub mod limits;
pub mod orders;

pub use deferred::Deferred;
pub use dispatch::{Dispatch, Policy};
pub use lease::Lease;
pub use limits::Limits;
pub use orders::Orders;

/// The most worker threads: an entry instance is small.
const MOST_WORKERS: usize = 64;

/// The shortest grace, in s: callers that keep to their lists need as long to leave.
const SHORTEST_GRACE: u64 = 5;
/// The longest grace, in s: an hour.
const LONGEST_GRACE: u64 = 60 * 60;

/// Worker threads where the settings name none.
const WORKERS: usize = 2;

/// All settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Unique in the fleet.
    pub name: name::Entry,
    /// Where the entry runs.
    pub data_centre: name::DataCentre,
    /// HTTP for callers and operators; port 0 has the system choose.
    pub listen: SocketAddr,
    /// The address given to callers; none stands for the bound one.
    pub advertise: Option<SocketAddr>,
    /// UDP and TCP for the other entries; port 0 has the system choose.
    pub peer_listen: SocketAddr,
    /// The platform.
    pub platform: Platform,
    /// Authenticates messages between entries.
    pub fleet_key: FleetKey,
    /// Who may change the configuration.
    pub operators: Vec<Operator>,
    /// Bounds on what callers and endpoints may send.
    pub limits: Limits,
    /// How requests are queued and given to endpoints.
    pub dispatch: Dispatch,
    /// Leases on background work.
    pub lease: Lease,
    /// Requests that are recorded and carried out later.
    pub deferred: Deferred,
    /// Orders to endpoints.
    pub orders: Orders,
    /// Between SIGTERM and SIGKILL; none where nothing kills the process.
    pub grace: Option<Millis>,
    /// Where metrics go, as statsd over UDP.
    pub metrics: Option<SocketAddr>,
    /// The least severe lines that are logged.
    pub log_level: LogLevel,
    /// Threads that serve requests.
    pub workers: usize,
}

/// The secret shared by all entries of a fleet; its debug form hides it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct FleetKey(pub [u8; 32]);

impl fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FleetKey(hidden)")
    }
}

/// A person or program that may change the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The name in the history of changes.
    pub name: String,
    /// SHA-256 of the operator's key, as 64 lower-case hexadecimal digits.
    pub key_sha256: String,
}

/// The least severe lines that are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Faults only.
    Error,
    /// Also what may become one.
    Warn,
    /// Also each request's end and each change of state.
    #[default]
    Info,
    /// Also single steps.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    pub(crate) const WORDS: &[(&str, Self)] = &[
        ("error", Self::Error),
        ("warn", Self::Warn),
        ("info", Self::Info),
        ("debug", Self::Debug),
        ("trace", Self::Trace),
    ];

    /// The level as log filters spell it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

/// Reads the settings of an entry; `file` is the name for messages.
///
/// # Errors
///
/// All problems of the text at once.
///
/// ```
/// let text = r#"{"name": "a1", "data_centre": "dub-a", // the first
///   "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
///   "platform": {"url": "http://127.0.0.1:8080", "timeout": 9},
///   "fleet_key": "00ff"}"#;
/// let problems = woodgap_settings::entry::parse(text, "a1.jsonc").unwrap_err();
/// assert_eq!(problems.problems.len(), 2);
/// assert_eq!(problems.problems[0].path, "platform.timeout");
/// assert_eq!(problems.problems[0].fix, "Did you mean `timeout_ms`?");
/// assert_eq!(problems.problems[1].found, "a text of 4 characters");
/// ```
pub fn parse(text: &str, file: &str) -> Result<Entry, Problems> {
    reader::read(text, file, read)
}

/// Reads the settings of an entry from a file.
///
/// # Errors
///
/// All problems of the file at once, or the one that kept it from being read.
pub fn load(path: &Path) -> Result<Entry, Problems> {
    reader::load(path, read)
}

fn read(section: &Section) -> Option<Entry> {
    let name = section.required("name", &rule::name());
    let data_centre = section.required("data_centre", &rule::name());
    let listen = section.required("listen", &rule::listen());
    let advertise = section.optional("advertise", &rule::address());
    let peer_listen = section.required("peer_listen", &rule::listen());
    let platform = section.within("platform", Platform::read).flatten();
    let fleet_key = section.required("fleet_key", &rule::key());
    let operators = section.each("operators", operator);
    let limits = section.within("limits", Limits::read);
    let dispatch = section.within("dispatch", Dispatch::read);
    let lease = section.within("lease", Lease::read);
    let deferred = section.within("deferred", Deferred::read);
    let orders = section.within("orders", Orders::read);
    let grace = section.optional("grace_s", &rule::whole(SHORTEST_GRACE, LONGEST_GRACE));
    let metrics = section.optional("metrics", &rule::address());
    let log_level = section.or(
        "log_level",
        &rule::choice(LogLevel::WORDS),
        LogLevel::default(),
    );
    let workers = section.or("workers", &rule::whole(1, MOST_WORKERS), WORKERS);
    check_addresses(section, listen, advertise, peer_listen);
    check_operators(section, &operators);
    check_confirmation(section, platform.as_ref(), dispatch.as_ref());
    if let (Some(lease), Some(platform)) = (lease, &platform) {
        lease.check(section, platform);
    }
    if let (Some(orders), Some(lease)) = (orders, lease) {
        orders.check(section, lease);
    }
    Some(Entry {
        name: name?.into(),
        data_centre: data_centre?.into(),
        listen: listen?,
        advertise,
        peer_listen: peer_listen?,
        platform: platform?,
        fleet_key: FleetKey(fleet_key?),
        operators,
        limits: limits?,
        dispatch: dispatch?,
        lease: lease?,
        deferred: deferred?,
        orders: orders?,
        grace: grace.map(Millis::from_secs),
        metrics,
        log_level,
        workers,
    })
}

fn operator(section: &Section) -> Option<Operator> {
    let name = section.required("name", &rule::name());
    let key_sha256 = section.required("key_sha256", &rule::digest());
    Some(Operator {
        name: name?,
        key_sha256: key_sha256?,
    })
}

fn check_addresses(
    section: &Section,
    listen: Option<SocketAddr>,
    advertise: Option<SocketAddr>,
    peer_listen: Option<SocketAddr>,
) {
    let is_open = |address: &SocketAddr| address.ip().is_unspecified();
    if let Some(listen) = listen.filter(is_open)
        && advertise.is_none()
    {
        section.reject(
            "listen",
            format!("{listen} without a usable `advertise`"),
            "an address that can be given to callers",
            "Add `advertise` with the instance's IP number and port.",
        );
    }
    if let Some(peer_listen) = peer_listen.filter(is_open) {
        section.reject(
            "peer_listen",
            peer_listen.to_string(),
            "the IP number at which other entries reach this one",
            "Give the instance's own IP number.",
        );
    }
    if let Some(listen) = listen.filter(|address| address.port() != 0)
        && Some(listen) == peer_listen
    {
        section.reject(
            "peer_listen",
            format!("{listen}, the same as `listen`"),
            "an address of its own",
            "Give it another port.",
        );
    }
}

fn check_operators(section: &Section, operators: &[Operator]) {
    for (index, operator) in operators.iter().enumerate() {
        let earlier = &operators[..index];
        if earlier.iter().any(|other| other.name == operator.name) {
            section.reject(
                "operators",
                format!("the name `{}` more than once", operator.name),
                "a name of its own for each operator",
                "Rename one, or remove it.",
            );
        }
        let twin = earlier
            .iter()
            .find(|other| other.key_sha256 == operator.key_sha256);
        if let Some(twin) = twin {
            section.reject(
                "operators",
                format!("the same key for `{}` and `{}`", twin.name, operator.name),
                "a key of its own for each operator, for the history",
                "Give one of them another key.",
            );
        }
    }
}

/// An entry in good health must manage to confirm its configuration before the
/// limit, even if one look at the platform times out.
fn check_confirmation(section: &Section, platform: Option<&Platform>, dispatch: Option<&Dispatch>) {
    let (Some(platform), Some(dispatch)) = (platform, dispatch) else {
        return;
    };
    let needed = platform.poll + platform.timeout;
    let limit = dispatch.unconfirmed_limit;
    if limit > needed {
        return;
    }
    section.reject(
        "dispatch",
        format!("unconfirmed_limit_ms {}", limit.0),
        &format!(
            "more than platform.poll_ms + platform.timeout_ms = {}",
            needed.0
        ),
        "Raise the limit, or lower the other two.",
    );
}
