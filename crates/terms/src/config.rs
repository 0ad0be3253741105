//! A configuration of the operator: read whole, checked, made into a table of routes.
use std::time::Duration;

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    pub revision: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub caps: Caps,
}

/// What a client may send, and how long it may take.
#[derive(Debug, Clone, PartialEq)]
pub struct Caps {
    pub head_size: usize,
    pub body_size: u64,
    pub head_wait: Duration,
    pub quiet: Duration,
}

impl Default for Caps {
    fn default() -> Self {
        let (head_wait, quiet) = (Duration::from_secs(3), Duration::from_secs(15));
        Caps { head_size: 16384, body_size: 67108864, head_wait, quiet }
    }
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Route {
    pub name: String,
    pub domain: String,
    pub path_start: String,
    pub repeatable: bool,
    pub give_up: Option<Duration>,
    pub target_time: Option<Duration>,
    pub rank: u32,
    /// The most hosts that one try may be sent to; at least 1.
    pub tries: u32,
    /// (service, share): one entry of share 1 where the route names a `backend`.
    pub shares: Vec<(String, f64)>,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    pub name: String,
    pub check_path: Option<String>,
    pub max_connections: u32,
    pub split_up: bool,
    /// For how long keys are slow that come without a handover.
    pub heat: Duration,
}

/// Routes by domain, the longest prefix first.
#[derive(Debug, Clone, Default)]
pub struct Routes;
