//! Simulation of several incarnations of entries that share one table.

use woodgap_core::clock::Millis;
use woodgap_core::name::{Incarnation, Request};
use woodgap_core::once::{
    AbandonedRequests, Claim, ClaimOutcome, Claiming, Closing, Digest, Row, Step, Written,
};

const CLAIM_TIMEOUT: Millis = Millis(1_000);

/// Fault injected into a write.
#[derive(Clone, Copy, Debug)]
pub enum Write {
    Acknowledge,
    LoseAcknowledgement,
    /// No response; it takes effect later, if at all.
    Late,
    Lose,
    Refuse,
}

/// A step of the simulation.
#[derive(Clone, Copy, Debug)]
pub enum Move {
    /// A caller submits the identity to an incarnation.
    Submit(usize),
    /// An incarnation performs its next call to the table.
    Step {
        life: usize,
        write: Write,
        /// By how many states its reads are stale.
        stale: usize,
    },
    /// A late write takes effect.
    Land(usize),
    /// The deadline of an incarnation's claim passes.
    Expire(usize),
    /// An incarnation sends its submission if it may.
    Send(usize),
    /// An incarnation sheds its submission if it has not sent it.
    Shed(usize),
    /// An incarnation that could not claim asks the others, which may not reply.
    Ask { life: usize, answers: bool },
    /// An incarnation ends and a new one starts.
    Restart(usize),
}

#[derive(Clone, Debug)]
enum Phase {
    Claiming(Claiming, Step<ClaimOutcome>),
    /// The submission may be sent; the row has this version.
    Licensed(u64),
    Held(Claim),
    Unresolved,
    Ended(&'static str),
}

struct Submission {
    request: Request,
    phase: Phase,
}

struct Life {
    incarnation: Incarnation,
    abandoned: AbandonedRequests,
    /// The submission that others at this incarnation attach to.
    current: Option<usize>,
    closings: Vec<(Closing, Request, Step<()>)>,
}

/// A write of the row: its required version and its new value.
type Change = (u64, Option<Claim>);

pub struct World {
    now: Millis,
    /// History of the row's states, the newest last.
    states: Vec<Option<Row>>,
    late: Vec<Change>,
    lives: Vec<Life>,
    submissions: Vec<Submission>,
    deaths: bool,
    sent: usize,
    pub broken: Option<String>,
}

impl World {
    pub fn new(lives: u64) -> Self {
        Self {
            now: Millis::ZERO,
            states: vec![None],
            late: Vec::new(),
            lives: (1..=lives).map(Life::new).collect(),
            submissions: Vec::new(),
            deaths: false,
            sent: 0,
            broken: None,
        }
    }

    /// Returns the result of each submission, in order of submission.
    pub fn told(&self) -> String {
        let submissions = self.submissions.iter();
        let told: Vec<&str> = submissions.map(|one| one.phase.name()).collect();
        told.join(" ")
    }

    pub fn play(&mut self, step: Move) {
        match step {
            Move::Submit(life) => self.submit(life),
            Move::Step { life, write, stale } => self.step(life, write, stale),
            Move::Land(index) if index < self.late.len() => {
                let change = self.late.remove(index);
                self.change(change);
            }
            Move::Land(_) => {}
            Move::Expire(life) => self.expire(life),
            Move::Send(life) => self.send(life),
            Move::Shed(life) => self.shed(life),
            Move::Ask { life, answers } => self.ask(life, answers),
            Move::Restart(life) => self.restart(life),
        }
        if self.sent > 1 {
            self.broken = Some("sent twice".to_owned());
        }
    }

    fn submit(&mut self, life: usize) {
        if self.lives[life].current.is_some() {
            return;
        }
        let request = Request {
            incarnation: self.lives[life].incarnation,
            sequence: self.submissions.len() as u64,
        };
        let (claiming, first) =
            Claiming::new(request, self.now + CLAIM_TIMEOUT, self.now + CLAIM_TIMEOUT);
        self.lives[life].current = Some(self.submissions.len());
        self.submissions.push(Submission {
            request,
            phase: Phase::Claiming(claiming, first),
        });
    }

