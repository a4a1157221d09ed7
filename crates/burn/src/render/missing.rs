//! What a report lacks, as sentences.

use jiff::tz::TimeZone;
use woodgap_core::clock::Millis;

use crate::gap::Gap;
use crate::render::text;

/// One gap as a sentence.
pub(super) fn sentence(gap: &Gap, zone: &TimeZone) -> String {
    let time = |unix: Millis| text::time(unix, zone, "%Y-%m-%d %H:%M");
    match gap {
        Gap::Stopped { entry, life, at } => format!(
            "{entry} (life {life}) recorded nothing after {} and did not end cleanly: if it died, \
             up to one minute of its counts is missing; if it runs on, all since then",
            time(*at)
        ),
        Gap::Hole {
            entry,
            life,
            from,
            until,
        } => format!(
            "{entry} (life {life}) has no rows from {} to {}: its counts of that time are \
             missing, unless it is still catching up",
            time(*from),
            time(*until)
        ),
        Gap::Unread { from, cause } => format!(
            "the table service failed while it was read: counts from {} on are missing ({cause})",
            time(*from)
        ),
        Gap::Unreadable { key, cause } => {
            format!("row {key} could not be understood and is left out: {cause}")
        }
        Gap::Merged { requests } => format!(
            "{requests} requests were recorded without their workspace, as entries do during a \
             long outage of the table service; those of this workspace among them are missing"
        ),
    }
}
