//! Prints the memory use of the change analysis, as counted by the allocator: after a minute of reports, and
//! with trials. `cargo run --release -p coppersail-change-analysis --example memory`

use coppersail::interface::{HostId, RouteId, SliceId};
use coppersail_change_analysis::{ChangeAnalysis, ChangeScope, TrialId};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

struct CountingAllocator;
static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: it only counts, and delegates every allocation to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        System.alloc(layout)
    }
    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        System.dealloc(pointer, layout)
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn main() {
    println!("| | idle | one trial of a fifth | eight trials, a minute later |");
    println!("| --- | --- | --- | --- |");
    for (proxies, hosts, slices) in [(150, 30_u32, 210_u16), (1600, 120, 840)] {
        let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
        let allocated_kib = || (ALLOCATED_BYTES.load(Ordering::Relaxed) - before) as f64 / 1024.0;
        let mut analysis = ChangeAnalysis::new(1.0, vec![1.0, 3.0], 1.5);
        let mut now = 0.0;
        let mut run_minute = |analysis: &mut ChangeAnalysis| {
            for _ in 0..60 {
                for slice in 0..slices {
                    (0..2).for_each(|route| analysis.report_calls(SliceId(slice), RouteId(route), 20, 1));
                }
                (0..hosts).for_each(|host| analysis.report_attempts(HostId(host), 100, 1, 0.3));
                now += 1.0;
                analysis.close_periods(now);
            }
        };
        let scope = || ChangeScope {
            slices: (0..slices / 5).map(SliceId).collect(),
            hosts: (0..hosts / 5).map(HostId).collect(),
            ..ChangeScope::default()
        };
        run_minute(&mut analysis);
        let idle = allocated_kib();
        analysis.start_trial(TrialId(1), scope(), 0.0);
        let one_trial = allocated_kib();
        (2..9).for_each(|id| analysis.start_trial(TrialId(id), scope(), 0.0));
        run_minute(&mut analysis);
        let fleet = format!("{proxies} proxies, {hosts} hosts, {slices} slices");
        println!("| {fleet} | {idle:.0} KiB | {one_trial:.0} KiB | {:.0} KiB |", allocated_kib());
    }
}
