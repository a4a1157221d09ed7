//! Which entry a caller should use.

use actix_web::web::{Data, Json, Query};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use woodgap_core::clock::Millis;
use woodgap_core::membership::{Member, Standing};
use woodgap_core::name;

use crate::request::run::Worker;
use crate::shared::Shared;

/// How long callers may keep the answer.
pub const LIFETIME: Millis = Millis(5_000);
/// Entries whose running requests differ by less than a factor of about two count
/// as equally loaded; up to this many, all do. A finer order would send all
/// callers of one lifetime to the same entry.
const EQUAL_LOAD: u32 = 16;

/// What the caller says of itself.
#[derive(Debug, Deserialize)]
pub(crate) struct Question {
    /// Entries of this data centre come first.
    data_centre: Option<String>,
}

/// The answer to `GET /v1/entries`.
#[derive(Debug, Serialize)]
pub(crate) struct Entries {
    entries: Vec<Listed>,
    lifetime_ms: Millis,
}

#[derive(Clone, Debug, Serialize)]
struct Listed {
    url: String,
    name: name::Entry,
    data_centre: name::DataCentre,
}

/// `GET /v1/entries`.
pub(crate) async fn list(worker: Data<Worker>, question: Query<Question>) -> Json<Entries> {
    let entries = preferred(&worker.shared, question.data_centre.as_deref());
    Json(Entries {
        entries: entries.iter().map(Listed::of).collect(),
        lifetime_ms: LIFETIME,
    })
}

/// Where to go instead of this entry, for a refusal's message; empty if nowhere.
pub fn another(shared: &Shared) -> String {
    let own = &shared.settings.name;
    let other = preferred(shared, None)
        .into_iter()
        .find(|member| member.name != *own);
    other.map_or_else(String::new, |other| format!(", use {}", url(&other)))
}

/// The entries that take new work: near ones first, then those that answer, then
/// the less loaded, and equal ones in random order.
fn preferred(shared: &Shared, data_centre: Option<&str>) -> Vec<Member> {
    let near = data_centre.unwrap_or(shared.settings.data_centre.as_str());
    let members = shared.members.load();
    let takes_work = |member: &&Member| member.active() && member.heartbeat.ready;
    let mut entries: Vec<Member> = members.iter().filter(takes_work).cloned().collect();
    entries.shuffle(&mut rand::rng());
    entries.sort_by_key(|member| {
        let far = member.data_centre.as_str() != near;
        let suspect = member.standing == Standing::Suspect;
        (far, suspect, load(member))
    });
    entries
}

fn load(member: &Member) -> u32 {
    (member.heartbeat.running / EQUAL_LOAD)
        .checked_ilog2()
        .map_or(0, |load| load + 1)
}

fn url(member: &Member) -> String {
    format!("http://{}", member.http)
}

impl Listed {
    fn of(member: &Member) -> Self {
        Self {
            url: url(member),
            name: member.name.clone(),
            data_centre: member.data_centre.clone(),
        }
    }
}
