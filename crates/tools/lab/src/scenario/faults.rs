//! Faults: what goes wrong during a play.

use serde::{Deserialize, Serialize};

/// A fault, with its time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in seconds.
    pub at: f64,
    /// How long it lasts, in seconds; then what was killed is back, and what was cut off is reachable again.
    #[serde(rename = "for")]
    pub duration: f64,
    /// What goes wrong.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// What goes wrong. Shares are of all hosts, or of all reports, from 0 to 1.
// The names of the variants and of their fields stand in files, and `{:?}` shows them in the terminal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultKind {
    /// Hosts die, and come back cold.
    Kill {
        /// Share of the hosts.
        share: f64,
    },
    /// All hosts of a zone die, and come back cold.
    KillZone {
        /// The zone, from 0.
        zone: u16,
    },
    /// Hosts accept calls and answer none.
    Hang {
        /// Share of the hosts.
        share: f64,
    },
    /// Hosts work slowly.
    Slow {
        /// Share of the hosts.
        share: f64,
        /// By how much their speed is divided.
        factor: f64,
    },
    /// A zone is partitioned from the others: calls, orders, reports.
    Cut {
        /// The zone, from 0.
        zone: u16,
    },
    /// A rolling deploy: hosts drain and are gone; their successors start cold.
    Roll {
        /// Share of the hosts.
        share: f64,
        /// How many hosts drain together.
        at_a_time: u32,
    },
    /// The list of hosts is later than usual.
    ListLate {
        /// By so many seconds.
        by: f64,
    },
    /// The store is down: the relay accepts no orders.
    StoreDown,
    /// A director dies, and is started again.
    KillDirector {
        /// The director, from 0.
        director: usize,
    },
    /// More calls arrive.
    Flood {
        /// So many times as many.
        factor: f64,
    },
    /// A route's calls cost more work.
    Cost {
        /// The route, from 0.
        route: usize,
        /// So many times as much.
        factor: f64,
    },
    /// Reports are lost.
    ReportsLost {
        /// Share of the reports.
        share: f64,
    },
    /// Reports hold counts and times that are impossible.
    ReportsSpoilt {
        /// Share of the reports.
        share: f64,
    },
}
