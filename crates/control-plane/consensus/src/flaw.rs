//! Faults put in on purpose, in a build with the feature `flaws` only: the model's search must find each of them.

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// A change is acknowledged when it is on the primary's own disk.
    BeforeBackup,
    /// A lease counts from when the answer came.
    FromAnswer,
    /// A director whose disk was lost goes on as the witness that it was.
    LostDiskVotes,
    /// A whole snapshot of the backup's own epoch is taken, though it comes late or twice.
    OldSnapshot,
    /// The group changes by two witnesses.
    TwoAtOnce,
    /// While the group changes, the majority of the old one is enough.
    OldMajority,
    /// Who has acted goes on to, whether the lease holds or not.
    NoLease,
    /// A backup joins without a snapshot, whatever it holds.
    JoinUnproven,
}

#[cfg(feature = "flaws")]
thread_local! {
    static CHOSEN: std::cell::Cell<Option<Flaw>> = const { std::cell::Cell::new(None) };
}

/// In this thread, from here on.
#[cfg(feature = "flaws")]
pub fn choose(flaw: Option<Flaw>) {
    CHOSEN.with(|chosen| chosen.set(flaw));
}

#[cfg(feature = "flaws")]
pub(crate) fn flaw(one: Flaw) -> bool {
    CHOSEN.with(|chosen| chosen.get() == Some(one))
}

#[cfg(not(feature = "flaws"))]
pub(crate) const fn flaw(_: Flaw) -> bool {
    false
}
