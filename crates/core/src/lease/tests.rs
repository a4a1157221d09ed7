//! Lease state machine under takes, renewals, pauses and losses in every order.

use std::collections::VecDeque;

use proptest::prelude::*;
use rstest::rstest;

use super::machine::{Machine, Step, View, Want};
use super::row::{Mark, Record, Snapshot, Versioned, Write, WriteOutcome};
use super::{Fence, Holder, Term};
use crate::clock::Millis;
use crate::era::Era;
use crate::name::Incarnation;

const TERM: Term = Term::new(Millis(1_000));
const HOLD: Want = Want::Hold {
    poll_interval: Millis(250),
};

/// The two rows with the history of their states.
#[derive(Clone, Debug, Default)]
struct Rows {
    version: u64,
    states: Vec<Snapshot>,
    /// The fencing token and holder of each take, in order.
    takes: Vec<(Fence, Incarnation)>,
}

impl Rows {
    fn now(&self) -> Snapshot {
        self.states.last().cloned().unwrap_or_default()
    }

    fn write(&mut self, write: &Write) -> WriteOutcome {
        let mut seen = self.now();
        if seen.version() != write.over {
            return WriteOutcome::Conflict;
        }
        self.version += 1;
        seen.record = Some(Versioned {
            value: write.record.clone(),
            version: self.version,
        });
        let version = self.version;
        if let Some(mark) = &write.mark {
            self.version += 1;
            let holder = mark.holder.incarnation;
            self.takes.push((Fence(self.version), holder));
            seen.mark = Some(Versioned {
                value: mark.clone(),
                version: self.version,
            });
        }
        let fence = write.mark.as_ref().map(|_| Fence(self.version));
        self.states.push(seen);
        WriteOutcome::Committed { version, fence }
    }

    /// Applies the fate of a write and returns the outcome that the writer sees.
    fn answer(&mut self, write: &Write, fate: Fate) -> WriteOutcome {
        match fate {
            Fate::Good | Fate::Stale => self.write(write),
            Fate::Unavailable => WriteOutcome::Unavailable,
            Fate::RequestLost => WriteOutcome::Unknown,
            Fate::AckLost => {
                self.write(write);
                WriteOutcome::Unknown
            }
        }
    }
}

fn holder(number: u64) -> Holder {
    Holder {
        entry: "dub-a-1".into(),
        incarnation: Incarnation(number),
    }
}

fn machine(number: u64) -> Machine {
    Machine::new(holder(number), TERM, number * 1_000)
}

/// Fault injected into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Good,
    /// Nothing is done, and the caller knows.
    Unavailable,
    /// It takes effect, but the caller does not know.
    AckLost,
    /// It has no effect, but the caller does not know.
    RequestLost,
    /// A read shows the state before the last write.
    Stale,
}

/// Makes one step; returns whether a call was made.
fn step(machine: &mut Machine, rows: &mut Rows, now: Millis, want: Want, fate: Fate) -> bool {
    match machine.step(now, want) {
        Step::Rest(until) => {
            assert!(until > now, "a rest must end later, or the caller spins");
            false
        }
        Step::Read => {
            let seen = match fate {
                Fate::Good => Some(rows.now()),
                Fate::Stale => Some(rows.states.iter().rev().nth(1).cloned().unwrap_or_default()),
                _ => None,
            };
            machine.on_read(now, seen.as_ref());
            true
        }
        Step::Write(write) => {
            machine.on_write(now, rows.answer(&write, fate));
            true
        }
    }
}

/// Makes steps until the machine rests.
fn settle(machine: &mut Machine, rows: &mut Rows, now: Millis, want: Want) {
    for _ in 0..8 {
        if !step(machine, rows, now, want, Fate::Good) {
            return;
        }
    }
    panic!("calls without end");
}

/// Runs a machine without faults from one time to another.
fn run(machine: &mut Machine, rows: &mut Rows, from: u64, to: u64, want: Want) {
    for now in (from..=to).step_by(10) {
        settle(machine, rows, Millis(now), want);
    }
}

