//! Days of trouble for the control plane: the very nodes of centres under simulated time, links, disks and processes,
//! with hosts, edges and operators around them, judged from outside. A day is decided by its seed: no threads, no real
//! time, no I/O.
//!
//! What is played: links by pair (delay, jitter, cuts of one way or both, calls doubled, late, reset, answers lost, bytes
//! held up by a cut that come after it), disks (slow, hanging, full, lost whole, writes under way at a loss of power there
//! up to some point), processes (kill, power, freeze, SIGTERM, SIGHUP, each at a chosen moment such as between a sync and
//! its answer), machines replaced, moved, returning, all at once; steady clocks up to 2% apart. On most days no more is
//! lost at once than `survive` says, and calm times must be served; on wild days any number is, but no disk.
//!
//! What isn't: bytes of HTTP and JSON, time that the code itself takes, a store that is torn or gone back (it is found as
//! a lost disk), rollouts, sessions, clients' requests, zones or regions lost whole, clocks that jump.
//!
//! ```
//! let day = coppersail_simulator::Day { length: 8_000, ..coppersail_simulator::Day::default() };
//! let (one, other) = (coppersail_simulator::play(&day, false), coppersail_simulator::play(&day, false));
//! assert_eq!(one.tally.steps, other.tally.steps);
//! ```
mod callers;
pub mod checks;
mod edge;
mod host;
mod machine;
mod operator;
pub mod script;
mod shrink;
mod tally;
mod world;

pub use checks::Broken;
pub use script::{Day, Fault, Moment, Seeds, Way, What, Who};
pub use shrink::shrink;
pub use tally::Tally;
use world::World;
pub use world::{play, Outcome};

/// True time in microseconds from the day's start.
pub type Us = u64;
pub type Ms = u64;

pub(crate) const BEAT: Ms = 1300;
pub(crate) const EMPTY: Ms = 2500;
pub(crate) const SYNC: Ms = 4000;
pub(crate) const LEEWAY: Ms = 6000;
pub(crate) const CONFIRM: Ms = 5000;
pub(crate) const APPLY: Ms = 2500;
pub(crate) const KEEP_MAX: Ms = 10_000;
/// `peerDelay`: by how much the list of machines lags.
pub(crate) const LISTED: Ms = 3000;
/// Beyond `inContact`: how long calm times must have lasted before somebody must act.
pub const SETTLE: Ms = 2000;
