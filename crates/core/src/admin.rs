//! Bodies of the operators' calls, shared by the entries and `woodgap-ctl`.
//!
//! Every call carries `Authorization: Bearer KEY` of an operator.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::config::Document;
use crate::lease::Fence;
use crate::name;
use crate::orders::{self, Order, Wanted};
use crate::tier::Tier;
use crate::verdict::Verdict;

/// `POST` takes an [`Apply`]: 200 with [`Applied`], 409 with [`Conflict`], 422 with [`Refused`].
pub const APPLY_PATH: &str = "/admin/v1/apply";
/// `GET` of this path and a document's key returns [`Kept`], or 404.
pub const DOCUMENTS_PATH: &str = "/admin/v1/documents/";
/// `GET`, with `?key=` for one document only, returns an array of [`Change`], newest first.
pub const HISTORY_PATH: &str = "/admin/v1/history";
/// `GET` returns [`Status`].
pub const STATUS_PATH: &str = "/admin/v1/status";
/// `POST` takes a [`Drain`] and returns it.
pub const DRAIN_PATH: &str = "/admin/v1/drain";
/// `GET` of this path and a request's id returns [`Request`], or 404.
pub const REQUESTS_PATH: &str = "/admin/v1/requests/";

/// `POST` takes an [`ApplyOrder`]: 200 with [`AppliedOrder`], 409 with
/// [`OrderConflict`], 422 with [`Refused`]. `GET` returns [`Orders`].
pub const ORDERS_PATH: &str = "/admin/v1/orders";

/// The code of [`Fault`] in a [`Conflict`].
pub const CONFLICT: &str = "conflict";

/// A change of one document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Apply {
    /// The change's identity: the same one sent twice is applied once.
    pub change: String,
    /// The document as it shall be.
    pub document: Document,
    /// The version that the document must have now, 0 for "not there"; none
    /// accepts any.
    #[serde(default)]
    pub expect: Option<u64>,
}

/// The change is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The revision of the whole configuration that holds the change.
    pub revision: u64,
    /// The document's new version.
    pub version: u64,
    /// Whether the change had been applied before by the same identity.
    pub already: bool,
}

/// The document does not have the version expected; nothing was changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// The code is [`CONFLICT`].
    pub error: Fault,
    /// The document as it stands, if there is one.
    pub current: Option<Document>,
    /// Its version; 0 where there is none.
    pub version: u64,
}

/// The document breaks the configuration; nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Everything that is wrong, one sentence each.
    pub problems: Vec<String>,
}

/// The body of any other answer that is not 2xx.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// What went wrong.
    pub error: Fault,
}

/// An error's code and what it says to a person.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// One of the stable codes.
    pub code: String,
    /// For people.
    #[serde(default)]
    pub message: String,
}

/// A document as it is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// The document.
    pub document: Document,
    /// Its version, to be given as [`Apply::expect`].
    pub version: u64,
    /// The revision of the configuration that last changed it.
    pub revision: u64,
}

/// One line of the history of changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that the change made.
    pub revision: u64,
    /// The document's key, such as `workspace/murphy`.
    pub key: String,
    /// The operator, by the name in the settings.
    pub operator: String,
    /// The change's identity.
    pub change: String,
    /// Milliseconds since the Unix epoch.
    pub at: Millis,
}

/// What is in force where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The highest revision that the answering entry knows of.
    pub revision: u64,
    /// All entries that it knows of, itself included.
    pub entries: Vec<Entry>,
    /// All endpoints that it knows of.
    pub endpoints: Vec<Endpoint>,
    /// What the answering entry's control side has cost since its start.
    #[serde(default)]
    pub control: Control,
}

/// What the control side of an entry has cost since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Control {
    /// Processor time of the control thread, in microseconds.
    pub cpu_us: u64,
    /// Bytes to other entries, with IP and UDP headers.
    pub bytes_sent: u64,
    /// Bytes from other entries, with IP and UDP headers.
    pub bytes_received: u64,
    /// Messages to other entries.
    pub messages_sent: u64,
    /// Messages from other entries.
    pub messages_received: u64,
    /// Datagrams and streams that were refused.
    pub refused: u64,
    /// Resident memory of the whole process, in KiB.
    pub rss_kb: u64,
}

