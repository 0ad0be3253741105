//! Of each field, who set it to what, the newest last. What is in force and what an undoing gives back are read off
//! here, so neither is ever copied.

use crate::change::Version;
#[cfg(test)]
use coppersail_operator_config::Document;
use coppersail_operator_config::{Edits, Field, Value};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry {
    by: Version,
    /// What it sets; none: it only marks that the field changed then.
    sets: Option<Option<Value>>,
    /// It is not in force yet.
    waits: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Stacks(BTreeMap<Field, Vec<Entry>>);

impl Stacks {
    /// The change has the fields from now on, though what it sets is not in force before `enforce`.
    pub fn claim(&mut self, by: Version, edits: &Edits) {
        for (field, value) in edits {
            self.0.entry(field.clone()).or_default().push(Entry { by, sets: Some(*value), waits: true });
        }
    }

    pub fn enforce(&mut self, by: Version, edits: &Edits) {
        self.waits(by, edits, false);
    }

    /// The change keeps its fields, but what it sets is in force no more.
    pub fn rest(&mut self, by: Version, edits: &Edits) {
        self.waits(by, edits, true);
    }

    fn waits(&mut self, by: Version, edits: &Edits, waits: bool) {
        for field in edits.keys() {
            let entries = self.0.get_mut(field).into_iter().flatten();
            entries.filter(|entry| entry.by == by).for_each(|entry| entry.waits = waits);
        }
    }

    /// The change never was.
    pub fn remove(&mut self, by: Version, edits: &Edits) {
        for field in edits.keys() {
            if let Some(entries) = self.0.get_mut(field) {
                entries.retain(|entry| entry.by != by);
                if entries.is_empty() {
                    self.0.remove(field);
                }
            }
        }
    }

    /// The field has changed through this one, which sets nothing itself but, where `lost`, to nothing.
    pub fn mark(&mut self, by: Version, field: &Field, lost: bool) {
        let sets = lost.then_some(None);
        self.0.entry(field.clone()).or_default().push(Entry { by, sets, waits: false });
    }

    /// The change that last had to do with the field.
    pub fn newest(&self, field: &Field) -> Option<Version> {
        self.0.get(field).and_then(|entries| entries.last()).map(|entry| entry.by)
    }

    /// The change by which the field is as it is.
    pub fn holder(&self, field: &Field) -> Option<Version> {
        let entries = self.0.get(field)?;
        entries.iter().rev().find(|entry| entry.sets.is_some() && !entry.waits).map(|entry| entry.by)
    }

    /// What the field is in force.
    pub fn value(&self, field: &Field) -> Option<Value> {
        let entries = self.0.get(field)?;
        entries.iter().rev().filter(|entry| !entry.waits).find_map(|entry| entry.sets).flatten()
    }

    /// All that is in force, reckoned anew: what the book keeps must be the same.
    #[cfg(test)]
    pub fn document(&self) -> Document {
        self.0.keys().filter_map(|field| Some((field.clone(), self.value(field)?))).collect()
    }

    /// Nobody can undo changes up to this one any more: what lies below the newest of them is given back.
    pub fn settle(&mut self, upto: Version, edits: &Edits) {
        for field in edits.keys() {
            if let Some(entries) = self.0.get_mut(field) {
                let base = entries.iter().rposition(|e| e.by <= upto && e.sets.is_some() && !e.waits);
                entries.drain(..base.unwrap_or(0));
            }
        }
    }
}
