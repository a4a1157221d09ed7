//! What the tasks of one relay share. All of them run on one thread.

mod era;
mod standstill;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::{Notify, watch};
use woodgap_core::clock::Millis;
use woodgap_core::era::Era;
use woodgap_core::name;
use woodgap_core::quarantine::{Cause, Change, Crash, CrashHistory, Quarantine};
use woodgap_core::relay::back_off::BackOffs;
use woodgap_core::relay::brittle::BrittleServices;
use woodgap_core::relay::budget::{RetryBudget, RetryLimit};
use woodgap_core::relay::claim::Claim;
use woodgap_core::relay::duty::{self, Confirmation, EntryStatus, PollDecision, Subject};
use woodgap_core::relay::engine::LoadBalancer;
use woodgap_core::relay::fleet::{Fleet, Member};
use woodgap_core::relay::isolation::Isolation;
use woodgap_core::relay::rate_limit::RateLimits;
use woodgap_core::relay::rest::IdleLimits;
use woodgap_core::relay::shutdown::Shutdown;
use woodgap_core::relay::standstill::Watch;
use woodgap_core::relay::true_time::MedianClock;
use woodgap_core::relay::usage::{Meter, UsageTotals, Window};
use woodgap_core::relay::{ActivePlan, Evacuation, Roster, warming};
use woodgap_intake::Intake;
use woodgap_platform::clock::Clock;
use woodgap_settings::relay::Relay as Settings;

use crate::dialect::Dialect;
use crate::duties;
use crate::front::Report;
use crate::gossip;
use crate::gossip::fetch::Fetches;
use crate::links::LinkCheck;
use crate::metrics::Metrics;
use crate::request::crash::CrashChecks;
use crate::request::handover::Exchange;
use crate::scheduling::Scheduling;
use crate::source::Source;
use crate::stop;
use crate::streams::Streams;
use crate::upstream::Pool;

/// How much sooner than the bound on removed keys a plan is distrusted: changes
/// may stay unseen for a second while the platform forgets its history.
const REVOKE_MARGIN: Millis = Millis(1_500);
/// How much sooner than the bound on leaving endpoints a missing one is given up:
/// a request that is being sent still arrives.
const LEAVE_MARGIN: Millis = Millis(400);

/// How long after its start an entry takes no requests, for want of what is withheld. It is one
/// call, beside those that bring the plan, and three endpoints where it is not waited for.
const WITHHELD_PATIENCE: Millis = Millis(1_000);

/// The reading of the clock at the start of a process, an hour: a moment before the
/// start must be told from the start itself, else a plan that was last confirmed
/// before it would look as young as the process.
const ORIGIN: Millis = Millis(3_600_000);

/// The divisor that gives callers their share of the file descriptors; the rest is left for
/// endpoints, other entries and the platform.
const CALLER_DESCRIPTOR_DIVISOR: usize = 2;

/// What the platform knows of this entry from itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// It was told nothing.
    Unsaid,
    /// It may have been told: the answer is lost, or yet to come.
    Unanswered,
    /// It has said that it knows.
    Taken,
}

/// Who has seen what changes the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Witness {
    Own,
    Other,
}

