//! What a settings file says of a site, for what the command line leaves open.

use std::path::Path;
use std::time::Duration;

use jiff::tz::TimeZone;
use woodgap_settings::burn;

use crate::objective::Objectives;
use crate::shift::Shift;

/// A site's part of the options.
#[derive(Clone, Debug)]
pub struct Site {
    /// Base URL of the platform.
    pub platform: String,
    /// How long one call to it may take.
    pub timeout: Duration,
    /// What is aimed at.
    pub objectives: Objectives,
    /// The shifts.
    pub shifts: Vec<Shift>,
    /// The time zone of the shifts.
    pub time_zone: TimeZone,
}

/// Reads a settings file.
///
/// # Errors
///
/// All that is wrong with it, a line each.
pub fn read(file: &Path) -> Result<Site, String> {
    let settings = burn::load(file).map_err(|problems| problems.to_string())?;
    let time_zone = TimeZone::get(&settings.time_zone).map_err(|error| error.to_string())?;
    let classes = settings.objectives.classes;
    Ok(Site {
        platform: settings.platform.url,
        timeout: Duration::from_millis(settings.platform.timeout.0),
        objectives: Objectives {
            default: settings.objectives.default,
            classes: classes
                .into_iter()
                .map(|(class, share)| (class.into(), share))
                .collect(),
        },
        shifts: settings.shifts,
        time_zone,
    })
}
