//! Which order is meant for whom, and what is sent when.

use rstest::rstest;

use super::{Answer, Bounds, Kept, Order, Place, Progress, Scope, Wanted};
use crate::clock::Millis;
use crate::instance::{Instance, Role, State};
use crate::lease::Fence;
use crate::name;

const BOUNDS: Bounds = Bounds {
    send: Millis(100),
    load: Millis(1_000),
    loads: 2,
};

fn wanted(models: &[&str]) -> Wanted {
    Wanted {
        models: models.iter().map(|&model| model.to_owned()).collect(),
        role: "serve".to_owned(),
    }
}

fn place(name: &str, in_force: &[&str], want: &[&str], checks: bool) -> Place {
    Place {
        endpoint: name.into(),
        wanted: wanted(want),
        in_force: Some(wanted(in_force)),
        checks,
    }
}

fn due(progress: &Progress, now: u64, places: &[Place]) -> Vec<String> {
    let due = progress.due(Millis(now), places);
    due.iter().map(|place| place.endpoint.to_string()).collect()
}

fn started(now: u64) -> Progress {
    let mut progress = Progress::new(BOUNDS);
    progress.under(Millis(now), Fence(7));
    progress
}

/// What one place is sent at once, and once the former holder's sends are over.
#[rstest]
#[case::differs(place("e", &["a"], &["b"], true), true, true)]
#[case::same_but_the_fence_is_new(place("e", &["a"], &["a"], true), true, true)]
#[case::same_and_does_not_check(place("e", &["a"], &["a"], false), false, false)]
#[case::differs_and_does_not_check(place("e", &["a"], &["b"], false), false, true)]
fn first_order(#[case] place: Place, #[case] at_once: bool, #[case] later: bool) {
    let progress = started(1_000);
    let places = [place];
    assert_eq!(due(&progress, 1_000, &places).len(), usize::from(at_once));
    assert_eq!(due(&progress, 1_100, &places).len(), usize::from(later));
}

#[test]
fn one_that_does_not_answer_is_left_alone() {
    let mut place = place("e", &[], &["a"], true);
    place.in_force = None;
    let progress = started(0);
    assert!(due(&progress, 0, std::slice::from_ref(&place)).is_empty());
    assert!(progress.settled(&[place]));
}

/// When an order that is not in force is sent again.
#[rstest]
#[case::lost(Answer::None, &["b"], 100)]
#[case::refused(Answer::Fenced, &["b"], 100)]
#[case::undone_without_a_load(Answer::Taken, &[], 100)]
#[case::loading(Answer::Taken, &["b"], 1_000)]
fn sent_again(#[case] answer: Answer, #[case] want: &[&str], #[case] after: u64) {
    let mut progress = started(0);
    let places = [place("e", &["a"], want, true)];
    progress.sent(Millis(0), &places[0], answer);
    assert!(due(&progress, after - 1, &places).is_empty());
    assert_eq!(due(&progress, after, &places), ["e"]);
    assert!(!progress.settled(&places));
}

/// At most so many load at once; one that takes too long makes room.
#[test]
fn loads_are_bounded() {
    let mut progress = started(0);
    let mut places: Vec<Place> = ["e-1", "e-2", "e-3", "e-4"]
        .map(|name| place(name, &["a"], &["a", "b"], true))
        .into();
    places.push(place("f", &["a", "b"], &["a"], true));
    assert_eq!(due(&progress, 0, &places), ["e-1", "e-2", "f"]);
    for index in [0, 1, 4] {
        progress.sent(Millis(0), &places[index], Answer::Taken);
    }
    assert!(due(&progress, 50, &places).is_empty());
    places[1].in_force = Some(wanted(&["b", "a"]));
    assert_eq!(due(&progress, 50, &places), ["e-3"]);
    progress.sent(Millis(50), &places[2], Answer::Taken);
    assert!(due(&progress, 60, &places).is_empty());
    // The first load is given up; the untried one comes before it.
    assert_eq!(due(&progress, 1_000, &places), ["e-4", "f"]);
}

/// A load that is not wanted any more still takes its room until it is over.
#[test]
fn a_changed_mind() {
    let mut progress = Progress::new(Bounds { loads: 1, ..BOUNDS });
    progress.under(Millis(0), Fence(7));
    let mut places = [
        place("e-1", &["a"], &["b"], true),
        place("e-2", &["a"], &["b"], true),
    ];
    progress.sent(Millis(0), &places[0], Answer::Taken);
    places[0].wanted = wanted(&["c"]);
    assert_eq!(due(&progress, 10, &places), ["e-1"], "in place of its load");
    places[0].wanted = wanted(&["a"]);
    assert_eq!(due(&progress, 10, &places), ["e-1"], "no load: at once");
    progress.sent(Millis(10), &places[0], Answer::Taken);
    assert_eq!(due(&progress, 20, &places), ["e-2"]);
}

/// A new holder shows its fence to all that check, and is settled then.
#[test]
fn a_new_fence() {
    let mut progress = started(0);
    let places = [
        place("e-1", &["a"], &["a"], true),
        place("e-2", &["a"], &["a"], false),
    ];
    progress.sent(Millis(0), &places[0], Answer::Taken);
    assert!(due(&progress, 0, &places).is_empty() && progress.settled(&places));
    progress.under(Millis(10), Fence(8));
    assert!(!progress.settled(&places));
    assert_eq!(due(&progress, 10, &places), ["e-1"]);
}

fn instance(name: &str, targets: &[&str]) -> Instance {
    Instance {
        name: name.to_owned(),
        role: Role::Engine,
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dub-a".into(),
        state: State::Live,
        targets: targets.iter().map(|&target| target.into()).collect(),
        slots: 1,
        checks_fencing: true,
        peer_address: None,
    }
}

fn kept(scope: Scope, model: &str, at: u64) -> Kept {
    Kept {
        order: Order {
            scope,
            wanted: Some(wanted(&[model])),
        },
        version: 1,
        operator: "orla".to_owned(),
        change: "c".to_owned(),
        at: Millis(at),
    }
}

fn pool(target: &str, data_centre: &str) -> Scope {
    Scope::Pool(name::Pool {
        target: target.into(),
        data_centre: data_centre.into(),
    })
}

/// The own order goes first, then the newest of the pools.
#[rstest]
#[case("e-1", &["a", "b"], Some("own"))]
#[case("e-2", &["a", "b"], Some("newer"))]
#[case("e-2", &["a"], Some("older"))]
#[case("e-2", &["c"], None)]
fn meant_for(#[case] name: &str, #[case] targets: &[&str], #[case] expected: Option<&str>) {
    let orders = [
        kept(Scope::Endpoint("e-1".into()), "own", 1),
        kept(pool("a", "dub-a"), "older", 2),
        kept(pool("b", "dub-a"), "newer", 3),
        kept(pool("c", "dub-b"), "elsewhere", 4),
    ];
    let found = Kept::meant_for(&orders, &instance(name, targets));
    let models = found.map(|kept| kept.order.wanted.clone().unwrap().models);
    assert_eq!(models, expected.map(|model| vec![model.to_owned()]));
}

#[rstest]
#[case(&["a"], "serve", 0)]
#[case(&["a", "a"], "serve", 1)]
#[case(&["a b", ""], "cook", 3)]
fn problems(#[case] models: &[&str], #[case] role: &str, #[case] expected: usize) {
    let mut state = wanted(models);
    role.clone_into(&mut state.role);
    assert_eq!(state.problems().len(), expected, "{:?}", state.problems());
}
