//! What an entry learns from others while the platform does not answer it.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_relay::gossip::message::FORM;

use crate::caller::get;
use crate::endpoint::{Endpoint, whole};
use crate::site::{Fixed, Site, Told, endpoint, plan, source, until};

/// An entry that the platform answers, and one that it turns away.
fn two(address: std::net::SocketAddr) -> (Site, Site) {
    let first = Site::start(&[address]);
    let second = Site::with("dub-a-2", turned_away(&first));
    second.until_ready();
    (first, second)
}

/// A platform that answers nothing, of which only the other entry's address is known.
fn turned_away(other: &Site) -> Fixed {
    Fixed(Arc::new(Mutex::new(Told {
        is_down: true,
        entries: vec![other.peer],
        ..Told::default()
    })))
}

#[test]
fn plan_endpoints_and_their_freshness_come_from_another_entry() {
    let server = Endpoint::always(vec![whole("yes")]);
    let (first, second) = two(server.address);
    assert_eq!(get(second.requests, "/read/", "r1", "").status, 200);
    // Both are told to callers, by either.
    for site in [&first, &second] {
        until(|| {
            let text = get(site.directory, "/v1/entries", "x", "").text();
            [&first, &second]
                .iter()
                .all(|it| text.contains(&it.requests.to_string()))
        });
    }
    // Once the other does not know either, keys are no longer trusted.
    first.source.0.lock().unwrap().is_down = true;
    until(|| get(second.requests, "/read/", "r2", "").status == 503);
}

/// An entry that starts while the platform is lost learns the plan of another entry,
/// and also how old its confirmation is: older than the process itself.
#[test]
fn a_plan_is_no_younger_for_an_entry_that_has_just_started() {
    let server = Endpoint::always(vec![whole("yes")]);
    // Longer than an entry takes to hear of another one.
    let trust = r#""revoke_ms": 5000"#;
    let first = Site::with_trust("dub-a-1", trust, source(&[server.address]));
    first.until_ready();
    first.source.0.lock().unwrap().is_down = true;
    until(|| get(first.requests, "/read/", "r1", "").status == 503);
    let second = Site::with_trust("dub-a-2", trust, turned_away(&first));
    until(|| {
        let metrics = get(second.metrics, "/metrics", "x", "").text();
        metrics.contains("plan_version 1") && metrics.contains("endpoints 1")
    });
    for site in [&second, &first] {
        assert_eq!(get(site.requests, "/read/", "r2", "").status, 503);
    }
}

#[test]
fn changes_come_from_another_entry() {
    let servers = [0, 1].map(|_| Endpoint::always(vec![whole("yes")]));
    let (first, second) = two(servers[0].address);
    {
        let mut told = first.source.0.lock().unwrap();
        let mut leaving = endpoint(0, servers[0].address);
        leaving.leaving = true;
        told.endpoints = vec![leaving, endpoint(1, servers[1].address)];
    }
    until(|| {
        get(second.requests, "/read/", "r1", "");
        !servers[1].seen().is_empty()
    });
    let before = servers[0].seen().len();
    for id in ["r2", "r3", "r4", "r5"] {
        assert_eq!(get(second.requests, "/read/", id, "").status, 200);
    }
    let seen = servers[0].seen();
    assert_eq!(seen.len(), before, "{seen:?}");
    let mut newer = plan(7);
    newer.workspaces[0].keys.clear();
    first.source.0.lock().unwrap().plan = Some(newer);
    until(|| get(second.requests, "/read/", "r6", "").status == 401);
}

/// A connection of the earlier life is not used for the later one, also where the start
/// was learnt from another entry.
#[test]
fn a_later_life_is_learnt_from_another_entry() {
    let server = Endpoint::always(vec![whole("yes")]);
    let (first, second) = two(server.address);
    let send = |id: &str| assert_eq!(get(second.requests, "/read/", id, "").status, 200);
    let last = || server.seen().last().map(|seen| seen.connection);
    send("r1");
    let before = last();
    until(|| {
        send("r2");
        last() == before
    });
    first.source.0.lock().unwrap().endpoints[0]
        .life
        .started_unix = Some(Millis(200));
    until(|| {
        send("r3");
        last() > before
    });
}

/// A message over TCP without the version of its form, or with another, is not answered, and
/// one of the right form still is afterwards. The entry reads no further than the version, and
/// resets the connection, so nothing may be done to it after the question is written.
#[rstest]
#[case::none(&[])]
#[case::another(&[FORM - 1])]
fn an_entry_of_another_form_gets_no_answer(#[case] form: &[u8]) {
    let server = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[server.address]);
    let ask = |form: &[u8]| {
        let mut stream = TcpStream::connect(site.peer).unwrap();
        // The length of the question, and that nothing is known.
        let question = [form, &[0, 0, 0, 3, 0, 0, 0]].concat();
        stream.write_all(&question).unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        answer
    };
    until(|| ask(&[FORM]).len() > 20);
    assert!(ask(form).is_empty());
    assert!(ask(&[FORM]).len() > 20);
}
