//! The operators' five rules, checked while a scenario is played.

use std::fmt;

/// One of the operators' rules; the number is theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// 1: a proxy that has joined always has a host to send to.
    NoUsableHost,
    /// 2: a call takes effect at most once.
    DuplicateExecution,
    /// 3: after the grace period a drained host gets no attempt.
    AttemptAfterDraining,
    /// 4: a host in slow start is not overloaded until it fails.
    SlowStartOverload,
    /// 5: the channel's queue stays within its bound.
    ChannelBacklog,
}

impl fmt::Display for Rule {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Rule::NoUsableHost => "1: a joined proxy without a host",
            Rule::DuplicateExecution => "2: an effect twice",
            Rule::AttemptAfterDraining => "3: a try at a drained host past the grace",
            Rule::SlowStartOverload => "4: a cold host pushed over",
            Rule::ChannelBacklog => "5: the channel's queue too long",
        })
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Simulated time in seconds.
    pub at: f64,
    /// The host, slice or queue, in words.
    pub subject: String,
}

/// The violations of a play.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// The first ones, in order of time.
    pub violations: Vec<Violation>,
    /// How many there were, with those that are not described.
    pub many: u64,
}

/// How many violations are described; further ones are only counted.
const MAX_DESCRIBED: usize = 20;

impl Rules {
    /// Records a violation; `what` is called only if it is described.
    pub fn record_violation(&mut self, rule: Rule, at: f64, what: impl FnOnce() -> String) {
        self.many += 1;
        if self.violations.len() < MAX_DESCRIBED {
            self.violations.push(Violation { rule, at, subject: what() });
        }
    }

    /// No rule was violated.
    pub fn are_kept(&self) -> bool {
        self.many == 0
    }
}
