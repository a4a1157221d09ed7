//! The choice itself: what a request would meet at each endpoint, and what it costs.

use crate::clock::Millis;
use crate::relay::Ask;
use crate::relay::division::Division;
use crate::relay::engine::candidates::Keepers;
use crate::relay::engine::load::{Estimate, Load, at_engine, expected, kept, known};
use crate::relay::engine::source::Source;
use crate::relay::engine::{FIRST_SERVICE_TIME, Loads, candidates};
use crate::relay::pace::Pace;
use crate::relay::prefix;
use crate::relay::roster::Endpoint;
use crate::relay::work::Work;

/// The price of making steady streams stall, in ms: above any wait.
const STALL_COST: f64 = 5_000.0;
/// The price of an engine that is meant for the other sort of streams, in ms: so
/// much longer a request waits on its own side before it goes there.
const OTHER_SIDE_COST: f64 = 600.0;
/// What an endpoint in another data centre costs, in ms: the round trip, and the
/// bytes that are paid for between data centres. Reading a shared prompt again
/// costs far more.
const FAR_COST: f64 = 5.0;
/// What a certain failure would cost, in ms: about the time that a caller waits
/// before it is too late for another try.
const FAILURE_COST: f64 = 2_000.0;
/// The price of each millisecond for which an answer is overdue, in ms.
const OVERDUE_COST: f64 = 3.0;

/// Within so many times its forecast nearly every stream has ended: nine tenths of 5,692
/// streams of a run under bursts took at most 1.96 times as long as forecast.
const LIKELY: f64 = 2.0;

/// A choice, with the figures that led to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Expected time until the first byte of the answer, in ms.
    pub wait: f64,
    /// The part of that which is known to be due to other requests, in ms.
    pub queue: f64,
    /// Requests of this entry that are there.
    pub own: usize,
    /// Requests of all entries that are there, as far as is known.
    pub running: f64,
    /// The time from the first event of its stream to the last, in ms.
    pub run: f64,
    /// What the choice costs in all, in ms: the wait, and what others suffer.
    pub cost: f64,
    /// Prompt tokens that are believed to be kept there.
    pub kept: u32,
    /// An engine that keeps more of the prompt, from which that is to be taken.
    pub source: Option<Endpoint>,
    /// Prompt tokens that the engine will have to read then, this request's included.
    pub unread: f64,
}

impl Choice {
    /// Whether the answer is to be expected too late for a caller that waits so long.
    ///
    /// What was learnt of an endpoint counts only while a request of this entry is
    /// there to correct it; else it would be kept away from for ever.
    pub fn is_too_late(&self, left: Millis) -> bool {
        let left = left.0 as f64;
        self.queue > left || (self.own > 0 && self.wait > left)
    }

    /// When the answer is likely to have ended; none for a stream of unknown length.
    pub fn likely_end(&self, is_stream: bool, now: Millis) -> Option<Millis> {
        if is_stream && self.run <= 0.0 {
            return None;
        }
        let lasts = (self.wait + self.run) * LIKELY;
        // A span of some seconds.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let lasts = Millis(lasts as u64);
        Some(now + lasts)
    }
}

/// What a request would meet at an endpoint, and what that costs in all, in ms.
#[derive(Clone, Copy, Debug)]
struct Prospect {
    estimate: Estimate,
    cost: f64,
}

impl Loads {
    /// The best of the endpoints; none where all are suspended or there is none.
    pub fn choose(
        &mut self,
        endpoints: &[&Endpoint],
        ask: &Ask<'_>,
        now: Millis,
    ) -> Option<Choice> {
        let open = endpoints.iter().filter(|it| !self.suspended(&it.life));
        let open: Vec<&Endpoint> = open.copied().collect();
        let division = self.divide(&open, now);
        let pace = open.first().map(|it| self.pace(&it.service));
        let pace = pace.unwrap_or_default();
        let is_for_steady = division.is_for_steady(ask.work);
        let keepers = Keepers::find(&division, is_for_steady, ask);
        let favourite = keepers.all;
        let calm = self.calm_tokens(&open, &pace);
        let entries = self.others.count(now) + 1;
        let candidates = candidates::draw(&division, favourite, entries, self.next_draw());
        let choices = candidates.into_iter().map(|(engine, is_steady)| {
            let is_favourite = favourite == Some(&engine.life);
            let mut prospect = self.estimate(engine, ask, is_favourite, &pace, now);
            if is_steady != is_for_steady {
                prospect.cost += OTHER_SIDE_COST;
            }
            if is_steady && prospect.estimate.unread > calm {
                prospect.cost += STALL_COST;
            }
            (engine, prospect)
        });
        let best = choices.min_by(|(_, left), (_, right)| left.cost.total_cmp(&right.cost));
        let (endpoint, Prospect { estimate, cost }) = best?;
        let source = self.source(&open, endpoint, keepers, ask);
        Some(Choice {
            endpoint: endpoint.clone(),
            wait: estimate.wait,
            queue: estimate.queue,
            own: self.own(&endpoint.life),
            running: estimate.running,
            run: estimate.run,
            cost,
            kept: estimate.kept,
            source: source.cloned(),
            unread: estimate.unread,
        })
    }

