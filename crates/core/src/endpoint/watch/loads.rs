//! Load reports, from the entry that probes to the others.

use crate::clock::Millis;
use crate::endpoint::watch::{IN_MESSAGE, PROBE_PERIOD, Step, Watch};
use crate::endpoint::{Message, Report};
use crate::membership::{Member, Members};
use crate::name::Incarnation;

/// Load reports go to this many entries each period; with more entries the
/// period grows, so that the bytes a second do not.
const LOAD_RECEIVERS: usize = 16;

/// Where a load report came from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source {
    from: Incarnation,
    /// When, on its sender's clock.
    sent: Millis,
    /// When it came, on the own clock.
    at: Millis,
}

impl Watch {
    /// Takes in another entry's load report, unless a newer one is known.
    pub(super) fn report(&mut self, from: Incarnation, report: Report, step: &mut Step<'_>) {
        if self.watched.contains_key(&report.endpoint) {
            return;
        }
        let known = self.sources.get(&report.endpoint);
        let newer = known.is_none_or(|known| {
            if known.from == from {
                known.sent < report.at
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
            sent: report.at,
            at: step.now,
        };
        self.sources.insert(report.endpoint.clone(), source);
        step.directory
            .loaded(step.now, &report.endpoint, report.load);
    }

    pub(super) fn share_loads(&mut self, step: &mut Step<'_>) {
        let receivers = receivers(step.members);
        let rounds = receivers.len().div_ceil(LOAD_RECEIVERS).max(1) as u64;
        self.next_loads = step.now + Millis(PROBE_PERIOD.0 * rounds);
        let reports: Vec<Report> = self
            .watched
            .iter_mut()
            .filter_map(|(name, watched)| watched.report(step.now, step.directory.get(name)?))
            .collect();
        for member in receivers {
            for reports in reports.chunks(IN_MESSAGE) {
                step.send(member, Message::Loads(reports.to_vec()));
            }
        }
    }
}

/// Who is told of loads: all entries of a small fleet, those of the own data
/// centre in a large one.
fn receivers(members: &Members) -> Vec<&Member> {
    let all: Vec<&Member> = members.active_others().collect();
    if all.len() <= LOAD_RECEIVERS {
        return all;
    }
    let near = &members.own().data_centre;
    all.into_iter()
        .filter(|member| member.data_centre == *near)
        .collect()
}
