//! For each field, the changes that set it, oldest first. The values in force and the values that an undo
//! restores are derived from these histories, so they are not stored separately.

use crate::change::Version;
#[cfg(test)]
use coppersail_operator_config::Document;
use coppersail_operator_config::{Edits, Field, Value};
use std::collections::BTreeMap;

/// One change's entry in a field's history.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry {
    by: Version,
    /// The value that the change sets; `Some(None)` unsets the field; `None`: the entry only records that the
    /// field changed.
    sets: Option<Option<Value>>,
    /// Not in force: the change is not applied yet, or suspended.
    suspended: bool,
}

/// The histories of all fields that any change has set.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct FieldHistories(BTreeMap<Field, Vec<Entry>>);

impl FieldHistories {
    /// Adds the change to its fields' histories, suspended until [`FieldHistories::enforce`].
    pub(crate) fn claim(&mut self, by: Version, edits: &Edits) {
        for (field, value) in edits {
            self.0.entry(field.clone()).or_default().push(Entry { by, sets: Some(*value), suspended: true });
        }
    }

    /// Puts the values that the change sets into force.
    pub(crate) fn enforce(&mut self, by: Version, edits: &Edits) {
        self.set_suspended(by, edits, false);
    }

    /// Puts the values that the change sets out of force; it keeps its position in the histories.
    pub(crate) fn suspend(&mut self, by: Version, edits: &Edits) {
        self.set_suspended(by, edits, true);
    }

    fn set_suspended(&mut self, by: Version, edits: &Edits, suspended: bool) {
        for field in edits.keys() {
            let entries = self.0.get_mut(field).into_iter().flatten();
            entries.filter(|entry| entry.by == by).for_each(|entry| entry.suspended = suspended);
        }
    }

    /// Removes the change from its fields' histories.
    pub(crate) fn remove(&mut self, by: Version, edits: &Edits) {
        for field in edits.keys() {
            if let Some(entries) = self.0.get_mut(field) {
                entries.retain(|entry| entry.by != by);
                if entries.is_empty() {
                    self.0.remove(field);
                }
            }
        }
    }

    /// Records that an undo changed the field. It sets no value itself, but unsets the field where `unset`.
    pub(crate) fn record_undo(&mut self, by: Version, field: &Field, unset: bool) {
        let sets = unset.then_some(None);
        self.0.entry(field.clone()).or_default().push(Entry { by, sets, suspended: false });
    }

    /// The newest change of the field, whether in force or not.
    pub(crate) fn newest(&self, field: &Field) -> Option<Version> {
        self.0.get(field).and_then(|entries| entries.last()).map(|entry| entry.by)
    }

    /// The change that determines the field's value in force.
    pub(crate) fn effective(&self, field: &Field) -> Option<Version> {
        let entries = self.0.get(field)?;
        entries.iter().rev().find(|entry| entry.sets.is_some() && !entry.suspended).map(|entry| entry.by)
    }

    /// The field's value in force.
    pub(crate) fn value(&self, field: &Field) -> Option<Value> {
        let entries = self.0.get(field)?;
        entries.iter().rev().filter(|entry| !entry.suspended).find_map(|entry| entry.sets).flatten()
    }

    /// The document in force, derived from the histories; the change log's document must be equal.
    #[cfg(test)]
    pub(crate) fn document(&self) -> Document {
        self.0.keys().filter_map(|field| Some((field.clone(), self.value(field)?))).collect()
    }

    /// Drops the entries that no undo can restore, as changes up to this one can no longer be undone.
    pub(crate) fn compact(&mut self, up_to: Version, edits: &Edits) {
        for field in edits.keys() {
            if let Some(entries) = self.0.get_mut(field) {
                let base = entries
                    .iter()
                    .rposition(|entry| entry.by <= up_to && entry.sets.is_some() && !entry.suspended);
                entries.drain(..base.unwrap_or(0));
            }
        }
    }
}
