//! Messages of another entry, as the relay gets them.

use std::net::SocketAddr;

use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::fleet::Member;
use woodgap_core::relay::load_report::LoadReport;
use woodgap_relay::gossip::message::{Knowledge, Message};

/// An entry that knows nothing.
pub const IGNORANT: Knowledge = Knowledge {
    plan: 0,
    plan_age: Millis(0),
    endpoints: 0,
    endpoints_age: Millis(0),
    evacuation: 0,
    withheld: false,
};

/// A question of an entry at this address that knows so much.
pub fn question(name: &str, address: SocketAddr, knowledge: Knowledge) -> Message {
    Message {
        number: 1,
        is_answer: false,
        from: Member {
            name: name::Entry::from(name),
            incarnation: name::Incarnation(1),
            peer: address,
            front: address,
            data_centre: name::DataCentre::from("dub-a"),
            stopping: false,
            ready: true,
            reaches_platform: true,
            reaches_endpoints: true,
        },
        knowledge,
        known_entries: 0,
        members: Vec::new(),
        load: LoadReport::default(),
        idle_limits: Vec::new(),
        rate_limits: Vec::new(),
        departures: Vec::new(),
        brittle: Vec::new(),
        suspects: Vec::new(),
        unix: Millis(1_600_000_000_000),
        claim: None,
    }
}
