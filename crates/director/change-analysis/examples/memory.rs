//! Prints what the judge keeps in memory: after a minute of sums, and with trials beside them, counted where it is
//! given out. `cargo run --release -p coppersail-judge --example memory`

use coppersail::interface::{HostId, RouteId, SliceId};
use coppersail_change_analysis::{Judge, Touch, TrialId};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

struct Counting;
static HELD: AtomicUsize = AtomicUsize::new(0);

// SAFETY: it only counts and hands everything on to the system's allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size(), Ordering::Relaxed);
        System.alloc(layout)
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        System.dealloc(at, layout)
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

fn main() {
    println!("| | idle | one trial of a fifth | eight trials, a minute later |");
    println!("| --- | --- | --- | --- |");
    for (proxies, hosts, slices) in [(150, 30_u32, 210_u16), (1600, 120, 840)] {
        let before = HELD.load(Ordering::Relaxed);
        let held = || (HELD.load(Ordering::Relaxed) - before) as f64 / 1024.0;
        let (mut judge, mut now) = (Judge::new(1.0, vec![1.0, 3.0], 1.5), 0.0);
        let mut minute = |judge: &mut Judge| {
            for _ in 0..60 {
                for slice in 0..slices {
                    (0..2).for_each(|route| judge.demand(SliceId(slice), RouteId(route), 20, 1));
                }
                (0..hosts).for_each(|host| judge.tries(HostId(host), 100, 1, 0.3));
                now += 1.0;
                judge.close(now);
            }
        };
        let touch = || Touch {
            slices: (0..slices / 5).map(SliceId).collect(),
            hosts: (0..hosts / 5).map(HostId).collect(),
            ..Touch::default()
        };
        minute(&mut judge);
        let idle = held();
        judge.watch(TrialId(1), touch(), 0.0);
        let one = held();
        (2..9).for_each(|id| judge.watch(TrialId(id), touch(), 0.0));
        minute(&mut judge);
        let size = format!("{proxies} proxies, {hosts} hosts, {slices} slices");
        println!("| {size} | {idle:.0} KiB | {one:.0} KiB | {:.0} KiB |", held());
    }
}
