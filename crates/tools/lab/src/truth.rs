//! The true state of the emulated fleet, which no director can see: what hosts really do, and what slices really get.

/// The true state of a host.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrueHost {
    /// It is in service, and executes requests.
    pub is_serving: bool,
    /// Seconds of work that all its cores do within a second, now.
    pub work_per_second: f64,
    /// Jobs that wait or run at it.
    pub jobs: f64,
}

/// The true state of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    /// Each host, by its number.
    pub hosts: Vec<TrueHost>,
    /// The recent load of each slice, in seconds of work a second.
    pub work_per_second_by_slice: Vec<f64>,
    /// The store is down: the relay accepts no call.
    pub store_down: bool,
}
