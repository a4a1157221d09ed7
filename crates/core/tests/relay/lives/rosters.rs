//! Several entries that receive rows in different orders and from different sources agree on the
//! life of an endpoint.

use std::collections::HashSet;

use proptest::prelude::*;
use proptest::sample::Index;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::roster::{Change, Endpoint};
use woodgap_core::relay::{Evacuation, Roster};

use crate::roster::{FALLBACK_PERIOD, endpoint, row, started};

/// The number of entries.
const ENTRIES: usize = 3;
/// When the first updates arrive.
const NOW: Millis = Millis(1_000);
/// The time between two rounds, in which entries drop the lives that have ended.
const ROUND_INTERVAL: u64 = 250;
/// Enough rounds for all delays and timeouts of an entry to pass.
const SETTLE_ROUNDS: u64 = 40;

/// The writes of one endpoint's row, in order; the first one has revision 1.
struct Store(Vec<Change>);

impl Store {
    fn newest(&self) -> u64 {
        self.0.len() as u64
    }

    /// The whole list at a revision.
    fn list(&self, revision: u64) -> Vec<Endpoint> {
        let changes = (1..=revision).zip(&self.0);
        match changes.last() {
            Some((_, Change::Listed(endpoint))) => vec![endpoint.clone()],
            Some((_, Change::Missing(_))) | None => Vec::new(),
        }
    }

    /// The changes after one revision, up to another one.
    fn changes(&self, after: u64, up_to: u64) -> Vec<(u64, Change)> {
        let all = (1..).zip(self.0.iter().cloned());
        let some = all.filter(|(revision, _)| *revision > after && *revision <= up_to);
        some.collect()
    }
}

/// One entry, and the lives for which it keeps state.
struct Entry {
    roster: Roster,
    kept: HashSet<name::Life>,
}

impl Entry {
    fn new() -> Self {
        Self {
            roster: Roster::new(FALLBACK_PERIOD),
            kept: HashSet::new(),
        }
    }

    /// Drops the state of lives that have ended.
    fn round(&mut self, now: Millis) {
        self.kept.extend(self.life());
        for life in self.roster.expire(now) {
            self.kept.remove(&life);
        }
        self.kept.extend(self.life());
    }

    fn life(&self) -> Option<name::Life> {
        let usable = self
            .roster
            .usable("engines", &Evacuation::default(), Millis::ZERO);
        usable.first().map(|it| it.life.clone())
    }
}

/// How an entry receives updates.
#[derive(Clone, Debug)]
enum Source {
    /// A whole list, which may be older than the known one.
    List(Index),
    /// The next changes, some of which may be repeated.
    Feed { repeated: u64, up_to: Index },
    /// The state of another entry.
    Entry(usize),
}

fn source() -> impl Strategy<Value = Source> {
    prop_oneof![
        any::<Index>().prop_map(Source::List),
        (0_u64..4, any::<Index>()).prop_map(|(repeated, up_to)| Source::Feed { repeated, up_to }),
        (0..ENTRIES).prop_map(Source::Entry),
    ]
}

/// Delivers an update to an entry.
fn receive(entries: &mut [Entry], at: usize, source: &Source, store: &Store, now: Millis) {
    let known = entries[at].roster.revision();
    match source {
        Source::List(revision) => {
            let revision = revision.index(store.0.len()) as u64 + 1;
            let list = store.list(revision);
            entries[at].roster.replace(list, revision, now, now);
        }
        Source::Feed { repeated, up_to } => {
            let up_to = up_to.index(store.0.len()) as u64 + 1;
            let changes = store.changes(known.saturating_sub(*repeated), up_to);
            entries[at].roster.apply(changes, now, now);
        }
        Source::Entry(other) => fetch(entries, at, *other, now),
    }
    entries[at].round(now);
}

