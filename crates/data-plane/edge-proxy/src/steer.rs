//! Earlier names of [`crate::rollout`], kept until the request path names that.
pub use crate::rollout::duplicates::DuplicateDetector as Lookout;
pub use crate::rollout::variants::{AssignedVariant as Way, RolloutVariants as Steer};

use crate::edge::Edge;
use crate::rollout::recording::AttemptRecord;
use coppersail_load_balancing::Ms;
use coppersail_retry::AttemptOutcome;
use tokio::time::Instant;

impl Edge {
    /// [`Edge::record_outcome`] with the fields of [`AttemptRecord`] one by one.
    #[expect(clippy::too_many_arguments, reason = "goes once the request path calls record_outcome")]
    pub fn weigh<A>(
        &self,
        variant: &Way,
        route: &str,
        endpoint: &str,
        outcome: &AttemptOutcome<A>,
        server_error: bool,
        latency: Ms,
        target_time: Ms,
        excluded: bool,
    ) {
        let attempt =
            AttemptRecord { variant, route, endpoint, server_error, latency, target_time, excluded };
        self.record_outcome(&attempt, outcome);
    }
}

/// Milliseconds since an attempt was sent.
pub fn took(since: Instant) -> Ms {
    since.elapsed().as_millis() as Ms
}
