//! What must hold in a run: that all is served again, and that promises were kept.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::Value;
use woodgap_harness::until;

use super::Scene;
use super::members::Member;
use crate::caller::{self, Fatal};
use crate::process::{LEAVE, REVOKE, life_of};
use crate::record::{Kind, Problem, Run, Sent};
use crate::stops::Case;

/// How many requests each entry gets at a time until each endpoint had one.
const ROUND: usize = 8;
/// How long after a fault of the way to an endpoint requests may still be held up.
const HELD_UP: Duration = Duration::from_secs(1);
/// So long after what ends endpoints has ended the third, or the fifth if it is a part of prompts,
/// it may reach so many more, through entries that nothing has befallen for that long.
const FATAL_BOUND: Duration = Duration::from_secs(3);
const FATAL_REQUEST_ENDS: usize = 3;
const FATAL_PART_ENDS: usize = 5;
const MOST_FATAL: usize = 3;

impl Scene {
    /// Waits until each endpoint has run something in its life of now.
    pub(super) async fn until_all_run(&self) {
        let members = self.endpoints.borrow().clone();
        let mut round = 0;
        until("each endpoint serves", async || {
            round += 1;
            let asked = self.entries.open().into_iter().flat_map(|(address, life)| {
                (0..ROUND).map(move |number| (address, format!("all-{life}-{round}-{number}")))
            });
            let asked: Vec<_> = asked
                .map(|(address, id)| {
                    let record = self.record.clone();
                    actix_rt::spawn(async move {
                        caller::is_served(address, Kind::Read, &id, &record).await
                    })
                })
                .collect();
            for asking in asked {
                asking.await.expect("a caller ends");
            }
            let runs = self.record.all_runs();
            let has_run = |member: &Member| {
                let (name, life) = (member.row.life.id.as_str(), member.endpoint.life());
                let mut of_all = runs.iter().filter(|(id, _)| id.starts_with("all-"));
                of_all.any(|(_, run)| run.endpoint == name && run.life == life)
            };
            members.iter().all(has_run).then_some(())
        })
        .await;
    }

    /// Waits until a window is reported after the faults; gives back all calls for duties.
    pub(super) async fn until_reported(&self) -> Value {
        let taken = |calls: &Value| calls.as_array().map_or(0, Vec::len);
        let before = taken(&self.platform.get("/fake/duties").await);
        until("a window is reported", async || {
            let calls = self.platform.get("/fake/duties").await;
            (taken(&calls) > before).then_some(calls)
        })
        .await
    }

    pub(super) async fn until_served(&self, slot: usize, when: &str) {
        let open = self.entries.open();
        let (address, life) = open[slot];
        for kind in Kind::ALL {
            let mut tries = 0;
            until("an entry serves", async || {
                tries += 1;
                let id = format!("{when}-{life}-{kind:?}-{tries}");
                let is_served = caller::is_served(address, kind, &id, &self.record).await;
                is_served.then_some(())
            })
            .await;
        }
    }

    /// Broken promises that have a bound in time. Callers' and endpoints' clocks are
    /// the same here.
    pub(super) fn timed_problems(&self) -> Vec<Problem> {
        let sent: BTreeMap<_, _> = self.record.all_sent().into_iter().collect();
        let mut problems = Vec::new();
        for (id, run) in self.record.all_runs() {
            let Some(sent) = sent.get(&id) else { continue };
            let late = |accepted: Instant, bound: u64| {
                let after = sent.at.saturating_duration_since(accepted);
                (after > Duration::from_millis(bound)).then_some(after.as_millis())
            };
            for (key, at) in self.revoked.borrow().iter() {
                if let Some(after) = late(*at, REVOKE).filter(|_| *key == sent.key) {
                    problems.push(Problem::Revoked(id.clone(), after));
                }
            }
            for (endpoint, at) in self.left.borrow().iter() {
                let is_bound = !self.entries.is_hurt(sent.life) && !self.was_platform_faulty(*at);
                let late = late(*at, LEAVE).filter(|_| *endpoint == run.endpoint && is_bound);
                if let Some(after) = late {
                    problems.push(Problem::Leaving(id.clone(), after));
                }
            }
        }
        problems
    }

