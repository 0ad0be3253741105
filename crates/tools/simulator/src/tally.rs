//! What is counted over days.
use crate::Ms;
use std::collections::BTreeMap;
use std::fmt;

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    pub days: u64,
    /// Simulated.
    pub ms: Ms,
    pub steps: u64,
    pub acked: u64,
    pub refused: u64,
    pub unclear: u64,
    pub reads: u64,
    pub grants: u64,
    pub emptied: u64,
    /// By kind: those that came, and those left out as more would have been lost than may be.
    pub faults: BTreeMap<&'static str, (u64, u64)>,
    /// By the trouble before it: how long nobody answered reads as primary.
    pub gaps: BTreeMap<&'static str, Vec<Ms>>,
    /// From the end of all trouble to a read through every centre.
    pub ends: Vec<Ms>,
    /// Rule -> how often, and the seeds of the first few.
    pub broken: BTreeMap<&'static str, (u64, Vec<u64>)>,
}

impl Tally {
    pub fn add(&mut self, other: Tally) {
        self.days += other.days;
        self.ms += other.ms;
        self.steps += other.steps;
        self.acked += other.acked;
        self.refused += other.refused;
        self.unclear += other.unclear;
        self.reads += other.reads;
        self.grants += other.grants;
        self.emptied += other.emptied;
        for (name, (came, left)) in other.faults {
            let sum = self.faults.entry(name).or_default();
            *sum = (sum.0 + came, sum.1 + left);
        }
        for (name, gaps) in other.gaps {
            self.gaps.entry(name).or_default().extend(gaps);
        }
        self.ends.extend(other.ends);
        for (rule, (many, seeds)) in other.broken {
            let sum = self.broken.entry(rule).or_default();
            sum.0 += many;
            sum.1.extend(seeds);
            sum.1.sort_unstable();
            sum.1.truncate(10);
        }
    }
}

/// Median and worst.
fn spread(all: &[Ms]) -> (Ms, Ms) {
    let mut all = all.to_vec();
    all.sort_unstable();
    (all.get(all.len() / 2).copied().unwrap_or(0), all.last().copied().unwrap_or(0))
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "days                {}", self.days)?;
        writeln!(f, "simulated seconds   {}", self.ms / 1000)?;
        writeln!(f, "steps of nodes      {}", self.steps)?;
        let (acked, refused, unclear) = (self.acked, self.refused, self.unclear);
        writeln!(f, "orders              {acked} acknowledged, {refused} refused, {unclear} tries unclear")?;
        let (reads, grants, emptied) = (self.reads, self.grants, self.emptied);
        writeln!(f, "checked             {reads} reads, {grants} grants, {emptied} leavings")?;
        let (median, worst) = spread(&self.ends);
        writeln!(f, "healed to read back {median} ms median, {worst} ms worst of {}", self.ends.len())?;
        writeln!(
            f,
            "\n{:<30} {:>9} {:>9} {:>9} {:>10} {:>9}",
            "", "came", "left out", "gaps", "median ms", "worst"
        )?;
        let names: std::collections::BTreeSet<_> = self.faults.keys().chain(self.gaps.keys()).collect();
        for name in names {
            let (came, left) = self.faults.get(name).copied().unwrap_or_default();
            let gaps = self.gaps.get(name).map_or(&[][..], |g| g);
            let (median, worst) = spread(gaps);
            writeln!(f, "{name:<30} {came:>9} {left:>9} {:>9} {median:>10} {worst:>9}", gaps.len())?;
        }
        writeln!(f)?;
        if self.broken.is_empty() {
            writeln!(f, "no rule broken")?;
        }
        for (rule, (many, seeds)) in &self.broken {
            writeln!(f, "BROKEN {many} times: {rule}; first seeds {seeds:?}")?;
        }
        Ok(())
    }
}
