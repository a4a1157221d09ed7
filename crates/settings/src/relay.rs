//! The settings of one `woodgap-relay`.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use woodgap_core::clock::Millis;
use woodgap_core::name;

use crate::entry::LogLevel;
use crate::platform::Platform;
use crate::problem::Problems;
use crate::reader::{self, Section};
use crate::rule;

/// The longest bound in ms or s that makes sense for any of them: a minute.
const LONGEST: u64 = 60_000;
/// The largest budget of repeats for a whole fleet in one window.
const MOST_SLACK: f64 = 1_000_000.0;
/// The longest span for which requests are counted together, and the usual one, in s.
const LONGEST_WINDOW_S: u64 = 3_600;
const USUAL_WINDOW_S: u64 = 5;
/// The most that a service may be able to do beyond its demand, as a factor, and what it usually is.
const MOST_HEADROOM: f64 = 20.0;
const USUAL_HEADROOM: f64 = 0.8;
/// The range and the usual number of bytes of requests that may wait for one service.
const LEAST_WAITING_BYTES: usize = 4 * 1024;
const MOST_WAITING_BYTES: usize = 1024 * 1024 * 1024;
const USUAL_WAITING_BYTES: usize = 1024 * 1024;
/// The least, most and usual memory of a machine, in MB.
const LEAST_MEMORY_MB: usize = 32;
const MOST_MEMORY_MB: usize = 1_048_576;
const USUAL_MEMORY_MB: usize = 128;
/// Bytes in a MB.
const MB: usize = 1_000_000;
/// The most descriptors of a process that can be asked for.
const MOST_DESCRIPTORS: usize = 1_048_576;

/// All settings of a relay.
#[derive(Clone, Debug, PartialEq)]
pub struct Relay {
    /// Unique in the fleet.
    pub name: name::Entry,
    /// Where the relay runs.
    pub data_centre: name::DataCentre,
    /// HTTP for callers' requests.
    pub listen: SocketAddr,
    /// HTTP for callers who ask which entries to use.
    pub directory_listen: SocketAddr,
    /// HTTP for whoever checks that the relay takes requests.
    pub ready_listen: SocketAddr,
    /// HTTP for counters and histograms; none where nobody reads them.
    pub metrics_listen: Option<SocketAddr>,
    /// UDP and TCP for the other entries; the port is the same on all instances.
    pub peer_listen: SocketAddr,
    /// The local address of connections to endpoints; the system chooses one where none is named.
    pub connect_from: Option<IpAddr>,
    /// Other entries, by any address of theirs: only the IP counts.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time: nobody waits for it yet, and
    /// entries have time to learn from one another.
    pub first_start: bool,
    /// The platform.
    pub platform: Platform,
    /// What operators promise their callers.
    pub bounds: Bounds,
    /// What one entry at a time does for the platform; none where nothing is asked for.
    pub duties: Option<Duties>,
    /// How requests to services with too little capacity are scheduled; none where they are not.
    pub scheduling: Option<Scheduling>,
    /// The memory that the process has, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that the process may have open.
    pub descriptors: usize,
    /// The least severe lines that are logged.
    pub log_level: LogLevel,
}

/// What one entry at a time does for the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Duties {
    /// Base URL of the platform's API for duties, without a slash at its end.
    pub url: String,
    /// Whether requests are counted and reported by workspace.
    pub meters: bool,
    /// Whether endpoints are ordered.
    pub scales: bool,
    /// The span for which requests are counted together.
    pub window: Millis,
    /// The platform does not take calls of one entry before and after another's within this
    /// span.
    pub apart: Millis,
    /// How much more than its demand asks for a service is to be able to do, as a factor.
    pub headroom: f64,
}

/// What one entry at a time may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Duty {
    Metering,
    Autoscaling,
}

impl Duty {
    const WORDS: &[(&str, Self)] = &[
        ("metering", Self::Metering),
        ("autoscaling", Self::Autoscaling),
    ];
}

impl Duties {
    fn read(section: &Section) -> Option<Self> {
        let url = section.required("url", &rule::url());
        let tasks = section.required_list("tasks", &rule::choice(Duty::WORDS));
        let window = section.or(
            "window_s",
            &rule::whole(1, LONGEST_WINDOW_S),
            USUAL_WINDOW_S,
        );
        let apart = section.or("apart_ms", &rule::millis(0, LONGEST), Millis(3_000));
        let headroom = section.or("headroom", &rule::share(MOST_HEADROOM), USUAL_HEADROOM);
        let tasks = tasks?;
        Some(Self {
            url: url?,
            meters: tasks.contains(&Duty::Metering),
            scales: tasks.contains(&Duty::Autoscaling),
            window: Millis::from_secs(window),
            apart,
            headroom,
        })
    }
}

/// How requests to services with too little capacity are scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scheduling {
    /// The services that are scheduled.
    pub services: Services,
    /// Whether requests are admitted by what all entries observe; else only the choice of endpoints
    /// uses what endpoints report to any entry.
    pub admission: bool,
    /// The most bytes of requests that may wait at this entry for one service.
    pub waiting_bytes: usize,
}

/// Which services are scheduled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Services {
    /// Every service.
    All,
    /// Services whose endpoints report in their answers how long work takes there.
    #[default]
    Uneven,
}