/// What the tasks of one relay share.
pub struct State {
    /// The settings.
    pub settings: Settings,
    /// The clock of this process.
    pub clock: Clock,
    /// How callers and endpoints say things.
    pub dialect: Box<dyn Dialect>,
    /// Where configuration and endpoints are learnt from.
    pub source: Box<dyn Source>,
    /// What the duties of one entry at a time need, where there are any.
    pub duties: Option<duties::Form>,
    /// The plan in force.
    pub force: RefCell<ActivePlan>,
    /// The data centres that operators empty.
    pub evacuation: RefCell<Evacuation>,
    /// The endpoints.
    pub roster: RefCell<Roster>,
    /// What was sent to cold ones.
    pub warmed: RefCell<warming::SendHistory>,
    /// Their load.
    pub loads: RefCell<LoadBalancer>,
    /// Which versions of them began which streams.
    pub streams: Streams,
    /// Which requests they get, where there is too little room for all.
    pub scheduling: Scheduling,
    /// The back-offs that they ask this entry for.
    pub back_offs: RefCell<BackOffs>,
    /// The rate limits that they name.
    pub rate_limits: RefCell<RateLimits>,
    /// The services whose endpoints fail if they have to refuse many requests.
    pub brittle: RefCell<BrittleServices>,
    /// Whether this entry has lost its links to all of them.
    pub isolation: RefCell<Isolation>,
    /// The check of these links that is running.
    pub link_check: LinkCheck,
    /// Connections to them.
    pub pool: RefCell<Pool>,
    /// What is handed to other entries, and taken from them.
    pub exchange: Exchange,
    /// How long connections to endpoints may rest.
    pub rests: RefCell<IdleLimits>,
    /// The other entries.
    pub fleet: RefCell<Fleet>,
    /// Where the platform says that other entries take messages.
    pub hints: RefCell<Vec<SocketAddr>>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Requests that are being served.
    pub running: Cell<usize>,
    /// Connections of callers that don't take what is to be written to them.
    pub unwritten: Cell<usize>,
    /// Connections of callers and other entries, and what is held for them.
    pub intake: Arc<Intake>,
    /// What was told of those that gave way.
    pub intake_report: Report,
    /// Whether it has caught up after its process stood still.
    watch: RefCell<Watch>,
    /// It has.
    caught_up: Notify,
    /// Something was learnt that other entries should hear of at once.
    pub news: Notify,
    /// The platform answers again after it was lost.
    pub platform_is_back: Notify,
    /// Whether the last question about the plan got no answer of the platform.
    pub is_platform_lost: Cell<bool>,
    /// The endpoints are to be asked for as well, since nobody else may.
    pub ask_endpoints: Notify,
    /// Whether the platform was told of this entry.
    pub announcement: Cell<Announcement>,
    /// The latest era of the platform's store that is known, once any is.
    era: Cell<Option<Era>>,
    /// Questions to other entries for what is newer there.
    pub fetches: RefCell<Fetches>,
    /// Endpoints that are being connected to, to see whether they are back.
    pub connecting: RefCell<HashSet<name::Life>>,
    /// Requests, and parts of prompts, that crash the endpoints that run them.
    pub quarantine: RefCell<Quarantine>,
    /// Those of which the platform is to keep, or to forget, what is known.
    pub unkept: RefCell<BTreeSet<Cause>>,
    /// There are some.
    pub to_keep: Notify,
    /// Whether this entry has read what the platform keeps of withheld requests, or heard of it from
    /// one that has.
    pub has_read_kept: Cell<bool>,
    /// Endpoints that broke off, of which it is being found out whether they have crashed.
    pub crash_checks: RefCell<CrashChecks>,
    /// What the clocks of the other entries read.
    pub readings: RefCell<MedianClock>,
    /// Requests that endpoints began to run for this entry.
    pub meter: RefCell<Meter>,
    /// The same of all entries, where this one collects them.
    pub sums: RefCell<UsageTotals>,
    /// Who has the duties, as far as is known.
    pub claim: RefCell<Option<Claim>>,
    /// When it was last heard that the holder goes on.
    claim_heard: Cell<Millis>,
    incarnation: name::Incarnation,
    started: Millis,
    /// Until when it stands in for the readers of the platform.
    acts_until: Cell<Millis>,
    shutdown: Cell<Option<Shutdown>>,
    /// Whether those that wait for an answer are told that there will be none.
    closing: watch::Sender<bool>,
    has_ended: Cell<bool>,
    budgets: RefCell<HashMap<String, RetryBudget>>,
}

