//! Duties of one entry at a time: reports of use that never came, and endpoints that nobody
//! ordered, on a platform that asks for both and checks no numbers itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

use serde_json::json;
use woodgap_core::clock::Millis;
use woodgap_core::name::{DataCentre, Workspace};
use woodgap_core::relay::Evacuation;
use woodgap_core::relay::plan::{Engine, Scaling};
use woodgap_core::relay::sizing::ScaleRequest;
use woodgap_core::relay::usage::{Counts, Window};
use woodgap_harness::Stand;
use woodgap_relay::duties::outlet::{Authority, Order, Ordered, Outlet, Report};
use woodgap_relay::duties::own::Own;

use crate::caller::get;
use crate::desk::{Call, Platform};
use crate::endpoint::{Endpoint, head, whole};
use crate::site::{Fixed, Site, source, until};

/// Entries that know one another, and the platform of their duties.
struct Fleet {
    sites: Vec<(String, Site)>,
    platform: Platform,
}

impl Fleet {
    fn start(count: usize, endpoint: SocketAddr) -> Self {
        Self::with(count, &source(&[endpoint]))
    }

    fn with(count: usize, told: &Fixed) -> Self {
        let mut fleet = Self {
            sites: Vec::new(),
            platform: Platform::default(),
        };
        for at in 0..count {
            let name = format!("dub-a-{at}");
            let source = Fixed::default();
            {
                let mut state = source.0.lock().unwrap();
                *state = told.0.lock().unwrap().clone();
                state.entries = fleet.sites.iter().map(|(_, site)| site.peer).collect();
            }
            let site = Site::with_duties(&name, source, fleet.platform.desk(&name));
            site.until_ready();
            fleet.sites.push((name, site));
        }
        fleet
    }

    /// Sends so many requests, to each entry in turn.
    fn ask(&self, requests: usize) {
        for at in 0..requests {
            let (_, site) = &self.sites[at % self.sites.len()];
            let answer = get(site.requests, "/read/", &format!("r{at}"), "");
            assert_eq!(answer.status, 200);
        }
    }

    fn until_reported(&self, windows: usize) {
        until(|| self.platform.reports().len() >= windows);
    }

    /// Who made the last call.
    fn holder(&self) -> String {
        let (by, _) = self.platform.calls().pop().unwrap();
        by.holder.to_string()
    }

    /// What was reported of each window: the same each time.
    fn windows(&self) -> BTreeMap<Window, Counts> {
        let mut windows = BTreeMap::new();
        for (_, Report { window, counts }) in self.platform.reports() {
            let before = windows.insert(window, counts.clone());
            assert!(
                before.is_none_or(|before| before == counts),
                "{window:?} differs"
            );
        }
        windows
    }

    /// All requests that were reported.
    fn reported(&self, workspace: &str) -> u64 {
        let windows = self.windows();
        let of = Workspace::from(workspace);
        windows.values().filter_map(|counts| counts.get(&of)).sum()
    }

    /// Each number has one holder, and none is lower than one before it.
    fn check_numbers(&self) {
        let mut holders: BTreeMap<u64, Authority> = BTreeMap::new();
        let mut last = 0;
        for (by, call) in self.platform.calls() {
            assert!(by.number >= last, "{call:?} by {by:?} after {last}");
            last = by.number;
            let holder = holders.entry(by.number).or_insert_with(|| by.clone());
            assert_eq!(*holder, by);
        }
    }

    /// Reports leave no window out.
    fn check_windows(&self) {
        let windows: Vec<u64> = self.windows().keys().map(|window| window.0).collect();
        let all: Vec<u64> = (windows[0]..=*windows.last().unwrap()).collect();
        assert_eq!(windows, all);
    }
}

/// What an endpoint sends of a stream before it is cut off.
const BEGUN: &str = "5\r\nid: 1\r\n";

#[test]
fn each_request_that_began_to_run_is_reported_once() {
    let server = Endpoint::always(vec![whole("yes")]);
    let fleet = Fleet::start(3, server.address);
    fleet.until_reported(1);
    fleet.ask(30);
    until(|| fleet.reported("murphy") >= 30);
    fleet.until_reported(fleet.platform.reports().len() + 2);
    assert_eq!(fleet.reported("murphy"), 30);
    fleet.check_numbers();
    fleet.check_windows();
}