fn holds(machine: &Machine, now: u64) -> bool {
    machine.view().check(Millis(now)).is_ok()
}

#[test]
fn a_free_lease_is_taken_renewed_and_given_back() {
    let (mut first, mut second, mut rows) = (machine(1), machine(2), Rows::default());
    settle(&mut first, &mut rows, Millis(0), HOLD);
    assert!(holds(&first, 0));
    run(&mut first, &mut rows, 10, 5_000, HOLD);
    run(&mut second, &mut rows, 10, 100, HOLD);
    assert!(holds(&first, 5_000) && !holds(&second, 5_000));
    // One write to take, and one at each third of the duration.
    assert_eq!(rows.states.len(), 1 + 5_000 / 330);
    settle(&mut first, &mut rows, Millis(5_010), Want::Release);
    assert_eq!(first.view(), View::NotHeld);
    run(&mut second, &mut rows, 5_010, 5_300, HOLD);
    assert!(holds(&second, 5_300));
    assert!(rows.takes[0].0 < rows.takes[1].0);
}

/// One call during a take fails: the lease is still held in the end, by a single take.
#[rstest]
#[case::read_fails(0, Fate::Unavailable)]
#[case::write_refused(1, Fate::Unavailable)]
#[case::write_lost(1, Fate::RequestLost)]
#[case::ack_lost(1, Fate::AckLost)]
fn a_disturbed_take(#[case] call: usize, #[case] fate: Fate) {
    let (mut machine, mut rows) = (machine(1), Rows::default());
    for index in 0..=call {
        let fate = if index == call { fate } else { Fate::Good };
        assert!(step(&mut machine, &mut rows, Millis(0), HOLD, fate));
    }
    run(&mut machine, &mut rows, 10, 200, HOLD);
    assert!(holds(&machine, 200));
    assert_eq!(rows.takes.len(), 1);
}

/// A take whose acknowledgement was lost counts from when it was sent.
#[test]
fn a_take_settled_late_is_over_early() {
    let (mut machine, mut rows) = (machine(1), Rows::default());
    step(&mut machine, &mut rows, Millis(0), HOLD, Fate::Good);
    step(&mut machine, &mut rows, Millis(0), HOLD, Fate::AckLost);
    step(&mut machine, &mut rows, Millis(600), HOLD, Fate::Good);
    let View::Held { until, .. } = machine.view() else {
        panic!("{:?}", machine.view());
    };
    assert_eq!(until, TERM.hold());
}

/// A renewal fails: checks how long the holder may act.
#[rstest]
#[case::good(Fate::Good, 330 + 660)]
#[case::refused(Fate::Unavailable, 660)]
#[case::lost(Fate::RequestLost, 660)]
#[case::ack_lost(Fate::AckLost, 660)]
fn a_disturbed_renewal(#[case] fate: Fate, #[case] until: u64) {
    let (mut machine, mut rows) = (machine(1), Rows::default());
    settle(&mut machine, &mut rows, Millis(0), HOLD);
    assert!(step(&mut machine, &mut rows, Millis(330), HOLD, fate));
    assert!(holds(&machine, until - 1) && !holds(&machine, until));
    // After a read or another write, the lease is still held with the same fencing token.
    run(&mut machine, &mut rows, 340, 3_000, HOLD);
    assert!(holds(&machine, 3_000));
    assert_eq!(rows.takes.len(), 1);
}

/// If several renewals have an unknown outcome, the lease counts from the earliest that may be
/// in force.
#[test]
fn of_renewals_in_doubt_the_earliest_counts() {
    let (mut machine, mut rows) = (machine(1), Rows::default());
    settle(&mut machine, &mut rows, Millis(0), HOLD);
    step(
        &mut machine,
        &mut rows,
        Millis(330),
        HOLD,
        Fate::RequestLost,
    );
    step(&mut machine, &mut rows, Millis(400), HOLD, Fate::Good);
    step(&mut machine, &mut rows, Millis(400), HOLD, Fate::AckLost);
    step(&mut machine, &mut rows, Millis(500), HOLD, Fate::Good);
    assert!(holds(&machine, 330 + 659) && !holds(&machine, 330 + 660));
}

