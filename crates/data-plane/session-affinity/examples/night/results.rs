//! Counts and latencies of a simulation.
use crate::world::Micros;
use std::collections::BTreeMap;

/// The outcome of an idempotent request that its client was told in the end, as named in the tables.
pub(crate) const RAN: &str = "ran";
pub(crate) const NOT_RUN: &str = "not run";
pub(crate) const UNKNOWN: &str = "unknown";
/// Counted in addition to one of the three outcomes.
pub(crate) const SESSION_LOST: &str = "session lost";

/// Messages and bytes between nodes.
#[derive(Default, Clone, Copy)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

/// The results of one simulation, or the sum of several.
#[derive(Default, Clone)]
pub(crate) struct Results {
    pub(crate) outcomes: BTreeMap<&'static str, u64>,
    /// Outcomes told to clients that contradict the ledger.
    pub(crate) wrong: Vec<String>,
    /// Added latency by kind of request (lookup, idempotent), then for requests at the session's last node and at
    /// another one.
    pub(crate) added: [[Vec<Micros>; 2]; 2],
    /// Requests at another node than the session's last one.
    pub(crate) takeovers: u64,
    pub(crate) takeover_traffic: Traffic,
    pub(crate) request_traffic: Traffic,
    pub(crate) repeats_answered: u64,
    pub(crate) replicas_restored: u64,
}

impl Traffic {
    pub(crate) fn add(&mut self, other: Traffic) {
        self.messages += other.messages;
        self.bytes += other.bytes;
    }
}

impl Results {
    /// Adds the results of the simulation with this seed.
    pub(crate) fn add(&mut self, seed: u64, other: Results) {
        for (outcome, count) in other.outcomes {
            *self.outcomes.entry(outcome).or_default() += count;
        }
        self.wrong.extend(other.wrong.into_iter().map(|wrong| format!("seed {seed}: {wrong}")));
        for (all, added) in self.added.iter_mut().flatten().zip(other.added.iter().flatten()) {
            all.extend(added);
        }
        self.takeovers += other.takeovers;
        self.takeover_traffic.add(other.takeover_traffic);
        self.request_traffic.add(other.request_traffic);
        self.repeats_answered += other.repeats_answered;
        self.replicas_restored += other.replicas_restored;
    }

    pub(crate) fn count(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or_default()
    }
}
