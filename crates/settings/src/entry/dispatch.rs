//! How requests are queued and given to endpoints.

use woodgap_core::clock::Millis;

use crate::reader::Section;
use crate::rule;

/// The most that may wait per slot: beyond it a waiting caller has long gone.
const MOST_WAITING: u32 = 10_000;
/// The largest share of one class: tier order would mean little above it.
const MOST_SHARE: f64 = 0.2;
/// The most attempts for one request.
const MOST_RETRIES: u32 = 10;
/// The longest silence of an endpoint, in ms.
const LONGEST_SILENCE: u64 = 600_000;
/// The longest time without a confirmed configuration, in ms.
const LONGEST_UNCONFIRMED: u64 = 60_000;

/// How requests are queued and given to endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Who decides where a request goes.
    pub policy: Policy,
    /// The most requests that wait for a pool, per slot of it.
    pub waiting_per_slot: u32,
    /// The share of a pool's service that is owed to each class that waits.
    pub share: f64,
    /// The longest time without a byte from an endpoint that runs a request.
    pub endpoint_timeout: Millis,
    /// The most attempts for one request, the first included.
    pub retries: u32,
    /// Endpoints that carry out orders whatever their fencing number.
    pub fencing_exempt: Vec<String>,
    /// How long an entry that can't confirm its configuration takes new work.
    pub unconfirmed_limit: Millis,
}

/// Who decides where a request goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The pool's home grants permits in tier order.
    #[default]
    Permits,
    /// Each entry alone: the less loaded of two endpoints drawn at random.
    TwoChoices,
}

impl Policy {
    const WORDS: &[(&str, Self)] = &[
        ("permits", Self::Permits),
        ("two_choices", Self::TwoChoices),
    ];
}

impl Default for Dispatch {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            waiting_per_slot: 8,
            share: 0.02,
            endpoint_timeout: Millis(30_000),
            retries: 3,
            fencing_exempt: Vec::new(),
            unconfirmed_limit: Millis(10_000),
        }
    }
}

impl Dispatch {
    pub(crate) fn read(section: &Section) -> Self {
        let default = Self::default();
        Self {
            policy: section.or("policy", &rule::choice(Policy::WORDS), default.policy),
            waiting_per_slot: section.or(
                "waiting_per_slot",
                &rule::whole(1, MOST_WAITING),
                default.waiting_per_slot,
            ),
            share: section.or("share", &rule::share(MOST_SHARE), default.share),
            endpoint_timeout: section.or(
                "endpoint_timeout_ms",
                &rule::millis(100, LONGEST_SILENCE),
                default.endpoint_timeout,
            ),
            retries: section.or("retries", &rule::whole(1, MOST_RETRIES), default.retries),
            fencing_exempt: section
                .list("fencing_exempt", &rule::name())
                .unwrap_or_default(),
            unconfirmed_limit: section.or(
                "unconfirmed_limit_ms",
                &rule::millis(100, LONGEST_UNCONFIRMED),
                default.unconfirmed_limit,
            ),
        }
    }
}