/// A holder is suspended: its lease expires, and a second one takes it with a higher fencing
/// token.
#[rstest]
fn a_holder_that_pauses(#[values(0, 10, 329, 330, 400, 659)] at: u64) {
    let (mut first, mut second, mut rows) = (machine(1), machine(2), Rows::default());
    settle(&mut first, &mut rows, Millis(0), HOLD);
    run(&mut first, &mut rows, 10, at, HOLD);
    run(&mut second, &mut rows, 0, at + 2_000, HOLD);
    assert!(holds(&second, at + 2_000));
    assert!(!holds(&first, at + 2_000), "before any call");
    run(&mut first, &mut rows, at + 2_000, at + 2_500, HOLD);
    assert_eq!(first.view(), View::NotHeld);
    let [before, after] = rows.takes[..] else {
        panic!("{:?}", rows.takes);
    };
    assert!(before.0 < after.0);
}

/// A holder suspended between reading its clock and sending the renewal: the late renewal is
/// rejected.
#[test]
fn a_renewal_sent_late_is_refused() {
    let (mut first, mut second, mut rows) = (machine(1), machine(2), Rows::default());
    settle(&mut first, &mut rows, Millis(0), HOLD);
    let Step::Write(write) = first.step(Millis(330), HOLD) else {
        panic!("a renewal is due");
    };
    run(&mut second, &mut rows, 0, 1_500, HOLD);
    first.on_write(Millis(1_500), rows.write(&write));
    run(&mut first, &mut rows, 1_500, 2_000, HOLD);
    assert!(!holds(&first, 2_000) && holds(&second, 1_500));
}

/// Table service outage longer than the lease: nobody acts during it, and the holder continues
/// afterwards.
#[test]
fn an_outage_of_the_table_service() {
    let (mut first, mut second, mut rows) = (machine(1), machine(2), Rows::default());
    settle(&mut first, &mut rows, Millis(0), HOLD);
    settle(&mut second, &mut rows, Millis(0), HOLD);
    for now in (10..10_000).step_by(10) {
        step(&mut first, &mut rows, Millis(now), HOLD, Fate::Unavailable);
        step(&mut second, &mut rows, Millis(now), HOLD, Fate::Unavailable);
    }
    assert!(matches!(first.view(), View::Expired(_)) && !holds(&second, 10_000));
    // The second one reads the row first, but its observation starts over.
    settle(&mut second, &mut rows, Millis(10_000), HOLD);
    run(&mut first, &mut rows, 10_010, 10_200, HOLD);
    assert!(holds(&first, 10_200));
    assert_eq!(rows.takes.len(), 1);
}

/// A record left by an earlier incarnation of the same entry is treated as another holder's.
#[test]
fn a_former_life_of_the_branch_is_waited_out() {
    let (mut former, mut rows) = (machine(1), Rows::default());
    settle(&mut former, &mut rows, Millis(0), HOLD);
    let mut next = Machine::new(holder(1), TERM, 77_000);
    run(&mut next, &mut rows, 0, 1_090, HOLD);
    assert!(!holds(&next, 1_090));
    run(&mut next, &mut rows, 1_100, 1_400, HOLD);
    assert!(holds(&next, 1_400));
}

/// Rows that were read at different times or are stale make nobody a holder.
#[test]
fn torn_and_stale_reads() {
    let mut machine = machine(1);
    let record = Record {
        holder: Some(holder(1)),
        take: 1_000,
        duration: TERM.duration(),
    };
    let mark = Mark {
        holder: holder(2),
        take: 2_000,
    };
    machine.step(Millis(0), HOLD);
    let torn = Snapshot {
        record: Some(Versioned {
            value: record,
            version: 9,
        }),
        mark: Some(Versioned {
            value: mark,
            version: 8,
        }),
    };
    machine.on_read(Millis(0), Some(&torn));
    assert_eq!(machine.view(), View::NotHeld);
}

