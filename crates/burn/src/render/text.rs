//! Numbers and times as people read them.

use jiff::Timestamp;
use jiff::tz::TimeZone;
use woodgap_core::clock::Millis;

/// Stands where there is nothing to divide by.
pub(super) const NONE: &str = "-";

/// A share in percent.
pub(super) fn percent(share: Option<f64>) -> String {
    share.map_or_else(|| NONE.to_owned(), |share| format!("{:.2}%", share * 100.0))
}

/// A number with two decimals.
pub(super) fn decimal(number: Option<f64>) -> String {
    number.map_or_else(|| NONE.to_owned(), |number| format!("{number:.2}"))
}

/// A time by the zone's clock, in a format of `strftime`.
pub(super) fn time(unix: Millis, zone: &TimeZone, format: &str) -> String {
    let millis = i64::try_from(unix.0).ok();
    let time = millis.and_then(|millis| Timestamp::from_millisecond(millis).ok());
    time.map_or_else(
        || unix.to_string(),
        |time| time.to_zoned(zone.clone()).strftime(format).to_string(),
    )
}
