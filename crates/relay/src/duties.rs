//! Duties of one entry at a time: reports of use, and orders of how many endpoints run.
//!
//! One lease stands for all duties. Whoever has it takes a number that no holder before it has
//! used, writes it down, and then acts for as long as the lease is certain: with the time that a
//! call may take on top.

pub mod caller;
pub mod outlet;
pub mod own;
pub mod register;
pub mod scaling;

use std::rc::Rc;
use std::time::Duration;

use woodgap_core::clock::Millis;
use woodgap_core::era::Era;
use woodgap_core::lease::{Fence, Holder, Term, Want};
use woodgap_core::relay::claim::{self, Candidate, Claim};
use woodgap_core::relay::usage::{self, Window};
use woodgap_platform::Error;
use woodgap_platform::clock::Clock;
use woodgap_platform::lease::Hold;
use woodgap_platform::table::Table;
use woodgap_settings::relay::Duties as Settings;

use crate::duties::outlet::{Authority, Outlet, Report};
use crate::duties::register::{Failed, Known, Register};
use crate::duties::scaling::Scaling;
use crate::state::State;

/// The name of the lease.
pub const LEASE: &str = "duties";
/// How long the lease lasts: a holder that ends is followed soon enough for a window that ended
/// just before.
const TERM: Term = Term::new(Millis(4_000));
/// How often the one that may follow looks whether the lease was renewed.
const WATCH: Millis = Millis(1_200);
/// The longest time for a call, with that for a connection.
const CALL: Millis = Millis(1_300);
/// How often the holder looks whether something is to be done.
const LOOK: Millis = Millis(100);
/// How long after it took the duties an entry settles nothing, unless it has collected counts
/// before: the others hear of it, and tell what they have counted.
const FIRST_COUNTS: Millis = Millis(1_500);
/// How often the others are told that the holder goes on.
const BEAT: Millis = Millis(500);
/// The pause after a call that failed.
const RETRY: Millis = Millis(300);

/// What a deployment brings for the duties.
pub struct Form {
    /// Rows under conditions.
    pub table: Rc<dyn Table>,
    /// Where reports and orders go.
    pub outlet: Rc<dyn Outlet>,
}

/// Cares for the duties for as long as the process runs.
pub async fn run(state: Rc<State>) {
    let (Some(form), Some(settings)) = (&state.duties, &state.settings.duties) else {
        return std::future::pending().await;
    };
    let own = Holder {
        entry: state.settings.name.clone(),
        incarnation: state.incarnation(),
    };
    let table = Rc::clone(&form.table);
    let hold = Hold::start(LEASE.to_owned(), Rc::clone(&table), state.clock, own, TERM);
    let mut keeper = Keeper {
        state: Rc::clone(&state),
        settings: settings.clone(),
        hold,
        table,
        outlet: Rc::clone(&form.outlet),
        tenure: None,
        had: None,
    };
    loop {
        let pause = keeper.look().await;
        let has_duties = i64::from(keeper.tenure.is_some());
        state.metrics.has_duties.set(has_duties);
        tokio::time::sleep(Duration::from_millis(pause.0)).await;
    }
}

/// The entry's part in the duties.
struct Keeper {
    state: Rc<State>,
    settings: Settings,
    hold: Hold<Clock>,
    table: Rc<dyn Table>,
    outlet: Rc<dyn Outlet>,
    tenure: Option<Tenure>,
    /// When it last had the duties.
    had: Option<Millis>,
}

/// One time of having the duties.
struct Tenure {
    fence: Fence,
    /// From when on it has what all have counted.
    settles_from: Millis,
    known: Known,
    authority: Authority,
    /// The last window that the platform has taken.
    reported: Option<Window>,
    /// The window to begin with, if none is settled.
    first: Window,
    scaling: Scaling,
}