/// Restores the rows to an older state, so that versions are assigned again. Never to a state
/// before the last take: whoever reads such rows can't know of that holder, and must learn of
/// it from other entries.
fn restore_rows(rows: &mut Rows, states: usize) {
    let taken = rows.takes.last().map_or(0, |(fence, _)| fence.0);
    let with_take = |seen: &Snapshot| seen.mark.as_ref().is_some_and(|mark| mark.version >= taken);
    let first = rows.states.iter().position(with_take).unwrap_or(0);
    let kept = rows.states.len().saturating_sub(states).max(first + 1);
    rows.states.truncate(kept);
    let last = rows.now();
    let mark = last.mark.as_ref().map_or(0, |mark| mark.version);
    rows.version = last.version().max(mark);
}

/// The table is restored from an older copy. Entries that had seen newer rows waited for these
/// forever, and the former holder never began to observe another entry's lease. Every entry
/// must accept the restored rows, and one must hold the lease again.
#[test]
fn rows_that_were_put_back() {
    let (mut first, mut second, mut rows) = (machine(1), machine(2), Rows::default());
    settle(&mut first, &mut rows, Millis(0), HOLD);
    for now in (10..=3_000).step_by(10) {
        settle(&mut first, &mut rows, Millis(now), HOLD);
        settle(&mut second, &mut rows, Millis(now), HOLD);
    }
    assert!(holds(&first, 3_000));
    restore_rows(&mut rows, 4);
    // The first holder is gone: the second must take over.
    let mut third = second.clone();
    let mut rows_without = rows.clone();
    run(&mut third, &mut rows_without, 3_010, 6_000, HOLD);
    assert!(holds(&third, 6_000), "the one that follows waits for ever");
    // The first holder continues: one of the two holds the lease in the end, and never both.
    let mut held = 0;
    for now in (3_010..9_000).step_by(10) {
        settle(&mut first, &mut rows, Millis(now), HOLD);
        settle(&mut second, &mut rows, Millis(now), HOLD);
        let holders = usize::from(holds(&first, now)) + usize::from(holds(&second, now));
        assert!(holders <= 1, "{holders} at {now}");
        held = holders;
    }
    assert_eq!(held, 1);
    assert!(
        !matches!(first.view(), View::Expired(_)),
        "stuck with rows that are gone"
    );
}

/// The rows come back in a later era as they were after this many states: the versions are given
/// out again, and each is read with the stamp of the new era.
fn restore_in_era(rows: &mut Rows, states: usize, era: Era) {
    rows.states.truncate(states);
    let mut seen = rows.now();
    if let Some(record) = &mut seen.record {
        record.version = era.stamp(record.version);
    }
    if let Some(mark) = &mut seen.mark {
        mark.version = era.stamp(mark.version);
    }
    let mark = seen.mark.as_ref().map_or(0, |mark| mark.version);
    rows.version = seen.version().max(mark);
    rows.states.push(seen);
}

/// A copy from before the last take shows a lease that nobody holds. Whoever has seen the rows of
/// the era before took it at once, beside the holder whose take the copy lacks.
#[test]
fn a_lease_that_a_restored_store_shows_free_is_not_taken_beside_its_holder() {
    let (mut first, mut second, mut rows) = (machine(1), machine(2), Rows::default());
    settle(&mut second, &mut rows, Millis(0), HOLD);
    settle(&mut second, &mut rows, Millis(10), Want::Release);
    let released = rows.states.len();
    for now in (20..=1_000).step_by(10) {
        settle(&mut first, &mut rows, Millis(now), HOLD);
        settle(&mut second, &mut rows, Millis(now), HOLD);
    }
    assert!(holds(&first, 1_000));
    restore_in_era(&mut rows, released, Era::new(2));
    let mut held = 0;
    // The first holder does not reach the store, and acts for as long as it may.
    for now in (1_010..4_000).step_by(10) {
        settle(&mut second, &mut rows, Millis(now), HOLD);
        held = usize::from(holds(&first, now)) + usize::from(holds(&second, now));
        assert!(held <= 1, "{held} at {now}");
    }
    assert_eq!(held, 1, "the restored lease is never taken");
}

