//! A fleet of entries that choose engines, on the model of engines: hours of a
//! site in a second, the same for the same seed.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::engine::{Ask, Loads, Ticket};
use woodgap_core::relay::plan;
use woodgap_core::relay::roster::Endpoint;
use woodgap_core::relay::work::{Part, Work};
use woodgap_fake::batch::{Engine, Happening, Make, Request};

const ENTRIES: usize = 6;
const ENGINES: usize = 9;
/// How often entries tell one another of their load, in ms.
const ROUND: u64 = 300;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    /// A long prompt, most of it shared, and a short answer.
    Caption,
    /// A short prompt and a long answer in quick succession.
    Narration,
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

struct Site {
    random: ChaCha8Rng,
    entries: Vec<Loads>,
    endpoints: Vec<Endpoint>,
    engines: Vec<Engine>,
    /// Until when each engine is busy with its step, in ms.
    busy: Vec<f64>,
    sent: BTreeMap<u64, Sent>,
    ended: Vec<Sent>,
    preempted: usize,
    next: u64,
}

impl Site {
    fn new(seed: u64) -> Self {
        let data_centre = |at: usize| name::DataCentre::from(["dub-a", "dub-b", "dub-c"][at % 3]);
        let endpoint = |at: usize| Endpoint {
            name: name::Endpoint::from(format!("i-{at}")),
            service: "engines".to_owned(),
            address: ([10, 0, 0, 1], 80).into(),
            data_centre: data_centre(at),
            slots: 64,
            leaving: false,
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            entries: (0..ENTRIES).map(|at| Loads::new(data_centre(at))).collect(),
            endpoints: (0..ENGINES).map(endpoint).collect(),
            engines: (0..ENGINES).map(|_| Engine::new(Make::MIDDLING)).collect(),
            busy: vec![0.0; ENGINES],
            sent: BTreeMap::new(),
            ended: Vec::new(),
            preempted: 0,
            next: 0,
        }
    }

    fn work(&mut self, kind: Kind) -> (Work, u32) {
        let (shared, own, output) = match kind {
            Kind::Caption => (
                6_300,
                self.random.random_range(1_000..5_000),
                self.random.random_range(10..100),
            ),
            Kind::Narration => (
                170,
                self.random.random_range(200..900),
                self.random.random_range(120..450),
            ),
        };
        let subject = self.random.random_range(0..100) + 1_000 * u64::from(kind == Kind::Caption);
        let part = |id, tokens| Part { id, tokens };
        let parts = vec![part(subject, shared), part(10_000 + self.next, own)];
        let guess = f64::from(output) * self.random.random_range(0.6..1.6);
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
        let entry = self.random.random_range(0..ENTRIES);
        let ask = Ask {
            work: Some(&work),
            engine: Some(plan::Engine {
                slots: 64,
                memory_tokens: 290_000,
                event_tokens: 6,
            }),
            gap: Some(Millis(if kind == Kind::Narration { 250 } else { 1_000 })),
        };
        let endpoints: Vec<_> = self.endpoints.iter().collect();
        let loads = &mut self.entries[entry];
        let choice = loads
            .choose(&endpoints, &ask, Millis(now))
            .expect("all are open");
        let ticket = loads.begin(&choice, &ask, Millis(now));
        let place = self
            .endpoints
            .iter()
            .position(|it| it.name == choice.endpoint.name);
        self.engines[place.unwrap()].take(Request {
            number: self.next,
            work,
            output,
            urgency: if kind == Kind::Narration { 0 } else { 2 },
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

    /// Lets the engines work until now.
    fn work_until(&mut self, now: u64) {
        for place in 0..ENGINES {
            while self.busy[place] <= now as f64 && !self.engines[place].is_idle() {
                let (took, happenings) = self.engines[place].step();
                self.busy[place] = self.busy[place].max(now as f64 - 1.0) + took;
                for happening in happenings {
                    self.happen(happening, self.busy[place]);
                }
            }
        }
    }

    fn happen(&mut self, happening: Happening, at: f64) {
        // Times of the simulation in whole ms, as entries see them.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let now = Millis(at as u64);
        match happening {
            Happening::Preempted(_) => self.preempted += 1,
            Happening::Event(number) => {
                let sent = self.sent.get_mut(&number).unwrap();
                if let Some(last) = sent.last.replace(at) {
                    sent.longest_pause = sent.longest_pause.max(at - last);
                } else {
                    sent.first = at - sent.at;
                    self.entries[sent.entry].answered(&sent.ticket, false, now);
                }
            }
            Happening::Ended(number) => {
                let sent = self.sent.remove(&number).unwrap();
                self.entries[sent.entry].end(&sent.ticket, now);
                self.ended.push(sent);
            }
        }
    }

    fn tell(&mut self, now: u64) {
        let tidings: Vec<_> = self
            .entries
            .iter()
            .map(|it| it.tidings(48, Millis(now)))
            .collect();
        for (from, tidings) in tidings.iter().enumerate() {
            let name = name::Entry::from(format!("entry-{from}"));
            let others = self
                .entries
                .iter_mut()
                .enumerate()
                .filter(|(at, _)| *at != from);
            others.for_each(|(_, loads)| loads.tell(&name, tidings, Millis(now)));
        }
    }

    /// Plays so many seconds with so many captions and narrations a second.
    fn play(&mut self, seconds: u64, captions: f64, narrations: f64) {
        for now in 0..seconds * 1_000 {
            for (kind, rate) in [(Kind::Caption, captions), (Kind::Narration, narrations)] {
                if self.random.random_bool(rate / 1_000.0) {
                    self.send(kind, now);
                }
            }
            self.work_until(now);
            if now % ROUND == 0 {
                self.tell(now);
            }
        }
    }

    /// The part of a kind that was late: its first event, or a pause.
    fn late(&self, kind: Kind) -> f64 {
        let (first, pause) = match kind {
            Kind::Caption => (1_200.0, 1_000.0),
            Kind::Narration => (300.0, 250.0),
        };
        let of_kind: Vec<_> = self.ended.iter().filter(|sent| sent.kind == kind).collect();
        let late = of_kind
            .iter()
            .filter(|sent| sent.first > first || sent.longest_pause > pause);
        late.count() as f64 / of_kind.len().max(1) as f64
    }
}

/// Usual traffic of the Dublin site, and bursts of either kind, with no request put
/// back. The bounds are for what the decisions reach, with room for other seeds.
#[rstest]
#[case::usual(25.0, 12.0, 0.01, 0.003)]
#[case::many_captions(50.0, 12.0, 0.04, 0.01)]
#[case::many_narrations(25.0, 25.0, 0.01, 0.003)]
fn few_requests_are_late(
    #[case] captions: f64,
    #[case] narrations: f64,
    #[case] late_captions: f64,
    #[case] late_narrations: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut site = Site::new(seed);
    site.play(40, captions, narrations);
    let late = (site.late(Kind::Caption), site.late(Kind::Narration));
    println!("late: {late:?}, put back: {}", site.preempted);
    assert!(
        late.0 <= late_captions && late.1 <= late_narrations,
        "{late:?}"
    );
    assert_eq!(site.preempted, 0);
}