impl Keeper {
    /// Does what is to be done now; gives back the pause until the next look.
    async fn look(&mut self) -> Millis {
        let may_take = self.candidate().is_eligible(self.settings.apart);
        let is_stopping = self.state.stopping_since().is_some();
        let has_tenure = self.tenure.is_some();
        self.hold.want(match (is_stopping, may_take || has_tenure) {
            (true, _) => Want::Release,
            (false, true) => Want::Hold {
                poll_interval: WATCH,
            },
            (false, false) => Want::Idle,
        });
        let Ok(fence) = self.hold.check_for(CALL) else {
            self.lose();
            return LOOK;
        };
        if is_stopping {
            self.proclaim(true);
            self.lose();
            return LOOK;
        }
        if !self.may_act() {
            return LOOK;
        }
        if self.tenure.as_ref().is_none_or(|it| it.fence != fence) {
            self.tenure = None;
            if let Err(reason) = self.begin(fence).await {
                log::info!(reason:? = reason; "the duties can't be begun yet");
                return RETRY;
            }
        }
        self.had = Some(self.state.now());
        self.proclaim(false);
        self.settle(fence).await;
        if let Err(reason) = self.report().await {
            log::info!(reason = reason; "a report was not taken");
            return RETRY;
        }
        self.scale().await;
        LOOK
    }

    fn candidate(&self) -> Candidate {
        let state = &self.state;
        let standing = state.standing();
        Candidate {
            rank: standing.rank,
            is_rank_known: standing.has_converged(),
            is_bootstrapping: standing.is_first_start && standing.is_seed,
            is_stopping: state.stopping_since().is_some(),
            uptime: standing.uptime,
            last_held: self
                .had
                .filter(|_| self.tenure.is_none())
                .map(|at| state.now() - at),
            holder_silence: state.silence_of_holder(),
            sample: claim::sample(state.claim.borrow().as_ref(), &state.settings.name),
            entries: state.fleet.borrow().size(),
        }
    }

    /// Drops the tenure once another entry may have the lease, or this one stops.
    fn lose(&mut self) {
        let is_lost = self.hold.view().fence() != self.tenure.as_ref().map(|it| it.fence);
        let is_stopping = self.state.stopping_since().is_some();
        if self.tenure.is_some() && (is_lost || is_stopping) {
            log::info!("this entry has the duties no longer");
            self.tenure = None;
        }
    }

    /// Whether no other entry may still act, as far as the entries tell one another.
    fn may_act(&self) -> bool {
        let state = &self.state;
        let claim = state.claim.borrow();
        let silence = state.silence_of_holder();
        let yields =
            |claim: &Claim| claim.allows_takeover_by(&state.settings.name, silence, TERM.hold());
        claim.as_ref().is_none_or(yields)
    }

    /// Takes a number that was never used, and writes it down before anything is done.
    async fn begin(&mut self, fence: Fence) -> Result<(), String> {
        let known = Known::read(&self.table).await;
        let mut known = known.map_err(|error| error.to_string())?;
        let state = &self.state;
        let heard = state.claim.borrow().as_ref().map(|claim| claim.number);
        let written = Some(known.register.number).filter(|number| *number > 0);
        let number = claim::next_number(written, heard, state.unix());
        let holder = state.settings.name.clone();
        let settled = self.settled(&known, fence);
        let next = Register {
            number,
            holder: Some(holder.clone()),
            settled,
            needed: known.register.needed.clone(),
            era: Era::of(fence.0),
        };
        let written = known.write(&self.table, fence, next, None).await;
        written.map_err(|failed| self.failed(failed))?;
        let state = &self.state;
        log::info!(number = number, fence = fence.0; "this entry has the duties");
        let scaling = Scaling::from(&known.register.needed);
        let patience = if self.has_collected() {
            Millis::ZERO
        } else {
            FIRST_COUNTS
        };
        self.tenure = Some(Tenure {
            fence,
            settles_from: state.now() + patience,
            known,
            authority: Authority { holder, number },
            reported: None,
            first: Window::at(state.unix(), self.settings.window),
            scaling,
        });
        Ok(())
    }

    /// The last settled window, as the register tells, or the others have heard: the register may
    /// have been put back to an older state. Where nobody has heard of any either, the windows
    /// before this entry's start may all have been reported.
    fn settled(&self, known: &Known, fence: Fence) -> Option<Window> {
        let state = &self.state;
        let claim = state.claim.borrow();
        let heard = claim.as_ref().and_then(|claim| claim.settled);
        let settled = known.register.settled.max(heard);
        if heard.is_some() || !known.register.is_restored(fence) {
            return settled;
        }
        let started = state.unix() - state.life();
        let before = Window::at(started, self.settings.window).previous();
        log::warn!(
            written = settled.map_or(0, |window| window.0), settled = before.map_or(0, |window| window.0);
            "the register of reports is an older one: no window before this entry's start is reported"
        );
        settled.max(before)
    }

