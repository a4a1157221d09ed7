//! Drives one lease: says which call comes next, and takes in what it brought.

use crate::clock::Millis;
use crate::lease::{
    Answer, Doubt, Expired, Fence, Free, Held, Holder, Kept, Lease, Over, Renewal, Revived, Seen,
    Sighted, Take, Term, Took, Write,
};

/// Of a lease's duration, the pause after a call that brought nothing, in percent.
const PAUSE_PERCENT: u64 = 5;
/// The shortest such pause.
const SHORTEST_PAUSE: Millis = Millis(20);
/// How many looks may be missed before a watch starts again.
const MISSED_LOOKS: u64 = 2;
/// A rest without end: a change of what is wanted ends it.
const FOR_EVER: Millis = Millis::from_secs(3_600);

/// What the caller wants of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Want {
    /// Nothing: a lease that is held is left to run out, at no cost.
    Idle,
    /// To hold it. While another does, the rows are read this often.
    Hold {
        /// The time between two looks.
        look: Millis,
    },
    /// To give it back, so that others need not wait.
    Release,
}

/// The next call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// None before this time, unless something else is wanted.
    Rest(Millis),
    /// Read both rows, and report them to [`Machine::read`].
    Read,
    /// Write, and report what became of it to [`Machine::wrote`].
    Write(Write),
}

/// The lease as others may act on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum View {
    /// Not ours.
    #[default]
    Away,
    /// Ours, until this time on the own clock.
    Held {
        /// The number under which to act.
        fence: Fence,
        /// When its time is over.
        until: Millis,
    },
    /// Its time is over, but nobody is known to have taken it.
    Expired(Fence),
}

impl View {
    /// Whether the lease may be acted under at this time.
    ///
    /// # Errors
    ///
    /// [`Over`] if not.
    pub fn check(self, now: Millis) -> Result<Fence, Over> {
        match self {
            Self::Held { fence, until } if now < until => Ok(fence),
            _ => Err(Over),
        }
    }

    /// The fence, as long as nobody else is known to have a later one.
    pub fn fence(self) -> Option<Fence> {
        match self {
            Self::Away => None,
            Self::Held { fence, .. } | Self::Expired(fence) => Some(fence),
        }
    }
}

#[derive(Clone, Debug)]
enum State {
    Free(Lease<Free>),
    Doubt(Lease<Doubt>),
    Held(Lease<Held>),
    Expired(Lease<Expired>),
}

#[derive(Clone, Debug)]
enum Pending {
    Take(Take),
    Renewal(Renewal),
    Release,
}

/// One lease, with the calls that it needs.
#[derive(Clone, Debug)]
pub struct Machine {
    term: Term,
    state: Option<State>,
    pending: Option<Pending>,
    /// When the rows may be read next.
    look_at: Millis,
    /// When the next write may be tried.
    retry_at: Millis,
    look: Millis,
}

impl Machine {
    /// A lease of which nothing is known; see [`Lease::new`] for `first_take`.
    pub fn new(own: Holder, term: Term, first_take: u64) -> Self {
        Self {
            term,
            state: Some(State::Free(Lease::new(own, term, first_take))),
            pending: None,
            look_at: Millis::ZERO,
            retry_at: Millis::ZERO,
            look: term.duration(),
        }
    }

    /// The lease as it is now.
    pub fn view(&self) -> View {
        match &self.state {
            Some(State::Held(held)) => View::Held {
                fence: held.fence(),
                until: held.until(),
            },
            Some(State::Expired(expired)) => View::Expired(expired.fence()),
            _ => View::Away,
        }
    }

