//! What a running process does with a setting that was read again.
use crate::error::truncate;
use std::fmt::Debug;

/// A line for each setting that has another value now.
#[derive(Default)]
pub(crate) struct Report {
    pub(crate) applied: Vec<String>,
    pub(crate) restart: Vec<String>,
}

/// A table of settings that can be read again.
pub(crate) trait Reloadable {
    /// Takes over what it can of `new`. `path`: where the table is in the settings.
    fn reload_fields(&mut self, new: Self, path: &str, report: &mut Report);
}

/// What is done with a field: the value in force, the value that was read, the path.
pub(crate) type OnReload<T> = fn(&mut T, T, &str, &mut Report);

/// The new value is in force at once.
pub(crate) fn apply<T: PartialEq + Debug>(current: &mut T, new: T, path: &str, report: &mut Report) {
    if *current != new {
        report.applied.push(format!("{path}: {}, now {}", summary(current), summary(&new)));
        *current = new;
    }
}

/// The new value is reported, and in force only after a restart.
pub(crate) fn needs_restart<T: PartialEq + Debug>(current: &mut T, new: T, path: &str, report: &mut Report) {
    if *current != new {
        report.restart.push(format!("{path}: {}, after a restart {}", summary(current), summary(&new)));
    }
}

/// Only the value at the start of the process counts.
pub(crate) fn keep_first<T>(_: &mut T, _: T, _: &str, _: &mut Report) {}

/// Each field of the nested table does as it declares.
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

/// A value without the `Some` around it, truncated.
fn summary(value: &impl Debug) -> String {
    let text = format!("{value:?}");
    if text == "None" {
        return "not given".into();
    }
    let inner = text.strip_prefix("Some(").and_then(|text| text.strip_suffix(')'));
    truncate(inner.map(str::to_owned).unwrap_or(text))
}
