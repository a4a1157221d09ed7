//! What operators see of the fleet, and how they take instances out of it.

use actix_web::HttpRequest;
use actix_web::web::{Data, Json};
use woodgap_core::admin::{Drain, Entry, EntryState, Status};
use woodgap_core::clock::Millis;
use woodgap_core::control::Event;
use woodgap_core::membership::{Member, Standing};

use crate::admin::authority::{Failure, operator};
use crate::control::Snapshot;
use crate::request::run::Worker;
use crate::shared::Shared;

/// `GET /admin/v1/status`.
pub(crate) async fn status(
    worker: Data<Worker>,
    request: HttpRequest,
) -> Result<Json<Status>, Failure> {
    let shared = &worker.shared;
    operator(shared, &request)?;
    let snapshot = snapshot(shared).await?;
    let now = shared.clock.now();
    let entries: Vec<Entry> = snapshot
        .members
        .iter()
        .map(|member| entry(shared, member, now))
        .collect();
    let revisions = entries.iter().map(|entry| entry.revision);
    Ok(Json(Status {
        revision: revisions.max().unwrap_or(0),
        entries,
        endpoints: snapshot.endpoints,
        control: snapshot.control,
    }))
}

async fn snapshot(shared: &Shared) -> Result<Snapshot, Failure> {
    let snapshot = shared.control.snapshot().await;
    snapshot.ok_or(Failure::Restarting)
}

fn entry(shared: &Shared, member: &Member, now: Millis) -> Entry {
    let own = member.incarnation == shared.incarnation;
    let revision = if own {
        let catalog = shared.in_force.confirmed(now);
        catalog.map_or(0, |catalog| catalog.revision())
    } else {
        member.heartbeat.revision
    };
    Entry {
        name: member.name.clone(),
        data_centre: member.data_centre.clone(),
        incarnation: member.incarnation,
        revision,
        state: state(member),
        age: if own {
            Millis::ZERO
        } else {
            now - member.heard
        },
    }
}

fn state(member: &Member) -> EntryState {
    match member.standing {
        Standing::Gone => EntryState::Gone,
        Standing::Leaving => EntryState::Leaving,
        Standing::Suspect => EntryState::Suspect,
        Standing::Live if member.heartbeat.ready => EntryState::Live,
        Standing::Live => EntryState::NotReady,
    }
}

/// `POST /admin/v1/drain`.
pub(crate) async fn drain(
    worker: Data<Worker>,
    request: HttpRequest,
    body: Json<Drain>,
) -> Result<Json<Drain>, Failure> {
    let shared = &worker.shared;
    let operator = operator(shared, &request)?;
    let snapshot = snapshot(shared).await?;
    let name = body.instance.as_str();
    let entry = || {
        snapshot
            .members
            .iter()
            .any(|known| known.name.as_str() == name)
    };
    let endpoint = || {
        snapshot
            .endpoints
            .iter()
            .any(|known| known.name.as_str() == name)
    };
    if !entry() && !endpoint() {
        return Err(Failure::NotFound(format!("instance `{name}`")));
    }
    log::info!(operator = operator, instance = name; "instance drained");
    shared.control.tell(Event::Drain(name.to_owned()));
    Ok(body)
}
