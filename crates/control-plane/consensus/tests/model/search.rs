//! Exhaustive search of the reachable states, on four threads: breadth-first while a level fits into memory,
//! which gives a shortest trace to a violation, then depth-first from each state of the last level. Visited
//! states are recognised by a 64-bit fingerprint.
use super::cluster::{Cluster, TraceStep};
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

const THREADS: usize = 4;
/// Into how many sets, each with a lock of its own, the visited states are divided.
const SHARDS: usize = 256;
/// The widest level, in states, that is kept in memory.
const MAX_LEVEL: usize = 60_000;
/// How many states a thread takes from the queue at once.
const CHUNK: usize = 16;
/// Liveness: the cluster must serve again within this many ticks without a fault.
const MAX_RECOVERY_TICKS: usize = 400;

/// A state and its depth.
type Node = (Cluster, usize);

/// A violated invariant, and the trace that leads to the violation.
#[derive(Debug)]
pub(crate) struct Violation {
    pub(crate) reason: String,
    pub(crate) steps: usize,
    pub(crate) trace: String,
}

/// The result of a search.
#[derive(Debug, Default)]
pub(crate) struct SearchResult {
    pub(crate) states: usize,
    pub(crate) steps: usize,
    pub(crate) depth: usize,
    /// How many states were checked for liveness, and the largest number of ticks that one needed.
    pub(crate) liveness_checks: usize,
    pub(crate) slowest_recovery: usize,
    /// The maximum over all states of: terms with a lease holder, chosen memberships, acknowledged changes.
    pub(crate) terms: usize,
    pub(crate) memberships: usize,
    pub(crate) acknowledged: usize,
    pub(crate) violation: Option<Violation>,
    /// Whether all reachable states were visited: neither the limit nor a violation ended the search.
    pub(crate) exhausted: bool,
    pub(crate) seconds: f64,
}

/// The number of steps of a trace, and their text, one line per step.
pub(crate) fn describe_trace(last: &Option<Arc<TraceStep>>) -> (usize, String) {
    let (mut lines, mut current) = (Vec::new(), last.as_ref());
    while let Some(step) = current {
        lines.push(step.describe());
        current = step.previous.as_ref();
    }
    lines.reverse();
    (lines.len(), lines.join("\n"))
}

/// The state that the threads of a search share.
struct Search<'a> {
    visited: Vec<Mutex<HashSet<u64>>>,
    states: AtomicUsize,
    steps: AtomicUsize,
    depth: AtomicUsize,
    liveness_checks: AtomicUsize,
    slowest_recovery: AtomicUsize,
    terms: AtomicUsize,
    memberships: AtomicUsize,
    acknowledged: AtomicUsize,
    stopped: AtomicBool,
    violation: Mutex<Option<(String, Option<Arc<TraceStep>>)>>,
    max_states: usize,
    liveness_sampling: u64,
    init_thread: &'a (dyn Fn() + Sync),
}