    /// Notes what a change of the register that failed tells of the lease.
    fn failed(&self, failed: Failed) -> String {
        match failed {
            Failed::Conflict => {
                self.hold.suspect();
                "somebody else has changed the register".to_owned()
            }
            Failed::Unclear(error) => error.to_string(),
        }
    }

    /// Whether the others have told this entry what they count, as they tell the holder.
    fn has_collected(&self) -> bool {
        let claim = self.state.claim.borrow();
        let own = self.state.settings.peer_listen;
        claim
            .as_ref()
            .is_some_and(|claim| claim.collectors.contains(&own))
    }

    /// Tells the others who has the duties.
    fn proclaim(&self, is_released: bool) {
        let Some(tenure) = &self.tenure else { return };
        let state = &self.state;
        let mut collectors = vec![state.settings.peer_listen];
        let now = state.now();
        let fleet = state.fleet.borrow();
        let next = fleet
            .reachable(now)
            .find(|it| !it.stopping && it.reaches_platform);
        collectors.extend(next.map(|it| it.peer));
        drop(fleet);
        let claim = Claim {
            number: tenure.authority.number,
            holder: tenure.authority.holder.clone(),
            collectors,
            settled: tenure.known.register.settled,
            heartbeat: state.now().0 / BEAT.0,
            is_released,
        };
        state.take_claim(claim);
    }

    /// Writes down what will be reported of the window that is due.
    async fn settle(&mut self, fence: Fence) {
        let state = Rc::clone(&self.state);
        if !self.settings.meters {
            return;
        }
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        if state.now() < tenure.settles_from {
            return;
        }
        let settled = tenure.known.register.settled;
        let due = usage::due_window(settled, tenure.first, state.unix(), self.settings.window);
        let Some(window) = due else {
            return;
        };
        let counts = state.sums.borrow().total(window);
        let tellers = state.sums.borrow().source_count(window);
        let requests: u64 = counts.values().sum();
        let report = Report { window, counts };
        let next = Register {
            settled: Some(window),
            needed: tenure.scaling.needed(),
            ..tenure.known.register.clone()
        };
        let written = tenure
            .known
            .write(&self.table, fence, next, Some(report))
            .await;
        match written {
            Ok(()) => {
                state.metrics.windows.with_label_values(&["settled"]).inc();
                log::info!(window = window.0, requests = requests, entries = tellers; "a window is settled");
                self.proclaim(false);
            }
            Err(failed) => {
                let reason = self.failed(failed);
                log::info!(window = window.0, reason = reason; "a window is not settled yet");
                // What the rows hold is not known any more: they are read anew.
                self.tenure = None;
            }
        }
    }

    /// Reports what is settled.
    async fn report(&mut self) -> Result<(), String> {
        loop {
            let Some(tenure) = &self.tenure else {
                return Ok(());
            };
            let is_due = |report: &&Report| Some(report.window) > tenure.reported;
            let Some(report) = tenure.known.reports.iter().find(is_due).cloned() else {
                return Ok(());
            };
            let authority = tenure.authority.clone();
            if self.hold.check_for(CALL) != Ok(tenure.fence) {
                return Ok(());
            }
            let taken = self.outlet.report(&authority, &report).await;
            let window = report.window;
            let age = self.state.unix() - window.end(self.settings.window);
            let windows = &self.state.metrics.windows;
            match taken {
                Ok(()) => {
                    log::info!(window = window.0, age_ms = age.0, number = authority.number; "a window is reported");
                    windows.with_label_values(&["reported"]).inc();
                }
                // It would be refused again: others wait for it in vain.
                Err(Error::Rejected(reason)) => {
                    log::warn!(window = window.0, reason = reason; "a report is refused");
                    windows.with_label_values(&["refused"]).inc();
                }
                Err(error) => return Err(format!("window {}: {error}", window.0)),
            }
            if let Some(tenure) = &mut self.tenure {
                tenure.reported = Some(window);
            }
        }
    }

    /// Orders endpoints, one call at a time.
    async fn scale(&mut self) {
        if !self.settings.scales {
            return;
        }
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        while let Some(order) = tenure.scaling.next(&self.state, self.settings.headroom) {
            if self.hold.check_for(CALL) != Ok(tenure.fence) {
                return;
            }
            let ordered = self.outlet.order(&tenure.authority, &order).await;
            let is_taken = tenure.scaling.ordered(&self.state, &order, ordered);
            if !is_taken {
                return;
            }
        }
    }
}