    /// Whether what ends endpoints reached too many of them.
    pub(super) fn fatal_problems(&self) -> Option<Problem> {
        let fatal = self.record.all_fatal();
        let ends = match self.fatal {
            Fatal::Request => FATAL_REQUEST_ENDS,
            Fatal::Part => FATAL_PART_ENDS,
        };
        let (_, last) = fatal.get(ends - 1)?;
        let sent: BTreeMap<_, _> = self.record.all_sent().into_iter().collect();
        let is_late = |id: &String, at: Instant| {
            let life = sent.get(id).map(|it| it.life);
            let is_in_touch = life.is_some_and(|life| self.was_in_touch(life, at));
            at > *last + FATAL_BOUND && is_in_touch
        };
        let late = fatal.iter().filter(|(id, at)| is_late(id, *at)).count();
        (late > MOST_FATAL).then_some(Problem::Fatal(late, fatal.len()))
    }

    /// Whether nothing has befallen a process for so long that it knows what the others do.
    fn was_in_touch(&self, life: usize, at: Instant) -> bool {
        let since = at.checked_sub(FATAL_BOUND).unwrap_or(at);
        self.entries.was_sound(life, since, at) && !self.was_platform_faulty_in(since, at)
    }

    /// Requests that many callers send, and that were withheld by a process that was in touch with the
    /// others.
    pub(super) fn withheld_problems(&self) -> Vec<Problem> {
        let withheld = self.record.all_withheld().into_iter();
        let in_touch = withheld.filter(|it| self.was_in_touch(it.life, it.at));
        in_touch.map(|it| Problem::Withheld(it.request)).collect()
    }

    /// Broken promises of planned stops.
    pub(super) fn stop_problems(&self) -> Vec<Problem> {
        let sent = self.record.all_sent();
        sent.iter()
            .filter_map(|(id, sent)| self.judge_stop(id, sent))
            .collect()
    }

    pub(super) fn judge_stop(&self, id: &str, sent: &Sent) -> Option<Problem> {
        let told = self.entries.told(sent.life)?;
        let runs = self.record.runs_of(id);
        // Where it was handed over, the process that sent it last may have been hurt.
        let last = runs.iter().max_by_key(|run| run.at);
        let sender = last.and_then(|run| life_of(run.way.ip()));
        let ended = sent.ended?;
        let mut lives = sender.into_iter().chain([sent.life]);
        if lives.any(|life| self.entries.was_hurt(life, ended)) {
            return None;
        }
        let was_slowed = runs.iter().any(|run| self.was_slowed(run, sent));
        let case = Case {
            id,
            sent,
            runs: &runs,
            told,
            was_slowed,
        };
        case.judge(&self.record)
    }

    /// Whether the way to a run's endpoint misbehaved while its request was under way.
    pub(super) fn was_slowed(&self, run: &Run, sent: &Sent) -> bool {
        let faults = self.path_faults.borrow();
        faults.iter().any(|(endpoint, begun, ended)| {
            let is_during = *ended >= sent.at && sent.ended.is_none_or(|until| *begun <= until);
            *endpoint == run.endpoint && is_during
        })
    }

    /// Whether the way to an endpoint misbehaved between two moments: requests that were held up
    /// come all at once.
    pub(super) fn was_path_faulty(&self, endpoint: &str, from: Instant, until: Instant) -> bool {
        let faults = self.path_faults.borrow();
        let mut faults = faults.iter().filter(|(name, ..)| name == endpoint);
        faults.any(|(_, begun, ended)| *begun < until && *ended + HELD_UP > from)
    }

    /// Whether the platform misbehaved within the bound after a moment: what it has
    /// accepted may then not be known.
    pub(super) fn was_platform_faulty(&self, at: Instant) -> bool {
        self.was_platform_faulty_in(at, at + Duration::from_millis(LEAVE))
    }

    fn was_platform_faulty_in(&self, from: Instant, until: Instant) -> bool {
        let faults = self.platform_faults.borrow();
        faults
            .iter()
            .any(|(begun, ended)| *begun < until && *ended > from)
    }
}
