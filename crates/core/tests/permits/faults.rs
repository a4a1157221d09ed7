//! What befalls the network: entries killed, frozen, cut off and misjudged.

use woodgap_core::membership::Standing;
use woodgap_core::name;

use crate::network::{Fate, Network, Request, What, incarnation};
use woodgap_core::clock::Millis;

impl Network {
    /// An entry's process ends; so do its connections to engines.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
        for engine in self.engines.values_mut() {
            engine.running.retain(|(holder, _)| *holder != node);
        }
        for (request, state) in &mut self.requests {
            let open = matches!(state.fate, Fate::Waiting | Fate::Running);
            if request.incarnation == incarnation(node) && open {
                state.fate = Fate::Lost;
            }
        }
        self.others_see(node, Standing::Gone, 2_000, 3_000);
    }

    /// An entry's process stops running, and the others notice.
    pub fn freeze(&mut self, node: usize) {
        self.pause(node);
        self.others_see(node, Standing::Gone, 2_000, 3_000);
    }

    /// An entry's process stops running, too short for anyone to notice.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].frozen = true;
    }

    /// A paused entry runs again.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].frozen = false;
        for what in std::mem::take(&mut self.nodes[node].backlog) {
            self.happen(what);
        }
    }

    /// A frozen entry runs again, and the others notice.
    pub fn wake(&mut self, node: usize) {
        if self.nodes[node].alive && self.nodes[node].frozen {
            self.resume(node);
            // Later than the last that held it to be gone.
            self.others_see(node, Standing::Live, 3_000, 4_000);
        }
    }

    /// All entries run again.
    pub fn wake_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.wake(node);
        }
    }

    /// Two groups of entries no longer reach one another, and notice.
    pub fn part(&mut self, left: &[usize]) {
        for one in 0..self.nodes.len() {
            for other in 0..self.nodes.len() {
                if left.contains(&one) != left.contains(&other) {
                    self.cut.insert((one, other));
                    self.see(one, other, Standing::Gone, 2_000, 3_000);
                }
            }
        }
    }

    /// All entries reach one another again, and notice.
    pub fn merge_all(&mut self) {
        for (one, other) in std::mem::take(&mut self.cut) {
            self.see(one, other, Standing::Live, 3_000, 4_000);
        }
    }

    /// Two entries lose each other's messages, which nobody notices.
    pub fn cut_off(&mut self, one: usize, other: usize) {
        self.cut.extend([(one, other), (other, one)]);
    }

    /// One entry comes to see another in some standing, within a span from now.
    pub fn see(&mut self, viewer: usize, seen: usize, standing: Standing, least: u64, most: u64) {
        let delay = Millis(self.draw(least, most));
        self.schedule(delay, What::See(viewer, seen, standing));
    }

    fn others_see(&mut self, seen: usize, standing: Standing, least: u64, most: u64) {
        for viewer in (0..self.nodes.len()).filter(|viewer| *viewer != seen) {
            self.see(viewer, seen, standing, least, most);
        }
    }

    /// The callers of some waiting requests go away.
    pub fn withdraw_some(&mut self, count: usize) {
        let waiting = |(_, state): &(&name::Request, &Request)| state.fate == Fate::Waiting;
        let found = self.requests.iter().filter(waiting).take(count);
        let found: Vec<name::Request> = found.map(|(request, _)| *request).collect();
        for request in found {
            self.withdraw(request);
        }
    }
}
