//! Reload of the settings while the process runs, on SIGHUP. The declaration of each field says whether a new
//! value applies at once or needs a restart.
use crate::boot::ProcessSettings;
use crate::reloadable::{Reloadable, Report};

/// The result of a reload.
#[derive(Debug, Clone, PartialEq)]
pub struct Reload {
    /// The settings in force from now on.
    pub settings: ProcessSettings,
    /// A line for each field with a new value that is in force now.
    pub applied: Vec<String>,
    /// A line for each field with a new value that needs a restart.
    pub restart: Vec<String>,
}

/// Compares settings that were read again with those in force.
///
/// ```
/// let read = |area: &str, leeway: &str| {
///     let text = format!(r#"{{"self": {{"ipAddress": "10.1.0.34", "area": "{area}"}},
///         "network": {{"sparePorts": [7540, 7555]}}, "terms": {{"timeLimits": {{"leeway": "{leeway}"}}}}}}"#);
///     coppersail_config::ProcessSettings::from_json(&text).unwrap()
/// };
/// let reload = coppersail_config::reload(&read("north", "6s"), read("south", "4s"));
/// assert_eq!((reload.settings.zone.as_str(), reload.settings.limits.shutdown_grace.as_secs()), ("north", 4));
/// assert_eq!(reload.applied, ["terms.timeLimits.leeway: 6s, now 4s"]);
/// assert_eq!(reload.restart, [r#"self.area: "north", after a restart "south""#]);
/// ```
pub fn reload(old: &ProcessSettings, new: ProcessSettings) -> Reload {
    let (mut settings, mut report) = (old.clone(), Report::default());
    settings.reload_fields(new, "", &mut report);
    Reload { settings, applied: report.applied, restart: report.restart }
}
