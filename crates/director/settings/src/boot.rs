//! The settings by section, and their parsing from and writing to pairs of a path and a value.

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

/// Maximum number of classes in the settings.
const MAX_CLASSES: u64 = 32;

/// All settings of a director. Each may be absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DirectorSettings {
    /// The settings outside of any section.
    pub general: General,
    /// The classes, which give the names and numbers of the routes. Their paths begin with `classes.0.`, `classes.1.`
    /// and so on.
    pub classes: Vec<RouteClass>,
    /// Goals of the service.
    pub goals: Goals,
    /// What hosts, proxies and the list guarantee.
    pub guarantees: Guarantees,
    /// Actions and resources that the director is allowed.
    pub limits: Limits,
    /// Properties of the platform that the director runs on.
    pub specifics: Specifics,
    /// Relative costs of resources and events.
    pub tariffs: Tariffs,
}

impl DirectorSettings {
    /// Parses the settings from their texts by path; unknown paths are ignored.
    ///
    /// # Errors
    /// A value is invalid, or there are more than 32 classes.
    pub fn read(paths: &Paths<'_>) -> Result<Self, InvalidField> {
        let class_count = read_class_count(paths)?;
        let mut classes = Vec::new();
        let general = General::read(paths, "")?;
        for index in 0..class_count {
            classes.push(RouteClass::read(paths, &class_prefix(index))?);
        }
        Ok(DirectorSettings {
            general,
            classes,
            goals: Goals::read(paths, "goal.")?,
            guarantees: Guarantees::read(paths, "guarantees.")?,
            limits: Limits::read(paths, "limits.")?,
            specifics: Specifics::read(paths, "specifics.")?,
            tariffs: Tariffs::read(paths, "tariffs.")?,
        })
    }

    /// Appends each setting that is present as `path=value`, preceded by a space.
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

/// The settings become several fields of a line, each named by its path; the `name` parameter is not used.
impl LineField for Box<DirectorSettings> {
    fn read(fields: &Fields<'_>, _name: &str) -> Result<Self, InvalidField> {
        let paths = fields.pairs().collect();
        DirectorSettings::read(&paths).map(Box::new)
    }

    fn write(&self, _name: &str, out: &mut String) {
        DirectorSettings::write(self, out);
    }
}
