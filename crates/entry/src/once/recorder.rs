//! Records the answer of one submission, and concludes what follows from its end.

use std::cell::Cell;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use woodgap_core::name;
use woodgap_core::once::{Claim, End, Key};
use woodgap_core::verdict::Verdict;

use crate::once::follow::{self, Opened};
use crate::once::record::{Phase, Record};
use crate::once::{claims, kept};
use crate::request::run::Worker;
use crate::request::{Code, Item, Problem};

/// How long a planned stop waits for claims to be closed.
const STOP_WAITS: Duration = Duration::from_secs(5);
/// The most claims that wait to be closed. A claim that is left open is safe: when
/// its holder is gone, its outcome is unknown.
const MOST_CLOSINGS: usize = 10_000;

/// What the submission is allowed to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It is not sent from here: the answer comes from elsewhere, or there is none.
    Passed,
    /// It may be sent, and repeated.
    Repeatable,
    /// It may be sent once, because this life issued its identity.
    Issued,
    /// It may be sent once, by a claim whose row has this version.
    Claimed(u64),
}

impl Role {
    /// Whether the run goes on when nobody follows it.
    fn goes_on(self) -> bool {
        matches!(self, Self::Issued | Self::Claimed(_))
    }
}

/// Writes the answer of a record.
pub struct Recorder {
    worker: Worker,
    record: Arc<Record>,
    role: Cell<Role>,
    concluded: Cell<bool>,
}

impl Recorder {
    /// Records a submission that may not be sent yet.
    pub fn new(worker: Worker, record: Arc<Record>) -> Self {
        Self {
            worker,
            record,
            role: Cell::new(Role::Passed),
            concluded: Cell::new(false),
        }
    }

    /// The record.
    pub fn record(&self) -> &Arc<Record> {
        &self.record
    }

    /// The submission may be sent from here.
    pub fn may_send(&self, role: Role) {
        self.role.set(role);
        self.record.enter(Phase::Own);
    }

    /// The answer comes from elsewhere.
    pub fn passes_on(&self, request: name::Request) {
        self.record.enter(Phase::Elsewhere);
        self.record.tape.answers(request);
    }

    /// The submission is never sent from here, also if its claim turns out to stand.
    pub fn give_up(&self) {
        let once = &self.worker.shared.once;
        once.notes().abandon(self.record.request);
        self.record.enter(Phase::GivenUp);
    }

    /// Passes on the answer of another life of an entry; false if it can't be had.
    /// Only what may be repeated is followed: for any other this life has the claim.
    pub async fn follow(&self, life: name::Incarnation) -> bool {
        if self.role.get() != Role::Repeatable {
            return false;
        }
        // Before it is asked for, so that two entries never follow one another.
        self.record.enter(Phase::Elsewhere);
        let opened = follow::at_life(&self.worker, &self.record, life).await;
        let may_pass = match &opened {
            Opened::Failed(problem) => problem.code == Code::IdentityReused,
            Opened::Released => false,
            Opened::Running { .. } | Opened::Whole(_) => true,
        };
        if !may_pass {
            self.record.enter(Phase::Own);
            return false;
        }
        follow::feed(self, opened).await
    }

    /// Records an item.
    pub async fn send(&self, item: Item) {
        match item {
            Item::Complete | Item::Failed(_) => self.conclude(item),
            item => {
                let patience = self.worker.caller_timeout();
                self.record.tape.write(item, patience).await;
            }
        }
    }

    /// Waits until nobody follows; then the identity is free again, and its claim is
    /// taken back. To be used only while nothing was sent under a claim.
    pub async fn gone(&self) {
        loop {
            self.record.tape.unread().await;
            if self.leave() {
                return;
            }
        }
    }

    /// As [`Recorder::gone`], but a run that goes on without a reader is never left.
    pub async fn abandoned(&self) {
        if self.role.get().goes_on() {
            std::future::pending::<()>().await;
        }
        self.gone().await;
    }

