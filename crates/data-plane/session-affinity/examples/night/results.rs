//! What is counted in a night.
use crate::world::Micros;
use std::collections::BTreeMap;

/// What a client knows of an idempotent request at its end.
pub(crate) const RAN: &str = "ran";
pub(crate) const NOT_RUN: &str = "not run";
pub(crate) const UNKNOWN: &str = "unknown";
/// Counted besides the three.
pub(crate) const SESSION_LOST: &str = "session lost";

/// Messages and bytes between nodes.
#[derive(Default, Clone, Copy)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

#[derive(Default, Clone)]
pub(crate) struct Results {
    pub(crate) outcomes: BTreeMap<&'static str, u64>,
    pub(crate) wrong: Vec<String>,
    /// Added latency, by kind of request (lookup, idempotent), then outside and during a crossing.
    pub(crate) added: [[Vec<Micros>; 2]; 2],
    pub(crate) crossings: u64,
    pub(crate) crossing_traffic: Traffic,
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
    /// Adds the results of the night with this seed.
    pub(crate) fn add(&mut self, seed: u64, night: Results) {
        for (outcome, count) in night.outcomes {
            *self.outcomes.entry(outcome).or_default() += count;
        }
        self.wrong.extend(night.wrong.into_iter().map(|wrong| format!("seed {seed}: {wrong}")));
        for (all, added) in self.added.iter_mut().flatten().zip(night.added.iter().flatten()) {
            all.extend(added);
        }
        self.crossings += night.crossings;
        self.crossing_traffic.add(night.crossing_traffic);
        self.request_traffic.add(night.request_traffic);
        self.repeats_answered += night.repeats_answered;
        self.replicas_restored += night.replicas_restored;
    }

    pub(crate) fn count(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or_default()
    }
}
