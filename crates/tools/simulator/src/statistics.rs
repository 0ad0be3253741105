//! What is counted over runs, and the table of it.

use crate::time::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How many seeds are kept for each invariant that was violated.
const MAX_SEEDS: usize = 10;

/// Faults of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FaultCount {
    /// Faults that were injected.
    pub injected: u64,
    /// Faults left out, as more would have been down than the scenario allows.
    pub skipped: u64,
}

/// Runs in which one invariant was violated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ViolationCount {
    /// How many.
    pub runs: u64,
    /// The seeds of the first few, ascending.
    pub seeds: Vec<u64>,
}

/// Counters of one run, or the sum over several.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Statistics {
    /// Simulated runs.
    pub runs: u64,
    /// Simulated milliseconds.
    pub simulated_ms: Millis,
    /// Steps of control-plane nodes.
    pub steps: u64,
    /// Orders that were acknowledged.
    pub acknowledged: u64,
    /// Orders that were rejected.
    pub rejected: u64,
    /// Attempts to submit an order that had no clear result.
    pub indeterminate: u64,
    /// Reads of the configuration.
    pub reads: u64,
    /// Responses to endpoints that carry shard leases.
    pub grants: u64,
    /// Departures of endpoints that were acknowledged.
    pub drains: u64,
    /// Endpoints that ended without an acknowledgement of their departure.
    pub unacknowledged_drains: u64,
    /// By [`FaultKind::name`](crate::FaultKind::name).
    pub faults: BTreeMap<&'static str, FaultCount>,
    /// By the fault before it: milliseconds without a node that answers reads as leader.
    pub leaderless_gaps: BTreeMap<&'static str, Vec<Millis>>,
    /// Milliseconds from the end of all faults to a read through every machine.
    pub recovery_times: Vec<Millis>,
    /// By the invariant's text.
    pub violations: BTreeMap<&'static str, ViolationCount>,
}

impl Statistics {
    /// Adds the counters of other runs.
    pub fn add(&mut self, other: Statistics) {
        self.runs += other.runs;
        self.simulated_ms += other.simulated_ms;
        self.steps += other.steps;
        self.acknowledged += other.acknowledged;
        self.rejected += other.rejected;
        self.indeterminate += other.indeterminate;
        self.reads += other.reads;
        self.grants += other.grants;
        self.drains += other.drains;
        self.unacknowledged_drains += other.unacknowledged_drains;
        for (name, count) in other.faults {
            let sum = self.faults.entry(name).or_default();
            sum.injected += count.injected;
            sum.skipped += count.skipped;
        }
        for (name, gaps) in other.leaderless_gaps {
            self.leaderless_gaps.entry(name).or_default().extend(gaps);
        }
        self.recovery_times.extend(other.recovery_times);
        for (rule, count) in other.violations {
            let sum = self.violations.entry(rule).or_default();
            sum.runs += count.runs;
            sum.seeds.extend(count.seeds);
            sum.seeds.sort_unstable();
            sum.seeds.truncate(MAX_SEEDS);
        }
    }

    /// Counts a fault as injected or skipped.
    pub(crate) fn count_fault(&mut self, name: &'static str, injected: bool) {
        let count = self.faults.entry(name).or_default();
        if injected {
            count.injected += 1;
        } else {
            count.skipped += 1;
        }
    }

    fn write_summary(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "days                {}", self.runs)?;
        writeln!(f, "simulated seconds   {}", self.simulated_ms / 1000)?;
        writeln!(f, "steps of nodes      {}", self.steps)?;
        writeln!(
            f,
            "orders              {} acknowledged, {} refused, {} tries unclear",
            self.acknowledged, self.rejected, self.indeterminate
        )?;
        writeln!(
            f,
            "checked             {} reads, {} grants, {} leavings, {} more without an acknowledgement",
            self.reads, self.grants, self.drains, self.unacknowledged_drains
        )?;
        let (median, worst) = median_and_worst(&self.recovery_times);
        let count = self.recovery_times.len();
        writeln!(f, "healed to read back {median} ms median, {worst} ms worst of {count}")
    }

    fn write_faults(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<30} {:>9} {:>9} {:>9} {:>10} {:>9}",
            "", "came", "left out", "gaps", "median ms", "worst"
        )?;
        let names: BTreeSet<_> = self.faults.keys().chain(self.leaderless_gaps.keys()).collect();
        for name in names {
            let FaultCount { injected, skipped } = self.faults.get(name).copied().unwrap_or_default();
            let gaps = self.leaderless_gaps.get(name).map_or(&[][..], |gaps| gaps);
            let (median, worst) = median_and_worst(gaps);
            writeln!(f, "{name:<30} {injected:>9} {skipped:>9} {:>9} {median:>10} {worst:>9}", gaps.len())?;
        }
        writeln!(f)
    }
}

fn median_and_worst(durations: &[Millis]) -> (Millis, Millis) {
    let mut durations = durations.to_vec();
    durations.sort_unstable();
    let median = durations.get(durations.len() / 2).copied().unwrap_or(0);
    (median, durations.last().copied().unwrap_or(0))
}

impl fmt::Display for Statistics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_summary(f)?;
        self.write_faults(f)?;
        if self.violations.is_empty() {
            writeln!(f, "no rule broken")?;
        }
        for (rule, ViolationCount { runs, seeds }) in &self.violations {
            writeln!(f, "BROKEN {runs} times: {rule}; first seeds {seeds:?}")?;
        }
        Ok(())
    }
}