impl State {
    /// The state of a relay that has just started.
    pub fn new(
        settings: Settings,
        dialect: Box<dyn Dialect>,
        source: Box<dyn Source>,
        duties: Option<duties::Form>,
        metrics: Metrics,
    ) -> Self {
        let clock = Clock::start();
        let reserve = settings.bounds.leave - LEAVE_MARGIN;
        Self {
            clock,
            dialect,
            source,
            duties,
            force: RefCell::default(),
            evacuation: RefCell::default(),
            warmed: RefCell::default(),
            roster: RefCell::new(Roster::new(reserve)),
            loads: RefCell::new(LoadBalancer::new(
                settings.data_centre.clone(),
                rand::random(),
            )),
            streams: Streams::new(ORIGIN),
            scheduling: Scheduling::new(settings.scheduling.as_ref()),
            back_offs: RefCell::default(),
            rate_limits: RefCell::new(RateLimits::new(rand::random())),
            brittle: RefCell::default(),
            isolation: RefCell::default(),
            link_check: LinkCheck::default(),
            pool: RefCell::default(),
            exchange: Exchange::new(settings.descriptors),
            rests: RefCell::default(),
            fleet: RefCell::new(Fleet::new(
                settings.name.clone(),
                settings.data_centre.clone(),
                gossip::ROUND_INTERVAL,
            )),
            hints: RefCell::default(),
            metrics,
            running: Cell::new(0),
            unwritten: Cell::new(0),
            intake: Arc::new(Intake::new(
                settings.memory_bytes,
                settings.descriptors / CALLER_DESCRIPTOR_DIVISOR,
            )),
            intake_report: Report::default(),
            watch: RefCell::new(Watch::new(ORIGIN)),
            caught_up: Notify::new(),
            news: Notify::new(),
            platform_is_back: Notify::new(),
            is_platform_lost: Cell::new(false),
            ask_endpoints: Notify::new(),
            announcement: Cell::new(Announcement::Unsaid),
            era: Cell::new(None),
            fetches: RefCell::default(),
            connecting: RefCell::default(),
            quarantine: RefCell::new(Quarantine::new(rand::random())),
            unkept: RefCell::default(),
            to_keep: Notify::new(),
            has_read_kept: Cell::new(false),
            crash_checks: RefCell::default(),
            readings: RefCell::default(),
            meter: RefCell::default(),
            sums: RefCell::default(),
            claim: RefCell::default(),
            claim_heard: Cell::new(ORIGIN),
            incarnation: name::Incarnation(clock.unix().0),
            started: ORIGIN,
            acts_until: Cell::new(Millis::ZERO),
            shutdown: Cell::new(None),
            closing: watch::channel(false).0,
            has_ended: Cell::new(false),
            budgets: RefCell::default(),
            settings,
        }
    }

    /// Now, on the clock of this process.
    pub fn now(&self) -> Millis {
        ORIGIN + self.clock.now()
    }

    /// The time of day on which the entries agree.
    pub fn unix(&self) -> Millis {
        self.readings
            .borrow()
            .corrected(self.clock.unix(), self.now())
    }

    /// This life of the entry.
    pub fn incarnation(&self) -> name::Incarnation {
        self.incarnation
    }

    /// Whether reports of use are asked for.
    pub fn meters(&self) -> bool {
        let duties = self.settings.duties.as_ref();
        duties.is_some_and(|duties| duties.meters)
    }

    /// Counts a request that an endpoint has begun to run.
    pub fn count_use(&self, workspace: &name::Workspace) {
        let Some(duties) = self.settings.duties.as_ref().filter(|it| it.meters) else {
            return;
        };
        let window = Window::at(self.unix(), duties.window);
        self.meter.borrow_mut().count(window, workspace);
    }

    /// For how long nothing was heard of whoever has the duties.
    pub fn silence_of_holder(&self) -> Millis {
        self.now() - self.claim_heard.get()
    }

    /// Takes in who has the duties; an earlier claim changes nothing.
    pub fn take_claim(&self, claim: Claim) {
        let mut known = self.claim.borrow_mut();
        if known.as_ref().is_some_and(|known| !claim.supersedes(known)) {
            return;
        }
        if let Some(through) = claim.settled {
            self.meter.borrow_mut().settle_through(through);
            self.sums.borrow_mut().settle_through(through);
        }
        self.claim_heard.set(self.now());
        let has_news = known
            .as_ref()
            .is_none_or(|known| claim.differs_beyond_heartbeat(known));
        *known = Some(claim);
        drop(known);
        if has_news {
            self.news.notify_one();
        }
    }

    /// Whether the plan is confirmed recently enough to be trusted with keys; where
    /// operators don't ask for that, an old plan serves as well as a new one.
    pub fn trusts_keys(&self) -> bool {
        let bounds = &self.settings.bounds;
        let trust = bounds.revoke - REVOKE_MARGIN;
        !bounds.keys_fail_closed || self.force.borrow().age(self.now()) < trust
    }

    /// The planned stop, once it has begun.
    pub fn shutdown(&self) -> Option<Shutdown> {
        self.shutdown.get()
    }

    /// Since when the relay is stopping.
    pub fn stopping_since(&self) -> Option<Millis> {
        self.shutdown().map(|shutdown| shutdown.started())
    }

