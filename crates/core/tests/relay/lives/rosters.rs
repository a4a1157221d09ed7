//! Which life several entries know, that hear of it in different orders and ways.

use std::collections::HashSet;

use proptest::prelude::*;
use proptest::sample::Index;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::roster::{Change, Endpoint};
use woodgap_core::relay::{Evacuation, Roster};

use crate::roster::{RESERVE, endpoint, row, started};

/// How many entries there are.
const ENTRIES: usize = 3;
/// When the first news come.
const NOW: Millis = Millis(1_000);
/// The time between two rounds in which entries forget what is over.
const ROUND: u64 = 250;
/// After so many rounds no entry waits for anything.
const ROUNDS: u64 = 40;

/// The writes of one endpoint's row, in their order; the first has revision 1.
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

    /// The changes after a revision up to another one.
    fn changes(&self, after: u64, upto: u64) -> Vec<(u64, Change)> {
        let all = (1..).zip(self.0.iter().cloned());
        let some = all.filter(|(revision, _)| *revision > after && *revision <= upto);
        some.collect()
    }
}

/// One entry, and the lives of which it keeps something.
struct Entry {
    roster: Roster,
    kept: HashSet<name::Life>,
}

impl Entry {
    fn new() -> Self {
        Self {
            roster: Roster::new(RESERVE),
            kept: HashSet::new(),
        }
    }

    /// Forgets what is over.
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

/// How news reach an entry.
#[derive(Clone, Debug)]
enum Way {
    /// A whole list, which may be older than what is known.
    List(Index),
    /// The next changes, of which some may come again.
    Feed { again: u64, upto: Index },
    /// What another entry knows.
    Entry(usize),
}

fn way() -> impl Strategy<Value = Way> {
    prop_oneof![
        any::<Index>().prop_map(Way::List),
        (0_u64..4, any::<Index>()).prop_map(|(again, upto)| Way::Feed { again, upto }),
        (0..ENTRIES).prop_map(Way::Entry),
    ]
}

/// An entry takes news; gives back whether there were any.
fn hear(entries: &mut [Entry], at: usize, way: &Way, store: &Store, now: Millis) {
    let known = entries[at].roster.revision();
    match way {
        Way::List(revision) => {
            let revision = revision.index(store.0.len()) as u64 + 1;
            let list = store.list(revision);
            entries[at].roster.replace(list, revision, now, now);
        }
        Way::Feed { again, upto } => {
            let upto = upto.index(store.0.len()) as u64 + 1;
            let changes = store.changes(known.saturating_sub(*again), upto);
            entries[at].roster.apply(changes, now, now);
        }
        Way::Entry(other) => fetch(entries, at, *other, now),
    }
    entries[at].round(now);
}

/// An entry takes from another what is newer there: changes, or else the whole list.
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
    /// The endpoint has started again, so many ms after it did so before.
    Again(u64),
    /// The row of a life before, written late.
    Late(Index),
    /// It leaves.
    Leaving,
    /// The row without a start, as an earlier writer leaves it.
    Startless,
    /// The row is removed.
    Removed,
}

fn write() -> impl Strategy<Value = Write> {
    prop_oneof![
        4 => (1_u64..60).prop_map(Write::Again),
        2 => any::<Index>().prop_map(Write::Late),
        1 => Just(Write::Leaving),
        1 => Just(Write::Startless),
        1 => Just(Write::Removed),
    ]
}

/// The writes in their order, and the row of the last life.
fn store(writes: &[Write]) -> (Store, Endpoint) {
    let mut starts = vec![1_000];
    let mut changes = vec![row(&started("a", 1_000))];
    for write in writes {
        let last = starts[starts.len() - 1];
        let change = match write {
            Write::Again(after) => {
                starts.push(last + after);
                row(&started("a", last + after))
            }
            Write::Late(at) => row(&started("a", *at.get(&starts))),
            Write::Leaving => row(&Endpoint {
                leaving: true,
                ..started("a", last)
            }),
            Write::Startless => row(&endpoint("a")),
            Write::Removed => Change::Missing(name::Endpoint::from("a")),
        };
        changes.push(change);
    }
    let last = started("a", starts[starts.len() - 1]);
    (Store(changes), last)
}