    /// The next call. Its time counts from `now`, so `now` is read before it is sent.
    pub fn step(&mut self, now: Millis, want: Want) -> Step {
        if let Want::Hold { look } = want {
            self.look = look;
        }
        let (state, step) = match self.current(now) {
            State::Free(free) => self.step_free(now, want, free),
            State::Doubt(doubt) => (State::Doubt(doubt), self.read_at(now)),
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
            Want::Idle | Want::Release => Step::Rest(now + FOR_EVER),
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
        let ripe = free.ripe_at().filter(|ripe| *ripe > now);
        match self.read_at(now) {
            Step::Rest(look) => Step::Rest(ripe.map_or(look, |ripe| ripe.min(look))),
            step => step,
        }
    }

    fn step_held(&mut self, now: Millis, want: Want, held: &Lease<Held>) -> Step {
        match want {
            Want::Idle => Step::Rest(held.until()),
            _ if held.unclear() => self.read_at(now),
            Want::Release => self.release(held.release()),
            Want::Hold { .. } => {
                let due = held.renew_at().max(self.retry_at);
                match self.renew(now, held.renewal(now), due) {
                    Step::Rest(due) => Step::Rest(due.min(held.until())),
                    step => step,
                }
            }
        }
    }

    fn step_expired(&mut self, now: Millis, want: Want, expired: &Lease<Expired>) -> Step {
        match want {
            Want::Idle => Step::Rest(now + FOR_EVER),
            _ if expired.unclear() => self.read_at(now),
            Want::Release => self.release(expired.release()),
            Want::Hold { .. } => self.renew(now, expired.renewal(now), self.retry_at),
        }
    }

    fn read_at(&self, now: Millis) -> Step {
        if now >= self.look_at {
            Step::Read
        } else {
            Step::Rest(self.look_at)
        }
    }

    fn renew(&mut self, now: Millis, renewal: Renewal, due: Millis) -> Step {
        if now < due {
            return Step::Rest(due);
        }
        let step = Step::Write(renewal.write.clone());
        self.pending = Some(Pending::Renewal(renewal));
        step
    }

    fn release(&mut self, write: Write) -> Step {
        self.pending = Some(Pending::Release);
        Step::Write(write)
    }

    /// Takes in a read, answered now; none if it failed.
    pub fn read(&mut self, now: Millis, seen: Option<&Seen>) {
        let Some(seen) = seen else {
            self.look_at = now + self.pause();
            return;
        };
        let gap = Millis(self.look.0 * MISSED_LOOKS).max(self.term.duration());
        let state = match self.take_state() {
            State::Free(free) => sighted(free.seen(now, seen, gap)),
            State::Doubt(doubt) => took(doubt.seen(now, seen, gap)),
            State::Held(held) => kept(held.seen(seen), State::Held),
            State::Expired(expired) => kept(expired.seen(seen), State::Expired),
        };
        // What is still unclear is read again soon, what another holds at leisure.
        let soon = match &state {
            State::Free(_) => self.look,
            _ => self.pause(),
        };
        self.look_at = now + soon;
        self.state = Some(state);
    }

    /// Takes in what became of the write of the last step, answered now.
    pub fn wrote(&mut self, now: Millis, answer: Answer) {
        let pending = self.pending.take();
        let state = match (self.take_state(), pending) {
            (State::Free(free), Some(Pending::Take(take))) => took(free.took(now, take, answer)),
            (State::Held(held), Some(Pending::Renewal(renewal))) => {
                State::Held(held.renewed(&renewal, answer))
            }
            (State::Expired(expired), Some(Pending::Renewal(renewal))) => {
                match expired.renewed(now, &renewal, answer) {
                    Revived::Held(held) => State::Held(held),
                    Revived::Expired(expired) => State::Expired(expired),
                }
            }
            (State::Held(held), Some(Pending::Release)) => State::Free(held.released()),
            (State::Expired(expired), Some(Pending::Release)) => State::Free(expired.released()),
            (state, _) => state,
        };
        self.state = Some(state);
        match answer {
            // Whatever is there now is news.
            Answer::Conflict => self.look_at = now,
            Answer::Committed { .. } => {}
            Answer::Unavailable | Answer::Unknown => {
                self.retry_at = now + self.pause();
                self.look_at = self.retry_at;
            }
        }
    }

    /// A write under the fence was refused: somebody may have taken the lease.
    pub fn suspect(&mut self, now: Millis) {
        let state = match self.take_state() {
            State::Held(held) => State::Held(held.suspect()),
            State::Expired(expired) => State::Expired(expired.suspect()),
            other => other,
        };
        self.state = Some(state);
        self.look_at = now;
    }

    fn pause(&self) -> Millis {
        Millis(self.term.duration().0 * PAUSE_PERCENT / 100).max(SHORTEST_PAUSE)
    }
}

fn sighted(sighted: Sighted) -> State {
    match sighted {
        Sighted::Free(free) => State::Free(free),
        Sighted::Expired(expired) => State::Expired(expired),
    }
}

fn took(took: Took) -> State {
    match took {
        Took::Held(held) => State::Held(held),
        Took::Expired(expired) => State::Expired(expired),
        Took::Free(free) => State::Free(free),
        Took::Doubt(doubt) => State::Doubt(doubt),
    }
}

fn kept<S>(kept: Kept<S>, ours: impl FnOnce(Lease<S>) -> State) -> State {
    match kept {
        Kept::Ours(lease) => ours(lease),
        Kept::Lost(free) => State::Free(free),
    }
}