    /// Begins to stop, told to at this moment; the other entries hear of it at once.
    pub fn stop(&self, told: Millis) -> Shutdown {
        let plan = stop::plan(self.settings.bounds.grace);
        let shutdown = Shutdown::new(told, &plan);
        self.shutdown.set(Some(shutdown));
        self.news.notify_one();
        shutdown
    }

    /// Tells all that wait for the beginning of an answer that there will be none.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until there will be no answers any more.
    pub async fn closed(&self) {
        let mut closing = self.closing.subscribe();
        // The sender lives as long as the state.
        let _ = closing.wait_for(|is_closing| *is_closing).await;
    }

    /// Whether the process ends now, with all that still runs.
    pub fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Notes that the process ends now.
    pub fn end(&self) {
        self.has_ended.set(true);
    }

    /// Whether it has learnt a plan and the endpoints.
    pub fn knows_all(&self) -> bool {
        self.force.borrow().table().is_some() && self.roster.borrow().revision() > 0
    }

    /// Whether it knows which requests were withheld before its start, or has waited for that
    /// long enough.
    pub fn knows_withheld(&self) -> bool {
        self.has_read_kept.get() || self.life() >= WITHHELD_PATIENCE
    }

    /// Whether the relay should get requests: it is not stopping, and knows the
    /// endpoints and a plan that it may use.
    pub fn is_ready(&self) -> bool {
        let knows = self.knows_all() && self.knows_withheld();
        knows && self.trusts_keys() && self.stopping_since().is_none()
    }

    /// The latest era of the platform's store that is known, once any is.
    pub fn era(&self) -> Option<Era> {
        self.era.get()
    }

    /// For how long this process has run.
    pub fn life(&self) -> Millis {
        self.now() - self.started
    }

    /// Where this entry stands among the others as a reader of the platform; it is the
    /// last of all while it is stopping.
    pub fn standing(&self) -> EntryStatus {
        let now = self.now();
        let fleet = self.fleet.borrow();
        let is_stopping = self.stopping_since().is_some();
        let rank = if is_stopping {
            usize::MAX
        } else {
            fleet.rank(!self.is_platform_lost.get(), now)
        };
        EntryStatus {
            rank,
            is_seed: self.is_seed(),
            is_first_start: self.settings.first_start,
            is_substitute: !is_stopping && now < self.acts_until.get(),
            uptime: self.life(),
            peers: fleet.estimate_reachable(now),
            propagation_delay: fleet.propagation_time(),
        }
    }

    /// What this entry is to do about the platform.
    pub fn duty(&self, subject: Subject) -> PollDecision {
        let is_known = match subject {
            Subject::Plan => self.force.borrow().table().is_some(),
            Subject::Endpoints => self.roster.borrow().revision() > 0,
        };
        let knows = if is_known {
            Confirmation::Age(self.force.borrow().age(self.now()))
        } else {
            Confirmation::Never
        };
        duty::decide(subject, &self.standing(), knows, rand::random())
    }

    /// Stands in for the readers of the platform for a while: this entry was answered
    /// when nobody's plan was confirmed.
    pub fn stand_in(&self) {
        let term = duty::substitute_term(self.fleet.borrow().local_timeout());
        self.acts_until.set(self.now() + term);
        log::info!(for_ms = term.0; "this entry reads the platform for the others");
    }

    /// Notes that a version of the plan was the newest at `as_of`. Where the plan had not
    /// been confirmed for long, the other entries hear of it at once.
    pub fn confirm_plan(&self, version: u64, as_of: Millis) {
        let was_stale = self.is_plan_stale();
        self.force.borrow_mut().confirm(version, as_of);
        if was_stale && !self.is_plan_stale() {
            self.news.notify_one();
        }
    }

    fn is_plan_stale(&self) -> bool {
        let age = self.force.borrow().age(self.now());
        duty::is_stale(age, self.fleet.borrow().propagation_time())
    }

    /// Whether this entry is among those that others ask first, or knows of no others.
    fn is_seed(&self) -> bool {
        let seeds = &self.settings.seeds;
        let own = self.settings.peer_listen.ip();
        seeds.is_empty() || seeds.iter().any(|seed| seed.ip() == own)
    }