/// All entries hear of all that was written: one by the feed, one by the list, and the
/// others from these.
fn catch_up(entries: &mut [Entry], store: &Store, now: Millis) {
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

/// Hears the news in this order, some ms apart; gives back the entries and the time.
fn play(store: &Store, news: &[(usize, Way, u64)]) -> (Vec<Entry>, Millis) {
    let mut entries: Vec<_> = (0..ENTRIES).map(|_| Entry::new()).collect();
    let mut now = NOW;
    for (at, way, pause) in news {
        hear(&mut entries, *at, way, store, now);
        now = now + Millis(*pause);
    }
    (entries, now)
}

fn news() -> impl Strategy<Value = Vec<(usize, Way, u64)>> {
    proptest::collection::vec((0..ENTRIES, way(), 0_u64..2_000), 0..20)
}

proptest! {
    /// An endpoint starts again several times within tens of ms, also before the first
    /// return is known; rows of its former lives are written late, rows without a start
    /// come between, and each entry hears of another part in another way. Once they have
    /// heard the last write, which is the last life's, all know this life and keep nothing of
    /// any other.
    #[test]
    fn all_entries_end_with_the_last_life(
        mut writes in proptest::collection::vec(write(), 0..12),
        after in 1_u64..60,
        news in news(),
    ) {
        writes.push(Write::Again(after));
        let (store, last) = store(&writes);
        let (mut entries, now) = play(&store, &news);
        catch_up(&mut entries, &store, now);
        for entry in &entries {
            prop_assert_eq!(entry.life(), Some(last.life.clone()));
            prop_assert_eq!(&entry.kept, &HashSet::from([last.life.clone()]));
        }
    }

    /// Whatever was written last, and in whatever order entries heard it: after a while all
    /// of them hold what the last row says.
    #[test]
    fn all_entries_end_with_what_the_last_row_says(
        writes in proptest::collection::vec(write(), 0..12),
        news in news(),
    ) {
        let (store, _) = store(&writes);
        let (mut entries, now) = play(&store, &news);
        catch_up(&mut entries, &store, now);
        let listed = store.list(store.newest());
        let last = listed.first().filter(|it| !it.leaving);
        for entry in &mut entries {
            wait(entry, now);
            prop_assert_eq!(entry.life(), last.map(|it| it.life.clone()));
        }
    }
}

/// An entry that has read this row as the whole list, and now reads these writes by the feed.
fn after(listed: &Endpoint, writes: &[Change]) -> Entry {
    let mut entry = Entry::new();
    entry.roster.replace(vec![listed.clone()], 1, NOW, NOW);
    entry.round(NOW);
    let changes = (2..).zip(writes.iter().cloned()).collect();
    entry.roster.apply(changes, NOW, NOW);
    entry.round(NOW);
    entry
}

/// One whose row is gone, and is back within the reserve with an earlier start.
fn back_with_an_earlier_start() -> Entry {
    let gone = Change::Missing(name::Endpoint::from("a"));
    after(&started("a", 200), &[gone, row(&started("a", 100))])
}

/// Lets rounds pass until nothing is waited for; gives back when.
fn wait(entry: &mut Entry, now: Millis) -> Millis {
    for round in 1..=ROUNDS {
        entry.round(now + Millis(round * ROUND));
    }
    now + Millis(ROUNDS * ROUND)
}

/// The time in reserve of the life before ends while the row is still in doubt: the endpoint
/// is listed, and must be known once the doubt is over.
#[test]
fn a_row_in_doubt_outlasts_the_reserve() {
    let mut entry = back_with_an_earlier_start();
    wait(&mut entry, NOW);
    assert_eq!(entry.life(), Some(started("a", 100).life));
}

/// An entry that fetches the whole list from one that doubts a row gets the row: it is listed.
#[test]
fn a_row_in_doubt_is_told_to_other_entries() {
    let doubting = back_with_an_earlier_start();
    let told: Vec<_> = doubting.roster.listed().cloned().collect();
    assert_eq!(told, [started("a", 100)]);
}

/// A row that is in doubt and then gone is not believed later, whoever stood still meanwhile.
#[test]
fn a_row_that_is_gone_is_not_believed() {
    let mut entry = back_with_an_earlier_start();
    entry.roster.replace(vec![], 4, NOW, NOW);
    entry.round(NOW + Millis(ROUNDS * ROUND));
    assert_eq!(entry.life(), None);
}

/// The list is read once more at the revision that is known, as after a lost history, and then
/// the feed tells of a later life. The list says nothing new, so that the feed is heard.
#[test]
fn a_later_life_is_heard_after_the_same_list() {
    let mut entry = back_with_an_earlier_start();
    let now = wait(&mut entry, NOW);
    entry.roster.replace(vec![started("a", 100)], 3, now, now);
    entry.round(now);
    let later = started("a", 300);
    entry.roster.apply(vec![(4, row(&later))], now, now);
    entry.round(now);
    assert_eq!(entry.life(), Some(later.life));
}

/// A living endpoint writes its row again each second. One whose clock was set back is known
/// after some seconds all the same, and what is kept of its earlier life is forgotten.
#[test]
fn an_earlier_start_that_is_written_again_and_again_is_taken() {
    let mut entry = after(&started("a", 200), &[]);
    let back = started("a", 100);
    for second in 1..=10 {
        let now = NOW + Millis(second * 1_000);
        let change = (second + 1, row(&back));
        entry.roster.apply(vec![change], now, now);
        entry.round(now);
    }
    assert_eq!(entry.life(), Some(back.life.clone()));
    assert_eq!(entry.kept, HashSet::from([back.life]));
}
