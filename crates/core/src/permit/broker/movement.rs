//! Homes that move, fall silent or come back.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::Incarnation;
use crate::permit::Id;

use super::{Broker, Holding, MOST_MISSES, PLACE_AGAIN, Place, Source, Step, Wanted};

impl Broker {
    /// Homes or entries have changed.
    pub fn update(&mut self, step: &mut Step) {
        self.ends.retain(|_, end| step.context.alive(end.home));
        self.drop_moved_loans(step);
        let mut moved = BTreeSet::new();
        for holding in self.held.values_mut() {
            let home = step.context.topology.home(holding.pool);
            if let Some(home) = home
                && holding.follow(home)
            {
                moved.insert((holding.pool, home));
            }
        }
        for (pool, home) in moved {
            self.sync(step, home, Some(pool));
        }
        self.move_asks(step, |step, home, pool| {
            step.context.topology.home(pool) != Some(home)
        });
        self.rejoin(step);
    }

    /// Another entry says that it is home to a pool now.
    pub fn claim(&mut self, step: &mut Step, from: Incarnation, pool: Id) {
        if !step.context.alive(from) {
            return;
        }
        self.drop_loan(pool, from);
        for holding in self.held.values_mut() {
            if holding.pool == pool {
                holding.follow(from);
            }
        }
        self.sync(step, from, Some(pool));
        let moved = self.take_back(step, |_, wanted| {
            matches!(wanted.place, Place::Asked { home, pool: asked, .. }
                if asked == pool && home != from)
        });
        for wanted in moved {
            self.ask_home(step, wanted, pool, from);
        }
    }

    /// An entry that owes answers has said nothing for long.
    pub fn silent(&mut self, step: &mut Step, peer: Incarnation) {
        self.move_asks(step, |_, home, _| home == peer);
    }

    /// What is served alone goes back to homes that can be reached again.
    pub fn rejoin(&mut self, step: &mut Step) {
        let reached: BTreeMap<Id, Incarnation> = self
            .fallback
            .pools()
            .into_iter()
            .filter_map(|pool| Some((pool, step.context.topology.home(pool)?)))
            .filter(|(_, home)| !step.post.silent(*home))
            .collect();
        for (pool, home) in reached {
            // What waits must leave first, else it would be granted the places
            // that are handed over; and ask last, when the home counts them.
            let waits = |_: &Step, wanted: &Wanted| wanted.place == Place::Alone(pool);
            let waiting = self.take_back(step, waits);
            self.hand_over_runs(step, pool, home);
            self.sync(step, home, Some(pool));
            for wanted in waiting {
                self.place(step, wanted);
            }
        }
    }

    /// Has a home count what runs of its pool out of the own fraction.
    fn hand_over_runs(&mut self, step: &mut Step, pool: Id, home: Incarnation) {
        let mut counted = Vec::new();
        for (number, holding) in &mut self.held {
            if holding.pool == pool && matches!(holding.source, Source::Alone(_)) {
                holding.source = Source::Home(home);
                counted.push(*number);
            }
        }
        for number in counted {
            let decisions = self.fallback.withdraw(step, pool, number);
            self.carry_out_alone(step, pool, decisions);
        }
    }

    /// The entry that was asked is not home.
    pub fn not_home(
        &mut self,
        step: &mut Step,
        from: Incarnation,
        number: u64,
        hint: Option<Incarnation>,
    ) {
        let Some(pool) = self.asked(number, from) else {
            return;
        };
        let Some(mut wanted) = self.take(number) else {
            return;
        };
        wanted.misses += 1;
        if wanted.misses > MOST_MISSES {
            wanted.misses = 0;
            wanted.tried.push(pool);
            self.place(step, wanted);
            return;
        }
        let hint = hint.filter(|hint| *hint != from && step.context.alive(*hint));
        match hint {
            // Every second time, so that two that name each other are not asked in circles.
            Some(home) if wanted.misses % 2 == 1 => self.ask_home(step, wanted, pool, home),
            _ => {
                wanted.place = Place::Unplaced(step.context.now + PLACE_AGAIN);
                self.keep(wanted);
            }
        }
    }

    /// Places asks anew whose home and pool fulfil a condition.
    fn move_asks(&mut self, step: &mut Step, when: impl Fn(&Step, Incarnation, Id) -> bool) {
        let moved = self.take_back(step, |step, wanted| {
            matches!(wanted.place, Place::Asked { home, pool, .. } if when(step, home, pool))
        });
        for wanted in moved {
            self.place(step, wanted);
        }
    }

    /// Takes asks back from where they wait.
    fn take_back(&mut self, step: &mut Step, when: impl Fn(&Step, &Wanted) -> bool) -> Vec<Wanted> {
        let found = self.wanted.iter().filter(|(_, wanted)| when(step, wanted));
        let found: Vec<u64> = found.map(|(number, _)| *number).collect();
        let mut taken = Vec::new();
        for number in found {
            if let Some(wanted) = self.take(number) {
                self.leave(step, number, wanted.place);
                taken.push(wanted);
            }
        }
        taken
    }
}

impl Holding {
    /// Has another home count the permit. False: it did already, or it is
    /// counted under a loan or alone.
    fn follow(&mut self, home: Incarnation) -> bool {
        let before = self.source;
        if matches!(before, Source::Unknown | Source::Home(_)) {
            self.source = Source::Home(home);
        }
        self.source != before
    }
}
