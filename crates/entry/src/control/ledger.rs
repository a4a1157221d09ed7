//! What outlives a restart of the control branch: the permits in use, and the
//! last list of instances.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use woodgap_core::control::{Event, Held};
use woodgap_core::instance::Instance;
use woodgap_core::name;

/// Notes that a new machine is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    notes: Arc<Mutex<Notes>>,
}

#[derive(Debug, Default)]
struct Notes {
    held: BTreeMap<name::Request, Held>,
    instances: Option<Vec<Instance>>,
}

impl Ledger {
    /// A permit is given to a request.
    pub fn granted(&self, held: Held) {
        self.with(|notes| notes.held.insert(held.ask.request, held));
    }

    /// A request has given its permit back.
    pub fn ended(&self, request: name::Request) {
        self.with(|notes| notes.held.remove(&request));
    }

    /// The platform's list was read.
    pub fn listed(&self, instances: Vec<Instance>) {
        self.with(|notes| notes.instances = Some(instances));
    }

    /// What a new machine is to be told.
    pub fn events(&self) -> Vec<Event> {
        self.with(|notes| {
            let list = notes.instances.clone().map(Event::Instances);
            let held: Vec<Held> = notes.held.values().cloned().collect();
            let restore = (!held.is_empty()).then_some(Event::Restore(held));
            list.into_iter().chain(restore).collect()
        })
    }

    /// A panic elsewhere leaves the notes as they are: each change is a single step.
    fn with<T>(&self, act: impl FnOnce(&mut Notes) -> T) -> T {
        let mut notes = self.notes.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut notes)
    }
}
