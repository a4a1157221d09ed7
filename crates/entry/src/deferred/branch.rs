//! The supervised branch that works on all shards.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{AsyncContext, Context, WrapFuture};
use cadence::prelude::*;
use woodgap_core::clock::Millis;
use woodgap_core::deferred::Shard;
use woodgap_core::lease::{Holder, Term};
use woodgap_core::membership::Member;
use woodgap_core::name;
use woodgap_platform::clock::Clock;
use woodgap_platform::http::Platform;

use crate::configuration::watcher::platform;
use crate::deferred::engine::Engine;
use crate::deferred::shard::{Bounds, Surroundings};
use crate::deferred::{Store, Worker, sweep};
use crate::endpoint::Client;
use crate::request::run;
use crate::shared::Shared;
use crate::stop;
use crate::supervisor::Guard;

/// How often ended requests whose time is over are looked for: hours after they
/// ended, so that a few minutes more don't matter.
const SWEEP: Duration = Duration::from_mins(5);
/// How long the last ends may take to be recorded at a planned stop. Answers that
/// the platform doesn't take by then are lost, and their requests told so or run
/// again.
const LAST_ENDS: Millis = Millis::from_secs(30);

/// Works on deferred requests.
pub struct Branch {
    shared: Arc<Shared>,
    _guard: Guard,
}

impl Branch {
    /// The work of this entry.
    pub fn new(shared: Arc<Shared>, guard: Guard) -> Self {
        Self {
            shared,
            _guard: guard,
        }
    }
}

impl actix::Actor for Branch {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let shared = &self.shared;
        let store = Store::new(platform(shared));
        let engine = Rc::new(Engine::new(run::Worker {
            shared: Arc::clone(shared),
            client: Client::new(),
            platform: platform(shared),
        }));
        for shard in Shard::all() {
            let worker = worker(shared, shard, store.clone(), Rc::clone(&engine));
            let working = shared.deferred.enter();
            let work = async move {
                worker.run().await;
                drop(working);
            };
            context.spawn(work.into_actor(self));
        }
        context.spawn(sweep_all(Arc::clone(shared)).into_actor(self));
    }
}

fn worker(
    entry: &Arc<Shared>,
    shard: Shard,
    store: Store<Platform>,
    engine: Rc<Engine>,
) -> Worker<Platform, Engine, Clock> {
    let settings = &entry.settings;
    let bounds = Bounds {
        poll: settings.deferred.poll,
        kept: settings.deferred.kept,
        per_tier: settings.deferred.running_per_tier,
        term: Term::new(settings.lease.duration),
    };
    let own = Holder {
        entry: settings.name.clone(),
        incarnation: entry.incarnation,
    };
    let members = Arc::clone(entry);
    let around = Surroundings {
        entries: Rc::new(move || active(&members)),
        handle: entry.deferred.clone(),
    };
    Worker::new(shard, own, bounds, store, engine, entry.clock, around)
}

/// The entries that take part, this one included.
fn active(shared: &Shared) -> Vec<name::Entry> {
    let members = shared.members.load();
    let active = members.iter().filter(|member| Member::active(member));
    active.map(|member| member.name.clone()).collect()
}

/// Sweeps the shards that this entry is preferred for, one after the other.
async fn sweep_all(shared: Arc<Shared>) {
    let storage = platform(&shared);
    loop {
        tokio::time::sleep(SWEEP).await;
        let entries = active(&shared);
        let own = &shared.settings.name;
        for shard in Shard::all().filter(|shard| shard.rank(own, &entries) == 0) {
            sweep_one(&shared, &storage, shard).await;
        }
    }
}

/// Sweeps a shard until nothing is left whose time is over.
async fn sweep_one(entry: &Shared, storage: &Platform, shard: Shard) {
    loop {
        let now = entry.clock.unix();
        let kept = entry.settings.deferred.kept;
        match sweep::sweep(storage, shard, now, kept).await {
            Ok(removed) => {
                let _ = entry
                    .metrics
                    .count("deferred.swept", i64::try_from(removed).unwrap_or(0));
                if removed < sweep::BATCH {
                    return;
                }
            }
            Err(error) => {
                log::warn!(error = error.to_string(); "old deferred requests not removed yet");
                return;
            }
        }
    }
}

/// Waits, at a planned stop, until all that ran is recorded and the leases are
/// given back.
pub async fn finish(shared: &Shared) {
    if !shared
        .deferred
        .finished(stop::left(shared, LAST_ENDS))
        .await
    {
        log::warn!("deferred requests were still running at the stop");
    }
}