/// An entry fetches newer state from another one: changes or, if those are not kept, the whole
/// list.
fn fetch(entries: &mut [Entry], at: usize, other: usize, now: Millis) {
    let known = entries[at].roster.revision();
    let other = &entries[other].roster;
    let revision = other.revision();
    if revision <= known {
        return;
    }
    if let Some(changes) = other.since(known) {
        entries[at].roster.apply(changes, now, now);
    } else {
        let list = other.listed().cloned().collect();
        entries[at].roster.replace(list, revision, now, now);
    }
}

/// One write of the row.
#[derive(Clone, Debug)]
enum Write {
    /// The endpoint starts again, this many ms after its previous start.
    Restart(u64),
    /// The row of an earlier life, written late.
    Late(Index),
    /// The endpoint leaves.
    Leaving,
    /// A row without a start, as written by an earlier version.
    WithoutStart,
    /// The row is removed.
    Removed,
}

fn write() -> impl Strategy<Value = Write> {
    prop_oneof![
        4 => (1_u64..60).prop_map(Write::Restart),
        2 => any::<Index>().prop_map(Write::Late),
        1 => Just(Write::Leaving),
        1 => Just(Write::WithoutStart),
        1 => Just(Write::Removed),
    ]
}

/// The writes in order, and the row of the last life.
fn store(writes: &[Write]) -> (Store, Endpoint) {
    let mut starts = vec![1_000];
    let mut changes = vec![row(&started("a", 1_000))];
    for write in writes {
        let last = starts[starts.len() - 1];
        let change = match write {
            Write::Restart(after) => {
                starts.push(last + after);
                row(&started("a", last + after))
            }
            Write::Late(at) => row(&started("a", *at.get(&starts))),
            Write::Leaving => row(&Endpoint {
                leaving: true,
                ..started("a", last)
            }),
            Write::WithoutStart => row(&endpoint("a")),
            Write::Removed => Change::Missing(name::Endpoint::from("a")),
        };
        changes.push(change);
    }
    let last = started("a", starts[starts.len() - 1]);
    (Store(changes), last)
}

/// Brings all entries up to date: one by the feed, one by the list, and the others from these two.
fn sync_all(entries: &mut [Entry], store: &Store, now: Millis) {
    let newest = store.newest();
    let changes = store.changes(entries[0].roster.revision(), newest);
    entries[0].roster.apply(changes, now, now);
    entries[1]
        .roster
        .replace(store.list(newest), newest, now, now);
    for at in 2..entries.len() {
        fetch(entries, at, at % 2, now);
    }
    for entry in entries {
        entry.round(now);
    }
}

/// Delivers the updates in order, some ms apart. Returns the entries and the time.
fn run(store: &Store, updates: &[(usize, Source, u64)]) -> (Vec<Entry>, Millis) {
    let mut entries: Vec<_> = (0..ENTRIES).map(|_| Entry::new()).collect();
    let mut now = NOW;
    for (at, source, pause) in updates {
        receive(&mut entries, *at, source, store, now);
        now = now + Millis(*pause);
    }
    (entries, now)
}

fn updates() -> impl Strategy<Value = Vec<(usize, Source, u64)>> {
    proptest::collection::vec((0..ENTRIES, source(), 0_u64..2_000), 0..20)
}

proptest! {
    /// An endpoint restarts several times within tens of ms, also before its first restart is
    /// known. Rows of earlier lives are written late, rows without a start come in between, and
    /// each entry receives different parts from different sources. After the last write, which is
    /// of the last life, all entries know this life and keep no state of any other.
    #[test]
    fn all_entries_converge_on_the_last_life(
        mut writes in proptest::collection::vec(write(), 0..12),
        after in 1_u64..60,
        updates in updates(),
    ) {
        writes.push(Write::Restart(after));
        let (store, last) = store(&writes);
        let (mut entries, now) = run(&store, &updates);
        sync_all(&mut entries, &store, now);
        for entry in &entries {
            prop_assert_eq!(entry.life(), Some(last.life.clone()));
            prop_assert_eq!(&entry.kept, &HashSet::from([last.life.clone()]));
        }
    }

    /// Whatever is written last, and in whatever order entries receive the writes, all of them
    /// eventually know the life of the last row.
    #[test]
    fn all_entries_converge_on_the_last_row(
        writes in proptest::collection::vec(write(), 0..12),
        updates in updates(),
    ) {
        let (store, _) = store(&writes);
        let (mut entries, now) = run(&store, &updates);
        sync_all(&mut entries, &store, now);
        let listed = store.list(store.newest());
        let last = listed.first().filter(|it| !it.leaving);
        for entry in &mut entries {
            settle(entry, now);
            prop_assert_eq!(entry.life(), last.map(|it| it.life.clone()));
        }
    }
}

