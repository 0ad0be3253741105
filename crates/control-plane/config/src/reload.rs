//! Settings that are read again while the process runs: what is taken over at once, and what needs a restart. Which it
//! is stands with each field's declaration.
use crate::boot::ProcessSettings;
use crate::field::cut;
use std::fmt::Debug;

/// What came of a second reading.
#[derive(Debug, Clone, PartialEq)]
pub struct Reload {
    /// The settings from now on.
    pub boot: ProcessSettings,
    /// A line for each field that was taken over.
    pub applied: Vec<String>,
    /// A line for each field that stays as it is until a restart.
    pub restart: Vec<String>,
}

/// Compares settings that were read again with those in force.
///
/// ```
/// let read = |area: &str, leeway: &str| {
///     let text = format!(r#"{{"self": {{"ipAddress": "10.1.0.34", "area": "{area}"}},
///         "network": {{"sparePorts": [7540, 7555]}}, "terms": {{"timeLimits": {{"leeway": "{leeway}"}}}}}}"#);
///     coppersail_config::Boot::from_json(&text).unwrap()
/// };
/// let reread = coppersail_config::reread(&read("north", "6s"), read("south", "4s"));
/// assert_eq!((reread.boot.area.as_str(), reread.boot.limits.leeway.as_secs()), ("north", 4));
/// assert_eq!(reread.applied, ["terms.timeLimits.leeway: 6s, now 4s"]);
/// assert_eq!(reread.restart, [r#"self.area: "north", after a restart "south""#]);
/// ```
pub fn reload(old: &ProcessSettings, new: ProcessSettings) -> Reload {
    let (mut boot, mut told) = (old.clone(), Told::default());
    boot.again(new, "", &mut told);
    Reload { boot, applied: told.applied, restart: told.restart }
}

#[derive(Default)]
pub(crate) struct Told {
    applied: Vec<String>,
    restart: Vec<String>,
}

/// A table of settings that may be read again.
pub(crate) trait Again {
    fn again(&mut self, new: Self, place: &str, told: &mut Told);
}

/// What is done with a field: what is held, what was read, where it stands.
pub(crate) type Column<T> = fn(&mut T, T, &str, &mut Told);

/// It is taken over.
pub(crate) fn live<T: PartialEq + Debug>(held: &mut T, new: T, place: &str, told: &mut Told) {
    if *held != new {
        told.applied.push(format!("{place}: {}, now {}", shown(held), shown(&new)));
        *held = new;
    }
}

/// Only a restart takes it over.
pub(crate) fn restart<T: PartialEq + Debug>(held: &mut T, new: T, place: &str, told: &mut Told) {
    if *held != new {
        told.restart.push(format!("{place}: {}, after a restart {}", shown(held), shown(&new)));
    }
}

/// Only the first reading counts.
pub(crate) fn first<T>(_: &mut T, _: T, _: &str, _: &mut Told) {}

/// Field by field.
pub(crate) fn each<T: Again>(held: &mut T, new: T, place: &str, told: &mut Told) {
    held.again(new, place, told);
}

pub(crate) fn under(place: &str, name: &str) -> String {
    if place.is_empty() {
        name.into()
    } else {
        format!("{place}.{name}")
    }
}

fn shown(value: &impl Debug) -> String {
    let text = format!("{value:?}");
    let inner = text.strip_prefix("Some(").and_then(|t| t.strip_suffix(')')).map(str::to_owned);
    match text.as_str() {
        "None" => "not given".into(),
        _ => cut(inner.unwrap_or(text)),
    }
}