/// An entry as the answering one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub name: name::Entry,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Its present life.
    pub incarnation: name::Incarnation,
    /// The revision that it has in force; 0 before its first.
    pub revision: u64,
    /// Whether it takes part.
    pub state: EntryState,
    /// Age of this knowledge.
    #[serde(rename = "age_ms")]
    pub age: Millis,
}

/// Whether an entry takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// It has no confirmed configuration yet, or none any more: it takes no new work.
    NotReady,
    /// In service.
    Live,
    /// It missed probes and may be gone.
    Suspect,
    /// It stops as planned: no new work.
    Leaving,
    /// It is gone.
    Gone,
}

/// An endpoint as the answering entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name.
    pub name: name::Endpoint,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Whether it is given work.
    pub state: EndpointState,
    /// Requests that run there.
    pub in_flight: u32,
    /// Requests that it runs side by side at full speed.
    pub slots: u32,
}

/// Whether an endpoint is given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// In service.
    Live,
    /// It is leaving: no new work.
    Leaving,
    /// It fails its probes or its requests: no new work until it answers again.
    Failing,
}

/// Asks that an instance, entry or endpoint, get no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// The instance's name.
    pub instance: String,
}

/// What is known of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The id, as in `X-Woodgap-Request`.
    pub request: String,
    /// The entry that took it.
    pub entry: name::Entry,
    /// Whose it is.
    pub workspace: name::Workspace,
    /// Its class.
    pub class: name::Class,
    /// The workspace's tier when it came.
    pub tier: Tier,
    /// The model or plain service that it asks for.
    pub target: name::Target,
    /// How far it has come.
    pub stage: Stage,
    /// Where it runs or ran last.
    #[serde(default)]
    pub endpoint: Option<name::Endpoint>,
    /// How often it was sent to an endpoint.
    #[serde(default)]
    pub attempts: u32,
    /// For one that failed: whether it may have run.
    #[serde(default)]
    pub verdict: Option<Verdict>,
    /// Time since it came.
    #[serde(rename = "age_ms")]
    pub age: Millis,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It waits for an endpoint.
    Waiting,
    /// An endpoint runs it.
    Running,
    /// Its whole answer was given.
    Complete,
    /// It ended without a whole answer: see the verdict.
    Failed,
    /// Its caller went away first.
    Abandoned,
}

/// A change of one order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyOrder {
    /// The change's identity: the same one sent twice is applied once.
    pub change: String,
    /// The order as it shall be; one without a state withdraws it.
    pub order: Order,
    /// The version that the order must have now, 0 for "not there"; none accepts any.
    #[serde(default)]
    pub expect: Option<u64>,
}

/// The order is committed; endpoints come to it one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedOrder {
    /// The order's new version.
    pub version: u64,
    /// Whether the change had been applied before by the same identity.
    pub already: bool,
}

/// The order does not have the version expected; nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderConflict {
    /// The code is [`CONFLICT`].
    pub error: Fault,
    /// The order as it stands, if there is one.
    pub current: Option<orders::Kept>,
    /// Its version; 0 where there is none.
    pub version: u64,
}

/// All orders, and how far the endpoints have come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The orders, by their scope.
    pub orders: Vec<orders::Kept>,
    /// The endpoints that an order is meant for, by name.
    pub endpoints: Vec<Ordered>,
    /// Who gives orders now, by data centre.
    pub holders: Vec<OrderHolder>,
}

/// An endpoint that an order is meant for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ordered {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// The order that is meant for it.
    pub order: String,
    /// Whether the endpoint says that it is in the state wanted.
    pub state: OrderState,
    /// What the endpoint says is in force; none if it does not answer.
    pub in_force: Option<Wanted>,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// How far an endpoint has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// It is in the state wanted.
    InForce,
    /// It is in another state.
    Pending,
    /// It does not answer.
    Unreachable,
}

/// Who gives a data centre's endpoints orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderHolder {
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// The entry that holds the lease; none while nothing is to be done.
    pub entry: Option<name::Entry>,
    /// The last fencing number.
    pub fence: Fence,
}
