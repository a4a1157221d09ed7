//! Load reports, from the entry that probes to the others.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::endpoint::watch::watched::Audience;
use crate::endpoint::watch::{IN_MESSAGE, PROBE_PERIOD, Step, Watch};
use crate::endpoint::{Message, Report};
use crate::membership::{Member, Members};
use crate::name::Incarnation;

/// Above this many other entries, only those of the own data centre are told of
/// loads: the others would hardly ever use them.
const MOST_RECEIVERS: usize = 16;
/// Bytes a second that load reports may take. Where they would take more, they
/// are sent less often: a home needs no one's reports but its own, and others
/// go by them only while they can't reach the home.
const BYTES_PER_SECOND: u64 = 3_000;
/// Bytes of a report, with its part of the datagram's headers.
const REPORT_BYTES: u64 = 36;

/// Where a load report came from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source {
    from: Incarnation,
    /// When, on its sender's clock.
    sent: Millis,
    /// When it came, on the own clock.
    at: Millis,
}

/// When loads are sent next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    homes: Millis,
    others: Millis,
}

impl Watch {
    /// Takes in another entry's load report, unless a newer one is known.
    pub(super) fn report(
        &mut self,
        from: Incarnation,
        at: Millis,
        report: Report,
        step: &mut Step<'_>,
    ) {
        if self.watched.contains_key(&report.endpoint) {
            return;
        }
        let known = self.sources.get(&report.endpoint);
        let newer = known.is_none_or(|known| {
            if known.from == from {
                known.sent < at
            } else {
                // The pool has another home now, or had: the old one's last
                // words may be on their way still.
                known.at + PROBE_PERIOD <= step.now
            }
        });
        if !newer {
            return;
        }
        let source = Source {
            from,
            sent: at,
            at: step.now,
        };
        self.sources.insert(report.endpoint.clone(), source);
        step.directory
            .loaded(step.now, &report.endpoint, report.load);
    }

    /// Sends the reports that have changed to those whose turn it is.
    pub(super) fn share_loads(&mut self, step: &mut Step<'_>) {
        if step.now >= self.next_loads.homes {
            self.next_loads.homes = step.now + PROBE_PERIOD;
            self.tell_homes(step);
        }
        if step.now >= self.next_loads.others {
            let bytes = self.tell_others(step);
            let pause = Millis(bytes * 1_000 / BYTES_PER_SECOND);
            self.next_loads.others = step.now + pause.max(PROBE_PERIOD);
        }
    }

    /// An endpoint may be of several pools, whose homes share its slots: they
    /// are told at once, whatever the bytes.
    fn tell_homes(&mut self, step: &mut Step<'_>) {
        let own = step.members.own().incarnation;
        let mut parcels: BTreeMap<Incarnation, Vec<Report>> = BTreeMap::new();
        for (name, watched) in &mut self.watched {
            let Some(endpoint) = step.directory.get(name) else {
                continue;
            };
            let homes: BTreeSet<Incarnation> = endpoint
                .pools()
                .filter_map(|pool| Some(step.members.home(&pool)?.incarnation))
                .filter(|home| *home != own)
                .collect();
            if homes.is_empty() {
                continue;
            }
            if let Some(report) = watched.report(step.now, Audience::Homes, endpoint) {
                for home in homes {
                    parcels.entry(home).or_default().push(report.clone());
                }
            }
        }
        let members = step.members;
        for (home, reports) in parcels {
            if let Some(member) = members.by_incarnation(home) {
                step.send_reports(member, &reports);
            }
        }
    }

    /// Tells the other entries; returns the bytes that this took.
    fn tell_others(&mut self, step: &mut Step<'_>) -> u64 {
        let reports: Vec<Report> = self
            .watched
            .iter_mut()
            .filter_map(|(name, watched)| {
                watched.report(step.now, Audience::Others, step.directory.get(name)?)
            })
            .collect();
        let receivers = receivers(step.members);
        for member in &receivers {
            step.send_reports(member, &reports);
        }
        (reports.len() * receivers.len()) as u64 * REPORT_BYTES
    }
}

impl Step<'_> {
    fn send_reports(&mut self, member: &Member, reports: &[Report]) {
        let at = self.now;
        for reports in reports.chunks(IN_MESSAGE) {
            let reports = reports.to_vec();
            self.send(member, Message::Loads { at, reports });
        }
    }
}

/// Who is told of loads: all entries of a small fleet, those of the own data
/// centre in a large one.
fn receivers(members: &Members) -> Vec<&Member> {
    let all: Vec<&Member> = members.active_others().collect();
    if all.len() <= MOST_RECEIVERS {
        return all;
    }
    let near = &members.own().data_centre;
    all.into_iter()
        .filter(|member| member.data_centre == *near)
        .collect()
}
