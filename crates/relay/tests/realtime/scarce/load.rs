//! What callers send, and when: random arrivals of a seed.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

/// Bounds the numbers that choose entries at first; those for caller retries are larger. An attempt
/// at the next entry adds 1, and there are few of them.
const FIRST: usize = 3_000;

/// Requests of one workspace and priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Source {
    pub workspace: &'static str,
    pub priority: u8,
    /// Requests per second.
    pub rate: f64,
}

impl Source {
    pub const fn new(workspace: &'static str, priority: u8, rate: f64) -> Self {
        Self {
            workspace,
            priority,
            rate,
        }
    }
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Unique in the load.
    pub number: usize,
    pub source: Source,
    /// When it is sent, from the beginning of the load on.
    pub at: Duration,
    /// Choose the entries that it is sent to, at first and by a caller retry. They are
    /// parts of the identities of attempts.
    pub entries: [usize; 2],
}

/// All requests, the earliest first.
pub struct Load(pub Vec<Request>);

impl Load {
    /// Draws the requests of all sources over this span.
    pub fn draw(sources: &[Source], span: Duration, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut requests = Vec::new();
        for source in sources {
            for at in arrivals(source.rate, span, &mut random) {
                requests.push(Request {
                    number: requests.len(),
                    source: *source,
                    at,
                    entries: [
                        random.random_range(0..FIRST),
                        random.random_range(FIRST..2 * FIRST),
                    ],
                });
            }
        }
        requests.sort_by_key(|request| request.at);
        Self(requests)
    }
}

/// Arrivals that do not depend on each other.
fn arrivals(rate: f64, span: Duration, random: &mut ChaCha8Rng) -> Vec<Duration> {
    let pause = Exp::new(rate).unwrap();
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_secs_f64(pause.sample(random));
        if at >= span {
            return arrivals;
        }
        arrivals.push(at);
    }
}
