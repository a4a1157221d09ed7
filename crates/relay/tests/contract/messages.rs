//! Messages between entries.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::fingerprint::{self, Fingerprint};
use woodgap_core::name;
use woodgap_core::quarantine::{Cause, Crash, Quarantine};
use woodgap_core::relay::RequestProfile;
use woodgap_core::relay::brittle;
use woodgap_core::relay::claim::Claim;
use woodgap_core::relay::departure::{self, Departures};
use woodgap_core::relay::engine::{LoadBalancer, ReportNotice};
use woodgap_core::relay::fleet::Member;
use woodgap_core::relay::load_report::LoadReport;
use woodgap_core::relay::plan::Engine;
use woodgap_core::relay::rate_limit::{self, RateLimits};
use woodgap_core::relay::roster::{Change, Endpoint};
use woodgap_core::relay::usage::Window;
use woodgap_core::relay::work::Work;
use woodgap_relay::gossip::message::{
    self, Knowledge, Listed, MAX_BRITTLE, MAX_DATAGRAM_BYTES, MAX_DEPARTURES, MAX_LOADS,
    MAX_RATE_LIMITS, MAX_SUSPECTS, Message,
};

use crate::peer::{IGNORANT, question};
use crate::site;

/// Who has the duties, in as many bytes as that may take.
fn claim() -> Claim {
    Claim {
        number: u64::MAX,
        holder: name::Entry::from("dub-a-very-long-name-of-an-entry-1"),
        collectors: vec![member(1).peer, member(2).peer],
        settled: Some(Window(u64::MAX)),
        heartbeat: u64::MAX,
        is_released: true,
    }
}

fn member(number: u64) -> Member {
    Member {
        name: name::Entry::from(format!("front-a-long-data-centre-name-{number}")),
        incarnation: name::Incarnation(u64::MAX - number),
        peer: ([10, 200, 200, 200], 65_000).into(),
        front: ([10, 200, 200, 200], 65_001).into(),
        data_centre: name::DataCentre::from("a-long-data-centre-name"),
        stopping: false,
        ready: true,
        reaches_platform: true,
        reaches_endpoints: true,
    }
}

/// The load of an entry that has long prompts at so many engines of each service.
fn busy(services: usize, engines: usize) -> LoadBalancer {
    let mut loads = LoadBalancer::new(name::DataCentre::from("a"), 1);
    for number in 0..services * engines {
        let endpoint = Endpoint {
            life: name::Life::from(name::Endpoint::from(format!("i-{number}"))),
            service: format!("model-{}", number % services),
            address: ([10, 0, 0, 1], 80).into(),
            data_centre: name::DataCentre::from("a"),
            slots: 64,
            leaving: false,
            reclaimable: false,
            cold_for: Millis::ZERO,
            version: String::new(),
        };
        let work = Work {
            prompt_tokens: 3_000_000,
            output_limit: 1_000_000,
            ..Work::default()
        };
        let ask = RequestProfile {
            work: Some(&work),
            engine: Some(Engine {
                slots: 64,
                memory_tokens: u32::MAX,
                event_tokens: 4,
                moves_prompts: true,
            }),
            gap: Some(Millis(200)),
        };
        let choice = loads.choose(&[&endpoint], &ask, Millis(0));
        let ticket = loads.begin(&choice.expect("it is open"), &ask, Millis(0));
        for event in 0..20 {
            loads.record_event(&ticket, 4, Millis(event * 900));
        }
    }
    loads
}

/// The rate limits of many endpoints, in as many bytes as they may take.
fn rate_limits() -> Vec<rate_limit::Notice> {
    let mut limits = RateLimits::new(1);
    for number in 0..2 * MAX_RATE_LIMITS {
        let life = name::Life::from(name::Endpoint::from(format!("i-{number}")));
        limits.record(&life, Some(f64::MAX), Millis(0));
    }
    limits.notices(MAX_RATE_LIMITS, Millis(599_999))
}

/// Many endpoints that are leaving, in as many bytes as they may take.
fn brittle() -> Vec<brittle::Notice> {
    let notice = brittle::Notice {
        service: u32::MAX,
        age: Millis(2_999),
    };
    vec![notice; MAX_BRITTLE]
}

fn departures() -> Vec<departure::Notice> {
    let mut departures = Departures::default();
    for number in 0..2 * MAX_DEPARTURES {
        let life = name::Life::from(name::Endpoint::from(format!("i-{number}")));
        departures.record(&life, Millis(0));
    }
    departures.notices(MAX_DEPARTURES, Millis(599_999))
}

/// Reports of many endpoints, in as many bytes as they may take.
fn reports() -> LoadReport {
    let report = |endpoint| ReportNotice {
        endpoint,
        in_flight: u16::MAX,
        slowdown_percent: u16::MAX,
        age_ms: 999,
    };
    LoadReport {
        reports: (u32::MAX - 50..u32::MAX).map(report).collect(),
        ..LoadReport::default()
    }
}