    /// This entry, as it tells of itself.
    pub fn member(&self) -> Member {
        Member {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            peer: self.settings.peer_listen,
            front: self.settings.listen,
            data_centre: self.settings.data_centre.clone(),
            stopping: self.stopping_since().is_some(),
            ready: self.is_ready(),
            reaches_platform: !self.is_platform_lost.get(),
            reaches_endpoints: !self.isolation.borrow().is_isolated(),
        }
    }

    /// Takes in that an endpoint crashed while it had a request with these causes.
    pub fn crashed(&self, causes: &[Cause], crash: Crash) {
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let change = quarantine.record_crash(causes, crash, now);
        let withheld = causes.iter().copied();
        let withheld: Vec<_> = withheld
            .filter(|cause| quarantine.history_to_store(*cause, now).is_some())
            .collect();
        drop(quarantine);
        // Who sees a crash writes it down: not all entries, as they hear of it.
        for cause in withheld {
            self.rewrite(cause);
        }
        self.quarantine_changed(&change, Witness::Own);
    }

    /// Takes in that a request with these causes has ended, and its endpoint went on.
    pub fn survived(&self, causes: &[Cause], at: Millis) {
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let change = quarantine.record_success(causes, at, now);
        drop(quarantine);
        self.quarantine_changed(&change, Witness::Own);
    }

    /// Takes in that a response to a request with these causes goes on after its first pieces.
    pub fn progressed(&self, causes: &[Cause]) {
        let now = self.now();
        let change = self.quarantine.borrow_mut().record_progress(causes, now);
        self.quarantine_changed(&change, Witness::Own);
    }

    /// Has the platform told anew what is known of a cause, or that nothing is.
    pub fn rewrite(&self, cause: Cause) {
        self.unkept.borrow_mut().insert(cause);
        self.to_keep.notify_one();
    }

    /// Takes in what another entry tells of what crashes endpoints.
    pub fn told_of_crashes(&self, told: &[CrashHistory]) {
        let now = self.now();
        let change = self.quarantine.borrow_mut().merge_histories(told, now);
        self.quarantine_changed(&change, Witness::Other);
    }

    fn quarantine_changed(&self, change: &Change, witness: Witness) {
        let now = self.now();
        let changed = [
            &change.withheld,
            &change.released,
            &change.cleared,
            &change.marked,
        ];
        let has_changed = changed.iter().any(|causes| !causes.is_empty());
        // What no entry has seen by itself, as it follows from what several have, is written by one.
        let writes = || witness == Witness::Own || self.standing().rank == 0;
        if has_changed && writes() {
            for cause in changed.into_iter().flatten() {
                self.rewrite(*cause);
            }
        }
        for cause in &change.withheld {
            let hold = self.quarantine.borrow().hold(&[*cause], now);
            let crashes = hold.map_or(0, |it| it.crashes);
            let remaining = hold.map_or(0, |it| (it.until - now).0);
            match cause {
                Cause::Request(fingerprint) => log::warn!(
                    fingerprint = fingerprint.to_string(), crashes = crashes, for_ms = remaining;
                    "a request is withheld, as it crashes the endpoints that run it"
                ),
                Cause::Part(id) => log::warn!(
                    part = format!("{id:x}"), crashes = crashes, for_ms = remaining;
                    "requests with a part of prompts are withheld, as it crashes the endpoints that run it"
                ),
            }
        }
        for cause in &change.released {
            match cause {
                Cause::Request(fingerprint) => {
                    log::info!(fingerprint = fingerprint.to_string(); "a request is no longer withheld");
                }
                Cause::Part(id) => {
                    log::info!(part = format!("{id:x}"); "requests with a part of prompts are no longer withheld");
                }
            }
        }
        if change.is_urgent {
            self.news.notify_one();
        }
    }

    /// Counts a caller's request for a service.
    pub fn count_request(&self, service: &str) {
        self.with_budget(service, |budget| budget.record_request(self.now()));
    }

    /// Takes one repeat from the service's budget, if there is one left.
    pub fn spend_repeat(&self, service: &str) -> bool {
        let entries = self.fleet.borrow().size();
        self.with_budget(service, |budget| budget.try_spend(self.now(), entries))
    }

    fn with_budget<T>(&self, service: &str, work: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let bounds = &self.settings.bounds;
        let bound = RetryLimit {
            ratio: bounds.repeat_ratio,
            slack: bounds.repeat_slack,
            window: bounds.repeat_window,
        };
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned());
        work(budget.or_insert_with(|| RetryBudget::new(bound)))
    }
}
