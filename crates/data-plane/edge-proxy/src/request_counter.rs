//! Counts requests by slice. The control plane balances the slices of sharded services by these counts.
use coppersail_peer_protocol::RequestCounts;
use rustc_hash::FxHashMap;
use std::sync::Mutex;

/// Maximum number of slices of one service that are counted between two polls. Further slices are ignored,
/// since the interval is too short for their counts to matter.
const MAX_SLICES: usize = 4096;

type SliceCounts = FxHashMap<u32, u32>;

/// Requests by service and slice since the last poll of the control plane. The polling thread takes the
/// counts.
#[derive(Debug, Default)]
pub struct RequestCounter(Mutex<FxHashMap<String, SliceCounts>>);

impl RequestCounter {
    /// Counts a request.
    pub fn count(&self, service: &str, slice: u32) {
        let mut services = self.0.lock().expect("request counter");
        if !services.contains_key(service) {
            services.insert(service.into(), SliceCounts::default());
        }
        let counts = services.get_mut(service).expect("just inserted");
        add(counts, slice, 1);
    }

    /// Takes all counts for a poll and resets them.
    pub fn take(&self) -> Vec<RequestCounts> {
        let services = std::mem::take(&mut *self.0.lock().expect("request counter"));
        let counts = services.into_iter().map(|(service, counts)| {
            let mut counts: Vec<(u32, u32)> = counts.into_iter().collect();
            counts.sort_unstable();
            RequestCounts { service, counts }
        });
        counts.collect()
    }

    /// Adds back the counts that a failed poll had taken.
    pub fn put_back(&self, taken: Vec<RequestCounts>) {
        let mut services = self.0.lock().expect("request counter");
        for RequestCounts { service, counts: taken } in taken {
            let counts = services.entry(service).or_default();
            for (slice, count) in taken {
                add(counts, slice, count);
            }
        }
    }
}

fn add(counts: &mut SliceCounts, slice: u32, count: u32) {
    if counts.len() < MAX_SLICES || counts.contains_key(&slice) {
        *counts.entry(slice).or_default() += count;
    }
}
