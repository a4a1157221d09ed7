//! What the recorder writes when, through outages, lost acknowledgements and late writes.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::burn::{Count, Key, MINUTE, Recorder, Row};
use woodgap_core::clock::Millis;
use woodgap_core::name::Incarnation;
use woodgap_core::tier::Tier;

/// A round minute to start at.
const START: Millis = Millis(1_000 * MINUTE.0);
const SECOND: Millis = Millis::from_secs(1);
/// How long a slow table service takes; the recorder allows for two minutes.
const SLOWNESS: Millis = Millis::from_secs(100);

/// What the table service does with a write.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Service {
    /// Takes it.
    Up,
    /// Refuses it.
    Down,
    /// Takes it, and the acknowledgement is lost.
    Mute,
    /// Takes it much later, after the caller gave up.
    Slow,
}

/// A recorder, the rows that the table service holds, and a clock.
struct Site {
    recorder: Recorder,
    table: BTreeMap<String, Row>,
    late: Vec<(Millis, Row)>,
    now: Millis,
    writes: usize,
    truth: u64,
}

impl Site {
    fn new() -> Self {
        Self {
            recorder: Recorder::new("entry-1".into(), Incarnation(0)),
            table: BTreeMap::new(),
            late: Vec::new(),
            now: START,
            writes: 0,
            truth: 0,
        }
    }

    fn count(&mut self, workspace: &str) {
        let count = Count {
            ended: 1,
            ..Count::default()
        };
        self.recorder.count(self.now, &key(workspace), &count);
        self.truth += 1;
    }

    fn run(&mut self, span: Millis, service: Service) {
        let end = self.now + span;
        while self.now < end {
            let rows = self.recorder.due(self.now);
            self.write(rows, service);
            self.now = self.now + SECOND;
            self.land();
        }
    }

    fn finish(&mut self, service: Service) {
        let rows = self.recorder.finish(self.now);
        self.write(rows, service);
    }

    fn write(&mut self, rows: Vec<Row>, service: Service) {
        for row in rows {
            self.writes += 1;
            match service {
                Service::Up => self.recorder.written(&row),
                _ => self.recorder.failed(&row),
            }
            match service {
                Service::Up | Service::Mute => drop(self.table.insert(row.table_key(), row)),
                Service::Slow => self.late.push((self.now + SLOWNESS, row)),
                Service::Down => {}
            }
        }
    }

    /// Slow writes take effect, also after faster ones to the same row.
    fn land(&mut self) {
        let landed = |(time, _): &mut (Millis, Row)| *time <= self.now;
        for (_, row) in self.late.extract_if(.., landed) {
            self.table.insert(row.table_key(), row);
        }
    }

    fn recorded(&self) -> u64 {
        let cells = self.table.values().flat_map(|row| &row.cells);
        cells.map(|cell| cell.count.ended).sum()
    }

    fn minutes(&self) -> Vec<u64> {
        let start = START.0 / MINUTE.0;
        self.table.values().map(|row| row.minute - start).collect()
    }
}

fn key(workspace: &str) -> Key {
    Key {
        tier: Tier::HIGHEST,
        class: "caption".into(),
        workspace: workspace.into(),
    }
}

fn minutes(number: u64) -> Millis {
    Millis(number * MINUTE.0)
}

#[test]
fn each_minute_has_a_row_also_an_empty_one() {
    let mut site = Site::new();
    site.run(minutes(4), Service::Up);
    site.finish(Service::Up);
    assert_eq!(site.minutes(), [0, 1, 2, 3, 4]);
    let marks: Vec<bool> = site.table.values().map(|row| row.last).collect();
    assert_eq!(marks, [false, false, false, false, true]);
    let started = Some(START.0 / MINUTE.0);
    assert!(site.table.values().all(|row| row.started == started));
}

#[test]
fn a_quiet_entry_writes_one_row_a_minute_and_forgets_it() {
    let mut site = Site::new();
    site.run(minutes(60), Service::Up);
    assert_eq!(site.writes, 60);
    assert!(site.recorder.held() <= 4, "{} held", site.recorder.held());
}

#[rstest]
#[case::today(7, 60)]
#[case::hundreds(400, 20)]
fn the_more_entries_the_less_often_each_writes(#[case] entries: u64, #[case] most: usize) {
    let mut site = Site::new();
    site.recorder.resize(entries);
    for _ in 0..600 {
        site.count("stories");
        site.run(SECOND, Service::Up);
    }
    // Ten busy minutes; a row for each must be there, and no more than `most` writes in all.
    assert!((10..=most + 10).contains(&site.writes), "{}", site.writes);
}

#[rstest]
#[case::refused(Service::Down)]
#[case::acknowledgements_lost(Service::Mute)]
#[case::taken_late(Service::Slow)]
fn an_outage_of_hours_is_caught_up_whole(#[case] fault: Service) {
    let mut site = Site::new();
    site.run(minutes(3), Service::Up);
    for _ in 0..180 {
        site.count("stories");
        site.run(minutes(1), fault);
    }
    // One attempt at each tick of ten seconds, whatever has piled up, and the
    // few that were under way when the outage began.
    assert!(site.writes < 183 * 6 + 10, "{}", site.writes);

    let before = site.writes;
    site.run(SECOND, Service::Up);
    assert!(site.writes - before <= 8, "a burst of {}", site.writes);
    site.land();
    site.run(minutes(6), Service::Up);
    assert_eq!(site.recorded(), site.truth);
    assert_eq!(
        site.minutes(),
        (0..site.minutes().len() as u64).collect::<Vec<_>>()
    );
    assert!(site.recorder.held() <= 4);
    assert_eq!(site.recorder.dropped(), 0);
}

