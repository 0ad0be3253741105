//! The true state of the emulated fleet, which no director can see: what hosts really do, and what slices really get.

/// The true state of a host.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrueHost {
    /// It is up, and answers.
    pub answers: bool,
    /// Its speed now, in work a second.
    pub does: f64,
    /// Calls that wait or run at it.
    pub holds: f64,
}

/// The true state of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    /// Each host, by its number.
    pub hosts: Vec<TrueHost>,
    /// Recent calls a second of each slice.
    pub slices: Vec<f64>,
    /// The store is down: the relay accepts no call.
    pub store_down: bool,
}
