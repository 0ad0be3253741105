//! The simulated world around the directors: hosts, proxies, clients, store, discovery and collectors, driven by
//! events in simulated time.
//!
//! `state` has the [`World`] and `event` the queue that orders what happens. The way of a call is `arrivals` (clients),
//! `attempts` (proxies), `execution` (hosts). The way of an order is `directors`, `channel`; inputs come to directors
//! by `reports`, `discovery` and `director_inputs`. `faults` has what goes wrong, `sampling` and `table_check` what
//! is measured and checked at intervals.

mod arrivals;
mod assignments;
mod attempts;
mod call;
mod channel;
mod collectors;
mod delivery;
mod director;
mod director_inputs;
mod director_settings;
mod directors;
mod discovery;
mod event;
mod execution;
mod fault_state;
mod faults;
mod history;
mod host;
mod proxy;
mod reports;
mod run;
mod sampling;
mod state;
mod table_check;
mod traffic;

pub use director_settings::director_settings;
pub use state::World;

#[cfg(test)]
mod tests;