    fn leave(&self) -> bool {
        let mut registry = self.worker.shared.once.registry();
        let left = registry.leave(&self.record);
        if left {
            self.concluded.set(true);
            // Under the lock, so that whoever asks next finds the notes.
            self.refused();
        }
        left
    }

    fn conclude(&self, item: Item) {
        if self.concluded.replace(true) {
            return;
        }
        match &item {
            Item::Failed(problem) if problem.verdict == Verdict::NotRun => self.refused(),
            Item::Failed(problem) => self.failed(problem),
            _ => self.complete(),
        }
        self.finish(item);
    }

    /// Nothing was sent: the next submission is as good as the first. The notes come
    /// before anyone is told, so that a submission elsewhere finds them.
    fn refused(&self) {
        if let Role::Claimed(version) = self.role.get() {
            self.give_up();
            self.close(version, None);
        }
    }

    fn failed(&self, problem: &Problem) {
        if let Role::Claimed(version) = self.role.get() {
            let end = End::Failed {
                code: problem.code.as_str().to_owned(),
                verdict: problem.verdict,
                message: problem.message.clone(),
            };
            self.close(
                version,
                Some(claims::ended(&self.worker, &self.record, end)),
            );
        }
    }

    fn complete(&self) {
        let Role::Claimed(version) = self.role.get() else {
            return;
        };
        let (worker, record) = (self.worker.clone(), Arc::clone(&self.record));
        actix_web::rt::spawn(async move {
            let running = worker.shared.running.enter();
            let kept = kept::store(&worker, &record).await;
            let end = claims::ended(&worker, &record, End::Complete { kept });
            let (key, request) = (record.key.clone(), record.request);
            drop(record);
            close(&worker, &key, request, Some(version), Some(end));
            drop(running);
            if kept {
                let span = worker.shared.settings.limits.answers_kept;
                tokio::time::sleep(Duration::from_millis(span.0)).await;
                kept::delete(&worker, &key).await;
            }
        });
    }

    fn close(&self, version: u64, claim: Option<Claim>) {
        let record = &self.record;
        close(
            &self.worker,
            &record.key,
            record.request,
            Some(version),
            claim,
        );
    }

    /// Whether the record stays, so that later submissions get the same end.
    fn stays(&self, item: &Item) -> bool {
        match item {
            Item::Failed(problem) if problem.verdict == Verdict::NotRun => false,
            Item::Failed(_) => self.role.get().goes_on(),
            _ => true,
        }
    }

    fn finish(&self, item: Item) {
        let shared = &self.worker.shared;
        let mut registry = shared.once.registry();
        if self.stays(&item) {
            registry.end(shared.clock.now(), &self.record);
        } else {
            registry.remove(&self.record.key, self.record.request);
        }
        drop(registry);
        self.record.tape.finish(item);
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        if self.concluded.replace(true) {
            return;
        }
        // The run ended without saying how, as after a panic. Its claim stays open.
        let message = "the entry lost track of the request";
        let problem = Problem::new(Code::EndpointFailed, Verdict::MayHaveRun, message);
        self.finish(Item::Failed(problem));
    }
}

/// Closes a claim in the background; see [`claims::close`].
pub fn close(
    worker: &Worker,
    key: &Key,
    request: name::Request,
    version: Option<u64>,
    claim: Option<Claim>,
) {
    let shared = Arc::clone(&worker.shared);
    if shared.once.closings.fetch_add(1, Ordering::AcqRel) >= MOST_CLOSINGS {
        shared.once.closings.fetch_sub(1, Ordering::AcqRel);
        log::warn!(request = request.to_string(); "too many claims to close, one stays open");
        return;
    }
    let (worker, key) = (worker.clone(), key.clone());
    actix_web::rt::spawn(async move {
        let running = shared.running.enter();
        let mut closing = std::pin::pin!(claims::close(&worker, &key, request, version, claim));
        if tokio::time::timeout(STOP_WAITS, &mut closing)
            .await
            .is_err()
        {
            drop(running);
            closing.await;
        }
        shared.once.closings.fetch_sub(1, Ordering::AcqRel);
    });
}
