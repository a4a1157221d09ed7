//! How far the endpoints of a data centre have come, and what is sent to them next.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::lease::Fence;
use crate::name;
use crate::orders::Wanted;

/// Bounds on sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The longest that a send may take.
    pub send: Millis,
    /// The longest that a load may take.
    pub load: Millis,
    /// The most endpoints that load at once.
    pub loads: usize,
}

/// An endpoint that an order is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// What is wanted of it.
    pub wanted: Wanted,
    /// The state that it says is in force; none if it did not answer.
    pub in_force: Option<Wanted>,
    /// Whether it refuses orders with an old number.
    pub checks: bool,
}

impl Place {
    /// Whether it answered with another state than is wanted.
    pub fn differs(&self) -> bool {
        let in_force = self.in_force.as_ref();
        in_force.is_some_and(|in_force| !in_force.same(&self.wanted))
    }
}

/// What an endpoint answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It took the order.
    Taken,
    /// It has seen a higher number.
    Fenced,
    /// Nothing, or something else: it may have taken it.
    None,
}

/// An order that was sent under the present fence.
#[derive(Clone, Debug)]
struct Sent {
    wanted: Wanted,
    at: Millis,
    taken: bool,
    loads: bool,
    times: u32,
}

/// What was sent to the endpoints of a data centre under one fence.
#[derive(Clone, Debug)]
pub struct Progress {
    bounds: Bounds,
    fence: Option<Fence>,
    since: Millis,
    sent: BTreeMap<name::Endpoint, Sent>,
}

impl Progress {
    /// Nothing was sent yet.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            fence: None,
            since: Millis::ZERO,
            sent: BTreeMap::new(),
        }
    }

    /// Notes the fence under which orders go out now; a new one starts anew.
    pub fn under(&mut self, now: Millis, fence: Fence) {
        if self.fence != Some(fence) {
            self.fence = Some(fence);
            self.since = now;
            self.sent.clear();
        }
    }

    /// Which of the places are sent their orders now, in this order.
    pub fn due<'a>(&self, now: Millis, places: &'a [Place]) -> Vec<&'a Place> {
        let mut wanted: Vec<&Place> = places
            .iter()
            .filter(|place| self.may_send(now, place))
            .collect();
        // Those that were tried least come first, then by name, so that the next
        // holder begins with the endpoints that the former one had load.
        wanted.sort_by_key(|place| (self.times(place), place.endpoint.clone()));
        let loading = self.loading(now, places);
        let mut free = self.bounds.loads.saturating_sub(loading.len());
        wanted.retain(|place| {
            // Another order in place of a load takes that load's room.
            if !loads(place) || loading.contains(&&place.endpoint) {
                return true;
            }
            let room = free > 0;
            free = free.saturating_sub(1);
            room
        });
        wanted
    }

    fn times(&self, place: &Place) -> u32 {
        self.sent.get(&place.endpoint).map_or(0, |sent| sent.times)
    }

    fn may_send(&self, now: Millis, place: &Place) -> bool {
        if place.in_force.is_none() {
            return false;
        }
        let sent = self.sent_to(place);
        if !place.differs() {
            // It has what is wanted; an order makes it refuse earlier holders.
            return place.checks && sent.is_none_or(|sent| !sent.taken);
        }
        if !place.checks && now < self.since + self.bounds.send {
            // An order of the former holder may still be on its way.
            return false;
        }
        match sent {
            None => true,
            // Read back and not in force: it was lost, or undone by a late order.
            Some(sent) if !sent.taken || !sent.loads => now >= sent.at + self.bounds.send,
            Some(sent) => now >= sent.at + self.bounds.load,
        }
    }

    /// What was sent to a place, if that is still what is wanted.
    fn sent_to(&self, place: &Place) -> Option<&Sent> {
        let sent = self.sent.get(&place.endpoint);
        sent.filter(|sent| sent.wanted.same(&place.wanted))
    }

    /// The endpoints that load now, also those whose load is not wanted any more.
    fn loading<'a>(&'a self, now: Millis, places: &[Place]) -> Vec<&'a name::Endpoint> {
        let done = |name: &name::Endpoint, sent: &Sent| {
            let place = places.iter().find(|place| place.endpoint == *name);
            let in_force = place.and_then(|place| place.in_force.as_ref());
            in_force.is_some_and(|in_force| in_force.same(&sent.wanted))
        };
        let loading = self.sent.iter().filter(|(name, sent)| {
            sent.loads && now < sent.at + self.bounds.load && !done(name, sent)
        });
        loading.map(|(name, _)| name).collect()
    }

    /// An order was sent at a time and answered.
    pub fn sent(&mut self, at: Millis, place: &Place, answer: Answer) {
        let times = self.times(place) + 1;
        let sent = Sent {
            wanted: place.wanted.clone(),
            at,
            taken: answer == Answer::Taken,
            loads: loads(place),
            times,
        };
        self.sent.insert(place.endpoint.clone(), sent);
    }

    /// Whether nothing is left to do under the present fence: every endpoint that
    /// answers is as wanted, and those that check have seen the fence.
    pub fn settled(&self, places: &[Place]) -> bool {
        places.iter().all(|place| {
            let raised = self.sent_to(place).is_some_and(|sent| sent.taken);
            place.in_force.is_none() || (!place.differs() && (raised || !place.checks))
        })
    }
}

fn loads(place: &Place) -> bool {
    let in_force = place.in_force.as_ref();
    in_force.is_some_and(|in_force| place.wanted.loads(in_force))
}
