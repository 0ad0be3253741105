//! All states that can be reached, on four threads: level by level while there is room, which gives a shortest way to
//! what breaks a claim, then each of the last level in depth. What was visited is known by a sum of 64 bits.
use super::world::{Path, World};
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

const THREADS: usize = 4;
const SHARDS: usize = 256;
/// So many whole states of a level are kept in memory.
const WIDE: usize = 60_000;

#[derive(Debug, Default)]
pub(crate) struct Found {
    pub(crate) states: usize,
    pub(crate) steps: usize,
    pub(crate) depth: usize,
    pub(crate) ends: usize,
    pub(crate) slowest: usize,
    /// The most that any state has seen: epochs in which somebody acted, chosen groups, acknowledged changes.
    pub(crate) epochs: usize,
    pub(crate) groups: usize,
    pub(crate) acked: usize,
    pub(crate) broken: Option<(String, usize, String)>,
    pub(crate) whole: bool,
    pub(crate) seconds: f64,
}

pub(crate) fn tell(path: &Option<Arc<Path>>) -> (usize, String) {
    let (mut lines, mut at) = (Vec::new(), path.as_ref());
    while let Some(path) = at {
        lines.push(path.story());
        at = path.before.as_ref();
    }
    lines.reverse();
    (lines.len(), lines.join("\n"))
}

struct Search<'a> {
    visited: Vec<Mutex<HashSet<u64>>>,
    states: AtomicUsize,
    steps: AtomicUsize,
    depth: AtomicUsize,
    ends: AtomicUsize,
    slowest: AtomicUsize,
    epochs: AtomicUsize,
    groups: AtomicUsize,
    acked: AtomicUsize,
    stop: AtomicBool,
    broken: Mutex<Option<(String, Option<Arc<Path>>)>>,
    limit: usize,
    every: u64,
    set: &'a (dyn Fn() + Sync),
}

impl Search<'_> {
    fn next(&self, world: &World, depth: usize, into: &mut Vec<(World, usize)>) {
        for step in world.steps() {
            let mut then = world.clone();
            let mut outcome = then.step(&step, true);
            self.steps.fetch_add(1, Ordering::Relaxed);
            if outcome.is_ok() {
                let sum = then.sum();
                if !self.visited[sum as usize % SHARDS].lock().unwrap().insert(sum) {
                    continue;
                }
                if self.states.fetch_add(1, Ordering::Relaxed) > self.limit {
                    self.stop.store(true, Ordering::Relaxed);
                }
                self.depth.fetch_max(depth + 1, Ordering::Relaxed);
                self.epochs.fetch_max(then.ghost.epochs, Ordering::Relaxed);
                self.groups.fetch_max(then.ghost.groups, Ordering::Relaxed);
                self.acked.fetch_max(then.ghost.acked.len(), Ordering::Relaxed);
                if self.every > 0 && (sum / SHARDS as u64).is_multiple_of(self.every) {
                    self.ends.fetch_add(1, Ordering::Relaxed);
                    match then.good_end(400) {
                        Ok(ticks) => drop(self.slowest.fetch_max(ticks, Ordering::Relaxed)),
                        Err(why) => outcome = Err(why),
                    }
                }
            }
            match outcome {
                Ok(()) => into.push((then, depth + 1)),
                Err(why) => {
                    self.broken.lock().unwrap().get_or_insert((why, then.path.clone()));
                    self.stop.store(true, Ordering::Relaxed);
                }
            }
        }
    }

    /// Goes on from all of these; `deep`: to the end.
    fn level(&self, level: Vec<(World, usize)>, deep: bool) -> Vec<(World, usize)> {
        let queue = Mutex::new(level);
        let work = || {
            (self.set)();
            let mut mine: Vec<(World, usize)> = Vec::new();
            loop {
                let some: Vec<(World, usize)> = {
                    let mut queue = queue.lock().unwrap();
                    let from = queue.len().saturating_sub(16);
                    queue.drain(from..).collect()
                };
                if some.is_empty() || deep && self.stop.load(Ordering::Relaxed) {
                    return mine;
                }
                for (world, depth) in some {
                    self.next(&world, depth, &mut mine);
                    while let Some((world, depth)) = if deep { mine.pop() } else { None } {
                        if self.stop.load(Ordering::Relaxed) {
                            return mine;
                        }
                        self.next(&world, depth, &mut mine);
                    }
                }
            }
        };
        std::thread::scope(|scope| {
            let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
            threads.into_iter().flat_map(|t| t.join().unwrap()).collect()
        })
    }
}

/// `set` is done first in each thread. One state of `every` is played to its good end.
pub(crate) fn search(start: World, limit: usize, every: u64, set: &(dyn Fn() + Sync)) -> Found {
    let began = Instant::now();
    let all = Search {
        visited: (0..SHARDS).map(|_| Mutex::default()).collect(),
        states: AtomicUsize::new(1),
        steps: AtomicUsize::default(),
        depth: AtomicUsize::default(),
        ends: AtomicUsize::default(),
        slowest: AtomicUsize::default(),
        epochs: AtomicUsize::default(),
        groups: AtomicUsize::default(),
        acked: AtomicUsize::default(),
        stop: AtomicBool::default(),
        broken: Mutex::default(),
        limit,
        every,
        set,
    };
    let mut level = vec![(start, 0)];
    while !level.is_empty() && !all.stop.load(Ordering::Relaxed) {
        let deep = level.len() > WIDE;
        level = all.level(level, deep);
        if deep {
            break;
        }
    }
    let broken = all.broken.into_inner().unwrap().map(|(why, path)| {
        let (steps, story) = tell(&path);
        (why, steps, story)
    });
    Found {
        states: all.states.into_inner(),
        steps: all.steps.into_inner(),
        depth: all.depth.into_inner(),
        ends: all.ends.into_inner(),
        slowest: all.slowest.into_inner(),
        epochs: all.epochs.into_inner(),
        groups: all.groups.into_inner(),
        acked: all.acked.into_inner(),
        whole: !all.stop.into_inner(),
        seconds: began.elapsed().as_secs_f64(),
        broken,
    }
}
