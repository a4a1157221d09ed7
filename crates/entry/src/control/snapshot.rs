//! What the machine knows at one moment, for operators.

use woodgap_core::admin;
use woodgap_core::control::Machine;
use woodgap_core::control::directory::Endpoint;
use woodgap_core::membership::Member;

/// A copy of what the machine knows.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// All entries, by name.
    pub members: Vec<Member>,
    /// All endpoints, by name.
    pub endpoints: Vec<admin::Endpoint>,
    /// What the control side has cost so far.
    pub control: admin::Control,
}

impl Snapshot {
    /// A copy of what a machine knows now.
    pub fn of(machine: &Machine, control: admin::Control) -> Self {
        let endpoint = |endpoint: &Endpoint| admin::Endpoint {
            name: endpoint.name.clone(),
            data_centre: endpoint.data_centre.clone(),
            state: state(endpoint),
            in_flight: machine.in_flight(&endpoint.name),
            slots: endpoint.slots,
        };
        Self {
            members: machine.members().iter().cloned().collect(),
            endpoints: machine.directory().iter().map(endpoint).collect(),
            control,
        }
    }
}

fn state(endpoint: &Endpoint) -> admin::EndpointState {
    if endpoint.marks.gone_for_good() {
        admin::EndpointState::Leaving
    } else if endpoint.usable() {
        admin::EndpointState::Live
    } else {
        admin::EndpointState::Failing
    }
}
