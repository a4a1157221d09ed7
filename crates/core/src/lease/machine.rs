//! State machine of one lease: returns the next call to make and processes its result.

use crate::clock::Millis;
use crate::lease::{
    Expired, Fence, Free, FreeReadOutcome, Held, Holder, Lease, LeaseExpired, OwnedReadOutcome,
    Renewal, RenewalOutcome, Snapshot, Take, TakeOutcome, Term, Unresolved, Write, WriteOutcome,
};

/// Pause after a failed call or an unresolved read, in percent of the lease's duration.
const RETRY_PERCENT: u64 = 5;
/// Lower bound of this pause.
const MIN_RETRY_PAUSE: Millis = Millis(20);
/// Number of polls that may be missed before the observation of an unchanged record starts
/// over.
const MISSED_POLLS: u64 = 2;
/// Rest while nothing is to be done; it ends early when the caller wants something else.
const IDLE_REST: Millis = Millis::from_secs(3_600);

/// What the caller wants to do with the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Want {
    /// Nothing: a held lease is left to expire, without any calls.
    Idle,
    /// Acquire and hold it. While another holder has it, the rows are polled at this interval.
    Hold {
        /// Time between two reads.
        poll_interval: Millis,
    },
    /// Release it, so that others need not wait for it to expire.
    Release,
}

/// The next call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// No call before this time, unless the caller wants something else.
    Rest(Millis),
    /// Read both rows and pass the result to [`Machine::on_read`].
    Read,
    /// Perform the write and pass its outcome to [`Machine::on_write`].
    Write(Write),
}

/// Status of the lease, as seen by the code that acts under it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum View {
    /// Not held by this incarnation.
    #[default]
    NotHeld,
    /// Held until this time on the local clock.
    Held {
        /// The fencing token.
        fence: Fence,
        /// When it expires.
        until: Millis,
    },
    /// Expired, but no other holder is known.
    Expired(Fence),
}

impl View {
    /// Returns the fencing token if the lease is held at this time.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] otherwise.
    pub fn check(self, now: Millis) -> Result<Fence, LeaseExpired> {
        match self {
            Self::Held { fence, until } if now < until => Ok(fence),
            _ => Err(LeaseExpired),
        }
    }

    /// The fencing token, as long as no other holder is known to have a later one.
    pub fn fence(self) -> Option<Fence> {
        match self {
            Self::NotHeld => None,
            Self::Held { fence, .. } | Self::Expired(fence) => Some(fence),
        }
    }
}

#[derive(Clone, Debug)]
enum State {
    Free(Lease<Free>),
    Unresolved(Lease<Unresolved>),
    Held(Lease<Held>),
    Expired(Lease<Expired>),
}

#[derive(Clone, Debug)]
enum Pending {
    Take(Take),
    Renewal(Renewal),
    Release,
}

/// State machine of one lease.
#[derive(Clone, Debug)]
pub struct Machine {
    term: Term,
    state: Option<State>,
    pending: Option<Pending>,
    /// Earliest time of the next read.
    next_read: Millis,
    /// Earliest time of the next write after a failed one.
    retry_at: Millis,
    poll_interval: Millis,
}

impl Machine {
    /// Creates the machine of a lease whose state is unknown; see [`Lease::new`] for
    /// `first_take`.
    pub fn new(own: Holder, term: Term, first_take: u64) -> Self {
        Self {
            term,
            state: Some(State::Free(Lease::new(own, term, first_take))),
            pending: None,
            next_read: Millis::ZERO,
            retry_at: Millis::ZERO,
            poll_interval: term.duration(),
        }
    }

    /// Returns the status after the last step.
    pub fn view(&self) -> View {
        match &self.state {
            Some(State::Held(held)) => View::Held {
                fence: held.fence(),
                until: held.until(),
            },
            Some(State::Expired(expired)) => View::Expired(expired.fence()),
            _ => View::NotHeld,
        }
    }

    /// Returns the next call. Lease times count from `now`, so read the clock before the call
    /// is sent.
    pub fn step(&mut self, now: Millis, want: Want) -> Step {
        if let Want::Hold { poll_interval } = want {
            self.poll_interval = poll_interval;
        }
        let (state, step) = match self.current(now) {
            State::Free(free) => self.step_free(now, want, free),
            State::Unresolved(unresolved) => (State::Unresolved(unresolved), self.read_at(now)),
            State::Held(held) => {
                let step = self.step_held(now, want, &held);
                (State::Held(held), step)
            }
            State::Expired(expired) => {
                let step = self.step_expired(now, want, &expired);
                (State::Expired(expired), step)
            }
        };
        self.state = Some(state);
        step
    }

    fn current(&mut self, now: Millis) -> State {
        match self.take_state() {
            State::Held(held) => match held.expire(now) {
                Ok(held) => State::Held(held),
                Err(expired) => State::Expired(expired),
            },
            other => other,
        }
    }

    fn take_state(&mut self) -> State {
        self.state.take().expect("every call puts a state back")
    }

    fn step_free(&mut self, now: Millis, want: Want, mut free: Lease<Free>) -> (State, Step) {
        let step = match want {
            Want::Idle | Want::Release => Step::Rest(now + IDLE_REST),
            Want::Hold { .. } if now < self.retry_at => Step::Rest(self.retry_at),
            Want::Hold { .. } => match free.take(now) {
                Some(take) => {
                    let step = Step::Write(take.write.clone());
                    self.pending = Some(Pending::Take(take));
                    step
                }
                None => self.watch(now, &free),
            },
        };
        (State::Free(free), step)
    }