    /// Performs the next step of the current submission, or else of a pending closing.
    fn step(&mut self, life: usize, write: Write, stale: usize) {
        let current = self.lives[life].current;
        if let Some(index) = current
            && let Phase::Claiming(claiming, step) = self.submissions[index].phase.clone()
        {
            self.claim(life, index, claiming, &step, write, stale);
        } else if let Some((closing, request, step)) = self.lives[life].closings.pop() {
            self.close(life, closing, request, &step, write, stale);
        }
    }

    fn claim(
        &mut self,
        life: usize,
        index: usize,
        mut claiming: Claiming,
        step: &Step<ClaimOutcome>,
        write: Write,
        stale: usize,
    ) {
        let request = self.submissions[index].request;
        let next = match step {
            Step::Write { over, .. } => {
                let written = self.write((*over, Some(claim(request))), write);
                claiming.on_write(self.now, written)
            }
            Step::Read { .. } => match self.read(write, stale) {
                Ok(row) => claiming.on_read(self.now, row, &self.lives[life].abandoned),
                Err(()) => claiming.on_read_error(self.now),
            },
            Step::Done(_) => return,
        };
        self.submissions[index].phase = match next {
            Step::Done(ClaimOutcome::Acquired(version)) => Phase::Licensed(version),
            Step::Done(ClaimOutcome::Held(claim)) => Phase::Held(claim),
            Step::Done(ClaimOutcome::Unresolved { .. }) => {
                self.lives[life].abandoned.abandon(request);
                self.lives[life].close(request, None);
                Phase::Unresolved
            }
            step => Phase::Claiming(claiming, step),
        };
    }

    fn close(
        &mut self,
        life: usize,
        mut closing: Closing,
        request: Request,
        step: &Step<()>,
        write: Write,
        stale: usize,
    ) {
        let next = match step {
            Step::Write { over, .. } => closing.on_write(self.write((*over, None), write)),
            Step::Read { .. } => match self.read(write, stale) {
                Ok(row) => closing.on_read(row.as_ref()),
                Err(()) => closing.on_read_error(),
            },
            Step::Done(()) => return,
        };
        self.lives[life].closings.push((closing, request, next));
    }

    fn write(&mut self, change: Change, fate: Write) -> Written {
        match fate {
            Write::Acknowledge => self.change(change),
            Write::LoseAcknowledgement => {
                self.change(change);
                Written::Unknown
            }
            Write::Late => {
                self.late.push(change);
                Written::Unknown
            }
            Write::Lose => Written::Unknown,
            Write::Refuse => Written::Unavailable,
        }
    }

    fn change(&mut self, (over, claim): Change) -> Written {
        let version = self.row(0).map_or(0, |row| row.version);
        if version != over {
            return Written::Conflict;
        }
        let version = self.states.len() as u64;
        let row = claim.map(|claim| Row { claim, version });
        let written = Written::Committed(row.as_ref().map_or(0, |row| row.version));
        self.states.push(row);
        written
    }

    fn read(&self, fate: Write, stale: usize) -> Result<Option<Row>, ()> {
        match fate {
            Write::Lose | Write::Refuse => Err(()),
            _ => Ok(self.row(stale)),
        }
    }

    fn row(&self, stale: usize) -> Option<Row> {
        let newest = self.states.len() - 1;
        self.states[newest.saturating_sub(stale)].clone()
    }

    fn expire(&mut self, life: usize) {
        if let Some(index) = self.lives[life].current
            && let Phase::Claiming(..) = self.submissions[index].phase
        {
            self.now = self.now + CLAIM_TIMEOUT;
            self.step(life, Write::Refuse, 0);
        }
    }

