//! The orders of one data centre: looks, holds the lease while something differs, sends.

use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::future::join_all;
use woodgap_core::clock::Millis;
use woodgap_core::instance::{Instance, State};
use woodgap_core::lease::{Duty, Fence, Holder, Term, View, Want};
use woodgap_core::name;
use woodgap_core::orders::{self, Answer, Bounds, Kept, Place, Progress};
use woodgap_platform::lease::{Hold, Time, rows};
use woodgap_platform::table::Table;

use crate::orders::wire::Wire;

/// Of the pause between two looks, the part while something is being changed, in
/// percent: loads take minutes, role changes a moment.
const BUSY_PERCENT: u64 = 10;

/// What a desk is told about its surroundings.
#[derive(Clone, Debug)]
pub struct Surroundings {
    /// The entry, as the holder of the lease.
    pub own: Holder,
    /// The pause between two looks.
    pub poll: Millis,
    /// The lease.
    pub term: Term,
    /// Bounds on sending.
    pub bounds: Bounds,
    /// Endpoints that carry out orders whatever their number.
    pub exempt: Vec<String>,
}

/// The orders of one data centre.
pub struct Desk<T, C> {
    lease: String,
    around: Surroundings,
    table: T,
    time: C,
    wire: Wire,
    hold: Hold<C>,
    duty: Duty,
    progress: Progress,
    is_stopping: Rc<dyn Fn() -> bool>,
    /// When it looks next.
    pub look_at: Millis,
}

impl<T: Table + Clone + 'static, C: Time> Desk<T, C> {
    /// A desk that has not looked yet.
    pub fn new(
        data_centre: &name::DataCentre,
        around: Surroundings,
        table: T,
        time: C,
        wire: Wire,
    ) -> Self {
        let lease = orders::lease(data_centre);
        let own = around.own.clone();
        let hold = Hold::start(lease.clone(), table.clone(), time.clone(), own, around.term);
        Self {
            duty: Duty::new(around.poll, around.term),
            progress: Progress::new(around.bounds),
            lease,
            around,
            table,
            time,
            wire,
            hold,
            is_stopping: Rc::new(|| false),
            look_at: Millis::ZERO,
        }
    }

    /// The same desk; it begins no send once the entry is stopping.
    #[must_use]
    pub fn unless(mut self, is_stopping: Rc<dyn Fn() -> bool>) -> Self {
        self.is_stopping = is_stopping;
        self
    }

    /// How many entries are preferred to this one for the data centre.
    pub fn rank(&mut self, entries: &[name::Entry]) {
        let rank = woodgap_core::lease::rank(&self.lease, &self.around.own.entry, entries);
        self.duty.set_rank(rank);
    }

    /// The time between two looks while nothing is to be done.
    pub fn look_every(&self) -> Millis {
        self.duty.poll_interval()
    }

    /// Looks at the endpoints that orders are meant for, and does what is due.
    pub async fn round(&mut self, orders: &[Kept], instances: &[Instance]) {
        let (addresses, places) = self.read(orders, instances).await;
        let work = places.iter().any(Place::differs) || self.left_behind(&places).await;
        let open = self.hold.check().is_ok() && !self.progress.settled(&places);
        self.duty.record_poll(self.time.now(), work || open);
        let held = self.hold.check().is_ok();
        let want = match self.duty.want(self.time.now(), held, open) {
            // Nothing is left to do: others must not take it for a dead holder's.
            Want::Idle if self.hold.view() != View::NotHeld => Want::Release,
            want => want,
        };
        self.hold.want(want);
        if held && want != Want::Release {
            self.send(&addresses, &places).await;
        }
        let busy = want != Want::Idle;
        let pause = if busy {
            Millis(self.around.poll.0 * BUSY_PERCENT / 100)
        } else {
            self.duty.poll_interval()
        };
        self.look_at = self.time.now() + pause.max(Millis(1));
    }

    /// The states in force at the endpoints, read from themselves.
    async fn read(&self, orders: &[Kept], instances: &[Instance]) -> (Vec<SocketAddr>, Vec<Place>) {
        let meant: Vec<(&Instance, &Kept)> = instances
            .iter()
            .filter(|instance| instance.state == State::Live)
            .filter_map(|instance| Some((instance, Kept::meant_for(orders, instance)?)))
            .collect();
        let reads = meant
            .iter()
            .map(|(instance, _)| self.wire.read(instance.address));
        let states = join_all(reads).await;
        let places = meant
            .iter()
            .zip(states)
            .filter_map(|((instance, kept), in_force)| {
                Some(Place {
                    endpoint: instance.name.as_str().into(),
                    wanted: kept.order.wanted.clone()?,
                    in_force,
                    checks: instance.checks_fencing && !self.around.exempt.contains(&instance.name),
                })
            });
        let addresses = meant.iter().map(|(instance, _)| instance.address);
        (addresses.collect(), places.collect())
    }

    /// Whether another holder has left the lease behind without giving it back:
    /// its last orders may be on their way, or come when it wakes.
    async fn left_behind(&self, places: &[Place]) -> bool {
        if places.is_empty() || self.hold.view() != View::NotHeld {
            return false;
        }
        let Ok(seen) = rows::read(&self.table, &self.lease).await else {
            return false;
        };
        seen.holder().is_some()
    }

    /// Sends what is due; the clock is read before each send.
    async fn send(&mut self, addresses: &[SocketAddr], places: &[Place]) {
        let Ok(fence) = self.hold.check() else {
            return;
        };
        self.progress.under(self.time.now(), fence);
        let due = self.progress.due(self.time.now(), places);
        let due: Vec<(SocketAddr, Place)> = due
            .into_iter()
            .filter_map(|place| {
                let index = places.iter().position(|other| other == place)?;
                Some((addresses[index], place.clone()))
            })
            .collect();
        for (address, place) in due {
            if (self.is_stopping)() {
                return;
            }
            // A send that may not end before the lease does is not begun.
            if self.hold.check_for(self.around.bounds.send) != Ok(fence) {
                return;
            }
            self.send_one(address, fence, &place).await;
        }
    }

    async fn send_one(&mut self, address: SocketAddr, fence: Fence, place: &Place) {
        let at = self.time.now();
        let answer = self.wire.send(address, fence, &place.wanted).await;
        self.progress.sent(at, place, answer);
        log::info!(
            endpoint = place.endpoint.as_str(),
            fence = fence.0,
            models = place.wanted.models.join(","),
            role = place.wanted.role.as_str(),
            answer:? = answer;
            "order sent"
        );
        if answer == Answer::Fenced {
            self.hold.suspect();
        }
    }

    /// Gives the lease back at a planned stop.
    pub async fn give_back(&self) {
        self.hold.want(Want::Release);
        while self.hold.view() != View::NotHeld {
            self.hold.changed().await;
        }
    }
}
