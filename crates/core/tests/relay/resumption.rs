//! Streams that are taken up in a fleet whose entries are killed, parted, and learn of new versions
//! at different moments.

use std::collections::BTreeSet;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name::{DataCentre, Entry, Incarnation};
use woodgap_core::relay::fleet;
use woodgap_core::relay::resumption::inquiry::Notice;
use woodgap_core::relay::resumption::registration::{Circumstances, Reading, ServiceVersions};
use woodgap_core::relay::resumption::stored::{Batch, MAX_BATCH, is_outdated};
use woodgap_core::relay::resumption::{
    Build, Inquiry, KEEPERS, Keepers, Registry, Service, Standing, Stream, TAKE_UP_WINDOW,
};
use woodgap_core::relay::warming::Ring;

const SERVICE: &str = "links";
/// How long an attempt at a stream may last.
const LONGEST: Millis = Millis(12_000);
const STEP: u64 = 50;

fn build(version: &str) -> Build {
    Build::of(SERVICE, version)
}

fn services() -> [Service; 1] {
    [Service::of(SERVICE)]
}

/// An entry that may be killed, and its view of the endpoints.
struct Member {
    name: Entry,
    registry: Registry,
    /// Which versions it sees, as of some moments ago.
    seen: Vec<&'static str>,
    /// Which side of the network it is on.
    side: usize,
}

/// A stream that may be taken up.
struct Begun {
    stream: Stream,
    at: Millis,
    build: Build,
}

/// Entries that gossip about streams without a network.
struct Fleet {
    members: Vec<Member>,
    ring: Ring,
    now: Millis,
    /// The versions that the platform has stored.
    stored: BTreeSet<&'static str>,
    begun: Vec<Begun>,
    next: u64,
    random: ChaCha8Rng,
}

impl Fleet {
    fn new(entries: usize, seed: u64) -> Self {
        let now = Millis(3_600_000);
        let member = |at| Member {
            name: Entry::from(format!("e-{at}")),
            registry: registry(now),
            seen: Vec::new(),
            side: 0,
        };
        let members: Vec<_> = (0..entries).map(member).collect();
        let others = members[1..].iter().map(|it| &it.name);
        let ring = Ring::new(&members[0].name, others);
        Self {
            members,
            ring,
            now,
            stored: BTreeSet::new(),
            begun: Vec::new(),
            next: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn keepers(&self, entry: usize, stream: Stream) -> Vec<usize> {
        let owners = self.ring.owners(stream.key(), KEEPERS);
        let all = 0..self.members.len();
        let side = self.members[entry].side;
        all.filter(|at| *at != entry && self.members[*at].side == side)
            .filter(|at| owners.contains(&&self.members[*at].name))
            .collect()
    }

    /// Passes time; entries see what they are shown.
    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.now = self.now + Millis(STEP);
            let now = self.now;
            for member in &mut self.members {
                for version in &member.seen {
                    member.registry.observe(SERVICE, version, now);
                }
                member.registry.expire(now);
            }
            for entry in 0..self.members.len() {
                let notices = self.members[entry].registry.take_notices(now);
                self.deliver(entry, &notices);
            }
        }
    }

    fn deliver(&mut self, entry: usize, notices: &[Notice]) {
        for notice in notices {
            for keeper in self.keepers(entry, notice.stream) {
                self.members[keeper].registry.keep(notice, self.now);
            }
        }
    }

