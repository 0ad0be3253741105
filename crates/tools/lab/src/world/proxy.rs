//! A proxy: which messages of the directors it has applied, and which hosts it has ejected.

use rustc_hash::FxHashMap;

/// The attempts of a proxy at one host.
#[derive(Clone, Copy, Debug, Default)]
struct OutlierState {
    consecutive_failures: u8,
    /// Simulated seconds.
    ejected_until: f64,
}

/// A proxy.
#[derive(Clone, Debug)]
pub(super) struct Proxy {
    /// Its zone.
    pub(super) zone: u16,
    /// The last message of each director that it has applied.
    pub(super) applied: Vec<u32>,
    /// When each director's last message so far arrives; the next one cannot overtake it. Simulated seconds.
    pub(super) last_arrival: Vec<f64>,
    outliers: FxHashMap<u32, OutlierState>,
}

impl Proxy {
    /// A proxy that has applied nothing.
    pub(super) fn new(zone: u16, directors: usize) -> Self {
        Proxy {
            zone,
            applied: vec![0; directors],
            last_arrival: vec![0.0; directors],
            outliers: FxHashMap::default(),
        }
    }

    /// It avoids the host after failures in a row.
    pub(super) fn has_ejected(&self, host: u32, now: f64) -> bool {
        self.outliers.get(&host).is_some_and(|outlier| now < outlier.ejected_until)
    }

    /// An attempt succeeded.
    pub(super) fn record_success(&mut self, host: u32) {
        self.outliers.remove(&host);
    }

    /// An attempt failed. After `threshold` failures in a row the host is ejected for `duration` seconds.
    pub(super) fn record_failure(&mut self, host: u32, now: f64, threshold: u8, duration: f64) {
        let outlier = self.outliers.entry(host).or_default();
        outlier.consecutive_failures += 1;
        if outlier.consecutive_failures >= threshold {
            outlier.consecutive_failures = 0;
            outlier.ejected_until = now + duration;
        }
    }
}
