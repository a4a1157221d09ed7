//! A model engine as a pure model: batch steps, prompts read in pieces between the
//! tokens of other requests, memory, kept prompt parts, priorities, preemption.
//!
//! It has no clock and no socket: a driver asks for one step after the other, and
//! each says how long it took. So an hour of a fleet is played in a second, and
//! the same seed gives the same hour.

use std::collections::HashMap;

use woodgap_core::relay::prefix::prefix_hashes;
use woodgap_core::relay::work::{Part, Work};

/// What an engine is made of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Make {
    /// Requests that it works on at once.
    pub slots: usize,
    /// Tokens that its memory holds.
    pub memory_tokens: u32,
    /// How long a step takes with nothing in it, in ms.
    pub step_ms: f64,
    /// How much longer with each running request, in ms.
    pub request_ms: f64,
    /// Prompt tokens that are read in a ms.
    pub read_per_ms: f64,
    /// Prompt tokens that are read in one step at most.
    pub chunk_tokens: u32,
    /// Tokens that an event of a stream holds.
    pub event_tokens: u32,
}

impl Make {
    /// About the engines of the Dublin site.
    pub const MIDDLING: Self = Self {
        slots: 64,
        memory_tokens: 290_000,
        step_ms: 3.1,
        request_ms: 0.1,
        read_per_ms: 57.0,
        chunk_tokens: 2_048,
        event_tokens: 6,
    };
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique at the engine.
    pub number: u64,
    /// What it asks.
    pub work: Work,
    /// Tokens that come out.
    pub output: u32,
    /// 0 is the most urgent.
    pub urgency: u8,
}

/// What came to pass in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happening {
    /// An event of the stream of this request was made.
    Event(u64),
    /// The request is complete.
    Ended(u64),
    /// It was put back to the queue, and starts anew.
    Preempted(u64),
}

#[derive(Debug)]
struct Run {
    request: Request,
    unread: u32,
    made: u32,
}

impl Run {
    /// Tokens of memory that it takes now.
    fn held(&self) -> u32 {
        self.request.work.prompt_tokens + self.made
    }
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    make: Make,
    running: Vec<Run>,
    waiting: Vec<Request>,
    /// Kept chains of prompt parts: tokens, and the step of their last use.
    kept: HashMap<u64, (u32, u64)>,
    step: u64,
    tokens_read: u64,
}

impl Engine {
    /// An engine with nothing to do and nothing kept.
    pub fn new(make: Make) -> Self {
        Self {
            make,
            running: Vec::new(),
            waiting: Vec::new(),
            kept: HashMap::new(),
            step: 0,
            tokens_read: 0,
        }
    }

    /// Takes a request into the queue.
    pub fn take(&mut self, request: Request) {
        self.waiting.push(request);
    }

    /// Whether there is anything to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Requests running.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait to be admitted.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Tokens of admitted prompts that are not read yet.
    pub fn unread(&self) -> u32 {
        self.running.iter().map(|run| run.unread).sum()
    }

    /// Prompt tokens that it has read so far.
    pub fn tokens_read(&self) -> u64 {
        self.tokens_read
    }

    /// Does one step; gives back how long it took, in ms, and what came to pass.
    pub fn step(&mut self) -> (f64, Vec<Happening>) {
        self.step += 1;
        let mut happenings = Vec::new();
        self.admit(&mut happenings);
        let read = self.read();
        self.tokens_read += u64::from(read);
        let took = self.make.step_ms
            + self.make.request_ms * self.running.len() as f64
            + f64::from(read) / self.make.read_per_ms;
        self.write(&mut happenings);
        self.give_way(&mut happenings);
        (took, happenings)
    }

    /// Admits waiting requests, the most urgent first; a more urgent one takes the
    /// place of the newest among the least urgent.
    fn admit(&mut self, happenings: &mut Vec<Happening>) {
        self.waiting.sort_by_key(|request| request.urgency);
        while let Some(next) = self.waiting.first() {
            let needed = next.work.prompt_tokens;
            let has_memory = self.held() + needed <= self.make.memory_tokens;
            if self.running.len() >= self.make.slots || !has_memory {
                let urgency = next.urgency;
                if !self.put_back(|run| run.request.urgency > urgency, happenings) {
                    return;
                }
                self.waiting.sort_by_key(|request| request.urgency);
                continue;
            }
            let request = self.waiting.remove(0);
            let unread = request.work.prompt_tokens - self.find(&request.work.parts);
            self.running.push(Run {
                request,
                unread: unread.max(1),
                made: 0,
            });
        }
    }

    /// Puts the newest among the least urgent of these back; none may be left.
    fn put_back(&mut self, may_go: impl Fn(&Run) -> bool, happenings: &mut Vec<Happening>) -> bool {
        let runs = self.running.iter().enumerate();
        let candidates = runs.filter(|(_, run)| may_go(run));
        let Some((place, _)) = candidates.max_by_key(|(place, run)| (run.request.urgency, *place))
        else {
            return false;
        };
        let run = self.running.remove(place);
        happenings.push(Happening::Preempted(run.request.number));
        self.waiting.push(run.request);
        true
    }

    fn held(&self) -> u32 {
        self.running.iter().map(Run::held).sum()
    }

    /// Tokens at the beginning of a prompt that need not be read.
    fn find(&mut self, parts: &[Part]) -> u32 {
        let step = self.step;
        let mut found = 0;
        for (chain, part) in prefix_hashes(parts).zip(parts) {
            let Some((_, used)) = self.kept.get_mut(&chain) else {
                break;
            };
            *used = step;
            found += part.tokens;
        }
        found
    }

    /// Reads a piece of the prompts in order; gives back its tokens.
    fn read(&mut self) -> u32 {
        let mut left = self.make.chunk_tokens;
        let mut done = Vec::new();
        for run in &mut self.running {
            let read = run.unread.min(left);
            left -= read;
            run.unread -= read;
            if read > 0 && run.unread == 0 {
                done.push(run.request.work.parts.clone());
            }
        }
        for parts in done {
            self.keep(&parts);
        }
        self.make.chunk_tokens - left
    }

    fn keep(&mut self, parts: &[Part]) {
        for (chain, part) in prefix_hashes(parts).zip(parts) {
            self.kept.insert(chain, (part.tokens, self.step));
        }
        let room = self.make.memory_tokens.saturating_sub(self.held());
        while self.kept.values().map(|(tokens, _)| *tokens).sum::<u32>() > room {
            let oldest = self
                .kept
                .iter()
                .min_by_key(|(chain, (_, used))| (*used, **chain));
            let Some(chain) = oldest.map(|(chain, _)| *chain) else {
                return;
            };
            self.kept.remove(&chain);
        }
    }

    /// Makes a token of each request whose prompt is read.
    fn write(&mut self, happenings: &mut Vec<Happening>) {
        let per_event = self.make.event_tokens.max(1);
        for run in self.running.iter_mut().filter(|run| run.unread == 0) {
            run.made += 1;
            let is_last = run.made >= run.request.output;
            if is_last || run.made % per_event == 0 {
                happenings.push(Happening::Event(run.request.number));
            }
            if is_last {
                happenings.push(Happening::Ended(run.request.number));
            }
        }
        self.running
            .retain(|run| run.unread > 0 || run.made < run.request.output);
    }

    /// Puts requests back while memory is short; one is always left to run.
    fn give_way(&mut self, happenings: &mut Vec<Happening>) {
        while self.held() > self.make.memory_tokens && self.running.len() > 1 {
            self.put_back(|_| true, happenings);
        }
    }
}
