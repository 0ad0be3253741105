//! The operators' five rules, checked while a scenario is played.

use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    NoHost,
    Twice,
    Drained,
    PushedOver,
    Queue,
}

impl fmt::Display for Rule {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Rule::NoHost => "1: a joined proxy without a host",
            Rule::Twice => "2: an effect twice",
            Rule::Drained => "3: a try at a drained host past the grace",
            Rule::PushedOver => "4: a cold host pushed over",
            Rule::Queue => "5: the channel's queue too long",
        })
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub rule: Rule,
    pub at: f64,
    pub what: String,
}

/// The first breaks of each rule, and how many there were.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    pub broken: Vec<Broken>,
    pub many: u64,
}

/// Breaks that are described; the rest is counted.
const DESCRIBED: usize = 20;

impl Rules {
    pub fn broke(&mut self, rule: Rule, at: f64, what: impl FnOnce() -> String) {
        self.many += 1;
        if self.broken.len() < DESCRIBED {
            self.broken.push(Broken { rule, at, what: what() });
        }
    }

    pub fn kept(&self) -> bool {
        self.many == 0
    }
}
