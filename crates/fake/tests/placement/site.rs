//! Entries that choose engines, and the engines, in simulated time.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::RequestProfile;
use woodgap_core::relay::engine::{LoadBalancer, Report, Ticket};
use woodgap_core::relay::fleet::FANOUT;
use woodgap_core::relay::health::HealthSignal;
use woodgap_core::relay::plan;
use woodgap_core::relay::prefix::mix;
use woodgap_core::relay::roster::Endpoint;
use woodgap_core::relay::work::{Part, Work};
use woodgap_fake::batch::{Engine, Happening, Make, Request};

/// How often entries tell one another of their load, in ms.
const ROUND: u64 = 300;
/// The most endpoints whose load an entry tells of at once.
const MOST_SHARES: usize = 48;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A long prompt, most of it shared, and a short answer.
    Caption,
    /// A prompt and an answer of some length.
    Description,
    /// A short prompt and a long answer in quick succession.
    Narration,
}

/// Requests a second, by kind.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Captions a second.
    pub captions: f64,
    /// Descriptions a second.
    pub descriptions: f64,
    /// Narrations a second.
    pub narrations: f64,
}

impl Kind {
    /// The longest times on time to the first event and between two, in ms.
    fn targets(self) -> (f64, f64) {
        match self {
            Self::Caption => (1_200.0, 1_000.0),
            Self::Description => (500.0, 400.0),
            Self::Narration => (300.0, 250.0),
        }
    }

    fn urgency(self) -> u8 {
        match self {
            Self::Caption => 2,
            Self::Description => 1,
            Self::Narration => 0,
        }
    }
}

struct Sent {
    kind: Kind,
    entry: usize,
    ticket: Ticket,
    at: f64,
    last: Option<f64>,
    longest_pause: f64,
    first: f64,
}

impl Sent {
    fn is_late(&self) -> bool {
        let (first, pause) = self.kind.targets();
        self.first > first || self.longest_pause > pause
    }
}

/// What a site consists of.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Entries before the engines.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// What requests are about.
    pub subjects: u64,
    /// Requests come in groups of up to so many.
    pub most_together: u32,
}

/// Entries and engines.
pub struct Site {
    layout: Layout,
    random: ChaCha8Rng,
    entries: Vec<LoadBalancer>,
    /// Whom each entry asks next.
    asks_next: Vec<usize>,
    endpoints: Vec<Endpoint>,
    engines: Vec<Engine>,
    /// Until when each engine is busy with its step, in ms.
    busy: Vec<f64>,
    /// Engines that are down.
    down: Vec<usize>,
    sent: BTreeMap<u64, Sent>,
    ended: Vec<Sent>,
    /// Requests that engines put back.
    pub preempted: usize,
    /// Whether some engines are slow at any moment.
    is_uneven: bool,
    next: u64,
    now: u64,
}

impl Site {
    /// A site at rest.
    pub fn new(layout: Layout, seed: u64) -> Self {
        let Layout {
            entries, engines, ..
        } = layout;
        let data_centre = |at: usize| name::DataCentre::from(["dub-a", "dub-b", "dub-c"][at % 3]);
        let endpoint = |at: usize| Endpoint {
            life: name::Life::from(name::Endpoint::from(format!("i-{at}"))),
            service: "engines".to_owned(),
            address: ([10, 0, 0, 1], 80).into(),
            data_centre: data_centre(at),
            slots: 64,
            leaving: false,
            reclaimable: false,
            cold_for: Millis::ZERO,
            version: String::new(),
        };
        let loads = |at: usize| LoadBalancer::new(data_centre(at), at as u64);
        Self {
            layout,
            random: ChaCha8Rng::seed_from_u64(seed),
            entries: (0..entries).map(loads).collect(),
            asks_next: (0..entries).map(|at| at * 7).collect(),
            endpoints: (0..engines).map(endpoint).collect(),
            engines: (0..engines).map(|_| Engine::new(Make::MIDDLING)).collect(),
            busy: vec![0.0; engines],
            down: Vec::new(),
            sent: BTreeMap::new(),
            ended: Vec::new(),
            preempted: 0,
            is_uneven: false,
            next: 0,
            now: 0,
        }
    }

