//! The end of a night: what clients were told is compared with the endpoint's ledger.
use crate::results::{NOT_RUN, RAN};
use crate::simulation::Night;

impl Night {
    /// What clients were told against what the endpoint did.
    pub(crate) fn compare_with_ledger(&mut self) {
        for (request, executions) in &self.ledger {
            if *executions > 1 {
                self.results.wrong.push(format!("{request:?} ran {executions} times"));
            }
        }
        for (request, told) in &self.told {
            let executions = self.ledger.get(request).copied().unwrap_or_default();
            if (*told == RAN && executions != 1) || (*told == NOT_RUN && executions != 0) {
                let wrong = match *told {
                    RAN => format!("{request:?} was told as run, ran {executions} times"),
                    _ => format!("{request:?} was told as not run, ran {executions} times"),
                };
                self.results.wrong.push(wrong);
            }
            *self.results.outcomes.entry(told).or_default() += 1;
        }
    }

    pub(crate) fn add_counters(&mut self) {
        for node in self.nodes.iter().flatten() {
            let counters = node.counters();
            self.results.repeats_answered += counters.repeats_answered;
            self.results.replicas_restored += counters.replicas_restored;
        }
    }
}
