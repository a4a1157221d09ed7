//! What an entry adds to streams, beside direct connections to the same engines.
//!
//! Both sides are measured in turn in the same run. What is added is the
//! difference of the quantiles; the engines' own pace is in both.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, sleep_until};
use awc::Client;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodgap_platform::connect;

use crate::arrival::Arrival;
use crate::attempt::{Reply, attempt};
use crate::event::How;
use crate::request::Request;
use crate::traffic::Class;

pub mod memory;
pub mod report;

pub use report::{Report, Row};

/// The span over which the streams of one burst start.
const SPREAD: Duration = Duration::from_secs(1);
/// The fewest streams for a row, so that a quantile means something.
const FEWEST: usize = 30;
/// Silence after which a stream counts as broken.
const PATIENCE: Duration = Duration::from_mins(1);
/// How long an idle connection is kept: less than between two bursts of a side,
/// so that every stream of both sides has a new one.
const KEEP_ALIVE: Duration = Duration::from_millis(200);
/// Significant digits of the times that are kept.
const DIGITS: u8 = 3;
/// How often the memory is looked at.
const LOOK: Duration = Duration::from_millis(20);
/// How long connections of one side may settle before the other side's turn.
const PAUSE: Duration = Duration::from_millis(300);

/// What is measured.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Base URLs of the engines.
    pub direct: Vec<String>,
    /// Base URL of the entry.
    pub entry: String,
    /// The streams that are sent; its rate and length are not used.
    pub class: Class,
    /// Tokens of each stream.
    pub tokens: u32,
    /// Streams at once, one row each.
    pub streams: Vec<usize>,
    /// The fewest bursts for a row.
    pub rounds: usize,
    /// Fixes when streams start within a burst.
    pub seed: u64,
    /// The entry's process, whose memory is read.
    pub pid: Option<u32>,
}

/// One of the two ways to the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Direct,
    Entry,
}

/// Times of one side's streams, in microseconds.
#[derive(Clone, Debug)]
pub struct Times {
    /// To the first token.
    pub first: Histogram<u64>,
    /// Between tokens.
    pub gaps: Histogram<u64>,
    /// Streams without a whole answer, by what they got instead.
    pub failed: BTreeMap<String, u64>,
}

impl Times {
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, micros(PATIENCE), DIGITS).expect("the bounds are good")
        };
        Self {
            first: histogram(),
            gaps: histogram(),
            failed: BTreeMap::new(),
        }
    }

    fn add(&mut self, sent: Instant, reply: &Reply) {
        if reply.how != How::Complete {
            let code = reply.code.clone().unwrap_or_default();
            *self.failed.entry(code).or_default() += 1;
        }
        if let Some(first) = reply.first {
            self.first.saturating_record(micros(first - sent));
        }
        for gap in &reply.gaps {
            self.gaps.saturating_record(micros(*gap));
        }
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl Plan {
    /// Measures row by row.
    pub async fn run(&self) -> Report {
        let client = Client::builder()
            .connector(connect::strict().limit(0).conn_keep_alive(KEEP_ALIVE))
            .finish();
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        self.burst(&client, Side::Direct, 1, &mut random).await;
        self.burst(&client, Side::Entry, 1, &mut random).await;
        let idle = self.pid.and_then(memory::resident);
        let mut rows = Vec::new();
        for &streams in &self.streams {
            rows.push(self.row(&client, streams, idle, &mut random).await);
        }
        Report {
            seed: self.seed,
            tokens: self.tokens,
            rows,
        }
    }

    async fn row(
        &self,
        client: &Client,
        streams: usize,
        idle: Option<u64>,
        random: &mut ChaCha8Rng,
    ) -> Row {
        let mut direct = Times::new();
        let mut entry = Times::new();
        let mut peak = None;
        for _ in 0..self.rounds.max(FEWEST.div_ceil(streams)) {
            for (side, times) in [(Side::Direct, &mut direct), (Side::Entry, &mut entry)] {
                let watching = memory::Watch::start(self.pid, LOOK);
                for (sent, reply) in self.burst(client, side, streams, random).await {
                    times.add(sent, &reply);
                }
                if side == Side::Entry {
                    peak = peak.max(watching.peak());
                }
                sleep(PAUSE).await;
            }
        }
        let grown = peak.zip(idle).map(|(peak, idle)| peak.saturating_sub(idle));
        Row::new(streams, &direct, &entry, grown)
    }

    /// Sends so many streams at once and waits for their ends.
    async fn burst(
        &self,
        client: &Client,
        side: Side,
        streams: usize,
        random: &mut ChaCha8Rng,
    ) -> Vec<(Instant, Reply)> {
        let started = Instant::now();
        let number = Rc::new(Cell::new(0));
        let sends = (0..streams).map(|stream| {
            let at = started + SPREAD.mul_f64(random.random::<f64>() * f64::from(streams > 1));
            let base = match side {
                Side::Direct => &self.direct[stream % self.direct.len()],
                Side::Entry => &self.entry,
            };
            let number = Rc::clone(&number);
            async move {
                sleep_until(at.into()).await;
                number.set(number.get() + 1);
                let arrival = Arrival {
                    at: Duration::ZERO,
                    class: 0,
                    length: self.tokens,
                };
                let request = Request::new("o", number.get(), &self.class, arrival);
                let sent = Instant::now();
                (sent, attempt(client, base, &request, PATIENCE).await)
            }
        });
        join_all(sends).await
    }
}
