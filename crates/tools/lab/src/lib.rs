//! A world of hosts, proxies, clients, relay, list and collectors, in simulated time and by seed, around the decision
//! module or another policy; what is measured in it, kept, compared and shrunk. What is modelled how: `docs/lab.md`.

pub mod build;
pub mod experiment;
pub mod live;
pub mod logs;
pub mod measure;
pub mod platform;
pub mod policy;
pub mod reduced;
pub mod rules;
pub mod run_folder;
pub mod scenario;
pub mod stats;
pub mod trials;
pub mod truth;
pub mod watch;
mod workers;
pub mod world;

pub use scenario::Scenario;
pub use world::World;
