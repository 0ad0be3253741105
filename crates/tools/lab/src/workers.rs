//! Runs independent jobs on several threads.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Runs `work` on each job, on up to `threads` threads, and waits for all. Jobs begin in their order. A thread whose
/// `work` returns false takes no further job.
///
/// # Panics
/// If a job panics, after the others are done.
pub(crate) fn run_jobs<Job: Sync>(jobs: &[Job], threads: usize, work: impl Fn(&Job) -> bool + Sync) {
    let next = AtomicUsize::new(0);
    let run_until_done = || {
        while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
            if !work(job) {
                return;
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, jobs.len().max(1)) {
            scope.spawn(run_until_done);
        }
    });
}

/// Counts jobs that are done, and reports each.
pub(crate) struct Progress<'a> {
    done: AtomicUsize,
    all: usize,
    report: &'a (dyn Fn(usize, usize) + Sync),
}

impl<'a> Progress<'a> {
    /// None of `all` jobs is done yet; `report` is called with the number of jobs that are done, and `all`.
    pub(crate) fn new(all: usize, report: &'a (dyn Fn(usize, usize) + Sync)) -> Self {
        Progress { done: AtomicUsize::new(0), all, report }
    }

    /// One more job is done.
    pub(crate) fn advance(&self) {
        let done = self.done.fetch_add(1, Ordering::Relaxed) + 1;
        (self.report)(done, self.all);
    }
}