#[test]
fn catching_up_keeps_to_its_rate() {
    let mut site = Site::new();
    site.recorder.resize(400);
    site.run(minutes(120), Service::Down);
    let before = site.writes;
    site.run(minutes(2), Service::Up);
    // 400 entries at 10 ms each: one row in four seconds, and a first batch of eight.
    let written = site.writes - before;
    assert!((20..=38).contains(&written), "{written}");
    site.run(minutes(8), Service::Up);
    assert_eq!(site.minutes().len(), 130);
}

#[test]
fn the_newest_minutes_are_caught_up_first() {
    let mut site = Site::new();
    site.run(minutes(120), Service::Down);
    let rows = (0..20).find_map(|_| {
        site.now = site.now + SECOND;
        Some(site.recorder.due(site.now)).filter(|rows| !rows.is_empty())
    });
    assert_eq!(rows.unwrap()[0].minute, site.now.0 / MINUTE.0);
}

#[test]
fn a_partial_row_that_lands_after_the_final_one_is_replaced() {
    let mut site = Site::new();
    site.count("stories");
    site.run(Millis::from_secs(11), Service::Slow);
    assert_eq!(site.late.len(), 2);
    site.count("stories");
    site.run(minutes(1), Service::Up);
    assert_eq!(site.recorded(), 2);
    site.run(SLOWNESS - minutes(1), Service::Up);
    assert_eq!(site.recorded(), 1);
    site.run(minutes(3), Service::Up);
    assert_eq!(site.recorded(), 2);
}

#[test]
fn memory_is_bounded_and_merges_the_oldest_detail_first() {
    let mut site = Site::new();
    for _ in 0..240 {
        for workspace in 0..150 {
            site.count(&format!("workspace-{workspace}"));
        }
        site.run(minutes(1), Service::Down);
        assert!(site.recorder.cells() <= 16_384);
    }
    site.run(minutes(10), Service::Up);
    assert_eq!(site.recorded(), site.truth);
    let merged = |row: &&Row| row.cells.iter().all(|cell| cell.key.is_merged());
    let first = site.table.values().next().unwrap();
    assert!(merged(&first), "{} cells", first.cells.len());
    let widest = site.table.values().map(|row| row.cells.len()).max();
    assert_eq!(widest, Some(101));
}

#[test]
fn after_more_than_a_day_the_oldest_minutes_are_given_up() {
    let mut site = Site::new();
    site.run(minutes(25 * 60), Service::Down);
    assert_eq!(site.recorder.held(), 24 * 60);
    assert!(site.recorder.dropped() > 0);
    site.run(minutes(10), Service::Up);
    assert_eq!(site.minutes().first(), Some(&61));
}

#[test]
fn a_late_count_never_replaces_a_recorded_row() {
    let mut site = Site::new();
    site.count("stories");
    site.run(minutes(10), Service::Up);
    let now = site.now;
    site.now = START;
    site.count("stories");
    site.now = now;
    site.run(minutes(1), Service::Up);
    assert_eq!(site.recorded(), 2);
}

#[test]
fn counts_after_the_end_move_its_mark() {
    let mut site = Site::new();
    site.finish(Service::Up);
    assert!(site.recorder.finish(site.now).is_empty());
    site.now = site.now + minutes(1);
    site.count("stories");
    site.finish(Service::Mute);
    site.finish(Service::Up);
    let marks: Vec<bool> = site.table.values().map(|row| row.last).collect();
    assert_eq!(marks, [false, true]);
    assert_eq!(site.recorded(), 1);
}

#[test]
fn a_row_that_is_never_reported_on_is_handed_out_again() {
    let mut site = Site::new();
    site.count("stories");
    site.now = site.now + Millis::from_secs(10);
    assert_eq!(site.recorder.due(site.now).len(), 1);
    site.run(minutes(3), Service::Up);
    assert_eq!(site.recorded(), 1);
}

fn service() -> impl Strategy<Value = Service> {
    prop_oneof![
        Just(Service::Up),
        Just(Service::Down),
        Just(Service::Mute),
        Just(Service::Slow)
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn nothing_is_lost_or_counted_twice(
        steps in prop::collection::vec((service(), 0_u64..200, 0_usize..3), 1..30)
    ) {
        let mut site = Site::new();
        for (service, seconds, counts) in steps {
            (0..counts).for_each(|_| site.count("stories"));
            site.run(Millis::from_secs(seconds), service);
        }
        site.run(minutes(6), Service::Up);
        site.finish(Service::Up);
        prop_assert_eq!(site.recorded(), site.truth);
        let minutes = site.minutes();
        prop_assert_eq!(&minutes, &(0..minutes.len() as u64).collect::<Vec<_>>());
        let newest = site.table.values().next_back();
        prop_assert!(newest.is_some_and(|row| row.last));
    }
}
