//! The check at the end of a simulation: the outcomes that clients were told are compared with the endpoint's ledger.
use crate::results::{NOT_RUN, RAN};
use crate::simulation::Simulation;

impl Simulation {
    /// Counts the outcomes told to clients, and collects those that contradict the number of executions.
    pub(crate) fn compare_with_ledger(&mut self) {
        for (request, executions) in &self.ledger {
            if *executions > 1 {
                self.results.wrong.push(format!("{request:?} was executed {executions} times"));
            }
        }
        for (request, told) in &self.told {
            let executions = self.ledger.get(request).copied().unwrap_or_default();
            if (*told == RAN && executions != 1) || (*told == NOT_RUN && executions != 0) {
                let wrong = match *told {
                    RAN => {
                        format!("{request:?} was reported as executed, but was executed {executions} times")
                    }
                    _ => format!(
                        "{request:?} was reported as not executed, but was executed {executions} times"
                    ),
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
