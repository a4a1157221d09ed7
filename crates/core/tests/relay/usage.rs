//! The usage of a window matches the requests that endpoints began to run in it, even if messages
//! are lost, duplicated or delayed.

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name::{Entry, Incarnation, Workspace};
use woodgap_core::relay::usage::{
    Counts, Meter, SETTLE_DELAY, UsageTotals, Window, WindowCounts, due_window,
};

const LENGTH: Millis = Millis(5_000);

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// An entry counts a request of a workspace in a window.
    Count {
        entry: usize,
        workspace: usize,
        window: u64,
    },
    /// An entry broadcasts its counts, and the message arrives.
    Broadcast(usize),
    /// The message arrives later, after others.
    BroadcastDelayed(usize),
    /// The message arrives twice.
    BroadcastTwice(usize),
    /// The message is lost.
    BroadcastLost(usize),
    /// An entry is killed and restarted.
    Kill(usize),
}

const ENTRIES: usize = 4;

fn event() -> impl Strategy<Value = Event> {
    let entry = 0..ENTRIES;
    prop_oneof![
        8 => (entry.clone(), 0..3_usize, 1..4_u64).prop_map(|(entry, workspace, window)| {
            Event::Count { entry, workspace, window }
        }),
        2 => entry.clone().prop_map(Event::Broadcast),
        1 => entry.clone().prop_map(Event::BroadcastDelayed),
        1 => entry.clone().prop_map(Event::BroadcastTwice),
        1 => entry.clone().prop_map(Event::BroadcastLost),
        1 => entry.prop_map(Event::Kill),
    ]
}

struct Source {
    name: Entry,
    incarnation: u64,
    meter: Meter,
    /// Requests that it counted and that no received message contains yet.
    unsent: Vec<(Window, Workspace)>,
}

#[derive(Default)]
struct Simulation {
    sources: Vec<Source>,
    totals: UsageTotals,
    expected: Vec<(Window, Workspace)>,
    delayed: Vec<(usize, u64, Vec<WindowCounts>)>,
}

impl Simulation {
    fn new() -> Self {
        let source = |at: usize| Source {
            name: Entry::from(format!("dub-a-{at}")),
            incarnation: 1,
            meter: Meter::default(),
            unsent: Vec::new(),
        };
        Self {
            sources: (0..ENTRIES).map(source).collect(),
            ..Self::default()
        }
    }

    fn receive(&mut self, entry: usize, incarnation: u64, reports: &[WindowCounts]) {
        let from = (self.sources[entry].name.clone(), Incarnation(incarnation));
        for report in reports {
            let unix = Window(3).end(LENGTH);
            self.totals.record(&from, report.clone(), unix, LENGTH);
        }
    }

    fn broadcast(&mut self, entry: usize, times: usize) {
        let source = &mut self.sources[entry];
        let reports: Vec<_> = source.meter.snapshot().collect();
        let incarnation = source.incarnation;
        if times > 0 {
            source.unsent.clear();
        }
        (0..times).for_each(|_| self.receive(entry, incarnation, &reports));
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Count {
                entry,
                workspace,
                window,
            } => {
                let workspace = Workspace::from(format!("w-{workspace}"));
                let source = &mut self.sources[entry];
                source.meter.count(Window(window), &workspace);
                source.unsent.push((Window(window), workspace.clone()));
                self.expected.push((Window(window), workspace));
            }
            Event::Broadcast(entry) => self.broadcast(entry, 1),
            Event::BroadcastTwice(entry) => self.broadcast(entry, 2),
            Event::BroadcastLost(entry) => self.broadcast(entry, 0),
            Event::BroadcastDelayed(entry) => {
                let source = &self.sources[entry];
                let reports = source.meter.snapshot().collect();
                self.delayed.push((entry, source.incarnation, reports));
            }
            Event::Kill(entry) => {
                let source = &mut self.sources[entry];
                for lost in source.unsent.drain(..) {
                    let at = self.expected.iter().position(|it| *it == lost).unwrap();
                    self.expected.swap_remove(at);
                }
                source.meter = Meter::default();
                source.incarnation += 1;
            }
        }
    }
}

proptest! {
    /// Each request counts once, except those that a killed entry had not broadcast.
    #[test]
    fn totals_match_the_counted_requests(events in prop::collection::vec(event(), 0..120)) {
        let mut simulation = Simulation::new();
        for event in events {
            simulation.apply(event);
        }
        (0..ENTRIES).for_each(|entry| simulation.broadcast(entry, 1));
        // A delayed message contains no more than later ones of its sender, or counts that a
        // killed entry had not broadcast otherwise.
        let mut with_delayed = UsageTotals::default();
        for (entry, incarnation, reports) in std::mem::take(&mut simulation.delayed) {
            let is_running = simulation.sources[entry].incarnation == incarnation;
            if is_running {
                simulation.receive(entry, incarnation, &reports);
            }
            let from = (simulation.sources[entry].name.clone(), Incarnation(incarnation));
            for report in reports {
                with_delayed.record(&from, report, Window(3).end(LENGTH), LENGTH);
            }
        }
        for window in (1..4).map(Window) {
            let mut expected = Counts::new();
            for (_, workspace) in simulation.expected.iter().filter(|(at, _)| *at == window) {
                *expected.entry(workspace.clone()).or_default() += 1;
            }
            prop_assert_eq!(simulation.totals.total(window), expected);
        }
    }

    /// For any clock steps, windows are settled in order, each after its end.
    #[test]
    fn windows_are_settled_in_order_and_once(steps in prop::collection::vec(0..9_000_u64, 1..60)) {
        let mut unix = Millis(1_000_000);
        let first = Window::at(unix, LENGTH);
        let mut settled = None;
        for step in steps {
            unix = unix + Millis(step);
            while let Some(window) = due_window(settled, first, unix, LENGTH) {
                prop_assert_eq!(window, settled.map_or(first, Window::next));
                prop_assert!(unix >= window.end(LENGTH) + SETTLE_DELAY);
                settled = Some(window);
            }
        }
    }
}

/// A process whose windows are never settled keeps a bounded number of them.
#[test]
fn unsettled_windows_are_bounded() {
    let mut meter = Meter::default();
    let mut totals = UsageTotals::default();
    let workspace = Workspace::from("w");
    let from = (Entry::from("dub-a-1"), Incarnation(1));
    for window in 0..10_000 {
        meter.count(Window(window), &workspace);
        for report in meter.snapshot() {
            totals.record(&from, report, Window(window).end(LENGTH), LENGTH);
        }
    }
    assert_eq!(meter.snapshot().count(), 16);
    assert_eq!(totals.total(Window(9_999))[&workspace], 1);
    assert_eq!(totals.source_count(Window(9_000)), 0);
}

#[rstest]
#[case::settled(Window(4), 0)]
#[case::open(Window(5), 1)]
#[case::far_in_the_future(Window(500), 0)]
fn only_open_windows_are_recorded(#[case] window: Window, #[case] sources: usize) {
    let mut totals = UsageTotals::default();
    totals.settle_through(Window(4));
    let report = WindowCounts {
        window,
        counts: vec![("w".into(), 3)],
    };
    let from = (Entry::from("dub-a-1"), Incarnation(1));
    totals.record(&from, report, Window(5).end(LENGTH), LENGTH);
    assert_eq!(totals.source_count(window), sources);
}