    fn send(&mut self, life: usize) {
        self.licensed(life, |world, index, _| {
            world.sent += 1;
            world.submissions[index].phase = Phase::Ended("sent");
        });
    }

    fn shed(&mut self, life: usize) {
        self.licensed(life, |world, index, version| {
            let request = world.submissions[index].request;
            world.lives[life].abandoned.abandon(request);
            world.lives[life].close(request, Some(version));
            world.not_run(life, index);
        });
    }

    fn licensed(&mut self, life: usize, then: impl FnOnce(&mut Self, usize, u64)) {
        if let Some(index) = self.lives[life].current
            && let Phase::Licensed(version) = self.submissions[index].phase
        {
            then(self, index, version);
        }
    }

    fn not_run(&mut self, life: usize, index: usize) {
        self.lives[life].current = None;
        self.submissions[index].phase = Phase::Ended("not_run");
        if self.sent > 0 {
            self.broken = Some("told not run after it was sent".to_owned());
        }
    }

    fn ask(&mut self, life: usize, answers: bool) {
        let Some(index) = self.lives[life].current else {
            return;
        };
        match self.submissions[index].phase.clone() {
            Phase::Held(claim) => self.ask_holder(life, index, &claim, answers),
            Phase::Unresolved => self.ask_all(life, index, answers),
            _ => {}
        }
    }

    fn ask_holder(&mut self, life: usize, index: usize, claim: &Claim, answers: bool) {
        let mut lives = self.lives.iter();
        let holder = lives.position(|life| life.incarnation == claim.holder());
        let holder = holder.filter(|_| answers);
        match holder {
            Some(holder) if self.lives[holder].abandoned.is_abandoned(claim.request) => {
                self.lives[holder].close(claim.request, None);
                let request = self.submissions[index].request;
                let (claiming, first) =
                    Claiming::new(request, self.now + CLAIM_TIMEOUT, self.now + CLAIM_TIMEOUT);
                self.submissions[index].phase = Phase::Claiming(claiming, first);
            }
            Some(holder) if holder != life && self.lives[holder].current.is_some() => {
                self.end(life, index, "follows");
            }
            _ => self.end(life, index, "may_have_run"),
        }
    }

    fn ask_all(&mut self, life: usize, index: usize, answers: bool) {
        let mut others = self.lives.iter().enumerate();
        if !answers {
            self.end(life, index, "may_have_run");
        } else if others.any(|(other, one)| other != life && one.current.is_some()) {
            self.end(life, index, "follows");
        } else if self.deaths {
            self.end(life, index, "may_have_run");
        } else {
            self.not_run(life, index);
        }
    }

    /// Ends a submission that was not sent here; the next one starts over.
    fn end(&mut self, life: usize, index: usize, told: &'static str) {
        self.lives[life].current = None;
        self.submissions[index].phase = Phase::Ended(told);
    }

    fn restart(&mut self, life: usize) {
        self.deaths = true;
        let incarnation = self.lives[life].incarnation.0 + 100;
        self.lives[life] = Life::new(incarnation);
    }
}

impl Life {
    fn new(incarnation: u64) -> Self {
        let incarnation = Incarnation(incarnation);
        Self {
            incarnation,
            abandoned: AbandonedRequests::new(incarnation),
            current: None,
            closings: Vec::new(),
        }
    }

    fn close(&mut self, request: Request, version: Option<u64>) {
        let (closing, first) = Closing::new(request, version);
        self.closings.push((closing, request, first));
    }
}

impl Phase {
    fn name(&self) -> &'static str {
        match self {
            Self::Claiming(..) => "claiming",
            Self::Licensed(_) => "licensed",
            Self::Held(_) => "held",
            Self::Unresolved => "unsettled",
            Self::Ended(told) => told,
        }
    }
}

fn claim(request: Request) -> Claim {
    Claim {
        request,
        address: "127.0.0.1:80".parse().expect("an address"),
        body: Digest::of(["body"]),
        at: Millis::ZERO,
        end: None,
    }
}
