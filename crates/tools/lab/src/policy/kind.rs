//! The policies, and their names.

use crate::build;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Before the path of an earlier build.
const BUILD_PREFIX: &str = "build:";

/// A kind of policy. Baselines are there to be compared with.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(try_from = "String", into = "String")]
pub enum Kind {
    /// The decision module.
    #[default]
    Module,
    /// The decision module with the capacity guard.
    Guarded,
    /// The module in all of the director but its I/O: the director's reducer.
    #[serde(rename = "Reduced")]
    Reducer,
    /// The director's binary on loopback, in real time; only [`World::run_live`](crate::World::run_live) plays it.
    #[serde(rename = "Live")]
    Process,
    /// An earlier build on the simulator's wire, by the number that [`build::register_program`] gave its path.
    Build(u8),
    /// Baseline: equal weights.
    Even,
    /// Baseline: equal weights, and each proxy takes of two drawn hosts the one with fewer of its own attempts in
    /// flight.
    PowerOfTwo,
    /// Baseline: weights by the queues that hosts report.
    LeastLoaded,
    /// Baseline: consistent hashing with bounded loads.
    BoundedHashing,
    /// Baseline: sees the true state of the fleet, which no director can.
    TrueState,
}

/// A name that no policy has.
#[derive(Debug, thiserror::Error)]
#[error("policy {name}: expected one of {}", Kind::ALL.map(|(known, _)| known).join(", "))]
pub struct UnknownPolicy {
    /// The name that was given.
    pub name: String,
}

impl Kind {
    /// All kinds but earlier builds, with their names.
    pub const ALL: [(&'static str, Kind); 9] = [
        ("module", Kind::Module),
        ("guarded", Kind::Guarded),
        ("reduced", Kind::Reducer),
        ("live", Kind::Process),
        ("even", Kind::Even),
        ("power-of-two", Kind::PowerOfTwo),
        ("least-loaded", Kind::LeastLoaded),
        ("bounded-hashing", Kind::BoundedHashing),
        ("true-state", Kind::TrueState),
    ];

    /// The policy of that name; `build:PATH` is the build at that path.
    ///
    /// # Errors
    /// [`UnknownPolicy`]: no policy has the name.
    pub fn named(name: &str) -> Result<Kind, UnknownPolicy> {
        if let Some(path) = name.strip_prefix(BUILD_PREFIX) {
            return Ok(Kind::Build(build::register_program(Path::new(path))));
        }
        let found = Kind::ALL.iter().find(|(known, _)| *known == name);
        match found {
            Some((_, kind)) => Ok(*kind),
            None => Err(UnknownPolicy { name: name.to_string() }),
        }
    }

    /// The name in tables; of a build only the name of its file.
    pub fn name(self) -> String {
        if let Kind::Build(number) = self {
            let path = build::program_path(number);
            let file = path.file_name().unwrap_or_default();
            return format!("build {}", file.to_string_lossy());
        }
        let found = Kind::ALL.iter().find(|(_, kind)| *kind == self);
        found.map_or("", |(name, _)| name).to_string()
    }
}

/// The name, as [`Kind::named`] takes it. A build is stored by its path, as its number holds for one process only.
impl From<Kind> for String {
    fn from(kind: Kind) -> String {
        match kind {
            Kind::Build(number) => format!("{BUILD_PREFIX}{}", build::program_path(number).display()),
            kind => kind.name(),
        }
    }
}

impl TryFrom<String> for Kind {
    type Error = UnknownPolicy;

    fn try_from(name: String) -> Result<Kind, UnknownPolicy> {
        Kind::named(&name)
    }
}

#[cfg(test)]
mod tests;
