//! The ranges of slices that the rebalancer moves. They are split where neighbouring slices differ in state,
//! and where a range is busy.
use crate::grant::grant_bytes;
use crate::lease::SliceRange;
use crate::sizing::initial_range_count;
use crate::table::ServiceLeases;

/// A range is split if it has this share of the requests of an average endpoint. After that, moving a few
/// ranges can even out the load of endpoints.
const BUSY_RANGE_SHARE: f64 = 0.15;
/// The number of counted requests for each endpoint from which on the counts are significant.
const MIN_REQUESTS_PER_ENDPOINT: f64 = 10.0;

impl ServiceLeases {
    /// The sum of all request counts, if it is enough to act on.
    pub(crate) fn significant_requests(&self, endpoint_count: usize) -> Option<f64> {
        let total: f64 = self.request_counts.iter().sum();
        (total > MIN_REQUESTS_PER_ENDPOINT * endpoint_count as f64).then_some(total)
    }

    pub(crate) fn requests_of(&self, range: SliceRange) -> f64 {
        self.request_counts[range.slices()].iter().sum()
    }

    /// Splits the ranges until the slices of each can be moved as one, and halves busy ranges, down to a
    /// single slice.
    pub(crate) fn split_ranges(&mut self, endpoint_count: usize) {
        if self.ranges.is_empty() {
            self.ranges = self.equal_ranges(initial_range_count(endpoint_count) as usize);
        }
        let busy_requests = self
            .significant_requests(endpoint_count)
            .map_or(f64::INFINITY, |total| BUSY_RANGE_SHARE * total / endpoint_count.max(1) as f64);
        let mut finished = Vec::with_capacity(self.ranges.len());
        let mut remaining: Vec<SliceRange> = self.ranges.iter().rev().copied().collect();
        while let Some(range) = remaining.pop() {
            let Some(offset) = self.split_offset(range, busy_requests) else {
                finished.push(range);
                continue;
            };
            remaining.push(SliceRange { first: range.first + offset, count: range.count - offset });
            remaining.push(SliceRange { first: range.first, count: offset });
        }
        self.ranges = finished;
    }

    /// Ranges of equal size, as at the initial assignment, for a table that was recovered.
    fn equal_ranges(&self, range_count: usize) -> Vec<SliceRange> {
        let slice_count = self.leases.len();
        let size = (slice_count / range_count).max(1);
        let range = |first| SliceRange { first, count: size.min(slice_count - first) };
        (0..slice_count).step_by(size).map(range).collect()
    }

    /// Where to split a range, as a number of slices from its start; `None` if it is not split.
    fn split_offset(&self, range: SliceRange, busy_requests: f64) -> Option<usize> {
        let leases = &self.leases[range.slices()];
        let first_different = leases.iter().position(|lease| !lease.moves_with(&leases[0]));
        let is_busy = self.requests_of(range) > busy_requests;
        let can_halve = range.count > 1 && !leases[0].write_pending;
        first_different.or((is_busy && can_halve).then_some(range.count / 2))
    }

    /// The estimated size of an endpoint's leases in an answer, in bytes.
    pub(crate) fn granted_bytes(&self, owner: &str) -> usize {
        let first_leases = self.ranges.iter().map(|range| &self.leases[range.first]);
        first_leases.filter(|lease| lease.owner == owner).map(grant_bytes).sum()
    }
}