    fn show(&mut self, entry: usize, versions: &[&'static str]) {
        self.members[entry].seen = versions.to_vec();
        for version in versions {
            let member = &mut self.members[entry];
            member.registry.observe(SERVICE, version, self.now);
        }
    }

    fn show_all(&mut self, versions: &[&'static str]) {
        for entry in 0..self.members.len() {
            self.show(entry, versions);
        }
    }

    fn begin(&mut self, entry: usize) {
        let Some(version) = self.choose(entry) else {
            return;
        };
        self.next += 1;
        let stream = Stream::of("murphy", &self.next.to_string());
        let (now, build) = (self.now, build(version));
        let registry = &mut self.members[entry].registry;
        registry.record(stream, build, now + LONGEST);
        let notices = registry.take_notices(now);
        self.deliver(entry, &notices);
        self.begun.push(Begun {
            stream,
            at: now,
            build,
        });
    }

    /// A version at which a new stream may begin. The store takes each at once.
    fn choose(&mut self, entry: usize) -> Option<&'static str> {
        let member = &mut self.members[entry];
        for version in &member.seen {
            member.registry.register(SERVICE, version, self.now);
            self.stored.insert(version);
        }
        let open = member.registry.open(SERVICE, &member.seen, self.now);
        open.choose(&mut self.random).copied()
    }

    /// Where a stream goes on that an entry takes up.
    fn take_up(&self, entry: usize, stream: Stream, age: Millis) -> Option<Build> {
        let standing = |registry: &Registry| {
            let standing = registry.standing(Some(stream), &services(), self.now);
            if registry.is_complete(self.now) {
                standing
            } else {
                standing.of_uninformed()
            }
        };
        let registry = &self.members[entry].registry;
        let own = standing(registry);
        if registry.is_certain(own, age, self.now) {
            return Inquiry::new(own, 0).conclude(true);
        }
        let keepers = self.keepers(entry, stream);
        let mut inquiry = Inquiry::new(own, keepers.len());
        for keeper in keepers {
            inquiry.record(standing(&self.members[keeper].registry));
        }
        inquiry.conclude(age <= Millis(2_500))
    }

    /// An entry starts again; it may not have read yet what is stored.
    fn kill(&mut self, entry: usize, reads: bool) {
        self.members[entry].registry = uninformed(self.now);
        if reads {
            let stored: Vec<_> = self.stored.iter().copied().collect();
            let read = reading(&stored);
            self.members[entry].registry.take(&read, self.now, self.now);
        }
        let others = self.members.iter().map(|it| it.registry.past(self.now));
        let past: Vec<_> = others.flatten().collect();
        for past in past {
            self.members[entry].registry.learn(&past, self.now);
        }
        let seen = self.members[entry].seen.clone();
        self.show(entry, &seen);
        // The others tell it of the streams that it keeps.
        for other in 0..self.members.len() {
            for notice in self.members[other].registry.notices(self.now) {
                if self.keepers(other, notice.stream).contains(&entry) {
                    self.members[entry].registry.keep(&notice, self.now);
                }
            }
        }
    }
}

/// The registry of an entry that has read that the platform stores no version, and never did.
fn registry(now: Millis) -> Registry {
    let mut registry = uninformed(now);
    registry.take(&reading(&[]), now, now);
    registry
}

/// The registry of an entry that has read nothing.
fn uninformed(now: Millis) -> Registry {
    let mut registry = Registry::new(now);
    registry.set_longest_stream(LONGEST, now);
    registry
}

/// All that the platform stores, for as long as it is there.
fn reading(versions: &[&str]) -> Reading {
    let versions = versions.iter();
    Reading {
        versions: versions
            .map(|version| ServiceVersions::one(SERVICE, version))
            .collect(),
        complete_for: Some(Millis::from_secs(3_600)),
    }
}

/// Two of the entries are killed each second, while versions come and go and entries see that up
/// to half a second late. A stream never goes on at another version, and nine tenths of those that
/// were begun in the last seconds go on: their last copies may be lost with the entries.
#[rstest]
fn a_stream_never_goes_on_at_another_version(
    #[values(6, 20)] entries: usize,
    #[values(1, 2, 3, 4, 5)] seed: u64,
    #[values(true, false)] reads: bool,
) {
    const RELEASES: [&[&str]; 5] = [
        &["v1"],
        &["v1", "v2"],
        &["v2"],
        &["v1", "v2", "v3"],
        &["v3"],
    ];
    let mut fleet = Fleet::new(entries, seed);
    fleet.show_all(&["v1"]);
    fleet.pass(60_000);
    let (mut wrong, mut right, mut refused) = (0, 0, 0);
    for second in 0..60 {
        let versions = RELEASES[second / 4 % RELEASES.len()];
        // Who sees a change first differs, and begins streams at once.
        for tenth in 0..10 {
            for entry in 0..entries {
                if entry % 5 <= tenth {
                    fleet.show(entry, versions);
                }
            }
            for _ in 0..6 {
                let entry = fleet.random.random_range(0..entries);
                fleet.begin(entry);
            }
            fleet.pass(100);
        }
        for _ in 0..2 {
            let entry = fleet.random.random_range(0..entries);
            fleet.kill(entry, reads);
        }
        let now = fleet.now;
        fleet.begun.retain(|it| now - it.at < Millis(3_000));
        for begun in &fleet.begun {
            let entry = usize::try_from(begun.stream.key() % entries as u64).unwrap();
            match fleet.take_up(entry, begun.stream, Millis(300)) {
                None => refused += 1,
                Some(build) if build == begun.build => right += 1,
                Some(_) => wrong += 1,
            }
        }
    }
    assert_eq!(wrong, 0, "of {right} right, {refused} refused");
    assert!(right > 9 * refused, "{right} right, {refused} refused");
}

/// All know one version, and none knows the stream.
#[test]
fn a_stream_goes_on_without_a_question_where_one_version_has_served_for_long() {
    let mut fleet = Fleet::new(6, 1);
    fleet.show_all(&["v1"]);
    fleet.pass(LONGEST.0 + TAKE_UP_WINDOW.0 + STEP);
    for (at, member) in fleet.members.iter_mut().enumerate() {
        member.side = at;
    }
    let unknown = Stream::of("murphy", "unknown");
    assert_eq!(fleet.take_up(0, unknown, Millis(300)), Some(build("v1")));
}

/// An entry that can ask nobody goes on only by a view that is current.
#[rstest]
#[case::parted_from_the_others(300, Some("v1"))]
#[case::parted_from_the_platform_too(5_000, None)]
fn a_parted_entry_believes_a_current_view_alone(#[case] age: u64, #[case] version: Option<&str>) {
    let mut fleet = Fleet::new(6, 1);
    fleet.show_all(&["v1"]);
    fleet.pass(60_000);
    fleet.members[0].side = 1;
    let unknown = Stream::of("murphy", "unknown");
    let went_on = fleet.take_up(0, unknown, Millis(age));
    assert_eq!(went_on, version.map(build));
}

/// Streams that began while there was one version are told when a second one comes.
#[test]
fn a_stream_that_began_before_the_second_version_came_is_known_after_a_kill() {
    let mut fleet = Fleet::new(6, 1);
    fleet.show_all(&["v1"]);
    fleet.pass(60_000);
    fleet.begin(0);
    fleet.pass(1_000);
    fleet.show_all(&["v1", "v2"]);
    fleet.pass(STEP);
    fleet.kill(0, true);
    let stream = fleet.begun[0].stream;
    for entry in 0..6 {
        assert_eq!(fleet.take_up(entry, stream, Millis(300)), Some(build("v1")));
    }
}

fn member(name: &Entry, incarnation: u64) -> fleet::Member {
    fleet::Member {
        name: name.clone(),
        incarnation: Incarnation(incarnation),
        peer: ([127, 0, 0, 1], 1).into(),
        front: ([127, 0, 0, 1], 2).into(),
        data_centre: DataCentre::from("dub-a"),
        stopping: false,
        ready: true,
        reaches_platform: true,
        reaches_endpoints: true,
    }
}

/// A stream is told again to a keeper that has forgotten it, and to one that has just become so.
#[test]
fn keepers_that_have_started_again_are_told_again() {
    let names: Vec<_> = (0..=20).map(|at| Entry::from(format!("e-{at}"))).collect();
    let now = Millis(1_000);
    let round = Millis(300);
    let mut fleet = fleet::Fleet::new(names[0].clone(), DataCentre::from("dub-a"), round);
    for name in &names[1..20] {
        fleet.record_contact(member(name, 1), now);
    }
    let before = Keepers::new(&fleet);
    fleet.record_contact(member(&names[1], 2), now);
    fleet.record_contact(member(&names[20], 1), now);
    let after = Keepers::new(&fleet);
    assert!(!after.is_same(&before));
    let (mut again, mut new) = (0, 0);
    for at in 0..1_000 {
        let stream = Stream::of("murphy", &at.to_string());
        let told = after.new_since(&before, stream);
        assert!(told.iter().all(|it| **it == names[1] || **it == names[20]));
        again += usize::from(told.contains(&&names[1]));
        new += usize::from(told.contains(&&names[20]));
        assert!(after.new_since(&after, stream).is_empty());
    }
    // Five of 21 keep a stream.
    assert!((180..300).contains(&again), "{again}");
    assert!((180..300).contains(&new), "{new}");
}

/// What all have forgotten is not guessed while the versions that may have begun it are remembered.
#[test]
fn a_stream_is_refused_after_all_entries_have_started_again() {
    let mut fleet = Fleet::new(6, 1);
    fleet.show_all(&["v1", "v2"]);
    fleet.pass(60_000);
    fleet.begin(0);
    for member in &mut fleet.members {
        member.registry = uninformed(fleet.now);
    }
    fleet.show_all(&["v1", "v2"]);
    let stream = fleet.begun[0].stream;
    assert_eq!(fleet.take_up(0, stream, Millis(300)), None);
}

/// A version that has gone may still have begun a stream that is taken up now.
#[test]
fn a_version_is_remembered_for_as_long_as_its_streams_may_be_taken_up() {
    let mut fleet = Fleet::new(2, 1);
    fleet.show_all(&["v1", "v2"]);
    fleet.pass(60_000);
    fleet.show_all(&["v2"]);
    let unknown = Stream::of("murphy", "unknown");
    fleet.pass(LONGEST.0 + TAKE_UP_WINDOW.0 - STEP);
    assert_eq!(fleet.take_up(0, unknown, Millis(300)), None);
    fleet.pass(2 * STEP);
    assert_eq!(fleet.take_up(0, unknown, Millis(300)), Some(build("v2")));
}

/// The answers of keepers who know different things.
#[rstest]
#[case::one_knows(Standing::Several, &[Standing::Several, Standing::Known(build("v2"))], Some("v2"))]
#[case::nobody_knows(Standing::Several, &[Standing::Several], None)]
#[case::others_know_one_version(Standing::Several, &[Standing::Single(build("v1"))], None)]
#[case::all_know_one_version(Standing::Single(build("v1")), &[Standing::Single(build("v1"))], Some("v1"))]
#[case::another_one_here(Standing::Single(build("v1")), &[Standing::Single(build("v2"))], None)]
#[case::others_know_several(Standing::Single(build("v1")), &[Standing::Several], None)]
#[case::nothing_is_known(Standing::Nothing, &[Standing::Single(build("v1"))], None)]
#[case::nobody_is_informed(Standing::Unsure(build("v1")), &[Standing::Unsure(build("v1"))], None)]
#[case::one_is_informed(Standing::Unsure(build("v1")), &[Standing::Single(build("v1"))], Some("v1"))]
#[case::an_uninformed_one_knows_another(Standing::Single(build("v1")), &[Standing::Unsure(build("v2")), Standing::Single(build("v1"))], None)]
#[case::nobody_answers(Standing::Single(build("v1")), &[], None)]
#[case::all_views_are_aged(Standing::Aged(build("v1")), &[Standing::Aged(build("v1")), Standing::Single(build("v1"))], Some("v1"))]
#[case::one_of_them_is_uninformed(Standing::Aged(build("v1")), &[Standing::Aged(build("v1")), Standing::Unsure(build("v1"))], None)]
#[case::nobody_was_asked(Standing::Aged(build("v1")), &[], None)]
#[case::an_aged_view_is_no_witness(Standing::Unsure(build("v1")), &[Standing::Aged(build("v1"))], None)]
#[case::another_aged_view(Standing::Aged(build("v1")), &[Standing::Aged(build("v2"))], None)]
#[case::others_know_nothing(Standing::Single(build("v1")), &[Standing::Nothing], None)]
fn answers_are_weighed(
    #[case] own: Standing,
    #[case] answers: &[Standing],
    #[case] version: Option<&str>,
) {
    let mut inquiry = Inquiry::new(own, answers.len());
    for answer in answers {
        inquiry.record(*answer);
    }
    assert!(inquiry.is_complete());
    assert_eq!(inquiry.conclude(false), version.map(build));
}

/// Who does not answer may know of a version that came while this view aged.
#[test]
fn an_aged_view_holds_only_where_all_answer() {
    let aged = Standing::Aged(build("v1"));
    let mut inquiry = Inquiry::new(aged, 2);
    inquiry.record(aged);
    assert_eq!(inquiry.conclude(false), None);
    inquiry.record(aged);
    assert_eq!(inquiry.conclude(false), Some(build("v1")));
}

/// Those that can be taken up for the longest time are remembered.
#[test]
fn what_is_remembered_is_bounded() {
    let mut registry = registry(Millis::ZERO);
    for at in 0..70_000_u64 {
        let stream = Stream::of("murphy", &at.to_string());
        registry.record(stream, build("v1"), Millis(at));
    }
    assert_eq!(registry.len(), 65_536);
    let known = |at: u64| {
        let stream = Stream::of("murphy", &at.to_string());
        registry.standing(Some(stream), &services(), Millis::ZERO)
    };
    assert_eq!(known(0), Standing::Nothing);
    assert_eq!(known(69_999), Standing::Known(build("v1")));
    registry.expire(Millis(70_000) + TAKE_UP_WINDOW);
    assert!(registry.is_empty());
}

/// What the platform stores holds for entries that start when all others are gone.
#[test]
fn stored_versions_are_remembered() {
    let mut before = registry(Millis::ZERO);
    // What is merely seen has begun nothing.
    before.observe(SERVICE, "v1", Millis(0));
    assert!(before.registered().is_empty());
    before.register(SERVICE, "v1", Millis(0));
    before.register(SERVICE, "v2", Millis(0));
    let stored = Reading {
        versions: before.registered(),
        complete_for: None,
    };
    assert_eq!(stored.versions.len(), 2);
    let mut after = uninformed(Millis(100));
    after.take(&stored, Millis(100), Millis(100));
    after.observe(SERVICE, "v2", Millis(200));
    let standing = after.standing(None, &services(), Millis(200));
    assert_eq!(standing, Standing::Several);
    let end = Millis(100) + LONGEST + TAKE_UP_WINDOW;
    for at in (1_000..=end.0).step_by(1_000) {
        after.observe(SERVICE, "v2", Millis(at));
    }
    after.observe(SERVICE, "v2", end);
    after.expire(end);
    assert_eq!(
        after.standing(None, &services(), end),
        Standing::Single(build("v2"))
    );
    assert_eq!(after.registered(), [ServiceVersions::one(SERVICE, "v2")]);
}

/// A keeper that hears of many streams of one entry keeps none for longer than a version.
#[test]
fn a_keeper_keeps_no_stream_for_ever() {
    let mut registry = registry(Millis::ZERO);
    let stream = Stream::of("murphy", "r1");
    let notice = Notice {
        stream,
        build: build("v1"),
        keep_for: Millis(u64::MAX),
    };
    registry.keep(&notice, Millis::ZERO);
    registry.expire(LONGEST + TAKE_UP_WINDOW);
    assert!(registry.is_empty());
}

/// LOST: an entry that has heard of streams and versions, but of no plan yet, gave them up after
/// half a minute, and deleted what it had stored in its earlier life.
#[test]
fn nothing_is_given_up_before_the_longest_stream_is_known() {
    let longest = Millis::from_secs(120);
    let mut registry = Registry::new(Millis::ZERO);
    let notice = |id: &str| Notice {
        stream: Stream::of("murphy", id),
        build: build("v1"),
        keep_for: longest,
    };
    registry.observe(SERVICE, "v1", Millis::ZERO);
    registry.observe(SERVICE, "v2", Millis::ZERO);
    registry.keep(&notice("r1"), Millis::ZERO);
    registry.restore_stream(&notice("r2"), Millis::ZERO);
    let late = longest - Millis(1);
    registry.expire(late);
    assert!(registry.shares_streams(late));
    for id in ["r1", "r2"] {
        let standing = registry.standing(Some(Stream::of("murphy", id)), &services(), late);
        assert_eq!(standing, Standing::Known(build("v1")), "{id}");
    }
    assert!(!is_outdated(0, registry.retention(), late));
    // The plan comes, and bounds all that comes later.
    registry.set_longest_stream(longest, late);
    assert_eq!(registry.retention(), longest + TAKE_UP_WINDOW);
}

/// While older versions serve.
#[test]
fn no_streams_begin_at_a_version_before_all_know_of_it() {
    let mut registry = registry(Millis::ZERO);
    registry.register(SERVICE, "v1", Millis(0));
    registry.register(SERVICE, "v2", Millis(2_000));
    registry.observe(SERVICE, "v2", Millis(2_900));
    let open = |at: u64| registry.open(SERVICE, &["v1", "v2"], Millis(at));
    assert_eq!(open(2_999), ["v1"]);
    assert_eq!(open(3_000), ["v1", "v2"]);
    assert_eq!(registry.open(SERVICE, &["v2"], Millis(2_999)), ["v2"]);
    assert!(!registry.is_settled(SERVICE, Millis(2_999)));
    assert!(registry.is_settled(SERVICE, Millis(3_000)));
    assert!(registry.open("others", &["v1"], Millis(3_000)).is_empty());
}

/// ORDER: streams began at a version of which nobody would have known after a loss of all entries.
#[test]
fn no_streams_begin_at_a_version_that_is_not_stored() {
    let mut registry = registry(Millis::ZERO);
    registry.observe(SERVICE, "v1", Millis(0));
    registry.observe(SERVICE, "v2", Millis(0));
    let late = Millis(60_000);
    assert!(registry.open(SERVICE, &["v1", "v2"], late).is_empty());
    registry.register(SERVICE, "v2", late);
    assert_eq!(registry.open(SERVICE, &["v1", "v2"], late), ["v2"]);
    assert!(registry.has_unregistered(SERVICE));
}

/// ORDER: an entry that starts sees one version, which need not be the one that began a stream.
#[rstest]
#[case::the_same(&["v1"], &["v1"], Some("v1"))]
#[case::replaced(&["v1"], &["v2"], Some("v1"))]
#[case::a_new_one_beside_it(&["v1"], &["v1", "v2"], Some("v1"))]
#[case::two(&["v1", "v2"], &["v2"], None)]
#[case::none_stored(&[], &["v2"], None)]
fn what_was_stored_before_tells_what_began_a_stream(
    #[case] stored: &[&str],
    #[case] seen: &[&str],
    #[case] expected: Option<&str>,
) {
    let (start, asked, now) = (Millis(1_000), Millis(1_200), Millis(1_300));
    let mut registry = uninformed(start);
    for version in seen {
        registry.observe(SERVICE, version, start);
    }
    assert!(!registry.is_complete(now));
    registry.take(&reading(stored), asked, now);
    assert!(registry.is_complete(now));
    let only =
        |registry: &Registry, lost: u64| registry.only_stored(&services(), Millis(lost), now);
    assert_eq!(only(&registry, 1_200), expected.map(build));
    // Streams may have begun elsewhere after it was read.
    assert_eq!(only(&registry, 1_201), None);
    // Nothing says that these are all.
    let mut partial = uninformed(start);
    let complete_for = None;
    partial.take(
        &Reading {
            complete_for,
            ..reading(stored)
        },
        asked,
        now,
    );
    assert!(!partial.is_complete(now));
    assert_eq!(only(&partial, 1_200), None);
    // Nor do they for as long as a stream may be taken up.
    let complete_for = Some(LONGEST);
    partial.take(
        &Reading {
            complete_for,
            ..reading(stored)
        },
        asked,
        now,
    );
    assert_eq!(only(&partial, 1_200), None);
}

/// A gap in the view ends what a reading says, and a reading that says less does not undo one.
#[test]
fn a_reading_holds_until_the_view_has_a_gap() {
    let mut registry = registry(Millis::ZERO);
    registry.register(SERVICE, "v1", Millis::ZERO);
    assert!(registry.is_complete(Millis(100)));
    let restored = Reading::default();
    registry.take(&restored, Millis(200), Millis(210));
    assert!(registry.is_complete(Millis(300)));
    registry.record_gap(Millis(400));
    assert!(!registry.has_read());
    assert!(!registry.is_complete(Millis(500)));
    registry.take(&restored, Millis(500), Millis(510));
    assert!(!registry.is_complete(Millis(600)));
    registry.take(&reading(&["v1"]), Millis(600), Millis(610));
    assert!(registry.is_complete(Millis(700)));
    // Without any, it is by itself after the time for which a stream may be taken up.
    let mut alone = uninformed(Millis::ZERO);
    let end = LONGEST + TAKE_UP_WINDOW;
    assert!(!alone.is_complete(end - Millis(1)));
    assert!(alone.is_complete(end));
    alone.record_gap(end);
    assert!(!alone.is_complete(end));
}

/// ORDER: an entry that remembered a version whose row had been deleted began streams there.
#[test]
fn a_version_that_comes_back_is_stored_again_before_streams_begin() {
    let mut registry = registry(Millis::ZERO);
    registry.register(SERVICE, "v1", Millis::ZERO);
    registry.observe(SERVICE, "v1", Millis(5_000));
    assert!(registry.is_registered(SERVICE, "v1"));
    let mut elsewhere = uninformed(Millis::ZERO);
    registry.observe(SERVICE, "v1", Millis(10_001));
    assert!(!registry.is_registered(SERVICE, "v1"));
    registry.register(SERVICE, "v1", Millis(10_001));
    // Another entry says that it was registered, long after its endpoints have gone.
    let past = registry.past_of(SERVICE, "v1", Millis(15_002)).unwrap();
    assert!(!elsewhere.learn(&past, Millis(15_002)));
    let past = registry.past_of(SERVICE, "v1", Millis(15_001)).unwrap();
    assert!(elsewhere.learn(&past, Millis(15_001)));
    assert!(!elsewhere.learn(&past, Millis(15_001)));
}

/// ORDER: streams with the timeout of the plan before were forgotten with the new one.
#[test]
fn a_shorter_timeout_counts_once_streams_of_the_longer_one_are_over() {
    let mut registry = registry(Millis::ZERO);
    let longer = LONGEST + TAKE_UP_WINDOW;
    let shorter = Millis(1_000);
    registry.set_longest_stream(shorter, Millis(100));
    registry.set_longest_stream(shorter, Millis(99) + longer);
    assert_eq!(registry.retention(), longer);
    registry.set_longest_stream(shorter, Millis(100) + longer);
    assert_eq!(registry.retention(), shorter + TAKE_UP_WINDOW);
    registry.set_longest_stream(LONGEST, Millis(200) + longer);
    assert_eq!(registry.retention(), longer);
}

/// LOST: streams were refused for as long as entries read a version that had gone.
#[test]
fn a_reading_does_not_prolong_a_version_that_has_gone() {
    let mut registry = uninformed(Millis::ZERO);
    registry.take(&reading(&["v1", "v2"]), Millis::ZERO, Millis::ZERO);
    let late = Millis(LONGEST.0 + TAKE_UP_WINDOW.0 - 1);
    registry.observe(SERVICE, "v2", late);
    registry.take(&reading(&["v1", "v2"]), late, late);
    registry.expire(late + Millis(1));
    let standing = registry.standing(None, &services(), late);
    assert_eq!(standing, Standing::Single(build("v2")));
    // After a gap it may have served all the while.
    registry.record_gap(late);
    registry.take(&reading(&["v1", "v2"]), late, late);
    assert_eq!(
        registry.standing(None, &services(), late),
        Standing::Several
    );
}

/// Where an entry can't know that there is one version, others must know each stream.
#[test]
fn streams_are_shared_while_versions_may_have_been_missed() {
    let now = Millis(3_600_000);
    let stream = Stream::of("murphy", "r1");
    let mut registry = uninformed(now);
    registry.register(SERVICE, "v1", now);
    registry.record(stream, build("v1"), now + LONGEST);
    assert!(registry.shares_streams(now));
    assert_eq!(registry.take_notices(now).len(), 1);
    assert_eq!(registry.take_unsaved(MAX_BATCH, now).len(), 1);
    registry.take(&reading(&["v1"]), now, now);
    assert!(!registry.shares_streams(now));
}

const USUAL: Circumstances = Circumstances {
    is_owner: true,
    wanted_for: None,
    known_for: Millis(700),
    registered_share: 0.5,
    had_streams: false,
    uptime: Millis(60_000),
    entries: 6,
    turn: 0.5,
};

/// A version is registered at once where no other serves, else once the streams of the others are
/// stored; right after a start of all later, as callers come back.
#[rstest]
#[case::beside_another(USUAL, true)]
#[case::too_new(Circumstances { known_for: Millis(699), ..USUAL }, false)]
#[case::of_another_entry(Circumstances { is_owner: false, ..USUAL }, false)]
#[case::whose_owner_does_nothing(Circumstances { is_owner: false, known_for: Millis(2_715), ..USUAL }, true)]
#[case::alone(Circumstances { registered_share: 0.0, known_for: Millis(0), ..USUAL }, true)]
#[case::alone_at_a_start(Circumstances { registered_share: 0.0, uptime: Millis(499), ..USUAL }, false)]
#[case::alone_and_not_wanted(Circumstances { registered_share: 0.0, is_owner: false, ..USUAL }, false)]
#[case::alone_and_wanted(Circumstances { registered_share: 0.0, is_owner: false, wanted_for: Some(Millis(165)), ..USUAL }, true)]
#[case::wanted_for_a_moment(Circumstances { registered_share: 0.0, is_owner: false, wanted_for: Some(Millis(164)), ..USUAL }, false)]
#[case::after_a_restart(Circumstances { had_streams: true, uptime: Millis(5_999), ..USUAL }, false)]
#[case::long_after_a_restart(Circumstances { had_streams: true, uptime: Millis(6_000), ..USUAL }, true)]
#[case::beside_few_after_a_restart(Circumstances { had_streams: true, uptime: Millis(900), registered_share: 0.4, ..USUAL }, true)]
#[case::among_many_entries(Circumstances { entries: 400, known_for: Millis(1_199), ..USUAL }, false)]
fn a_version_is_registered_in_time(#[case] circumstances: Circumstances, #[case] is_due: bool) {
    assert_eq!(circumstances.is_due(), is_due);
}

/// The bytes of a notice and the streams of an entry bound what control costs.
#[test]
fn a_notice_is_short() {
    let notice = Notice {
        stream: Stream::of("murphy", "r1"),
        build: build("v1"),
        keep_for: LONGEST + TAKE_UP_WINDOW,
    };
    let bytes = postcard::to_stdvec(&notice).unwrap();
    assert!(bytes.len() <= 23, "{}", bytes.len());
}

/// Streams that are stored, as a batch that is written now.
fn batch(registry: &mut Registry, now: Millis, unix: Millis) -> Batch {
    Batch {
        written_unix: unix,
        streams: registry.take_unsaved(MAX_BATCH, now),
    }
}

fn mixed(now: Millis) -> Registry {
    let mut registry = registry(now);
    registry.observe(SERVICE, "v1", now);
    registry.observe(SERVICE, "v2", now);
    registry
}

/// A registry that knows only what was stored.
fn restored(batch: &Batch, now: Millis, unix: Millis) -> Registry {
    let mut registry = mixed(now);
    for notice in batch.notices(unix) {
        registry.restore_stream(&notice, now);
    }
    registry
}

#[test]
fn only_streams_of_services_with_several_versions_are_stored_and_each_once() {
    let now = Millis(3_600_000);
    let mut registry = registry(now);
    registry.observe(SERVICE, "v1", now);
    let stream = Stream::of("murphy", "r1");
    registry.record(stream, build("v1"), now + LONGEST);
    assert!(registry.take_unsaved(MAX_BATCH, now).is_empty());
    // Those that began before are stored when the second version comes.
    registry.observe(SERVICE, "v2", now);
    assert_eq!(registry.take_unsaved(MAX_BATCH, now).len(), 1);
    assert!(registry.take_unsaved(MAX_BATCH, now).is_empty());
    // A store that came back from an older copy may have lost them.
    registry.mark_all_unsaved();
    assert_eq!(registry.take_unsaved(MAX_BATCH, now).len(), 1);
}

#[test]
fn streams_kept_for_others_are_not_stored_again() {
    let now = Millis(3_600_000);
    let mut registry = mixed(now);
    let notice = Notice {
        stream: Stream::of("murphy", "r1"),
        build: build("v1"),
        keep_for: LONGEST,
    };
    registry.keep(&notice, now);
    registry.mark_all_unsaved();
    assert!(registry.take_unsaved(MAX_BATCH, now).is_empty());
}

/// All entries are gone. Whatever of the batches is lost, late or old, a stream that is taken up
/// goes on at the version that began it, or not at all.
#[rstest]
fn stored_streams_go_on_at_no_other_version(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (begun, unix) = (Millis(3_600_000), Millis(1_796_256_000_000));
    let mut registry = mixed(begun);
    let mut streams = Vec::new();
    let mut batches = Vec::new();
    for index in 0..200 {
        let stream = Stream::of("murphy", &format!("r{index}"));
        let version = ["v1", "v2"].choose(&mut random).unwrap();
        registry.record(stream, build(version), begun + LONGEST);
        streams.push((stream, build(version)));
        if index % 20 == 0 {
            batches.push(batch(&mut registry, begun, unix));
        }
    }
    batches.retain(|_| random.random_bool(0.7));
    let late = Millis(random.random_range(0..60_000));
    let now = begun + late;
    let mut after = mixed(now);
    for batch in &batches {
        for notice in batch.notices(unix + late) {
            after.restore_stream(&notice, now);
        }
    }
    let mut known = 0;
    for (stream, build) in streams {
        match after.standing(Some(stream), &services(), now) {
            Standing::Known(stored) => {
                assert_eq!(stored, build);
                known += 1;
            }
            Standing::Several => {}
            standing => panic!("{standing:?}"),
        }
    }
    let may_be_taken_up = late < LONGEST + TAKE_UP_WINDOW;
    assert_eq!(known > 0, may_be_taken_up && !batches.is_empty());
}

/// What an entry knows by itself, or was told, is younger than any row.
#[test]
fn a_stored_row_does_not_replace_what_is_known() {
    let (now, unix) = (Millis(3_600_000), Millis(1_796_256_000_000));
    let stream = Stream::of("murphy", "r1");
    let mut earlier = mixed(now);
    earlier.record(stream, build("v1"), now + LONGEST);
    let batch = batch(&mut earlier, now, unix);
    let mut registry = restored(&batch, now, unix);
    let known = |registry: &Registry| registry.standing(Some(stream), &services(), now);
    assert_eq!(known(&registry), Standing::Known(build("v1")));
    registry.record(stream, build("v2"), now + LONGEST);
    for notice in batch.notices(unix) {
        registry.restore_stream(&notice, now);
    }
    assert_eq!(known(&registry), Standing::Known(build("v2")));
}

/// A batch that a row can't hold would never be stored, and its streams be lost with all entries.
#[test]
fn a_whole_batch_fits_into_a_row() {
    let notice = Notice {
        stream: Stream::of("murphy", "r1"),
        build: build("v1"),
        keep_for: LONGEST + TAKE_UP_WINDOW,
    };
    let batch = Batch {
        written_unix: Millis(1_796_256_000_000),
        streams: vec![notice; MAX_BATCH],
    };
    let bytes = serde_json::to_vec(&batch).unwrap().len();
    assert!(bytes < 64 * 1024, "{bytes}");
}