/// A window that the platform had taken was reported again, with other counts: the register of the
/// copy did not name it as settled, and no entry was left that knew.
#[test]
fn a_window_is_not_reported_again_after_a_restore_and_a_loss_of_all_entries() {
    let server = Endpoint::always(vec![whole("yes")]);
    let told = source(&[server.address]);
    let mut fleet = Fleet::with(1, &told);
    fleet.until_reported(1);
    let copy = fleet.platform.copy();
    fleet.ask(20);
    until(|| fleet.reported("murphy") >= 20);
    let before = fleet.windows();
    // It is as good as gone: the platform does not answer it, and no other entry knows it.
    fleet.platform.turn_away("dub-a-0", true);
    fleet.platform.restore(copy);
    let platform = fleet.platform.clone();
    let name = "dub-a-1".to_owned();
    let site = Site::with_duties(&name, told, platform.desk(&name));
    site.until_ready();
    fleet.sites = vec![(name, site)];
    fleet.until_reported(platform.reports().len() + before.len() + 2);
    // Whether any window differs from what was reported before is checked there.
    let after = fleet.windows();
    assert!(after.len() > before.len());
    fleet.check_numbers();
}

/// Also one whose answer is cut off has run.
#[test]
fn a_request_whose_answer_was_cut_off_is_reported() {
    let cut = vec![
        head("200 OK", "transfer-encoding: chunked\r\n"),
        crate::endpoint::chunk(BEGUN),
    ];
    let server = Endpoint::always(cut);
    let fleet = Fleet::start(1, server.address);
    fleet.until_reported(1);
    get(fleet.sites[0].1.requests, "/write/", "r1", "");
    until(|| fleet.reported("murphy") >= 1);
}

/// The holder stops as planned: the next one goes on at once, under a higher number, and leaves no
/// window out.
#[test]
fn a_holder_that_stops_is_followed() {
    let server = Endpoint::always(vec![whole("yes")]);
    let fleet = Fleet::start(3, server.address);
    fleet.until_reported(2);
    let first = fleet.holder();
    fleet.ask(12);
    let (_, site) = fleet.sites.iter().find(|(name, _)| *name == first).unwrap();
    site.tell_to_stop();
    until(|| fleet.holder() != first);
    until(|| fleet.reported("murphy") >= 12);
    assert_eq!(fleet.reported("murphy"), 12);
    fleet.check_numbers();
    fleet.check_windows();
}

/// The platform turns the holder away and serves the others: it ceases before another one acts,
/// and does not begin again at once when it is answered.
#[test]
fn a_holder_that_is_turned_away_is_followed() {
    let server = Endpoint::always(vec![whole("yes")]);
    let fleet = Fleet::start(3, server.address);
    fleet.until_reported(2);
    let first = fleet.holder();
    fleet.platform.turn_away(&first, true);
    until(|| fleet.holder() != first);
    fleet.platform.turn_away(&first, false);
    let reports = fleet.platform.reports().len();
    fleet.until_reported(reports + 3);
    let later = &fleet.platform.calls()[..];
    let changes = later.windows(2).filter(|pair| pair[0].0 != pair[1].0);
    assert_eq!(changes.count(), 1);
    fleet.check_numbers();
    fleet.check_windows();
}

/// Answers to reports are lost: they are repeated, each as it was.
#[test]
fn a_report_whose_answer_was_lost_is_repeated_as_it_was() {
    let server = Endpoint::always(vec![whole("yes")]);
    let fleet = Fleet::start(2, server.address);
    fleet.until_reported(1);
    fleet.platform.lose(3);
    for at in 0..10 {
        let (_, site) = &fleet.sites[at % 2];
        get(site.requests, "/read/", &format!("r{at}"), "");
        sleep(Duration::from_millis(100));
    }
    until(|| fleet.reported("murphy") >= 10);
    assert_eq!(fleet.reported("murphy"), 10);
    let reports = fleet.platform.reports().len();
    assert!(reports > fleet.windows().len(), "none was repeated");
}

/// One report is refused, for whatever reason: those after it come all the same.
#[test]
fn a_report_that_is_refused_holds_up_no_other() {
    let server = Endpoint::always(vec![whole("yes")]);
    let fleet = Fleet::start(1, server.address);
    fleet.until_reported(1);
    let (_, last) = fleet.platform.reports().pop().unwrap();
    let refused = Window(last.window.0 + 2);
    fleet.platform.refuse(refused);
    until(|| fleet.windows().keys().any(|window| *window > refused));
    assert!(!fleet.windows().contains_key(&refused));
}

