//! Endpoints that say in their answers that they are leaving.

use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::departure::{Departures, Notice};
use woodgap_core::relay::roster::Endpoint;
use woodgap_core::relay::{Evacuation, Roster, load_report};

fn life(number: usize, started: Option<u64>) -> name::Life {
    name::Life {
        id: name::Endpoint::from(format!("i-{number}")),
        started_unix: started.map(Millis),
    }
}

fn row(life: name::Life) -> Endpoint {
    Endpoint {
        life,
        service: "links".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: name::DataCentre::from("a"),
        slots: 8,
        leaving: false,
        reclaimable: false,
        cold_for: Millis::ZERO,
        version: String::new(),
    }
}

/// The names of the endpoints that may be used at this moment.
fn usable(roster: &Roster, now: u64) -> Vec<String> {
    let usable = roster.usable("links", &Evacuation::default(), Millis(now));
    usable.iter().map(|it| it.life.id.to_string()).collect()
}

#[test]
fn what_is_new_is_told_first_and_all_in_turn() {
    let mut departures = Departures::default();
    for number in 0..4 {
        assert!(departures.record(&life(number, None), Millis(0)));
    }
    assert!(!departures.record(&life(0, None), Millis(100)));
    let mut told: Vec<_> = [300, 600]
        .iter()
        .flat_map(|now| departures.notices(2, Millis(*now)))
        .collect();
    told.sort_by_key(|notice| notice.endpoint);
    told.dedup_by_key(|notice| notice.endpoint);
    assert_eq!(told.len(), 4);
    departures.record(&life(9, None), Millis(700));
    let next = departures.notices(1, Millis(900));
    let key = load_report::life_key(&life(9, None));
    assert_eq!(
        next,
        [Notice {
            endpoint: key,
            age: Millis(200)
        }]
    );
}

#[test]
fn a_departure_is_forgotten_long_after_it_was_last_heard_of() {
    let mut departures = Departures::default();
    departures.record(&life(0, None), Millis(0));
    departures.record(&life(0, None), Millis(5_000));
    departures.expire(Millis(604_999));
    assert!(departures.contains(&life(0, None)));
    let old = Notice {
        endpoint: load_report::life_key(&life(1, None)),
        age: Millis(600_000),
    };
    assert!(departures.merge(&[old], Millis(604_999)).is_empty());
    departures.expire(Millis(605_000));
    assert!(!departures.contains(&life(0, None)));
}

/// Another entry tells of it before its row is known here.
#[test]
fn a_leaving_endpoint_is_not_usable_whatever_its_row_says() {
    let mut roster = Roster::new(Millis(2_000));
    let told = Notice {
        endpoint: load_report::life_key(&life(0, Some(1))),
        age: Millis(50),
    };
    assert_eq!(roster.merge_departures(&[told], Millis(0)).len(), 1);
    let rows = vec![row(life(0, Some(1))), row(life(1, Some(1)))];
    roster.replace(rows, 1, Millis(0), Millis(0));
    assert_eq!(usable(&roster, 0), ["i-1"]);
    assert!(roster.is_leaving(&life(0, Some(1))));
    // A later life of it is another endpoint.
    let rows = vec![row(life(0, Some(2))), row(life(1, Some(1)))];
    roster.replace(rows, 2, Millis(0), Millis(0));
    assert_eq!(usable(&roster, 0), ["i-0", "i-1"]);
}

/// The other endpoint's row has lapsed, and it still serves.
#[test]
fn an_unlisted_endpoint_is_better_than_a_leaving_one() {
    let mut roster = Roster::new(Millis(2_000));
    let rows = vec![row(life(0, None)), row(life(1, None))];
    roster.replace(rows, 1, Millis(0), Millis(0));
    roster.replace(vec![row(life(0, None))], 2, Millis(0), Millis(0));
    assert_eq!(usable(&roster, 100), ["i-0"]);
    roster.record_departure(&life(0, None), Millis(100));
    assert_eq!(usable(&roster, 100), ["i-1"]);
}
