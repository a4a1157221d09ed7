//! Faults in the simulated network: entries that are killed, frozen,
//! disconnected or wrongly declared gone.

use woodgap_core::membership::Standing;
use woodgap_core::name;

use crate::network::{Event, Network, Request, Status, incarnation};
use woodgap_core::clock::Millis;

impl Network {
    /// Ends an entry's process and with it its connections to engines.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
        for engine in self.engines.values_mut() {
            engine.running.retain(|(holder, _)| *holder != node);
        }
        for (request, state) in &mut self.requests {
            let open = matches!(state.status, Status::Waiting | Status::Running);
            if request.incarnation == incarnation(node) && open {
                state.status = Status::Lost;
            }
        }
        self.schedule_standing_for_others(node, Standing::Gone, 2_000, 3_000);
    }

    /// Stops an entry's process for long enough that the others declare it gone.
    pub fn freeze(&mut self, node: usize) {
        self.pause(node);
        self.schedule_standing_for_others(node, Standing::Gone, 2_000, 3_000);
    }

    /// Stops an entry's process without the others noticing.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].frozen = true;
    }

    /// Resumes a paused entry.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].frozen = false;
        for event in std::mem::take(&mut self.nodes[node].backlog) {
            self.process(event);
        }
    }

    /// Resumes a frozen entry, after which the others see it alive again.
    pub fn unfreeze(&mut self, node: usize) {
        if self.nodes[node].alive && self.nodes[node].frozen {
            self.resume(node);
            // Later than the last entry that declares it gone.
            self.schedule_standing_for_others(node, Standing::Live, 3_000, 4_000);
        }
    }

    /// Resumes all entries.
    pub fn unfreeze_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.unfreeze(node);
        }
    }

    /// Partitions the entries into two groups, which then declare each other
    /// gone.
    pub fn part(&mut self, left: &[usize]) {
        for one in 0..self.nodes.len() {
            for other in 0..self.nodes.len() {
                if left.contains(&one) != left.contains(&other) {
                    self.blocked_links.insert((one, other));
                    self.schedule_standing(one, other, Standing::Gone, 2_000, 3_000);
                }
            }
        }
    }

    /// Restores all links, after which the entries see each other alive again.
    pub fn heal_partitions(&mut self) {
        for (one, other) in std::mem::take(&mut self.blocked_links) {
            self.schedule_standing(one, other, Standing::Live, 3_000, 4_000);
        }
    }

    /// Drops all messages between two entries without their standing being
    /// affected.
    pub fn block_link(&mut self, one: usize, other: usize) {
        self.blocked_links.extend([(one, other), (other, one)]);
    }

    /// Schedules a change of the standing in which one entry sees another, after
    /// a random delay between `least` and `most` milliseconds.
    pub fn schedule_standing(
        &mut self,
        viewer: usize,
        seen: usize,
        standing: Standing,
        least: u64,
        most: u64,
    ) {
        let delay = Millis(self.random_between(least, most));
        self.schedule(delay, Event::StandingChange(viewer, seen, standing));
    }

    fn schedule_standing_for_others(
        &mut self,
        seen: usize,
        standing: Standing,
        least: u64,
        most: u64,
    ) {
        for viewer in (0..self.nodes.len()).filter(|viewer| *viewer != seen) {
            self.schedule_standing(viewer, seen, standing, least, most);
        }
    }

    /// Withdraws up to `count` waiting requests, as if their callers had
    /// disconnected.
    pub fn withdraw_some(&mut self, count: usize) {
        let waiting = |(_, state): &(&name::Request, &Request)| state.status == Status::Waiting;
        let found = self.requests.iter().filter(waiting).take(count);
        let found: Vec<name::Request> = found.map(|(request, _)| *request).collect();
        for request in found {
            self.withdraw(request);
        }
    }
}