/// A fleet of one before a service whose endpoints can be ordered.
fn scaled(engine: Option<Engine>) -> Fleet {
    let server = Endpoint::always(vec![whole("yes")]);
    Fleet::with(1, &scalable(&[server.address], engine))
}

const ENGINE: Engine = Engine {
    slots: 8,
    memory_tokens: 100_000,
    event_tokens: 1,
    moves_prompts: false,
};

/// A plan whose first service may have endpoints in two data centres.
fn scalable(endpoints: &[SocketAddr], engine: Option<Engine>) -> Fixed {
    let told = source(endpoints);
    if let Some(plan) = &mut told.0.lock().unwrap().plan {
        plan.services[0].engine = engine;
        plan.services[0].scaling = Some(Scaling {
            least: 1,
            most: 8,
            boot: Millis(500),
            reclaimable_price: Some(0.1),
            prices: [("dub-a".into(), 1.0), ("dub-b".into(), 1.0)].into(),
        });
    }
    told
}

/// Reclaimable endpoints that cost little are ordered in the place of those that were found.
#[test]
fn cheaper_endpoints_are_ordered() {
    let fleet = scaled(Some(ENGINE));
    let is_order = |call: &Call| {
        let Call::Order(order) = call else {
            return false;
        };
        order.wish.is_reclaimable && order.wish.count == 1
    };
    let orders = || {
        let calls = fleet.platform.calls();
        calls.iter().filter(|(_, call)| is_order(call)).count()
    };
    until(|| orders() >= 2);
    fleet.check_numbers();
}

/// What may not be sent to is not ordered either, and what runs elsewhere has to be enough.
#[test]
fn nothing_is_ordered_in_an_evacuated_data_centre() {
    let server = Endpoint::always(vec![whole("yes")]);
    let told = scalable(&[server.address], Some(ENGINE));
    let evacuated = [DataCentre::from("dub-b")].into();
    told.0.lock().unwrap().evacuation = Evacuation::new(1, evacuated);
    let fleet = Fleet::with(1, &told);
    let places = || {
        let calls = fleet.platform.calls();
        let orders = calls.into_iter().filter_map(|(_, call)| match call {
            Call::Order(order) => Some(order.wish.data_centre.to_string()),
            Call::Report(_) => None,
        });
        orders.collect::<Vec<_>>()
    };
    until(|| !places().is_empty());
    fleet.until_reported(4);
    assert!(places().iter().all(|at| at == "dub-a"), "{:?}", places());
}

/// What plain services need is not known: theirs are left as they are.
#[test]
fn endpoints_of_plain_services_are_not_ordered() {
    let fleet = scaled(None);
    fleet.until_reported(4);
    let calls = fleet.platform.calls();
    assert!(
        calls
            .iter()
            .all(|(_, call)| matches!(call, Call::Report(_)))
    );
}

/// The product's own form of both calls, against its own stand-in.
#[actix_rt::test]
async fn the_own_form_of_the_calls() {
    let stand = Stand::platform();
    let outlet = Own::new(&stand.url("")).unwrap();
    let by = Authority {
        holder: "dub-a-1".into(),
        number: 1_770_022_007_195,
    };
    let report = Report {
        window: Window(7),
        counts: Counts::from([("murphy".into(), 3)]),
    };
    outlet.report(&by, &report).await.unwrap();
    let order = Order {
        service: "links".to_owned(),
        wish: ScaleRequest {
            data_centre: "dub-b".into(),
            is_reclaimable: true,
            count: 2,
        },
    };
    assert_eq!(outlet.order(&by, &order).await, Ok(Ordered::Taken));
    insta::assert_json_snapshot!(stand.get("/fake/duties").await);
    stand
        .post("/fake/faults", &json!({"none_reclaimable": 1}))
        .await;
    assert_eq!(outlet.order(&by, &order).await, Ok(Ordered::NoneToBeHad));
    stand.post("/fake/faults", &json!({"down": true})).await;
    let refused = outlet.report(&by, &report).await.unwrap_err();
    assert!(!refused.may_have_taken_effect(), "{refused}");
}
