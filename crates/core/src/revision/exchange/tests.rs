//! Distribution of a revision over a network that loses, repeats and reorders messages.

use proptest::prelude::*;
use rstest::rstest;

use super::{Action, Exchange};
use crate::clock::Millis;
use crate::name::Incarnation;
use crate::revision::message::{Change, Message, parts};

const LIMIT: Millis = Millis(10_000);

fn change(revision: u64) -> Change {
    Change {
        revision,
        document: format!("{{\"n\":{revision}}}"),
    }
}

fn with(revisions: std::ops::RangeInclusive<u64>) -> Exchange {
    let mut exchange = Exchange::new(LIMIT);
    for revision in revisions {
        exchange.in_force(revision, &[change(revision)]);
    }
    exchange
}

#[rstest]
#[case::next_changes(3, Some(vec![4, 5]))]
#[case::nothing_newer(5, Some(vec![]))]
#[case::ahead_of_us(9, Some(vec![]))]
#[case::everything(0, None)]
fn an_entry_answers_what_is_wanted(#[case] after: u64, #[case] expected: Option<Vec<u64>>) {
    let mut out = Vec::new();
    with(1..=5).on_message(Millis::ZERO, Incarnation(2), Message::Want(after), &mut out);
    let sent = match out.pop() {
        Some(Action::SendSnapshot(_)) => None,
        Some(Action::Send(_, Message::Changes(changes))) => {
            Some(changes.iter().map(|change| change.revision).collect())
        }
        None => Some(vec![]),
        other => panic!("{other:?}"),
    };
    assert_eq!(sent, expected);
}

#[test]
fn who_lacks_more_than_the_tail_gets_everything() {
    let mut out = Vec::new();
    with(1..=1_000).on_message(Millis::ZERO, Incarnation(2), Message::Want(10), &mut out);
    assert_eq!(out, [Action::SendSnapshot(Incarnation(2))]);
}

#[test]
fn a_gap_is_not_applied() {
    let mut out = Vec::new();
    with(1..=3).on_message(
        Millis::ZERO,
        Incarnation(2),
        Message::Changes(vec![change(5)]),
        &mut out,
    );
    assert!(out.is_empty());
}

#[test]
fn an_older_whole_never_replaces_a_newer_one() {
    let mut out = Vec::new();
    let mut exchange = with(1..=8);
    for part in parts(7, vec!["x".to_owned()]) {
        exchange.on_message(Millis::ZERO, Incarnation(2), Message::Part(part), &mut out);
    }
    assert!(out.is_empty());
}

#[test]
fn what_is_said_to_be_in_force_is_asked_for_at_once() {
    let mut out = Vec::new();
    with(1..=3).on_message(Millis::ZERO, Incarnation(2), Message::InForce(4), &mut out);
    assert_eq!(out, [Action::Send(Incarnation(2), Message::Want(3))]);
}

#[test]
fn one_without_an_answer_is_asked_again_and_not_sooner() {
    let mut exchange = with(1..=3);
    exchange.peer_heard(Millis(0), Incarnation(2), 4);
    let mut asked = Vec::new();
    for now in (0..=900).step_by(50) {
        let mut out = Vec::new();
        exchange.tick(Millis(now), &mut out);
        if !out.is_empty() {
            asked.push(now);
        }
    }
    assert_eq!(asked, [0, 300, 600, 900]);
}

/// An entry with its exchange and the revisions it put in force.
struct Node {
    exchange: Exchange,
    revisions: Vec<u64>,
}

impl Node {
    fn carry_out(
        &mut self,
        index: usize,
        out: Vec<Action>,
        network: &mut Vec<(usize, usize, Message)>,
    ) {
        for action in out {
            match action {
                Action::Send(to, message) => network.push((index, to_index(to), message)),
                Action::SendSnapshot(to) => {
                    let revision = self.exchange.tracker().in_force().unwrap_or(0);
                    let all = parts(revision, (1..=revision).map(|_| "d".repeat(9_000)));
                    network.extend(
                        all.into_iter()
                            .map(|part| (index, to_index(to), Message::Part(part))),
                    );
                }
                Action::Apply(changes) => {
                    let last = changes.last().map_or(0, |change| change.revision);
                    self.revisions.push(last);
                    self.exchange.in_force(last, &changes);
                }
                Action::Replace { revision, .. } => {
                    self.revisions.push(revision);
                    self.exchange.in_force(revision, &[]);
                }
            }
        }
    }
}

fn to_index(incarnation: Incarnation) -> usize {
    usize::try_from(incarnation.0).unwrap()
}

proptest! {
    /// Under loss, repetition and reordering, no entry goes back to an older revision, and all
    /// reach the newest one once the network delivers.
    #[test]
    fn all_get_the_newest_and_none_goes_back(
        fates in prop::collection::vec((0_u8..4, any::<prop::sample::Index>()), 0..200),
        newest in 1_u64..20,
    ) {
        let mut nodes: Vec<Node> = (0..4)
            .map(|_| Node { exchange: Exchange::new(LIMIT), revisions: Vec::new() })
            .collect();
        nodes[0].exchange = with(1..=newest);
        let mut network = Vec::new();
        let mut now = Millis::ZERO;
        let mut fates = fates.into_iter();
        for _ in 0..400 {
            now = now + Millis(50);
            step(&mut nodes, &mut network, now, fates.next());
        }
        for node in &nodes {
            prop_assert_eq!(node.exchange.tracker().in_force(), Some(newest));
            prop_assert!(node.revisions.windows(2).all(|pair| pair[0] < pair[1]));
        }
    }
}

/// Every entry learns every peer's revision and sends its requests; then one message is
/// delivered, lost or repeated.
fn step(
    nodes: &mut [Node],
    network: &mut Vec<(usize, usize, Message)>,
    now: Millis,
    fate: Option<(u8, prop::sample::Index)>,
) {
    let revisions: Vec<Option<u64>> = nodes
        .iter()
        .map(|node| node.exchange.tracker().in_force())
        .collect();
    for (index, node) in nodes.iter_mut().enumerate() {
        for (other, revision) in (0_u64..).zip(&revisions) {
            if let Some(revision) = revision.filter(|_| to_index(Incarnation(other)) != index) {
                node.exchange.peer_heard(now, Incarnation(other), revision);
            }
        }
        let mut out = Vec::new();
        node.exchange.tick(now, &mut out);
        node.carry_out(index, out, network);
    }
    if network.is_empty() {
        return;
    }
    let (fate, index) = fate.map_or((0, 0), |(fate, index)| (fate, index.index(network.len())));
    let message = network[index].clone();
    if fate != 1 {
        network.remove(index);
    }
    if fate != 2 {
        let (from, to, message) = message;
        let from = Incarnation(u64::try_from(from).unwrap());
        let mut out = Vec::new();
        nodes[to].exchange.on_message(now, from, message, &mut out);
        nodes[to].carry_out(to, out, network);
    }
}
