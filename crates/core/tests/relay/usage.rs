//! What is reported of a window is what endpoints began to run in it, whatever becomes of the
//! messages.

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name::{Entry, Incarnation, Workspace};
use woodgap_core::relay::usage::{
    Counts, Meter, SETTLE_DELAY, UsageTotals, Window, WindowCounts, due_window,
};

const LENGTH: Millis = Millis(5_000);

/// What befalls a message, or its sender.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The entry counts a request of a workspace in a window.
    Count {
        entry: usize,
        workspace: usize,
        window: u64,
    },
    /// The entry tells all, and the message arrives.
    Tell(usize),
    /// It tells, and the message comes later, after others.
    TellLate(usize),
    /// It tells, and the message comes twice.
    TellTwice(usize),
    /// It tells, and nothing comes.
    TellInVain(usize),
    /// It is killed, and starts anew.
    Kill(usize),
}

const ENTRIES: usize = 4;

fn event() -> impl Strategy<Value = Event> {
    let entry = 0..ENTRIES;
    prop_oneof![
        8 => (entry.clone(), 0..3_usize, 1..4_u64).prop_map(|(entry, workspace, window)| {
            Event::Count { entry, workspace, window }
        }),
        2 => entry.clone().prop_map(Event::Tell),
        1 => entry.clone().prop_map(Event::TellLate),
        1 => entry.clone().prop_map(Event::TellTwice),
        1 => entry.clone().prop_map(Event::TellInVain),
        1 => entry.prop_map(Event::Kill),
    ]
}

struct Teller {
    name: Entry,
    life: u64,
    meter: Meter,
    /// What it counted and may not have told.
    untold: Vec<(Window, Workspace)>,
}

#[derive(Default)]
struct World {
    tellers: Vec<Teller>,
    sums: UsageTotals,
    truth: Vec<(Window, Workspace)>,
    late: Vec<(usize, u64, Vec<WindowCounts>)>,
}

impl World {
    fn new() -> Self {
        let teller = |at: usize| Teller {
            name: Entry::from(format!("dub-a-{at}")),
            life: 1,
            meter: Meter::default(),
            untold: Vec::new(),
        };
        Self {
            tellers: (0..ENTRIES).map(teller).collect(),
            ..Self::default()
        }
    }

    fn arrive(&mut self, entry: usize, life: u64, told: &[WindowCounts]) {
        let from = (self.tellers[entry].name.clone(), Incarnation(life));
        for told in told {
            let unix = Window(3).end(LENGTH);
            self.sums.record(&from, told.clone(), unix, LENGTH);
        }
    }

    fn tell(&mut self, entry: usize, times: usize) {
        let teller = &mut self.tellers[entry];
        let told: Vec<_> = teller.meter.snapshot().collect();
        let life = teller.life;
        if times > 0 {
            teller.untold.clear();
        }
        (0..times).for_each(|_| self.arrive(entry, life, &told));
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Count {
                entry,
                workspace,
                window,
            } => {
                let workspace = Workspace::from(format!("w-{workspace}"));
                let teller = &mut self.tellers[entry];
                teller.meter.count(Window(window), &workspace);
                teller.untold.push((Window(window), workspace.clone()));
                self.truth.push((Window(window), workspace));
            }
            Event::Tell(entry) => self.tell(entry, 1),
            Event::TellTwice(entry) => self.tell(entry, 2),
            Event::TellInVain(entry) => self.tell(entry, 0),
            Event::TellLate(entry) => {
                let teller = &self.tellers[entry];
                let told = teller.meter.snapshot().collect();
                self.late.push((entry, teller.life, told));
            }
            Event::Kill(entry) => {
                let teller = &mut self.tellers[entry];
                for lost in teller.untold.drain(..) {
                    let at = self.truth.iter().position(|it| *it == lost).unwrap();
                    self.truth.swap_remove(at);
                }
                teller.meter = Meter::default();
                teller.life += 1;
            }
        }
    }
}

proptest! {
    /// Each request counts once, but for those that an entry had not told when it was killed.
    #[test]
    fn sums_are_what_was_counted(events in prop::collection::vec(event(), 0..120)) {
        let mut world = World::new();
        for event in events {
            world.take(event);
        }
        (0..ENTRIES).for_each(|entry| world.tell(entry, 1));
        // Whatever is still under way tells less than what came after it, or something that a
        // killed entry had told nobody.
        let mut rescued = UsageTotals::default();
        for (entry, life, told) in std::mem::take(&mut world.late) {
            let is_living = world.tellers[entry].life == life;
            if is_living {
                world.arrive(entry, life, &told);
            }
            let from = (world.tellers[entry].name.clone(), Incarnation(life));
            for told in told {
                rescued.record(&from, told, Window(3).end(LENGTH), LENGTH);
            }
        }
        for window in (1..4).map(Window) {
            let mut truth = Counts::new();
            for (_, workspace) in world.truth.iter().filter(|(at, _)| *at == window) {
                *truth.entry(workspace.clone()).or_default() += 1;
            }
            prop_assert_eq!(world.sums.total(window), truth);
        }
    }

    /// Whatever the clock does, windows are settled one after the other, each after its end.
    #[test]
    fn each_window_is_due_once(steps in prop::collection::vec(0..9_000_u64, 1..60)) {
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

/// A process that goes on counting without anybody who takes its counts keeps some windows only.
#[test]
fn counts_take_bounded_memory() {
    let mut meter = Meter::default();
    let mut sums = UsageTotals::default();
    let workspace = Workspace::from("w");
    let from = (Entry::from("dub-a-1"), Incarnation(1));
    for window in 0..10_000 {
        meter.count(Window(window), &workspace);
        for told in meter.snapshot() {
            sums.record(&from, told, Window(window).end(LENGTH), LENGTH);
        }
    }
    assert_eq!(meter.snapshot().count(), 16);
    assert_eq!(sums.total(Window(9_999))[&workspace], 1);
    assert_eq!(sums.source_count(Window(9_000)), 0);
}

#[rstest]
#[case::settled(Window(4), 0)]
#[case::open(Window(5), 1)]
#[case::far_ahead(Window(500), 0)]
fn only_open_windows_are_counted(#[case] window: Window, #[case] tellers: usize) {
    let mut sums = UsageTotals::default();
    sums.settle_through(Window(4));
    let told = WindowCounts {
        window,
        counts: vec![("w".into(), 3)],
    };
    let from = (Entry::from("dub-a-1"), Incarnation(1));
    sums.record(&from, told, Window(5).end(LENGTH), LENGTH);
    assert_eq!(sums.source_count(window), tellers);
}
