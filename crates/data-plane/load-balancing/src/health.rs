//! How far a host is trusted, judged by what happened to requests alone: no probes, they are priced.
use crate::Ms;

/// A first pause about as long as a host needs to come up again on its address; doubled with each failure after.
const FIRST_PAUSE: Ms = 250;
/// Longer pauses would keep a healed host out for longer than the centres need to say that it is gone.
const LONGEST_PAUSE: Ms = 8_000;

/// What speaks against a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureSign {
    /// No connection came up: nobody lives there, or it is cut off.
    Unreachable,
    /// A reset, a cut answer, wrong bytes. Full hosts reset, too: one sign is none.
    Broken,
    /// The deadline passed in silence; that may be the load's fault.
    Silent,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    aside_until: Ms,
    /// Set aside because no connection came up.
    pub unreachable: bool,
    trial: bool,
}

impl Health {
    pub fn record_failure(&mut self, sign: FailureSign, now: Ms) {
        self.failures = self.failures.saturating_add(1);
        self.trial = false;
        self.unreachable = sign == FailureSign::Unreachable;
        // Two in a row for signs that a sound but full host gives as well.
        let counted = if self.unreachable { self.failures } else { self.failures - 1 };
        if counted > 0 {
            let pause = FIRST_PAUSE << (counted - 1).min(8);
            self.aside_until = self.aside_until.max(now + pause.min(LONGEST_PAUSE));
        }
    }

    /// Any answer that belongs to its request.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// A trial that came to nothing, such as one whose client went.
    pub fn untried(&mut self) {
        self.trial = false;
    }

    pub fn begin(&mut self) {
        self.trial = self.failures > 0 && self.aside_until > 0;
    }

    pub fn ejected_until(&self) -> Ms {
        self.aside_until
    }

    /// After its pause, a host comes back by one repeatable request at a time.
    pub fn is_ejected(&self, repeatable: bool, now: Ms) -> bool {
        now < self.aside_until || (self.aside_until > 0 && (self.trial || !repeatable))
    }
}

#[cfg(test)]
mod tests;
