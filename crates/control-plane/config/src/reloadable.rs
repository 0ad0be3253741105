//! How a running process handles a setting with a new value.
use crate::error::truncate;
use std::fmt::Debug;

/// The lines about settings with new values.
#[derive(Default)]
pub(crate) struct Report {
    pub(crate) applied: Vec<String>,
    pub(crate) restart: Vec<String>,
}

/// A table of settings that can be reloaded.
pub(crate) trait Reloadable {
    /// Applies the fields of `new` that can change without a restart. `path` is the path of the table in the
    /// settings.
    fn reload_fields(&mut self, new: Self, path: &str, report: &mut Report);
}

/// The handling of a field. Its arguments are the value in force, the new value, the path of the field, and
/// the report.
pub(crate) type OnReload<T> = fn(&mut T, T, &str, &mut Report);

/// Applies the new value at once.
pub(crate) fn apply<T: PartialEq + Debug>(current: &mut T, new: T, path: &str, report: &mut Report) {
    if *current != new {
        report.applied.push(format!("{path}: {}, now {}", summary(current), summary(&new)));
        *current = new;
    }
}

/// Reports the new value, which applies only after a restart.
pub(crate) fn needs_restart<T: PartialEq + Debug>(current: &mut T, new: T, path: &str, report: &mut Report) {
    if *current != new {
        report.restart.push(format!("{path}: {}, after a restart {}", summary(current), summary(&new)));
    }
}

/// Ignores the new value: only the value at the start of the process counts.
pub(crate) fn keep_first<T>(_: &mut T, _: T, _: &str, _: &mut Report) {}

/// Reloads each field of a nested table as that field declares.
pub(crate) fn reload_each<T: Reloadable>(current: &mut T, new: T, path: &str, report: &mut Report) {
    current.reload_fields(new, path, report);
}

pub(crate) fn join_path(parent: &str, name: &str) -> String {
    if parent.is_empty() {
        name.into()
    } else {
        format!("{parent}.{name}")
    }
}

/// The text of a value, without `Some` around it, truncated.
fn summary(value: &impl Debug) -> String {
    let text = format!("{value:?}");
    if text == "None" {
        return "not given".into();
    }
    let inner = text.strip_prefix("Some(").and_then(|text| text.strip_suffix(')'));
    truncate(inner.map(str::to_owned).unwrap_or(text))
}
