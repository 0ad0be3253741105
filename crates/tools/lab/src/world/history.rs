//! Values that change with a director's messages.

/// A value after each of a director's messages, so that it can be read as a proxy sees it that has applied some of
/// them.
#[derive(Clone, Debug)]
pub(super) struct History<T> {
    /// The message from which on a value holds, in order; never empty.
    versions: Vec<(u32, T)>,
}

impl<T: Clone> History<T> {
    /// The value before the first message.
    pub(super) fn new(first: T) -> Self {
        History { versions: vec![(0, first)] }
    }

    /// The value for a proxy that has applied the messages up to this one.
    pub(super) fn at(&self, applied: u32) -> &T {
        let newer = self.versions.partition_point(|(message, _)| *message <= applied);
        &self.versions[newer.saturating_sub(1)].1
    }

    /// The newest value.
    pub(super) fn last(&self) -> &T {
        &self.versions[self.versions.len() - 1].1
    }

    /// The value from this message on.
    pub(super) fn set(&mut self, message: u32, value: T) {
        match self.versions.last_mut() {
            Some((last, old)) if *last == message => *old = value,
            _ => self.versions.push((message, value)),
        }
    }

    /// Drops the versions that no proxy can read any more, once all have applied this message.
    pub(super) fn forget_before(&mut self, applied_by_all: u32) {
        let newer = self.versions.partition_point(|(message, _)| *message <= applied_by_all);
        self.versions.drain(..newer.saturating_sub(1));
    }
}

#[cfg(test)]
mod tests;
