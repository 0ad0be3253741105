//! The inputs and orders of a director: plain types without behaviour.
//!
//! Times are fractional seconds on the caller's clock, durations are seconds, rates are per second, shares go from 0
//! to 1. The adapters (`crates/director/service` for real sockets, `crates/tools/bench-adapter` for the simulator)
//! translate what they receive into inputs, and execute orders.

mod hosts;
mod ids;
mod input;
mod order;
mod overrides;
mod policies;
mod settings;

pub use hosts::{HostListEntry, HostState, ListScope, LoadReport, Outcome};
pub use ids::{CellId, HostId, MachineTypeId, PeerId, ProxyId, RoundId, RouteId, SliceId, TimerId, ZoneId};
pub use input::{Input, RelayCallEvent};
pub use order::{Order, Scope};
pub use overrides::{OperatorOverrides, RouteOverride};
pub use policies::{AdmissionUnit, DeduplicationScope, Idempotency, RetryPolicy};
pub use settings::{Route, Settings};