    /// Plays so many milliseconds with so much traffic.
    pub fn play(&mut self, span: u64, rates: Rates) {
        let rates = [
            (Kind::Caption, rates.captions),
            (Kind::Description, rates.descriptions),
            (Kind::Narration, rates.narrations),
        ];
        let mean = f64::from(self.layout.most_together + 1) / 2.0;
        for now in self.now..self.now + span {
            for (kind, rate) in rates {
                // Above a thousand groups a second there would be two in a ms.
                if self.random.random_bool((rate / mean / 1_000.0).min(1.0)) {
                    for _ in 0..self.random.random_range(1..=self.layout.most_together) {
                        self.send(kind, now);
                    }
                }
            }
            self.work_until(now);
            self.tell(now);
        }
        self.now += span;
    }

    /// From now on 15 of 100 engines are 2.5 times as slow, each for 600 ms, and report it. Entries
    /// use the reports if the service is scheduled.
    pub fn make_uneven(&mut self, is_scheduled: bool) {
        self.is_uneven = true;
        for entry in &mut self.entries {
            entry.set_scheduled("engines", is_scheduled);
        }
    }

    fn slowdown_percent(&self, place: usize, now: u64) -> u16 {
        let place = place as u64;
        let phase = (now + mix(place, 0) % 600) / 600;
        let is_slow = self.is_uneven && mix(mix(place, 1), phase) % 100 < 15;
        if is_slow { 250 } else { 100 }
    }

    /// Takes engines down; their requests are gone.
    pub fn crash(&mut self, engines: impl Iterator<Item = usize>) {
        for place in engines {
            self.down.push(place);
            self.engines[place] = Engine::new(Make::MIDDLING);
            let life = &self.endpoints[place].life;
            let lost: Vec<u64> = self
                .sent
                .iter()
                .filter(|(_, sent)| sent.ticket.endpoint() == life)
                .map(|(number, _)| *number)
                .collect();
            for number in lost {
                if let Some(sent) = self.sent.remove(&number) {
                    self.entries[sent.entry].end(&sent.ticket, Millis(self.now));
                }
            }
            for entry in &mut self.entries {
                entry.record_signal(life, HealthSignal::Lost, Millis(self.now));
            }
        }
    }

    /// Brings all engines back, with nothing kept.
    pub fn restart(&mut self) {
        for place in std::mem::take(&mut self.down) {
            let life = &self.endpoints[place].life;
            for entry in &mut self.entries {
                entry.record_signal(life, HealthSignal::Success, Millis(self.now));
            }
        }
    }

    /// Forgets what has ended so far.
    pub fn forget(&mut self) {
        self.ended.clear();
    }

    /// The part of a kind that was late: its first event, or a pause.
    pub fn late(&self, kind: Kind) -> f64 {
        let of_kind: Vec<_> = self.ended.iter().filter(|it| it.kind == kind).collect();
        let late = of_kind.iter().filter(|it| it.is_late()).count();
        late as f64 / of_kind.len().max(1) as f64
    }

    /// Prompt tokens that all engines have read.
    pub fn read(&self) -> u64 {
        self.engines.iter().map(Engine::tokens_read).sum()
    }