/// An entry that has read this row in a whole list, and then these writes from the feed.
fn entry_after(listed: &Endpoint, writes: &[Change]) -> Entry {
    let mut entry = Entry::new();
    entry.roster.replace(vec![listed.clone()], 1, NOW, NOW);
    entry.round(NOW);
    let changes = (2..).zip(writes.iter().cloned()).collect();
    entry.roster.apply(changes, NOW, NOW);
    entry.round(NOW);
    entry
}

/// An entry that saw the row removed, and listed again within the fallback period with an earlier
/// start.
fn relisted_with_an_earlier_start() -> Entry {
    let removed = Change::Missing(name::Endpoint::from("a"));
    entry_after(&started("a", 200), &[removed, row(&started("a", 100))])
}

/// Runs rounds until all delays have passed. Returns the time.
fn settle(entry: &mut Entry, now: Millis) -> Millis {
    for round in 1..=SETTLE_ROUNDS {
        entry.round(now + Millis(round * ROUND_INTERVAL));
    }
    now + Millis(SETTLE_ROUNDS * ROUND_INTERVAL)
}

/// The fallback period of the earlier life ends while the row is still unconfirmed. The endpoint is
/// listed, and must be known once the confirmation delay has passed.
#[test]
fn an_unconfirmed_row_outlasts_the_fallback_period() {
    let mut entry = relisted_with_an_earlier_start();
    settle(&mut entry, NOW);
    assert_eq!(entry.life(), Some(started("a", 100).life));
}

/// An entry that fetches the whole list from one that holds an unconfirmed row receives that row,
/// since it is listed.
#[test]
fn an_unconfirmed_row_is_listed() {
    let entry = relisted_with_an_earlier_start();
    let listed: Vec<_> = entry.roster.listed().cloned().collect();
    assert_eq!(listed, [started("a", 100)]);
}

/// An unconfirmed row that is removed is not accepted later, even if no round ran in between.
#[test]
fn a_removed_unconfirmed_row_is_not_accepted() {
    let mut entry = relisted_with_an_earlier_start();
    entry.roster.replace(vec![], 4, NOW, NOW);
    entry.round(NOW + Millis(SETTLE_ROUNDS * ROUND_INTERVAL));
    assert_eq!(entry.life(), None);
}

/// The list is read again at the known revision, as after the platform lost its history, and then
/// the feed reports a later life. The list is identical, so it must not advance the revision beyond
/// that of the feed.
#[test]
fn a_later_life_is_applied_after_an_identical_list() {
    let mut entry = relisted_with_an_earlier_start();
    let now = settle(&mut entry, NOW);
    entry.roster.replace(vec![started("a", 100)], 3, now, now);
    entry.round(now);
    let later = started("a", 300);
    entry.roster.apply(vec![(4, row(&later))], now, now);
    entry.round(now);
    assert_eq!(entry.life(), Some(later.life));
}

/// A running endpoint writes its row every second. If its clock was set back, it is known after
/// some seconds nevertheless, and the state of its earlier life is dropped.
#[test]
fn a_repeated_earlier_start_is_accepted() {
    let mut entry = entry_after(&started("a", 200), &[]);
    let set_back = started("a", 100);
    for second in 1..=10 {
        let now = NOW + Millis(second * 1_000);
        let change = (second + 1, row(&set_back));
        entry.roster.apply(vec![change], now, now);
        entry.round(now);
    }
    assert_eq!(entry.life(), Some(set_back.life.clone()));
    assert_eq!(entry.kept, HashSet::from([set_back.life]));
}
