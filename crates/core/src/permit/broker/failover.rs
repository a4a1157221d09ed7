//! Handles homes that change, become unresponsive or recover.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::Incarnation;
use crate::permit::NameHash;

use super::{
    ActivePermit, Broker, MAX_REDIRECTS, PLACEMENT_RETRY_DELAY, PendingRequest, Source, Step,
    WaitState,
};

impl Broker {
    /// Adapts loans, permits and requests to a change of members or homes.
    pub fn topology_changed(&mut self, step: &mut Step) {
        self.unconfirmed_releases
            .retain(|_, release| step.context.is_alive(release.home));
        self.drop_moved_loans(step);
        let mut moved = BTreeSet::new();
        for active in self.active.values_mut() {
            let home = step.context.topology.home(active.pool);
            if let Some(home) = home
                && active.reassign(home)
            {
                moved.insert((active.pool, home));
            }
        }
        for (pool, home) in moved {
            self.send_sync(step, home, Some(pool));
        }
        self.move_matching(step, |step, home, pool| {
            step.context.topology.home(pool) != Some(home)
        });
        self.leave_fallback(step);
    }

    /// Handles the announcement of an entry that it is now the home of a pool.
    pub fn claim(&mut self, step: &mut Step, from: Incarnation, pool: NameHash) {
        if !step.context.is_alive(from) {
            return;
        }
        self.drop_loan(pool, from);
        for active in self.active.values_mut() {
            if active.pool == pool {
                active.reassign(from);
            }
        }
        self.send_sync(step, from, Some(pool));
        let moved = self.take_matching(step, |_, pending| {
            matches!(pending.wait, WaitState::AtHome { home, pool: requested, .. }
                if requested == pool && home != from)
        });
        for pending in moved {
            self.acquire_at(step, pending, pool, from);
        }
    }

    /// Moves requests away from an entry that has become unresponsive.
    pub fn peer_unresponsive(&mut self, step: &mut Step, peer: Incarnation) {
        self.move_matching(step, |_, home, _| home == peer);
    }

    /// Ends the local fallback for pools whose home is reachable again.
    pub fn leave_fallback(&mut self, step: &mut Step) {
        let reached: BTreeMap<NameHash, Incarnation> = self
            .fallback
            .pools()
            .into_iter()
            .filter_map(|pool| Some((pool, step.context.topology.home(pool)?)))
            .filter(|(_, home)| !step.transport.is_unresponsive(*home))
            .collect();
        for (pool, home) in reached {
            // Waiting requests must be withdrawn first, otherwise they would be
            // granted the slots of the runs that are handed over. They are
            // placed again last, when the home counts those runs.
            let waits = |_: &Step, pending: &PendingRequest| pending.wait == WaitState::Local(pool);
            let waiting = self.take_matching(step, waits);
            self.hand_over_runs(step, pool, home);
            self.send_sync(step, home, Some(pool));
            for pending in waiting {
                self.place(step, pending);
            }
        }
    }

    /// Hands the runs of the local fallback over to the home, which counts them
    /// from now on.
    fn hand_over_runs(&mut self, step: &mut Step, pool: NameHash, home: Incarnation) {
        let mut counted = Vec::new();
        for (number, active) in &mut self.active {
            if active.pool == pool && matches!(active.source, Source::Local(_)) {
                active.source = Source::Home(home);
                counted.push(*number);
            }
        }
        for number in counted {
            let decisions = self.fallback.withdraw(step, pool, number);
            self.apply_fallback_decisions(step, pool, decisions);
        }
    }

    /// Handles the reply that an entry is not the pool's home.
    pub fn not_home(
        &mut self,
        step: &mut Step,
        from: Incarnation,
        number: u64,
        hint: Option<Incarnation>,
    ) {
        let Some(pool) = self.pending_pool(number, from) else {
            return;
        };
        let Some(mut pending) = self.take_pending(number) else {
            return;
        };
        pending.redirects += 1;
        if pending.redirects > MAX_REDIRECTS {
            pending.redirects = 0;
            pending.tried_pools.push(pool);
            self.place(step, pending);
            return;
        }
        let hint = hint.filter(|hint| *hint != from && step.context.is_alive(*hint));
        match hint {
            // Follow the hint only every second time, so that two entries that
            // name each other do not cause a loop.
            Some(home) if pending.redirects % 2 == 1 => self.acquire_at(step, pending, pool, home),
            _ => {
                pending.wait = WaitState::Unplaced(step.context.now + PLACEMENT_RETRY_DELAY);
                self.insert_pending(pending);
            }
        }
    }

    /// Places the requests again whose home and pool match a condition.
    fn move_matching(
        &mut self,
        step: &mut Step,
        condition: impl Fn(&Step, Incarnation, NameHash) -> bool,
    ) {
        let moved = self.take_matching(step, |step, pending| {
            matches!(pending.wait, WaitState::AtHome { home, pool, .. }
                if condition(step, home, pool))
        });
        for pending in moved {
            self.place(step, pending);
        }
    }

    /// Withdraws the requests that match a condition and returns them.
    fn take_matching(
        &mut self,
        step: &mut Step,
        condition: impl Fn(&Step, &PendingRequest) -> bool,
    ) -> Vec<PendingRequest> {
        let found = self
            .pending
            .iter()
            .filter(|(_, pending)| condition(step, pending));
        let found: Vec<u64> = found.map(|(number, _)| *number).collect();
        let mut taken = Vec::new();
        for number in found {
            if let Some(pending) = self.take_pending(number) {
                self.leave(step, number, pending.wait);
                taken.push(pending);
            }
        }
        taken
    }
}

impl ActivePermit {
    /// Makes another home count this permit. Returns false if that home already
    /// did, or if the permit belongs to a loan or to the local fallback.
    fn reassign(&mut self, home: Incarnation) -> bool {
        let before = self.source;
        if matches!(before, Source::Unknown | Source::Home(_)) {
            self.source = Source::Home(home);
        }
        self.source != before
    }
}
