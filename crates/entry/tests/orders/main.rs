//! Orders to engines that check fencing numbers and to those that do not, by
//! holders that are killed, frozen or late.

// Only a table that can be out is needed of it here.
#[allow(dead_code)]
#[path = "../interleavings/memory.rs"]
mod memory;
mod yard;

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use woodgap_core::clock::Millis;
use woodgap_core::lease::{Holder, Term};
use woodgap_core::name::Incarnation;
use woodgap_core::orders::{Bounds, Kept};
use woodgap_entry::orders::desk::{Desk, Surroundings};
use woodgap_entry::orders::wire::Wire;
use woodgap_harness::{Stand, documents, until};
use woodgap_platform::clock::Clock;

use yard::{Sent, Yard, all_loads, one_load, send, sent};

/// Longer than any test: a load that never ends.
const FOR_EVER: u64 = 3_600_000;

fn fences(orders: &[Sent]) -> Vec<u64> {
    orders.iter().map(|order| order.fence).collect()
}

#[actix_rt::test]
async fn an_order_is_carried_out_everywhere_and_shown() {
    let yard = Yard::start(2).await;
    let [first, second] = &yard.fleet.entries[..] else {
        panic!("two entries");
    };
    let models = [documents::MODEL, "tale-13b"];
    let applied = yard.order(first, "change-1", &models).await;
    assert_eq!(applied, json!({"version": 1, "already": false}));
    yard.in_force(&models).await;
    // The same change again, through another entry, is the same change.
    let again = yard.order(second, "change-1", &models).await;
    assert_eq!(again, json!({"version": 1, "already": true}));
    let shown = yard.show(second).await.unwrap();
    assert_eq!(shown["orders"][0]["operator"], "orla");
    let states = shown["endpoints"].as_array().unwrap().iter();
    let states: Vec<_> = states.map(|endpoint| &endpoint["state"]).collect();
    assert_eq!(states, ["in_force", "in_force"]);
    // An endpoint that is put into another state is brought back.
    assert!(send(&yard.plain, 0, &["something"]).await);
    yard.in_force(&models).await;
}

/// Only so many endpoints load at once.
#[actix_rt::test]
async fn loads_are_bounded() {
    let yard = Yard::with(1, one_load).await;
    for engine in [yard.checking(), &yard.plain] {
        engine.fault(json!({"load_ms": FOR_EVER})).await;
    }
    let models = [documents::MODEL, "tale-13b"];
    yard.order(&yard.fleet.entries[0], "change-1", &models)
        .await;
    let loading = async || {
        let checking = sent(yard.checking()).await.len();
        let plain = sent(&yard.plain).await.len();
        (checking, plain)
    };
    until("one engine loads", async || {
        (loading().await != (0, 0)).then_some(())
    })
    .await;
    // The holder looks many times over while the other engine waits its turn.
    let scans = async || {
        let counts = yard.fleet.platform.get("/fake/counts").await;
        counts["scans"].as_u64().unwrap()
    };
    let begun = scans().await;
    until("it has looked again and again", async || {
        let (checking, plain) = loading().await;
        assert_eq!(checking + plain, 1);
        (scans().await > begun + 100).then_some(())
    })
    .await;
}

/// The holder is killed: the next one goes on, under a higher number.
#[actix_rt::test]
async fn the_holder_is_killed() {
    let mut yard = Yard::start(2).await;
    yard.checking().fault(json!({"load_ms": FOR_EVER})).await;
    let models = [documents::MODEL, "tale-13b"];
    yard.order(&yard.fleet.entries[0], "change-1", &models)
        .await;
    let holder = yard.holding(None).await;
    until("the first order was sent", async || {
        let orders = sent(yard.checking()).await;
        (!orders.is_empty()).then_some(())
    })
    .await;
    yard.fleet.entries[holder].kill();
    yard.holding(Some(holder)).await;
    yard.checking().fault(json!({"load_ms": 0})).await;
    until("the next holder's order was sent", async || {
        let orders = sent(yard.checking()).await;
        (orders.len() > 1).then_some(())
    })
    .await;
    let fences = fences(&sent(yard.checking()).await);
    assert!(
        fences.is_sorted() && fences.first() < fences.last(),
        "{fences:?}"
    );
}

/// The holder is told to stop in the middle of a round that takes far longer than its
/// stop, as most endpoints answer nothing: it sends no more, and gives the lease back.
#[actix_rt::test]
async fn the_holder_stops_in_a_round() {
    let mut yard = Yard::with(1, all_loads).await;
    let hung = yard.hang(40).await;
    let models = [documents::MODEL, "tale-13b"];
    yard.order(&yard.fleet.entries[0], "change-1", &models)
        .await;
    yard.holding(None).await;
    until("orders are sent", async || {
        (hung.orders() > 0).then_some(())
    })
    .await;
    yard.fleet.entries[0].stop();
    assert_eq!(yard.fleet.entries[0].wait(), Some(0));
    assert_eq!(yard.holder().await, None);
    assert!(hung.orders() < 40, "{} orders were sent", hung.orders());
}

