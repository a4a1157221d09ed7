//! Shifts: parts of the day in which a team is at work, by the clock on its wall.

use jiff::civil::{Date, Time};
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};
use woodgap_core::clock::Millis;
pub use woodgap_settings::burn::Shift;

use crate::span::Span;

/// The shifts of a site and its time zone.
#[derive(Clone, Debug)]
pub struct Calendar {
    /// The shifts.
    pub shifts: Vec<Shift>,
    /// Where the clock hangs.
    pub time_zone: TimeZone,
}

/// A shift on one day.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Occurrence {
    /// The shift's name.
    pub name: String,
    /// The day on which it starts.
    pub date: Date,
    /// Its minutes: fewer or more than usual on a day on which the clock is changed.
    pub span: Span,
}

impl Calendar {
    /// The shifts that touch a span, by their start.
    ///
    /// Where the clock skips a shift's start or end, the moment after the skip
    /// is meant; where it strikes twice, the first time is meant. So shifts
    /// that follow one another by the clock also do in fact.
    pub fn occurrences(&self, span: Span) -> Vec<Occurrence> {
        if span.is_empty() {
            return Vec::new();
        }
        // A shift that started on the day before may run on into this one.
        let first = self
            .date(span.from())
            .and_then(|date| date.yesterday().ok());
        let last = self.date(span.until());
        let (Some(first), Some(last)) = (first, last) else {
            return Vec::new();
        };
        let days = first.series(1.day()).take_while(|date| *date <= last);
        let shifts = days.flat_map(|date| self.shifts.iter().map(move |shift| (date, shift)));
        let mut occurrences: Vec<Occurrence> = shifts
            .filter(|(date, shift)| shift.days.contains(&date.weekday()))
            .filter_map(|(date, shift)| self.occurrence(date, shift))
            .filter(|occurrence| meet(occurrence.span, span))
            .collect();
        occurrences.sort_by_key(|occurrence| occurrence.span.first);
        occurrences
    }

    fn occurrence(&self, date: Date, shift: &Shift) -> Option<Occurrence> {
        let end = if shift.to > shift.from {
            date
        } else {
            date.tomorrow().ok()?
        };
        let span = Span::touched(self.moment(date, shift.from)?, self.moment(end, shift.to)?);
        Some(Occurrence {
            name: shift.name.clone(),
            date,
            span,
        })
    }

    fn moment(&self, date: Date, time: Time) -> Option<Millis> {
        let zoned = self.time_zone.to_zoned(date.to_datetime(time)).ok()?;
        let millis = u64::try_from(zoned.timestamp().as_millisecond()).ok()?;
        Some(Millis(millis))
    }

    fn date(&self, unix: Millis) -> Option<Date> {
        let time = Timestamp::from_millisecond(i64::try_from(unix.0).ok()?).ok()?;
        Some(time.to_zoned(self.time_zone.clone()).date())
    }
}

fn meet(one: Span, other: Span) -> bool {
    one.first.max(other.first) < one.end.min(other.end)
}
