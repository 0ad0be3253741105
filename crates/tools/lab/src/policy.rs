//! Who writes the tables: the decision module, with or without the guard, in the director's reducer or in a process,
//! or a baseline on the same interface.

mod baseline;
mod bounded_hashing;
mod kind;
mod process;
mod table;
mod true_state;

pub use baseline::Baseline;
pub use kind::{Kind, UnknownPolicy};
pub use process::{director_binary, DirectorProcess};

use crate::build::{self, BuildProcess};
use crate::platform::Platform;
use crate::reduced::ReducerPolicy;
use crate::scenario::Scenario;
use crate::truth::Truth;
use coppersail::interface::{Input, Order, Settings};
use coppersail_capacity_guard::{GuardedDirector, Mode};

/// What decides for a director.
pub enum Policy {
    /// The decision module alone, or with the capacity guard.
    Module(Box<GuardedDirector>),
    /// The director's reducer: all of the director but its I/O.
    Reducer(Box<ReducerPolicy>),
    /// The director's binary, in real time.
    Process(Box<DirectorProcess>),
    /// An earlier build on the simulator's wire.
    Build(Box<BuildProcess>),
    /// A baseline.
    Baseline(Box<Baseline>),
}

impl Policy {
    /// The policy of one director. `start_ms` is what the wall clock shows at time 0, in milliseconds since 1970.
    ///
    /// # Panics
    /// If an earlier build cannot be started: there is nothing to play without it.
    pub fn new(kind: Kind, settings: Settings, seed: u64, scenario: &Scenario, start_ms: u64) -> Policy {
        let platform = |settings| Platform {
            settings,
            routes: scenario.load.routes.iter().map(|route| route.name.clone()).collect(),
            start_ms,
        };
        match kind {
            Kind::Module => Policy::Module(Box::new(GuardedDirector::plain(settings, seed))),
            Kind::Guarded => Policy::Module(Box::new(GuardedDirector::new(settings, seed, Mode::On))),
            Kind::Reducer => {
                let takes_changes = !scenario.changes.is_empty();
                Policy::Reducer(Box::new(ReducerPolicy::new(platform(settings), seed, takes_changes)))
            }
            Kind::Process => Policy::Process(Box::new(DirectorProcess::new(platform(settings), seed))),
            Kind::Build(number) => {
                let started = BuildProcess::start(&build::program_path(number), platform(settings), seed);
                Policy::Build(Box::new(started.unwrap_or_else(|error| panic!("{error}"))))
            }
            Kind::Even | Kind::PowerOfTwo | Kind::LeastLoaded | Kind::BoundedHashing | Kind::TrueState => {
                Policy::Baseline(Box::new(Baseline::new(kind)))
            }
        }
    }

    /// Processes inputs at a time in simulated seconds. Returns the orders; a process orders when it likes, see
    /// [`DirectorProcess::take_orders`].
    pub fn handle(&mut self, now: f64, inputs: &[Input], truth: &Truth) -> Vec<Order> {
        match self {
            Policy::Module(module) => module.handle(now, inputs),
            Policy::Reducer(reducer) => reducer.handle(now, inputs, truth),
            Policy::Build(build) => build.handle(now, inputs),
            Policy::Process(process) => {
                process.send(inputs, truth.store_down);
                vec![]
            }
            Policy::Baseline(baseline) => baseline.handle(now, inputs, truth),
        }
    }
}
