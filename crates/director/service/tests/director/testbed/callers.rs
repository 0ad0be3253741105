//! Reports of the outcomes of calls to each slice, as a collector sends them.

use super::collector::Collector;
use super::environment::Testbed;
use crate::stand_ins::{RelayStandIn, Shared};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Returns how many of the 20 calls to a slice in a report have failed, according to the current tables.
type CountFailures = fn(&RelayStandIn, u16) -> u64;

/// Reports ten times a second until this is dropped.
pub(crate) struct Callers(Arc<AtomicBool>);

impl Callers {
    pub(crate) fn start(testbed: &Testbed, count_failures: CountFailures) -> Self {
        let is_reporting = Arc::new(AtomicBool::new(true));
        let continues = is_reporting.clone();
        let relay = testbed.relay.clone();
        let mut collector = testbed.connect_collector();
        std::thread::spawn(move || {
            while continues.load(Ordering::Relaxed) && report(&mut collector, &relay, count_failures) {
                std::thread::park_timeout(REPORT_INTERVAL);
            }
        });
        Callers(is_reporting)
    }

    /// Sends no further reports.
    pub(crate) fn stop(&self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

impl Drop for Callers {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Sends one report for each slice. Returns false if the director has closed the connection.
fn report(collector: &mut Collector, relay: &Shared<RelayStandIn>, count_failures: CountFailures) -> bool {
    let failures: Vec<(u16, u64)> = relay
        .update(|relay| relay.slices.keys().map(|slice| (*slice, count_failures(relay, *slice))).collect());
    for (slice, failed) in failures {
        let line = format!(
            r#"{{"msg":"hot","partition":{slice},"kind":"lookup","n":20,"bad":{failed},"window":100.0}}"#
        );
        if !collector.send_bytes(format!("{line}\n").as_bytes()) {
            return false;
        }
    }
    true
}
