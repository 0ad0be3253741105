//! Earlier names of [`crate::rollout`], kept until the request path names that.
pub use crate::rollout::duplicates::DuplicateDetector as Lookout;
pub use crate::rollout::variants::{AssignedVariant as Way, RolloutVariants as Steer};

use coppersail_load_balancing::Ms;
use tokio::time::Instant;

/// Milliseconds since an attempt was sent.
pub fn took(since: Instant) -> Ms {
    since.elapsed().as_millis() as Ms
}
