//! Measures how changes of the configuration take hold: operators that race and
//! repeat, and callers that watch what each entry serves by.

pub mod operator;
pub mod tally;
pub mod watch;

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use serde::Serialize;
use woodgap_core::admin;
use woodgap_core::config::Document;
use woodgap_platform::clock::Clock;

use crate::Error;
use operator::{End, Operator};
use tally::Tally;
use watch::Watch;

/// Pause between two changes.
const PAUSE: Duration = Duration::from_millis(150);
/// How long entries may take to come to the newest revision at the end.
const SETTLE: Duration = Duration::from_secs(30);
/// Every so many changes, two operators race with the same one.
const RACE: usize = 5;
/// Tiers that the workspace goes through.
const TIERS: usize = 7;

/// What is measured.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Base URLs of the entries.
    pub entries: Vec<String>,
    /// The operator's key.
    pub operator_key: String,
    /// A key of the workspace that is watched.
    pub workspace_key: String,
    /// The workspace's document, whose tier is changed.
    pub workspace: Document,
    /// How many changes are made.
    pub changes: usize,
    /// Begins all change identities.
    pub name: String,
}

/// The result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Findings {
    /// Changes that were accepted.
    pub changes: usize,
    /// Changes that lost a race, with a conflict told.
    pub conflicts: usize,
    /// Longest time after acceptance at which an entry still served by an older revision.
    pub in_force_ms_max: u64,
    /// Times that an entry went back to a lower revision.
    pub reverted: usize,
    /// Accepted changes that are not in the history, or not in force in the end.
    pub lost: usize,
    /// Changes that are in the history twice, and races that both won.
    pub double_applied: usize,
    /// Changes whose outcome was still unknown when the operator gave up.
    pub unknown: usize,
}

impl Findings {
    /// Whether nothing went wrong.
    pub fn all_well(&self) -> bool {
        self.reverted + self.lost + self.double_applied + self.unknown == 0
    }
}

/// Makes the changes and watches them take hold.
///
/// # Errors
///
/// If the history can't be read in the end.
pub async fn run(plan: Plan) -> Result<Findings, Error> {
    let clock = Clock::start();
    let operator = Rc::new(Operator::new(&plan.entries, &plan.operator_key));
    let watches: Vec<Watch> = plan
        .entries
        .iter()
        .map(|url| Watch::start(url, &plan.workspace_key, clock))
        .collect();
    let mut tally = Tally::default();
    for number in 0..plan.changes {
        if number % RACE == RACE - 1 {
            race(&plan, &operator, number, clock, &mut tally).await;
        } else {
            let change = change(&plan, number, "", None);
            let end = operator.apply(number, &change).await;
            tally.ended(&change.change, end, clock.now());
        }
        tokio::time::sleep(PAUSE).await;
    }
    settle(&watches, tally.newest()).await;
    let observed: Vec<_> = join_all(watches.into_iter().map(Watch::stop)).await;
    Ok(tally.findings(&observed, &operator.history().await?))
}

/// Two operators at two entries change the same version at the same time.
async fn race(
    plan: &Plan,
    operator: &Rc<Operator>,
    number: usize,
    clock: Clock,
    tally: &mut Tally,
) {
    let version = operator.version(&plan.workspace.key()).await;
    let first = change(plan, number, "-a", version);
    let second = change(plan, number + 1, "-b", version);
    let (one, other) = tokio::join!(
        operator.apply(number, &first),
        operator.apply(number + 1, &second)
    );
    let won = |end: &End| matches!(end, End::Accepted(_));
    if won(&one) && won(&other) {
        tally.both_won();
    }
    tally.ended(&first.change, one, clock.now());
    tally.ended(&second.change, other, clock.now());
}

fn change(plan: &Plan, number: usize, suffix: &str, expect: Option<u64>) -> admin::Apply {
    let mut document = plan.workspace.clone();
    if let Document::Workspace(values) = &mut document {
        let tier = number % TIERS + 1;
        values.values.insert("tier".to_owned(), tier.into());
    }
    admin::Apply {
        change: format!("{}-{number}{suffix}", plan.name),
        document,
        expect,
    }
}

/// Waits until all entries that serve have the newest revision.
async fn settle(watches: &[Watch], newest: u64) {
    let settled = async {
        while !watches.iter().all(|watch| watch.last() >= newest) {
            tokio::time::sleep(PAUSE).await;
        }
    };
    // Those that never come to it are counted as lost.
    let _ = tokio::time::timeout(SETTLE, settled).await;
}
