//! The search: every state that can be reached, by several threads, or every state within a number of events.
use super::scenario::Scenario;
use super::world::{Model, Violation, World};
use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use thiserror::Error;

/// Sets of states seen, so that threads seldom wait for each other.
const SEEN_SHARDS: usize = 64;
/// A thread with a longer stack shares its oldest states, which have most below them.
const PRIVATE_STACK: usize = 16;
const SHARED_AT_ONCE: usize = 8;
const MAX_SHARED: usize = 64;

/// Why a search ended early.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SearchError {
    /// A state breaks a promise.
    #[error("after {states} states: {violation}")]
    Violated {
        /// Which one.
        #[source]
        violation: Violation,
        /// States that were seen until then.
        states: usize,
    },
    /// There are more states than the scenario allows.
    #[error("more than {max_states} states")]
    TooManyStates {
        /// The limit.
        max_states: usize,
    },
}

/// The number of states that can be reached, if none of them breaks a promise.
pub fn search(scenario: Scenario) -> Result<usize, SearchError> {
    search_on(threads(), scenario)
}

/// As [`search`], on one thread: the order in which states are visited is the same in every run, and so is what is
/// found before the limit of states is reached.
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

/// The number of states that can be reached by at most `events` events.
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

/// States that any thread may take, and how many threads are at work on others.
struct Open {
    worlds: Vec<World>,
    working: usize,
}

/// What threads share.
struct Search {
    seen: Vec<Mutex<HashSet<u64>>>,
    states: AtomicUsize,
    open: Mutex<Open>,
    error: Mutex<Option<SearchError>>,
}

impl Search {
    fn new(worlds: Vec<World>) -> Search {
        Search {
            seen: (0..SEEN_SHARDS).map(|_| Mutex::default()).collect(),
            states: AtomicUsize::new(0),
            open: Mutex::new(Open { worlds, working: 0 }),
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
        while let Some(first) = self.next_open() {
            let Some(first) = first else {
                std::thread::yield_now();
                continue;
            };
            let mut stack = vec![first];
            while let Some(world) = stack.pop() {
                stack.extend(self.expand(model, &world));
                if self.error.lock().unwrap().is_some() {
                    stack.clear();
                    self.open.lock().unwrap().worlds.clear();
                }
                self.share(&mut stack);
            }
            self.open.lock().unwrap().working -= 1;
        }
    }

    /// A state to begin with, none for now, or nothing once all is searched.
    fn next_open(&self) -> Option<Option<World>> {
        let mut open = self.open.lock().unwrap();
        match open.worlds.pop() {
            Some(world) => {
                open.working += 1;
                Some(Some(world))
            }
            None if open.working == 0 => None,
            None => Some(None),
        }
    }

    fn share(&self, stack: &mut Vec<World>) {
        if stack.len() <= PRIVATE_STACK {
            return;
        }
        let mut open = self.open.lock().unwrap();
        if open.worlds.len() < MAX_SHARED {
            open.worlds.extend(stack.drain(..SHARED_AT_ONCE));
        }
    }

    /// The states after this one that were not seen before.
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