    fn work(&mut self, kind: Kind) -> (Work, u32) {
        let subjects = self.layout.subjects;
        let random = &mut self.random;
        let (shared, own, output) = match kind {
            Kind::Caption => (
                6_300,
                random.random_range(1_000..5_000),
                random.random_range(10..100),
            ),
            Kind::Description => (
                570,
                random.random_range(600..3_000),
                random.random_range(10..45),
            ),
            Kind::Narration => (
                170,
                random.random_range(200..900),
                random.random_range(120..450),
            ),
        };
        let subject = random.random_range(0..subjects);
        let subject = subject + 1_000_000 * u64::from(kind.urgency());
        let part = |id, tokens| Part { id, tokens };
        let parts = vec![part(subject, shared), part(1 << 40 | self.next, own)];
        let guess = f64::from(output) * random.random_range(0.6..1.6);
        // A guess of a few hundred tokens.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let work = Work {
            prompt_tokens: shared + own,
            output_limit: 600,
            output_hint: Some(guess as u32),
            parts,
        };
        (work, output)
    }

    fn send(&mut self, kind: Kind, now: u64) {
        self.next += 1;
        let (work, output) = self.work(kind);
        let entry = self.random.random_range(0..self.entries.len());
        // A gap of whole ms.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let gap = Millis(kind.targets().1 as u64);
        let ask = RequestProfile {
            work: Some(&work),
            engine: Some(plan::Engine {
                slots: 64,
                memory_tokens: 290_000,
                event_tokens: 6,
                moves_prompts: false,
            }),
            gap: Some(gap),
        };
        let endpoints: Vec<_> = self.endpoints.iter().collect();
        let loads = &mut self.entries[entry];
        let choice = loads
            .choose(&endpoints, &ask, Millis(now))
            .expect("an engine is open");
        let ticket = loads.begin(&choice, &ask, Millis(now));
        let place = self.place(&choice.endpoint.life);
        self.engines[place].take(Request {
            number: self.next,
            work,
            output,
            urgency: kind.urgency(),
        });
        let sent = Sent {
            kind,
            entry,
            ticket,
            at: now as f64,
            last: None,
            longest_pause: 0.0,
            first: 0.0,
        };
        self.sent.insert(self.next, sent);
    }

    fn place(&self, life: &name::Life) -> usize {
        let mut endpoints = self.endpoints.iter();
        let place = endpoints.position(|it| it.life == *life);
        place.expect("the engine exists")
    }

    /// Lets the engines work until now.
    fn work_until(&mut self, now: u64) {
        for place in 0..self.engines.len() {
            while self.busy[place] <= now as f64 && !self.engines[place].is_idle() {
                let (took, happenings) = self.engines[place].step();
                let took = took * f64::from(self.slowdown_percent(place, now)) / 100.0;
                self.busy[place] = self.busy[place].max(now as f64 - 1.0) + took;
                for happening in happenings {
                    self.happen(place, happening, self.busy[place]);
                }
            }
        }
    }

    fn happen(&mut self, place: usize, happening: Happening, at: f64) {
        // Times of the simulation in whole ms, as entries see them.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let now = Millis(at as u64);
        match happening {
            Happening::Preempted(_) => self.preempted += 1,
            Happening::Event(number) => {
                let slowdown_percent = self.slowdown_percent(place, now.0);
                let report = report(&self.engines[place], slowdown_percent);
                let sent = self.sent.get_mut(&number).expect("it is with the engine");
                let entry = &mut self.entries[sent.entry];
                if let Some(last) = sent.last.replace(at) {
                    sent.longest_pause = sent.longest_pause.max(at - last);
                } else {
                    sent.first = at - sent.at;
                    entry.record_first_byte(&sent.ticket, false, now);
                    entry.record_report(sent.ticket.endpoint(), report, now);
                }
                entry.record_event(&sent.ticket, Make::MIDDLING.event_tokens, now);
            }
            Happening::Ended(number) => {
                let sent = self.sent.remove(&number).expect("it is with the engine");
                let entry = &mut self.entries[sent.entry];
                let is_steady = sent.kind == Kind::Narration;
                entry.record_stream_end("engines", is_steady, sent.is_late(), now);
                entry.end(&sent.ticket, now);
                self.ended.push(sent);
            }
        }
    }

    /// Each entry asks the next few others once in a round; asking and answering
    /// both tell of the load.
    fn tell(&mut self, now: u64) {
        let count = self.entries.len();
        for entry in 0..count {
            let phase = entry as u64 * ROUND / count as u64;
            if now % ROUND != phase {
                continue;
            }
            let next = self.asks_next[entry];
            self.asks_next[entry] += FANOUT;
            for step in 0..FANOUT.min(count - 1) {
                let other = (entry + 1 + (next + step) % (count - 1)) % count;
                self.tell_one(entry, other, now);
                self.tell_one(other, entry, now);
            }
        }
    }

    fn tell_one(&mut self, from: usize, to: usize, now: u64) {
        let tidings = self.entries[from].gossip(MOST_SHARES, Millis(now));
        let name = name::Entry::from(format!("entry-{from}"));
        self.entries[to].apply_gossip(&name, &tidings, Millis(now));
    }
}

fn report(engine: &Engine, slowdown_percent: u16) -> Report {
    let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    Report {
        running: count(engine.running()),
        waiting: count(engine.waiting()),
        slots: 64,
        slowdown_percent: Some(slowdown_percent),
    }
}