/// A frozen holder wakes after another has taken over and the order was changed,
/// while the engines are not there yet: its time is over, so it sends nothing, and
/// only once it holds the lease anew it goes on, under a later number.
#[actix_rt::test]
async fn the_holder_is_frozen_and_wakes() {
    let mut yard = Yard::start(2).await;
    for engine in [yard.checking(), &yard.plain] {
        engine.fault(json!({"load_ms": FOR_EVER})).await;
    }
    let old = [documents::MODEL, "tale-13b"];
    let new = [documents::MODEL, "caption-1b"];
    yard.order(&yard.fleet.entries[0], "change-1", &old).await;
    let holder = yard.holding(None).await;
    yard.ordered(&old).await;
    yard.fleet.entries[holder].freeze();
    let other = 1 - holder;
    yard.order(&yard.fleet.entries[other], "change-2", &new)
        .await;
    yard.ordered(&new).await;
    let frozen = &yard.fleet.entries[holder];
    frozen.wake();
    until("the woken entry answers", async || yard.show(frozen).await).await;
    yard.fleet.entries[other].kill();
    assert_eq!(yard.holding(Some(other)).await, holder);
    for engine in [yard.checking(), &yard.plain] {
        engine.fault(json!({"load_ms": 0})).await;
    }
    yard.order(&yard.fleet.entries[holder], "change-3", &old)
        .await;
    yard.in_force(&old).await;
    for engine in [yard.checking(), &yard.plain] {
        let orders = sent(engine).await;
        assert!(fences(&orders).is_sorted(), "{orders:?}");
        assert!(orders.iter().all(|order| order.accepted), "{orders:?}");
    }
}

/// The send of a holder that was frozen between its clock and its socket: refused
/// where it is checked, and undone where it is not.
#[actix_rt::test]
async fn a_late_order() {
    let yard = Yard::start(2).await;
    let old = [documents::MODEL, "tale-13b"];
    yard.order(&yard.fleet.entries[0], "change-1", &old).await;
    yard.in_force(&old).await;
    let first = sent(yard.checking()).await[0].fence;
    let new = [documents::MODEL, "caption-1b"];
    yard.order(&yard.fleet.entries[1], "change-2", &new).await;
    yard.in_force(&new).await;
    assert!(!send(yard.checking(), first, &old).await, "it is refused");
    assert!(send(&yard.plain, first, &old).await, "it takes effect");
    yard.in_force(&new).await;
    let last = sent(&yard.plain).await.pop().unwrap();
    assert!(last.models == json!(new) && last.fence > first);
}

/// The table service is out, so that a holder can't learn of a successor: its own
/// clock stops it.
#[actix_rt::test]
async fn the_clock_alone_stops_a_holder() {
    let engine = Stand::engine(woodgap_harness::fleet::engine());
    engine.fault(json!({"load_ms": FOR_EVER})).await;
    let instance = engine.get("/fake/instance").await;
    let instances = [serde_json::from_value(instance).unwrap()];
    let order = |model: &str| -> [Kept; 1] {
        let pool = json!({"target": documents::MODEL, "data_centre": "dub-a"});
        let wanted = json!({"models": [model], "role": "serve"});
        let kept = json!({"order": {"pool": pool, "wanted": wanted}, "version": 1,
                          "operator": "orla", "change": "c", "at": 1});
        [serde_json::from_value(kept).unwrap()]
    };
    let table = memory::Client {
        memory: Rc::default(),
        script: Rc::default(),
    };
    let term = Term::new(Millis(600));
    let around = Surroundings {
        own: Holder {
            entry: "dub-a-1".into(),
            incarnation: Incarnation(1),
        },
        poll: Millis(10),
        term,
        bounds: Bounds {
            send: Millis(100),
            load: Millis(FOR_EVER),
            loads: 1,
        },
        exempt: Vec::new(),
    };
    let wire = Wire::new(Millis(100));
    let mut desk = Desk::new(&"dub-a".into(), around, table.clone(), Clock::start(), wire);
    let count = async || sent(&engine).await.len();
    until("the first order was sent", async || {
        desk.round(&order("tale-13b"), &instances).await;
        (count().await == 1).then_some(())
    })
    .await;
    table.script.out.set(true);
    tokio::time::sleep(Duration::from_millis(term.duration().0)).await;
    desk.round(&order("caption-1b"), &instances).await;
    assert_eq!(count().await, 1);
    table.script.out.set(false);
    until("it is renewed, and goes on", async || {
        desk.round(&order("caption-1b"), &instances).await;
        (count().await == 2).then_some(())
    })
    .await;
    let orders = sent(&engine).await;
    assert_eq!(
        orders[0].fence, orders[1].fence,
        "nobody held it in between"
    );
}