impl<'a> Search<'a> {
    fn new(max_states: usize, liveness_sampling: u64, init_thread: &'a (dyn Fn() + Sync)) -> Search<'a> {
        Search {
            visited: (0..SHARDS).map(|_| Mutex::default()).collect(),
            states: AtomicUsize::new(1),
            steps: AtomicUsize::default(),
            depth: AtomicUsize::default(),
            liveness_checks: AtomicUsize::default(),
            slowest_recovery: AtomicUsize::default(),
            terms: AtomicUsize::default(),
            memberships: AtomicUsize::default(),
            acknowledged: AtomicUsize::default(),
            stopped: AtomicBool::default(),
            violation: Mutex::default(),
            max_states,
            liveness_sampling,
            init_thread,
        }
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Adds the direct successors of a state that were not visited yet.
    fn expand(&self, cluster: &Cluster, depth: usize, successors: &mut Vec<Node>) {
        for step in cluster.enabled_steps() {
            let mut next = cluster.clone();
            let mut outcome = next.apply(&step);
            self.steps.fetch_add(1, Ordering::Relaxed);
            if outcome.is_ok() {
                let fingerprint = next.fingerprint();
                if !self.visited[fingerprint as usize % SHARDS].lock().unwrap().insert(fingerprint) {
                    continue;
                }
                self.count_state(&next, depth + 1);
                outcome = self.check_liveness_if_sampled(&next, fingerprint);
            }
            match outcome {
                Ok(()) => successors.push((next, depth + 1)),
                Err(reason) => {
                    self.violation.lock().unwrap().get_or_insert((reason, next.trace.clone()));
                    self.stopped.store(true, Ordering::Relaxed);
                }
            }
        }
    }

    fn count_state(&self, cluster: &Cluster, depth: usize) {
        if self.states.fetch_add(1, Ordering::Relaxed) > self.max_states {
            self.stopped.store(true, Ordering::Relaxed);
        }
        let reference = &cluster.reference;
        self.depth.fetch_max(depth, Ordering::Relaxed);
        self.terms.fetch_max(reference.terms, Ordering::Relaxed);
        self.memberships.fetch_max(reference.memberships, Ordering::Relaxed);
        self.acknowledged.fetch_max(reference.acknowledged.len(), Ordering::Relaxed);
    }

    fn check_liveness_if_sampled(&self, cluster: &Cluster, fingerprint: u64) -> Result<(), String> {
        let sampling = self.liveness_sampling;
        if sampling > 0 && (fingerprint / SHARDS as u64).is_multiple_of(sampling) {
            self.liveness_checks.fetch_add(1, Ordering::Relaxed);
            let ticks = cluster.check_liveness(MAX_RECOVERY_TICKS)?;
            self.slowest_recovery.fetch_max(ticks, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Expands all states of a level on all threads. Returns the next level, which is empty after a
    /// depth-first search.
    fn explore(&self, level: Vec<Node>, depth_first: bool) -> Vec<Node> {
        let queue = Mutex::new(level);
        std::thread::scope(|scope| {
            let work = || self.explore_from(&queue, depth_first);
            let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
            threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
        })
    }

    fn explore_from(&self, queue: &Mutex<Vec<Node>>, depth_first: bool) -> Vec<Node> {
        (self.init_thread)();
        let mut successors: Vec<Node> = Vec::new();
        loop {
            let chunk: Vec<Node> = {
                let mut queue = queue.lock().unwrap();
                let start = queue.len().saturating_sub(CHUNK);
                queue.drain(start..).collect()
            };
            if chunk.is_empty() || depth_first && self.is_stopped() {
                return successors;
            }
            for (cluster, depth) in chunk {
                self.expand(&cluster, depth, &mut successors);
                while let Some((cluster, depth)) = if depth_first { successors.pop() } else { None } {
                    if self.is_stopped() {
                        return successors;
                    }
                    self.expand(&cluster, depth, &mut successors);
                }
            }
        }
    }

    fn into_result(self, seconds: f64) -> SearchResult {
        let violation = self.violation.into_inner().unwrap().map(|(reason, last)| {
            let (steps, trace) = describe_trace(&last);
            Violation { reason, steps, trace }
        });
        SearchResult {
            states: self.states.into_inner(),
            steps: self.steps.into_inner(),
            depth: self.depth.into_inner(),
            liveness_checks: self.liveness_checks.into_inner(),
            slowest_recovery: self.slowest_recovery.into_inner(),
            terms: self.terms.into_inner(),
            memberships: self.memberships.into_inner(),
            acknowledged: self.acknowledged.into_inner(),
            exhausted: !self.stopped.into_inner(),
            seconds,
            violation,
        }
    }
}

/// Searches all states that are reachable from `start`, but at most about `max_states`. `init_thread` runs
/// first in each thread. One state in `liveness_sampling` is checked for liveness; 0 disables the check.
pub(crate) fn search(
    start: Cluster,
    max_states: usize,
    liveness_sampling: u64,
    init_thread: &(dyn Fn() + Sync),
) -> SearchResult {
    let started_at = Instant::now();
    let search = Search::new(max_states, liveness_sampling, init_thread);
    let mut level = vec![(start, 0)];
    while !level.is_empty() && !search.is_stopped() {
        let depth_first = level.len() > MAX_LEVEL;
        level = search.explore(level, depth_first);
        if depth_first {
            break;
        }
    }
    search.into_result(started_at.elapsed().as_secs_f64())
}
