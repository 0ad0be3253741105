//! The settings by section, read from and written as pairs of path and value.

mod sections;
mod values;

pub use sections::{General, Goals, Guarantees, Limits, Paths, RouteClass, Specifics, Tariffs};
pub use values::{
    Admission, Discovery, Flag, HostSelection, KeyScope, List, ReportSource, Semantics, ValueUnit,
    WeightSource,
};

use crate::{Fields, InvalidField, LineField};
use sections::read_optional;
use std::fmt::Write;

/// Most classes that settings may have.
const MAX_CLASSES: u64 = 32;

/// All settings. Each may be absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DirectorSettings {
    /// Those without a section.
    pub general: General,
    /// The classes, by which routes are named and numbered: paths `classes.0.` and so on.
    pub classes: Vec<RouteClass>,
    /// Goals of the service.
    pub goals: Goals,
    /// What hosts, proxies and the list guarantee.
    pub guarantees: Guarantees,
    /// What the director may do and use.
    pub limits: Limits,
    /// Properties of the platform that the director runs on.
    pub specifics: Specifics,
    /// Costs.
    pub tariffs: Tariffs,
}

impl DirectorSettings {
    /// Reads the settings from their paths; unknown paths are ignored.
    ///
    /// # Errors
    /// A value cannot be read, or there are more than 32 classes.
    pub fn read(paths: &Paths<'_>) -> Result<Self, InvalidField> {
        let class_count = read_class_count(paths)?;
        let mut classes = Vec::new();
        let top = General::read(paths, "")?;
        for index in 0..class_count {
            classes.push(RouteClass::read(paths, &class_prefix(index))?);
        }
        Ok(DirectorSettings {
            general: top,
            classes,
            goals: Goals::read(paths, "goal.")?,
            guarantees: Guarantees::read(paths, "guarantees.")?,
            limits: Limits::read(paths, "limits.")?,
            specifics: Specifics::read(paths, "specifics.")?,
            tariffs: Tariffs::read(paths, "tariffs.")?,
        })
    }

    /// Appends the settings that are present as `path=value`, with a space before each.
    pub fn write(&self, out: &mut String) {
        self.general.write("", out);
        // Writing to a string cannot fail.
        let _ = write!(out, " classes.count={}", self.classes.len());
        for (index, class) in (0..).zip(&self.classes) {
            class.write(&class_prefix(index), out);
        }
        self.goals.write("goal.", out);
        self.guarantees.write("guarantees.", out);
        self.limits.write("limits.", out);
        self.specifics.write("specifics.", out);
        self.tariffs.write("tariffs.", out);
    }
}

fn class_prefix(index: u64) -> String {
    format!("classes.{index}.")
}

fn read_class_count(paths: &Paths<'_>) -> Result<u64, InvalidField> {
    let path = "classes.count";
    let count = read_optional(paths, path)?.unwrap_or(0);
    if count > MAX_CLASSES {
        let (field, found) = (path.to_string(), Some(count.to_string()));
        return Err(InvalidField { field, found, expected: "32 at most" });
    }
    Ok(count)
}

/// The settings as the fields of a line, each under its path; the field's own name does not stand on the line.
impl LineField for Box<DirectorSettings> {
    fn read(fields: &Fields<'_>, _name: &str) -> Result<Self, InvalidField> {
        let paths = fields.pairs().collect();
        DirectorSettings::read(&paths).map(Box::new)
    }

    fn write(&self, _name: &str, out: &mut String) {
        DirectorSettings::write(self, out);
    }
}
