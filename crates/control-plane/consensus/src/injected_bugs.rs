//! Mutation testing: bugs put in on purpose, in a build with the cargo feature `injected-bugs` only. The search of the
//! model must find each of them; a program is never built with the feature.

/// A bug that the model's search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// A change is committed as soon as it is on the leader's own disk.
    CommitWithoutBackup,
    /// A leader lease is counted from the answer, not from the request.
    LeaseFromResponse,
    /// A node whose disk was lost keeps voting under its old incarnation.
    LostDiskVotes,
    /// A snapshot of the backup's own term is applied though it comes late or twice.
    StaleSnapshot,
    /// A membership change replaces two voters at once.
    TwoVotersAtOnce,
    /// In a joint configuration the majority of the outgoing voters is enough.
    OutgoingMajorityOnly,
    /// A leader keeps serving after its lease has expired.
    NoLease,
    /// A backup accepts a probe whatever state it holds.
    UnverifiedProbe,
}

#[cfg(feature = "injected-bugs")]
thread_local! {
    static ENABLED: std::cell::Cell<Option<InjectedBug>> = const { std::cell::Cell::new(None) };
}

/// Enables one bug, or none, in this thread from here on.
#[cfg(feature = "injected-bugs")]
pub fn inject(bug: Option<InjectedBug>) {
    ENABLED.with(|enabled| enabled.set(bug));
}

/// Whether the bug is enabled in this thread.
#[cfg(feature = "injected-bugs")]
pub(crate) fn is_injected(bug: InjectedBug) -> bool {
    ENABLED.with(|enabled| enabled.get() == Some(bug))
}

/// Whether the bug is enabled in this thread: never without the feature.
#[cfg(not(feature = "injected-bugs"))]
pub(crate) const fn is_injected(_: InjectedBug) -> bool {
    false
}
