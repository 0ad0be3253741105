//! Numeric identifiers. The caller maps them to names and addresses.

/// A host (endpoint) that answers calls. The caller assigns the number when it first names the host, and never reuses
/// it, not even after [`Order::ReleaseHost`](super::Order::ReleaseHost).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId(pub u32);

/// A proxy that sends calls to hosts by the director's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyId(pub u16);

/// A slice (shard) of the key space, which has a table of hosts with weights; without slices, a table that the director
/// numbers itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SliceId(pub u16);

/// A kind of call, by its index in [`Settings::routes`](super::Settings::routes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteId(pub u16);

/// A zone (failure domain), by its index in [`Settings::zone_names`](super::Settings::zone_names).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u16);

/// A machine type, by its index in [`Settings::machine_types`](super::Settings::machine_types).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineTypeId(pub u16);

/// A small group of hosts in one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);

/// A director of the same tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(pub u64);

/// A timer: [`Input::TimerFired`](super::Input::TimerFired) returns the id that
/// [`Order::SetTimer`](super::Order::SetTimer) has set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(pub u64);

/// A round of messages to the proxies that acknowledge it. Ids wrap around.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RoundId(pub u16);