/// The copy has the take of the holder, but its versions are of another era: with the fence of
/// the era before, each write of the holder would be refused for ever.
#[test]
fn a_holder_whose_take_a_restored_store_kept_goes_on_under_the_fence_of_the_new_era() {
    let (mut machine, mut rows) = (machine(1), Rows::default());
    for now in (0..=1_000).step_by(10) {
        settle(&mut machine, &mut rows, Millis(now), HOLD);
    }
    let before = machine.view().fence();
    restore_in_era(&mut rows, 1, Era::new(2));
    machine.suspect(Millis(1_000));
    settle(&mut machine, &mut rows, Millis(1_010), HOLD);
    assert!(holds(&machine, 1_010));
    let fence = machine.view().fence();
    assert_eq!(fence.map(|it| Era::of(it.0)), Some(Era::new(2)));
    assert!(fence > before);
    run(&mut machine, &mut rows, 1_020, 6_000, HOLD);
    assert!(holds(&machine, 6_000));
}

/// A step of the randomised test: what one of the machines does next.
#[derive(Clone, Copy, Debug)]
struct Move {
    who: usize,
    want: Want,
    fate: Fate,
    after: u64,
    /// Number of steps after which a write reaches the rows; 0 for at once.
    late: usize,
}

fn any_move() -> impl Strategy<Value = Move> {
    let want = prop_oneof![
        8 => Just(HOLD),
        1 => Just(Want::Idle),
        1 => Just(Want::Release),
    ];
    let fate = prop_oneof![
        6 => Just(Fate::Good),
        1 => Just(Fate::Unavailable),
        1 => Just(Fate::AckLost),
        1 => Just(Fate::RequestLost),
        1 => Just(Fate::Stale),
    ];
    let after = prop_oneof![6 => 0_u64..200, 1 => 200_u64..3_000];
    let late = prop_oneof![6 => Just(0_usize), 1 => 1_usize..12];
    (0_usize..3, want, fate, after, late).prop_map(|(who, want, fate, after, late)| Move {
        who,
        want,
        fate,
        after,
        late,
    })
}

/// Plays the steps in order and calls `check` after each.
fn play(moves: &[Move], mut check: impl FnMut(&[Machine; 3], &Rows, u64)) {
    let mut machines = [machine(1), machine(2), machine(3)];
    let mut rows = Rows::default();
    let mut in_flight: VecDeque<(usize, Write)> = VecDeque::new();
    let mut now = 0;
    for (index, made) in moves.iter().enumerate() {
        now += made.after;
        while in_flight.front().is_some_and(|(due, _)| *due <= index) {
            let (_, write) = in_flight.pop_front().unwrap();
            rows.write(&write);
        }
        let machine = &mut machines[made.who];
        match machine.step(Millis(now), made.want) {
            Step::Write(write) if made.late > 0 => {
                in_flight.push_back((index + made.late, write));
                machine.on_write(Millis(now), WriteOutcome::Unknown);
            }
            Step::Write(write) => machine.on_write(Millis(now), rows.answer(&write, made.fate)),
            Step::Read => {
                let seen = match made.fate {
                    Fate::Good | Fate::AckLost => Some(rows.now()),
                    Fate::Stale => {
                        Some(rows.states.iter().rev().nth(2).cloned().unwrap_or_default())
                    }
                    _ => None,
                };
                machine.on_read(Millis(now), seen.as_ref());
            }
            Step::Rest(until) => assert!(until > Millis(now)),
        }
        check(&machines, &rows, now);
    }
}

fn holders(machines: &[Machine; 3], now: u64) -> usize {
    machines
        .iter()
        .filter(|machine| holds(machine, now))
        .count()
}

proptest! {
    /// There are never two holders at once, and fencing tokens increase.
    #[test]
    fn one_holder_at_a_time(moves in prop::collection::vec(any_move(), 1..300)) {
        play(&moves, |machines, rows, now| {
            assert!(holders(machines, now) <= 1, "more than one at {now}");
            assert!(rows.takes.windows(2).all(|pair| pair[0].0 < pair[1].0));
        });
    }
}
