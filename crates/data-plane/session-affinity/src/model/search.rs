//! The search, on several threads, of all reachable states or of all states that are reachable within a number of
//! events.
use super::scenario::Scenario;
use super::world::{Model, Violation, World};
use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use thiserror::Error;

/// The set of visited states is sharded, to reduce lock contention between threads.
const SEEN_SHARDS: usize = 64;
/// A thread whose stack is longer than this shares its oldest states, which lead to the most unvisited states.
const MAX_PRIVATE_STACK: usize = 16;
/// States that are moved to the shared list at a time.
const SHARED_AT_ONCE: usize = 8;
/// No states are moved to the shared list while it has this many.
const MAX_SHARED: usize = 64;

/// Why a search ended early.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SearchError {
    /// A state violates a guarantee of the package.
    #[error("after {states} states: {violation}")]
    Violated {
        /// The violation.
        #[source]
        violation: Violation,
        /// The number of states visited until then.
        states: usize,
    },
    /// There are more states than the scenario allows.
    #[error("more than {max_states} states")]
    TooManyStates {
        /// The limit of the scenario.
        max_states: usize,
    },
}

/// The number of reachable states, if none of them violates a guarantee.
pub fn search(scenario: Scenario) -> Result<usize, SearchError> {
    search_on(threads(), scenario)
}

/// As [`search`], on one thread. The states are visited in the same order in every run, so that every run finds the
/// same violation before it reaches the limit of states.
#[cfg(test)]
pub(super) fn search_in_fixed_order(scenario: Scenario) -> Result<usize, SearchError> {
    search_on(1, scenario)
}

fn search_on(threads: usize, scenario: Scenario) -> Result<usize, SearchError> {
    let model = Model::new(scenario);
    let search = Search::new(vec![World::new(&model)]);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| search.walk(&model));
        }
    });
    search.result()
}

/// The number of states that are reachable by at most `events` events, searched breadth-first.
#[cfg(test)]
pub(super) fn search_within(scenario: Scenario, events: usize) -> Result<usize, SearchError> {
    let model = Model::new(scenario);
    let search = Search::new(vec![]);
    let first = World::new(&model);
    search.is_new(&first);
    let mut level = vec![first];
    for _ in 0..events {
        let per_thread = level.len().div_ceil(threads()).max(1);
        let expand = |worlds: &[World]| -> Vec<World> {
            worlds.iter().flat_map(|world| search.expand(&model, world)).collect()
        };
        level = std::thread::scope(|scope| {
            let workers: Vec<_> =
                level.chunks(per_thread).map(|worlds| scope.spawn(|| expand(worlds))).collect();
            workers.into_iter().flat_map(|worker| worker.join().expect("no panic")).collect()
        });
    }
    search.result()
}

fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, |threads| threads.get())
}

/// The shared list of states to expand, and the number of threads that are expanding others.
struct SharedStates {
    worlds: Vec<World>,
    working: usize,
}

/// The state of the search that all threads share.
struct Search {
    seen: Vec<Mutex<HashSet<u64>>>,
    states: AtomicUsize,
    shared: Mutex<SharedStates>,
    error: Mutex<Option<SearchError>>,
}

impl Search {
    fn new(worlds: Vec<World>) -> Search {
        Search {
            seen: (0..SEEN_SHARDS).map(|_| Mutex::default()).collect(),
            states: AtomicUsize::new(0),
            shared: Mutex::new(SharedStates { worlds, working: 0 }),
            error: Mutex::new(None),
        }
    }

    fn result(self) -> Result<usize, SearchError> {
        match self.error.into_inner().unwrap() {
            Some(error) => Err(error),
            None => Ok(self.states.into_inner()),
        }
    }

    fn walk(&self, model: &Model) {
        while let Some(first) = self.take_shared() {
            let Some(first) = first else {
                std::thread::yield_now();
                continue;
            };
            let mut stack = vec![first];
            while let Some(world) = stack.pop() {
                stack.extend(self.expand(model, &world));
                if self.error.lock().unwrap().is_some() {
                    stack.clear();
                    self.shared.lock().unwrap().worlds.clear();
                }
                self.share(&mut stack);
            }
            self.shared.lock().unwrap().working -= 1;
        }
    }

    /// Takes a state to expand from the shared list. `Some(None)` if there is none at the moment, `None` once the
    /// search is complete.
    fn take_shared(&self) -> Option<Option<World>> {
        let mut shared = self.shared.lock().unwrap();
        match shared.worlds.pop() {
            Some(world) => {
                shared.working += 1;
                Some(Some(world))
            }
            None if shared.working == 0 => None,
            None => Some(None),
        }
    }

    /// Moves the oldest states of a long stack to the shared list.
    fn share(&self, stack: &mut Vec<World>) {
        if stack.len() <= MAX_PRIVATE_STACK {
            return;
        }
        let mut shared = self.shared.lock().unwrap();
        if shared.worlds.len() < MAX_SHARED {
            shared.worlds.extend(stack.drain(..SHARED_AT_ONCE));
        }
    }

    /// The successors of this state that were not visited before.
    fn expand(&self, model: &Model, world: &World) -> Vec<World> {
        let mut new = vec![];
        for successor in world.successors(model) {
            match successor {
                Ok(world) if self.is_new(&world) => new.push(world),
                Ok(_) => {}
                Err(violation) => {
                    let states = self.states.load(Ordering::Relaxed);
                    *self.error.lock().unwrap() = Some(SearchError::Violated { violation, states });
                }
            }
        }
        let max_states = model.scenario.max_states;
        if self.states.load(Ordering::Relaxed) > max_states {
            self.error.lock().unwrap().get_or_insert(SearchError::TooManyStates { max_states });
        }
        new
    }

    fn is_new(&self, world: &World) -> bool {
        let hash = world.state_hash();
        let new = self.seen[hash as usize % SEEN_SHARDS].lock().unwrap().insert(hash);
        if new {
            self.states.fetch_add(1, Ordering::Relaxed);
        }
        new
    }
}