impl Services {
    const WORDS: &[(&str, Self)] = &[("all", Self::All), ("uneven", Self::Uneven)];
}

impl Scheduling {
    fn read(section: &Section) -> Self {
        let services = rule::choice(Services::WORDS);
        let bytes = rule::whole(LEAST_WAITING_BYTES, MOST_WAITING_BYTES);
        Self {
            services: section.or("services", &services, Services::default()),
            admission: section.or("admission", &rule::boolean(), true),
            waiting_bytes: section.or("waiting_bytes", &bytes, USUAL_WAITING_BYTES),
        }
    }
}

/// What operators promise their callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// After so long, no request runs with a key that was removed.
    pub revoke: Millis,
    /// Whether requests with keys are refused while `revoke` can't be kept: while
    /// nothing confirms the configuration.
    pub keys_fail_closed: bool,
    /// After so long, an endpoint that is leaving gets no request.
    pub leave: Millis,
    /// Between SIGTERM and SIGKILL.
    pub grace: Millis,
    /// The longest time for which callers keep a list of entries.
    pub entries_lifetime: Millis,
    /// Repeats for each request, over all entries.
    pub repeat_ratio: f64,
    /// Repeats beyond that, over all entries.
    pub repeat_slack: f64,
    /// The span for which both count.
    pub repeat_window: Millis,
}

impl Bounds {
    fn read(section: &Section) -> Option<Self> {
        let millis = rule::millis(1, LONGEST);
        let seconds = rule::share(60.0);
        let revoke = section.required("revoke_ms", &millis);
        let keys_fail_closed = section.or("keys_fail_closed", &rule::boolean(), true);
        let leave = section.required("leave_ms", &millis);
        let grace = section.required("grace_s", &seconds);
        let lifetime = section.required("entries_lifetime_s", &seconds);
        let repeat_ratio = section.required("repeat_ratio", &rule::share(1.0));
        let repeat_slack = section.required("repeat_slack", &rule::share(MOST_SLACK));
        let repeat_window = section.required("repeat_window_s", &seconds);
        Some(Self {
            revoke: revoke?,
            keys_fail_closed,
            leave: leave?,
            grace: millis_of(grace?),
            entries_lifetime: millis_of(lifetime?),
            repeat_ratio: repeat_ratio?,
            repeat_slack: repeat_slack?,
            repeat_window: millis_of(repeat_window?),
        })
    }
}

/// Seconds, checked to be above 0 and at most a minute.
fn millis_of(seconds: f64) -> Millis {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    Millis((seconds * 1_000.0) as u64)
}

/// Reads the settings of a relay; `file` is the name for messages.
///
/// # Errors
///
/// All problems of the text at once.
///
/// ```
/// let problems = woodgap_settings::relay::parse("{}", "relay.jsonc").unwrap_err();
/// assert!(problems.problems.iter().any(|it| it.path == "directory_listen"));
/// ```
pub fn parse(text: &str, file: &str) -> Result<Relay, Problems> {
    reader::read(text, file, read)
}

/// Reads the settings of a relay from a file.
///
/// # Errors
///
/// All problems of the file at once, or the one that kept it from being read.
pub fn load(path: &Path) -> Result<Relay, Problems> {
    reader::load(path, read)
}

fn read(section: &Section) -> Option<Relay> {
    let name = section.required("name", &rule::name());
    let data_centre = section.required("data_centre", &rule::name());
    let listen = section.required("listen", &rule::listen());
    let directory_listen = section.required("directory_listen", &rule::listen());
    let ready_listen = section.required("ready_listen", &rule::listen());
    let metrics_listen = section.optional("metrics_listen", &rule::listen());
    let peer_listen = section.required("peer_listen", &rule::listen());
    let connect_from = section.optional("connect_from", &rule::ip());
    let seeds = section.list("seeds", &rule::address());
    let first_start = section.or("first_start", &rule::boolean(), false);
    let platform = section.within("platform", Platform::read).flatten();
    let bounds = section.within("bounds", Bounds::read).flatten();
    let duties = if section.has("duties") {
        section.within("duties", Duties::read).flatten()
    } else {
        None
    };
    let scheduling = if section.has("scheduling") {
        section.within("scheduling", Scheduling::read)
    } else {
        None
    };
    let memory = rule::whole(LEAST_MEMORY_MB, MOST_MEMORY_MB);
    let memory = section.or("memory_mb", &memory, USUAL_MEMORY_MB);
    let descriptors = section.or("descriptors", &rule::whole(64, MOST_DESCRIPTORS), 1_024);
    let log_level = section.or(
        "log_level",
        &rule::choice(LogLevel::WORDS),
        LogLevel::default(),
    );
    Some(Relay {
        name: name?.into(),
        data_centre: data_centre?.into(),
        listen: listen?,
        directory_listen: directory_listen?,
        ready_listen: ready_listen?,
        metrics_listen,
        peer_listen: peer_listen?,
        connect_from,
        seeds: seeds.unwrap_or_default(),
        first_start,
        platform: platform?,
        bounds: bounds?,
        duties,
        scheduling,
        memory_bytes: memory * MB,
        descriptors,
        log_level,
    })
}