    fn watch(&self, now: Millis, free: &Lease<Free>) -> Step {
        let takeover_at = free.takeover_at().filter(|takeover_at| *takeover_at > now);
        match self.read_at(now) {
            Step::Rest(read_at) => {
                Step::Rest(takeover_at.map_or(read_at, |takeover_at| takeover_at.min(read_at)))
            }
            step => step,
        }
    }

    fn step_held(&mut self, now: Millis, want: Want, held: &Lease<Held>) -> Step {
        match want {
            Want::Idle => Step::Rest(held.until()),
            _ if held.must_read() => self.read_at(now),
            Want::Release => self.release(held.release()),
            Want::Hold { .. } => {
                let due_at = held.renew_at().max(self.retry_at);
                match self.renew(now, held.renewal(now), due_at) {
                    Step::Rest(due_at) => Step::Rest(due_at.min(held.until())),
                    step => step,
                }
            }
        }
    }

    fn step_expired(&mut self, now: Millis, want: Want, expired: &Lease<Expired>) -> Step {
        match want {
            Want::Idle => Step::Rest(now + IDLE_REST),
            _ if expired.must_read() => self.read_at(now),
            Want::Release => self.release(expired.release()),
            Want::Hold { .. } => self.renew(now, expired.renewal(now), self.retry_at),
        }
    }

    fn read_at(&self, now: Millis) -> Step {
        if now >= self.next_read {
            Step::Read
        } else {
            Step::Rest(self.next_read)
        }
    }

    fn renew(&mut self, now: Millis, renewal: Renewal, due_at: Millis) -> Step {
        if now < due_at {
            return Step::Rest(due_at);
        }
        let step = Step::Write(renewal.write.clone());
        self.pending = Some(Pending::Renewal(renewal));
        step
    }

    fn release(&mut self, write: Write) -> Step {
        self.pending = Some(Pending::Release);
        Step::Write(write)
    }

    /// Processes a read that was answered at `now`; `None` if it failed.
    pub fn on_read(&mut self, now: Millis, seen: Option<&Snapshot>) {
        let Some(seen) = seen else {
            self.next_read = now + self.pause();
            return;
        };
        let gap = Millis(self.poll_interval.0 * MISSED_POLLS).max(self.term.duration());
        let state = match self.take_state() {
            State::Free(free) => from_free_read(free.on_read(now, seen, gap)),
            State::Unresolved(unresolved) => from_take(unresolved.on_read(now, seen, gap)),
            State::Held(held) => from_owned_read(held.on_read(seen), State::Held),
            State::Expired(expired) => from_owned_read(expired.on_read(seen), State::Expired),
        };
        // A lease that may be owned is read again after the short pause, one of another holder
        // at the poll interval.
        let interval = match &state {
            State::Free(_) => self.poll_interval,
            _ => self.pause(),
        };
        self.next_read = now + interval;
        self.state = Some(state);
    }

    /// Processes the outcome of the last step's write, answered at `now`.
    pub fn on_write(&mut self, now: Millis, answer: WriteOutcome) {
        let pending = self.pending.take();
        let state = match (self.take_state(), pending) {
            (State::Free(free), Some(Pending::Take(take))) => {
                from_take(free.on_take(now, take, answer))
            }
            (State::Held(held), Some(Pending::Renewal(renewal))) => {
                State::Held(held.on_renewal(&renewal, answer))
            }
            (State::Expired(expired), Some(Pending::Renewal(renewal))) => {
                match expired.on_renewal(now, &renewal, answer) {
                    RenewalOutcome::Held(held) => State::Held(held),
                    RenewalOutcome::Expired(expired) => State::Expired(expired),
                }
            }
            (State::Held(held), Some(Pending::Release)) => State::Free(held.released()),
            (State::Expired(expired), Some(Pending::Release)) => State::Free(expired.released()),
            (state, _) => state,
        };
        self.state = Some(state);
        match answer {
            // The rows have changed: read them at once.
            WriteOutcome::Conflict => self.next_read = now,
            WriteOutcome::Committed { .. } => {}
            WriteOutcome::Unavailable | WriteOutcome::Unknown => {
                self.retry_at = now + self.pause();
                self.next_read = self.retry_at;
            }
        }
    }

    /// Records that a write with this fencing token was rejected: another holder may have taken
    /// the lease.
    pub fn suspect(&mut self, now: Millis) {
        let state = match self.take_state() {
            State::Held(held) => State::Held(held.suspect()),
            State::Expired(expired) => State::Expired(expired.suspect()),
            other => other,
        };
        self.state = Some(state);
        self.next_read = now;
    }

    fn pause(&self) -> Millis {
        Millis(self.term.duration().0 * RETRY_PERCENT / 100).max(MIN_RETRY_PAUSE)
    }
}

fn from_free_read(outcome: FreeReadOutcome) -> State {
    match outcome {
        FreeReadOutcome::Free(free) => State::Free(free),
        FreeReadOutcome::Expired(expired) => State::Expired(expired),
    }
}

fn from_take(outcome: TakeOutcome) -> State {
    match outcome {
        TakeOutcome::Held(held) => State::Held(held),
        TakeOutcome::Expired(expired) => State::Expired(expired),
        TakeOutcome::Free(free) => State::Free(free),
        TakeOutcome::Unresolved(unresolved) => State::Unresolved(unresolved),
    }
}

fn from_owned_read<S>(
    outcome: OwnedReadOutcome<S>,
    owned: impl FnOnce(Lease<S>) -> State,
) -> State {
    match outcome {
        OwnedReadOutcome::Owned(lease) => owned(lease),
        OwnedReadOutcome::Lost(free) => State::Free(free),
    }
}