/// However much an entry has to tell, it fits into one datagram.
#[rstest]
fn a_message_fits_into_a_datagram(
    #[values((1, 120), (4, 30), (22, 10))] (services, engines): (usize, usize),
    #[values(Vec::new(), rate_limits())] rate_limits: Vec<rate_limit::Notice>,
    #[values(Vec::new(), departures())] departures: Vec<departure::Notice>,
    #[values(Vec::new(), brittle())] brittle: Vec<brittle::Notice>,
    #[values(false, true)] has_reports: bool,
) {
    let max_loads = MAX_LOADS - rate_limits.len() - departures.len() - brittle.len();
    let mut loads = busy(services, engines);
    loads.set_scheduled("model-0", has_reports);
    loads.apply_gossip(&name::Entry::from("e-9"), &reports(), Millis(18_000));
    let load = loads.gossip(max_loads, Millis(18_000));
    assert!(!load.endpoints.is_empty() && !load.services.is_empty());
    assert_eq!(load.reports.is_empty(), !has_reports);
    let message = Message {
        number: u64::MAX,
        is_answer: true,
        from: member(1),
        knowledge: Knowledge {
            plan: u64::MAX,
            plan_age: Millis(u64::MAX),
            endpoints: u64::MAX,
            endpoints_age: Millis(u64::MAX),
            evacuation: u64::MAX,
            withheld: true,
        },
        known_entries: usize::MAX,
        members: vec![member(2)],
        load,
        idle_limits: Vec::new(),
        rate_limits,
        departures,
        brittle,
        suspects: Vec::new(),
        unix: Millis(u64::MAX),
        claim: Some(claim()),
    };
    let bytes = message::encode(&message).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    assert_eq!(message::decode(&bytes), Some(message));
}

/// An answer to an entry that has just started tells of as many others as it holds.
#[test]
fn a_message_is_filled_with_entries_up_to_its_size() {
    let mut message = Message {
        number: 1,
        is_answer: true,
        from: member(1),
        knowledge: Knowledge {
            plan: 1,
            plan_age: Millis(0),
            endpoints: 1,
            endpoints_age: Millis(0),
            evacuation: 1,
            withheld: true,
        },
        known_entries: 300,
        members: Vec::new(),
        load: busy(1, 20).gossip(MAX_LOADS, Millis(18_000)),
        idle_limits: Vec::new(),
        rate_limits: Vec::new(),
        departures: Vec::new(),
        brittle: Vec::new(),
        suspects: Vec::new(),
        unix: Millis(1),
        claim: None,
    };
    let members: Vec<_> = (0..300).map(member).collect();
    let members: Vec<_> = members.iter().collect();
    message::add_members(&mut message, &members).unwrap();
    let bytes = message::encode(&message).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    assert!(message.members.len() >= 5, "{} told", message.members.len());
    assert_eq!(message::decode(&bytes), Some(message));
}

/// An entry tells another one of several lives as it knows them, with rows of an earlier
/// writer, which have no start, among them: as a whole list, and change by change.
#[test]
fn lives_pass_from_entry_to_entry_as_they_are() {
    let rows = [Some(Millis(100)), None, Some(Millis(200))].map(|started_unix| {
        let mut row = site::endpoint(1, ([10, 0, 0, 1], 80).into());
        row.life.started_unix = started_unix;
        row
    });
    let changes = rows.iter().cloned().map(Change::Listed);
    let changes = Listed::Changes((5..).zip(changes).collect());
    for listed in [Listed::All(rows.to_vec()), changes] {
        let bytes = postcard::to_stdvec(&listed).unwrap();
        assert_eq!(postcard::from_bytes::<Listed>(&bytes), Ok(listed));
    }
}

/// What is told of requests that endpoints crashed with fits beside the load, as many as it may.
#[rstest]
#[case::small(1, 1, 12)]
#[case::full(22, 48, 3)]
fn a_message_is_filled_with_suspects_up_to_its_size(
    #[case] services: usize,
    #[case] engines: usize,
    #[case] least: usize,
) {
    let mut message = question("e-1", "127.0.0.1:1".parse().unwrap(), IGNORANT);
    message.load = busy(services, engines).gossip(MAX_LOADS, Millis(18_000));
    let mut quarantine = Quarantine::default();
    for number in 0_u32..40 {
        let request = fingerprint::Request {
            caller: "murphy",
            method: "POST",
            host: "album.example",
            target: "/captions/",
            body: &number.to_le_bytes(),
        };
        for endpoint in 0..3 {
            let sent = Millis(1_000 * u64::from(endpoint));
            let at = sent + Millis(500);
            let crash = Crash {
                endpoint: u32::MAX - endpoint,
                sent,
                at,
                pieces: u32::MAX,
            };
            quarantine.record_crash(&[Cause::Request(Fingerprint::of(&request))], crash, at);
        }
    }
    let suspects = quarantine.histories_to_send(MAX_SUSPECTS, Millis(4_000));
    message::add_suspects(&mut message, suspects).unwrap();
    let bytes = message::encode(&message).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    assert!(
        message.suspects.len() >= least,
        "{} told",
        message.suspects.len()
    );
}
