//! What a load came to.

use std::fmt;
use std::ops::Range;
use std::time::Duration;

use super::caller::{End, Outcome, TARGET, Times};
use super::fleet::CAPACITY;
use super::load::Source;

/// The outcomes of a load, judged over a part of it.
pub struct Tally {
    outcomes: Vec<Outcome>,
    judged: Range<Duration>,
}

impl Tally {
    pub fn new(outcomes: Vec<Outcome>, judged: Range<Duration>) -> Self {
        Self { outcomes, judged }
    }

    /// The part of the requests from these sources that got their answers in time, counted from
    /// when their callers first sent them.
    pub fn in_time(&self, is_of: impl Fn(&Source) -> bool) -> f64 {
        let of = self.judged().filter(|it| is_of(&it.request.source));
        let of: Vec<_> = of.collect();
        let in_time = of.iter().filter(|it| is_in_time(it)).count();
        ratio(in_time, of.len())
    }

    /// How many callers came back, and how many of them were served.
    pub fn returns(&self) -> (usize, usize) {
        let returned: Vec<_> = self.judged().filter(|it| it.has_returned).collect();
        let served = returned.iter().filter(|it| times(it).is_some()).count();
        (returned.len(), served)
    }

    /// The part of the capacity that produced answers in time, by when these came. An answer to a
    /// caller retry is in time by when that was sent.
    pub fn used(&self) -> f64 {
        let answers = self.outcomes.iter().filter_map(times);
        let came = answers.filter(|times| self.judged.contains(&times.at));
        let in_time = came.filter(|times| times.since_last <= TARGET).count();
        let span = self.judged.end.saturating_sub(self.judged.start);
        #[allow(clippy::cast_precision_loss)]
        let in_time = in_time as f64;
        in_time / (CAPACITY * span.as_secs_f64())
    }

    fn judged(&self) -> impl Iterator<Item = &Outcome> {
        let outcomes = self.outcomes.iter();
        outcomes.filter(|it| self.judged.contains(&it.request.at))
    }
}

fn times(outcome: &Outcome) -> Option<Times> {
    match outcome.end {
        End::Answered(times) => Some(times),
        End::Refused | End::Lost => None,
    }
}

fn is_in_time(outcome: &Outcome) -> bool {
    times(outcome).is_some_and(|times| times.since_first <= TARGET)
}

#[allow(clippy::cast_precision_loss)]
fn ratio(count: usize, all: usize) -> f64 {
    count as f64 / all as f64
}

impl fmt::Display for Tally {
    /// The figures by workspace and priority.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut names: Vec<_> = self.judged().map(|it| it.request.source).collect();
        names.sort_by_key(|source| (source.workspace, source.priority));
        names.dedup();
        for source in names {
            let of = self.judged().filter(|it| it.request.source == source);
            let of: Vec<_> = of.collect();
            let count = |is_counted: fn(&Outcome) -> bool| {
                let counted = of.iter().filter(|it| is_counted(it));
                counted.count()
            };
            writeln!(
                f,
                "{} priority {}: {} sent, {} in time, {} late, {} refused, {} lost, {} came back",
                source.workspace,
                source.priority,
                of.len(),
                count(is_in_time),
                count(|it| times(it).is_some() && !is_in_time(it)),
                count(|it| it.end == End::Refused),
                count(|it| it.end == End::Lost),
                count(|it| it.has_returned),
            )?;
        }
        let (returned, served) = self.returns();
        write!(
            f,
            "{served} of {returned} callers that came back were served; {:.2} of the capacity \
             produced answers in time",
            self.used()
        )
    }
}
