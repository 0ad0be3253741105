//! State of one slice.

use crate::interface::HostId;
use crate::placement::PerHost;

/// A slice that is assigned to this director.
#[derive(Clone, Default)]
pub(crate) struct Slice {
    pub(crate) owner: Option<HostId>,
    pub(crate) standby: Option<HostId>,
    /// The owner before an operator's override caused the slice to move.
    pub(crate) original_owner: Option<HostId>,
    /// Weights of the table as requested so far, or as found in the relay's store.
    pub(crate) weights: PerHost,
    /// Recent calls by route.
    pub(crate) calls: Vec<f64>,
    pub(crate) score: f64,
    /// Weight of the standby relative to the owner's, as an index of `Tables::STANDBY_SHARES`.
    pub(crate) standby_level: usize,
}

impl Slice {
    /// Sets the owner. `original_owner` is the one before an override caused the slice to move, if one has.
    pub(crate) fn set_owner(&mut self, owner: Option<HostId>, original_owner: Option<HostId>) {
        self.owner = owner;
        self.original_owner = original_owner;
    }

    /// Whether the table has exactly the desired hosts, with weights for which `is_close` holds.
    pub(crate) fn has_weights(
        &self,
        desired: &PerHost,
        is_close: impl Fn(Option<&f64>, f64) -> bool,
    ) -> bool {
        let same_count = self.weights.len() == desired.len();
        same_count && desired.iter().all(|(host, weight)| is_close(self.weights.get(host), *weight))
    }

    /// The host with the highest weight in the table among those that may own the slice.
    pub(crate) fn heaviest_host(&self, may_own: impl Fn(HostId) -> bool) -> Option<HostId> {
        let candidates = self.weights.iter().filter(|(host, _)| may_own(**host));
        candidates.max_by(|a, b| a.1.total_cmp(b.1)).map(|(host, _)| *host)
    }

    /// Sets another standby, which starts with the lowest share.
    pub(crate) fn set_standby(&mut self, standby: Option<HostId>) {
        self.standby = standby;
        self.standby_level = 0;
    }
}
