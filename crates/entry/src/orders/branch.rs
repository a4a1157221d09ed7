//! The supervised work that carries out orders.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use woodgap_core::clock::Millis;
use woodgap_core::instance::Instance;
use woodgap_core::lease::{Holder, Term};
use woodgap_core::membership::Member;
use woodgap_core::name;
use woodgap_core::orders::Bounds;
use woodgap_platform::clock::Clock;
use woodgap_platform::http::Platform;
use woodgap_platform::instance::List;

use crate::configuration::watcher::platform;
use crate::orders::Store;
use crate::orders::desk::{Desk, Surroundings};
use crate::orders::wire::Wire;
use crate::shared::Shared;
use crate::stop;

/// The shortest pause between two rounds.
const SHORTEST: Millis = Millis(20);
/// How long giving the leases back may take at a planned stop.
const GIVE_BACK: Millis = Millis::from_secs(3);
/// How often the end of the work is looked for at a planned stop.
const LOOK: Duration = Duration::from_millis(20);

/// Carries out the orders of this entry, without end.
pub async fn run(shared: Arc<Shared>) {
    let working = shared.ordering.enter();
    Office::new(shared).run().await;
    drop(working);
}

/// Waits, at a planned stop, until a send that is under way has ended and the leases
/// are given back, so that another entry can go on at once.
pub async fn finish(shared: &Shared) {
    let longest = shared.settings.orders.send_timeout + GIVE_BACK;
    let limit = Duration::from_millis(stop::left(shared, longest).0);
    let ended = async {
        while shared.ordering.count() > 0 {
            tokio::time::sleep(LOOK).await;
        }
    };
    if tokio::time::timeout(limit, ended).await.is_err() {
        log::warn!("leases for orders were not given back in time");
    }
}

/// All desks of one entry: that of its own data centre, and those of data centres
/// that have no entry.
struct Office {
    shared: Arc<Shared>,
    platform: Platform,
    store: Store<Platform>,
    around: Surroundings,
    wire: Wire,
    desks: BTreeMap<name::DataCentre, Desk<Platform, Clock>>,
}

impl Office {
    fn new(shared: Arc<Shared>) -> Self {
        let settings = &shared.settings;
        let bounds = Bounds {
            send: settings.orders.send_timeout,
            load: settings.orders.load_timeout,
            loads: settings.orders.loads_at_once,
        };
        let around = Surroundings {
            own: Holder {
                entry: settings.name.clone(),
                incarnation: shared.incarnation,
            },
            poll: settings.orders.poll,
            term: Term::new(settings.lease.duration),
            bounds,
            exempt: settings.dispatch.fencing_exempt.clone(),
        };
        let platform = platform(&shared);
        Self {
            store: Store::new(platform.clone()),
            wire: Wire::new(settings.orders.send_timeout),
            platform,
            around,
            desks: BTreeMap::new(),
            shared,
        }
    }

    async fn run(mut self) {
        let own = self.shared.settings.data_centre.clone();
        self.open(&own);
        // Looks of all entries at the same moment would be a burst.
        let phase = rand::random_range(0..=self.around.poll.0);
        self.pause(Millis(phase)).await;
        while !self.shared.stopping() {
            let next = self.round().await;
            let pause = (next - self.shared.clock.now()).max(SHORTEST);
            self.pause(pause).await;
        }
        let given_back = join_all(self.desks.values().map(Desk::give_back));
        // What is not given back by then lapses.
        let _ = tokio::time::timeout(Duration::from_millis(GIVE_BACK.0), given_back).await;
    }

    /// Waits for a span, or until the entry is to stop.
    async fn pause(&self, span: Millis) {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(span.0)) => {}
            _ = self.shared.stopped() => {}
        }
    }

    fn open(&mut self, data_centre: &name::DataCentre) {
        if self.desks.contains_key(data_centre) {
            return;
        }
        let desk = Desk::new(
            data_centre,
            self.around.clone(),
            self.platform.clone(),
            self.shared.clock,
            self.wire.clone(),
        );
        let entry = Arc::clone(&self.shared);
        let desk = desk.unless(Rc::new(move || entry.stopping()));
        self.desks.insert(data_centre.clone(), desk);
    }

    /// Does what is due at all desks; returns when the next is.
    async fn round(&mut self) -> Millis {
        let members = self.shared.members.load_full();
        for (data_centre, desk) in &mut self.desks {
            desk.rank(&candidates(&members, data_centre));
        }
        if let Some((orders, instances)) = self.read().await {
            let data_centres: Vec<name::DataCentre> = instances
                .iter()
                .map(|instance| instance.data_centre.clone())
                .collect();
            for data_centre in &data_centres {
                if !has_entry(&members, data_centre) {
                    self.open(data_centre);
                }
            }
            let now = self.shared.clock.now();
            for (data_centre, desk) in &mut self.desks {
                if now < desk.look_at {
                    continue;
                }
                let mut there = instances.clone();
                there.retain(|instance| instance.data_centre == *data_centre);
                desk.round(&orders, &there).await;
            }
        }
        let looks = self.desks.values().map(|desk| desk.look_at);
        looks.min().unwrap_or_default()
    }

    /// The orders and the instances; none without orders, or if they can't be read.
    async fn read(&mut self) -> Option<(Vec<woodgap_core::orders::Kept>, Vec<Instance>)> {
        let read = async {
            let orders = self.store.all().await?;
            if orders.is_empty() {
                return Ok(None);
            }
            let instances = self.platform.list().await?;
            Ok::<_, woodgap_platform::Error>(Some((orders, instances)))
        };
        let read = read.await;
        if let Err(error) = &read {
            log::debug!(error = error.to_string(); "orders not read");
        }
        let read = read.ok().flatten();
        if read.is_none() {
            let now = self.shared.clock.now();
            for desk in self.desks.values_mut() {
                desk.look_at = now + desk.look_every();
            }
        }
        read
    }
}

/// The entries that may give a data centre's endpoints orders: its own, or all
/// where it has none.
fn candidates(members: &[Member], data_centre: &name::DataCentre) -> Vec<name::Entry> {
    let near = has_entry(members, data_centre);
    let active = members
        .iter()
        .filter(|member| member.active() && (!near || member.data_centre == *data_centre));
    active.map(|member| member.name.clone()).collect()
}

fn has_entry(members: &[Member], data_centre: &name::DataCentre) -> bool {
    let mut active = members.iter().filter(|member| member.active());
    active.any(|member| member.data_centre == *data_centre)
}
