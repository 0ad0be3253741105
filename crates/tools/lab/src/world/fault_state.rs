//! What a fault of the scenario has changed.

/// A rolling deployment.
#[derive(Clone, Debug)]
pub(super) struct Deployment {
    /// Hosts that are replaced at a time.
    pub(super) batch_size: usize,
    /// Hosts that finish what they have.
    pub(super) draining: Vec<u32>,
    /// Hosts whose turn has not come.
    pub(super) remaining: Vec<u32>,
}

/// What a fault has changed, so that its end can undo it.
#[derive(Clone, Debug, Default)]
pub(super) struct FaultState {
    /// Hosts that are killed, hung or slowed.
    pub(super) affected_hosts: Vec<u32>,
    /// The deployment that has begun and is not complete.
    pub(super) deployment: Option<Deployment>,
}
