//! What goes into a director and what comes out: plain types without behaviour.
//!
//! Times are seconds with fractions on the caller's clock, durations are seconds, rates are per second, shares go from
//! 0 to 1. The adapters (`crates/director/service` for real sockets, `crates/tools/bench-adapter` for the simulator)
//! make inputs of what they hear, and carry orders out.

mod hosts;
mod ids;
mod input;
mod order;
mod overrides;
mod policies;
mod settings;

pub use hosts::{HostState, ListScope, Listing, Load, Outcome};
pub use ids::{CellId, HostId, KindId, MarkId, PeerId, ProxyId, RouteId, SliceId, WakeId, ZoneId};
pub use input::{Call, Input};
pub use order::{Order, Scope};
pub use overrides::{RouteWish, Wishes};
pub use policies::{Admission, KeyedGroup, Retry, Semantics};
pub use settings::{Route, Settings};