    /// The engine from which the chosen one takes kept parts of a prompt, if engines give
    /// them to one another.
    fn source<'e>(
        &self,
        engines: &[&'e Endpoint],
        chosen: &Endpoint,
        keepers: Keepers<'_>,
        ask: &Ask<'_>,
    ) -> Option<&'e Endpoint> {
        let work = ask.work?;
        ask.engine.filter(|engine| engine.moves_prompts)?;
        let others = engines.iter().filter(|it| it.life != chosen.life);
        let sources = others.map(|engine| Source {
            engine,
            kept: self.kept_by(engine, keepers, work),
        });
        let best = sources.max_by(|left, right| left.kept.total_cmp(&right.kept))?;
        let known = known(self.endpoints.get(&chosen.life), work);
        best.serves(known).then_some(best.engine)
    }

    /// Prompt tokens that an engine is believed to keep, as far as others could take them.
    fn kept_by(&self, engine: &Endpoint, keepers: Keepers<'_>, work: &Work) -> f64 {
        let load = self.endpoints.get(&engine.life);
        let kept = kept(load, work, keepers.all == Some(&engine.life));
        if keepers.first != Some(&engine.life) {
            return kept;
        }
        let first = work.shared_parts().get(..1).unwrap_or_default();
        kept.max(expected(first))
    }

    fn next_draw(&mut self) -> u64 {
        self.drawn += 1;
        prefix::mix(self.seed, self.drawn)
    }

    /// How many unread tokens an engine may have before its steady streams stall.
    fn calm_tokens(&self, endpoints: &[&Endpoint], pace: &Pace) -> f64 {
        let first = endpoints.first();
        let demand = first.and_then(|it| self.demands.get(&it.service));
        demand.map_or(f64::INFINITY, |demand| demand.calm_tokens(pace))
    }

    /// Divides the engines of a service between the two sorts of streams.
    fn divide<'e>(&mut self, endpoints: &[&'e Endpoint], now: Millis) -> Division<'e> {
        let Some(first) = endpoints.first() else {
            return Division::new(endpoints, 0);
        };
        let others = self.others.required_rate(&first.service, now);
        let demand = self.demands.get_mut(&first.service);
        let steady = demand.map_or(0, |demand| demand.settle(endpoints.len(), others, now));
        Division::new(endpoints, steady)
    }

    fn estimate(
        &self,
        endpoint: &Endpoint,
        ask: &Ask<'_>,
        is_favourite: bool,
        pace: &Pace,
        now: Millis,
    ) -> Prospect {
        let load = self.endpoints.get(&endpoint.life);
        let estimate = match (ask.work, ask.engine) {
            (Some(work), Some(engine)) => {
                let others = self.others.load_at(&endpoint.life, pace.read_rate(), now);
                at_engine(load, others, work, engine, is_favourite, pace, now)
            }
            _ => self.at_service(load, endpoint, now),
        };
        let slowness = load.map_or(1.0, |load| load.slowness(now));
        let failing = load.map_or(0.0, |load| load.health.failing());
        let overdue = load.map_or(0.0, |load| load.overdue(now));
        let is_far = endpoint.data_centre != self.data_centre;
        let far = if is_far { FAR_COST } else { 0.0 };
        let wait = estimate.wait * slowness;
        let trouble = failing * FAILURE_COST + overdue * OVERDUE_COST;
        Prospect {
            estimate: Estimate { wait, ..estimate },
            cost: wait + estimate.disturbance + far + trouble,
        }
    }

    /// What a request would meet at an endpoint of a plain service.
    fn at_service(&self, load: Option<&Load>, endpoint: &Endpoint, now: Millis) -> Estimate {
        let time = self.service_time.get(&endpoint.service);
        let time = time.map_or(FIRST_SERVICE_TIME, |time| time.now(now));
        let own = load.map_or(0.0, |load| load.running() as f64);
        let others = load.map_or(0.0, |load| load.reported_others(now));
        let slots = f64::from(endpoint.slots.max(1));
        let waiting = (own + others) / slots;
        Estimate {
            wait: time * (1.0 + waiting),
            queue: FIRST_SERVICE_TIME * waiting,
            disturbance: 0.0,
            kept: 0,
            unread: 0.0,
            run: 0.0,
            running: own + others,
        }
    }
}
