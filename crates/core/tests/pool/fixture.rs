//! Requests and endpoints whose properties are derived from their number.

use std::net::{Ipv4Addr, SocketAddr};

use woodgap_core::clock::Millis;
use woodgap_core::control::{Ask, Directory};
use woodgap_core::instance::{Instance, Role, State};
use woodgap_core::name;
use woodgap_core::pool::Waiter;
use woodgap_core::tier::Tier;

pub const ENDPOINTS: usize = 4;
pub const SLOTS: u32 = 2;

/// Returns one of three tiers with two classes each.
pub fn class(number: u64) -> (Tier, name::Class) {
    let tier = u8::try_from(1 + number % 3).expect("small");
    let class = if (number / 3).is_multiple_of(2) {
        "link"
    } else {
        "caption"
    };
    (Tier::new(tier).expect("tier"), name::Class::from(class))
}

pub fn workspace(number: u64) -> name::Workspace {
    name::Workspace::from(if (number / 6).is_multiple_of(2) {
        "a"
    } else {
        "b"
    })
}

pub fn endpoint(index: usize) -> name::Endpoint {
    name::Endpoint::from(format!("e{index}"))
}

pub fn request(number: u64, holder: u64) -> name::Request {
    name::Request {
        incarnation: name::Incarnation(holder),
        sequence: number,
    }
}

/// Returns an ask after this many failed attempts.
pub fn waiter(now: Millis, number: u64, holder: u64, attempts: usize) -> Waiter {
    let (tier, class) = class(number);
    let ask = Ask {
        request: request(number, holder),
        target: name::Target::from("model"),
        workspace: workspace(number),
        tier,
        class,
        weight: 1,
        deadline: now + Millis(500),
        avoid: (0..attempts)
            .map(|index| endpoint(index % ENDPOINTS))
            .collect(),
        prefix: number % 4,
        identity: 0,
    };
    Waiter {
        ask,
        holder: name::Incarnation(holder),
    }
}

/// Returns a directory of all endpoints.
pub fn directory() -> Directory {
    let instance = |index: usize| Instance {
        name: format!("e{index}"),
        role: Role::Engine,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000)),
        data_centre: name::DataCentre::from("dub-a"),
        state: State::Live,
        targets: vec![name::Target::from("model")],
        slots: SLOTS,
        checks_fencing: false,
        peer_address: None,
    };
    let instances: Vec<_> = (0..ENDPOINTS).map(instance).collect();
    let mut directory = Directory::default();
    directory.update(&instances);
    directory
}
