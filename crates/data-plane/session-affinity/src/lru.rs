//! Least-recently-used (LRU) order of sessions.
use crate::record::SessionId;
use std::collections::BTreeSet;

/// Sessions ordered by last use. Each session stores the sequence number of its last use, which is its key here.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct LruOrder {
    by_last_use: BTreeSet<(u64, SessionId)>,
    /// The sequence number of the latest use.
    uses: u64,
}

impl LruOrder {
    /// Marks the session as the most recently used one. `last_use` is 0 for a new session.
    pub(crate) fn touch(&mut self, id: SessionId, last_use: &mut u64) {
        self.uses += 1;
        self.by_last_use.remove(&(*last_use, id));
        *last_use = self.uses;
        self.by_last_use.insert((self.uses, id));
    }

    pub(crate) fn remove(&mut self, id: SessionId, last_use: u64) {
        self.by_last_use.remove(&(last_use, id));
    }

    /// The sessions, least recently used first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = SessionId> + '_ {
        self.by_last_use.iter().map(|(_, id)| *id)
    }

    /// Renumbers the uses from 0 in the same order, and passes each session's new number to `set_last_use`.
    #[cfg(any(test, feature = "model-checking"))]
    pub(crate) fn renumber(&mut self, mut set_last_use: impl FnMut(SessionId, u64)) {
        let order = std::mem::take(&mut self.by_last_use);
        for (rank, (_, id)) in order.into_iter().enumerate() {
            self.by_last_use.insert((rank as u64, id));
            set_last_use(id, rank as u64);
        }
        self.uses = self.by_last_use.len() as u64;
    }
}
