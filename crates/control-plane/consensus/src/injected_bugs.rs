//! Mutation testing: deliberate bugs, which exist only in builds with the cargo feature `injected-bugs`. The
//! model search must find each of them; programs are never built with the feature.

/// A bug that the model search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// A change is committed as soon as it is on the leader's own disk.
    CommitWithoutBackup,
    /// A leader lease is counted from the response, not from the request.
    LeaseFromResponse,
    /// A node whose disk was lost keeps voting under its old incarnation.
    LostDiskVotes,
    /// A snapshot of the backup's current term is applied even if it is late or a duplicate.
    StaleSnapshot,
    /// A membership change replaces two voters at once.
    TwoVotersAtOnce,
    /// In a joint configuration the majority of the outgoing voters is enough.
    OutgoingMajorityOnly,
    /// A leader keeps serving after its lease has expired.
    NoLease,
    /// A backup accepts a probe whatever state it holds.
    UnverifiedProbe,
    /// A voter that does not answer counts as one whose disk is lost.
    SilenceCountsAsLoss,
    /// The new disk of a node votes in the place of the lost one.
    ReplacedDiskVotes,
    /// Of an odd number of voters, the smaller half is a quorum if a disk is lost.
    HalfOfOddVoters,
    /// A replica with an empty disk may lead.
    EmptyDiskLeads,
    /// A node ignores the records of disks that its own record does not name as voters.
    UnknownDiskRecordIgnored,
}

#[cfg(feature = "injected-bugs")]
thread_local! {
    static ENABLED: std::cell::Cell<Option<InjectedBug>> = const { std::cell::Cell::new(None) };
}

/// Enables one bug, or none, in this thread until the next call.
#[cfg(feature = "injected-bugs")]
pub fn inject(bug: Option<InjectedBug>) {
    ENABLED.with(|enabled| enabled.set(bug));
}

/// Whether the bug is enabled in this thread.
#[cfg(feature = "injected-bugs")]
pub(crate) fn is_injected(bug: InjectedBug) -> bool {
    ENABLED.with(|enabled| enabled.get() == Some(bug))
}

/// Whether the bug is enabled in this thread; always false without the feature.
#[cfg(not(feature = "injected-bugs"))]
pub(crate) const fn is_injected(_: InjectedBug) -> bool {
    false
}
