//! Tests of the program from outside: the binary runs among stand-ins of its peers and is accessed over sockets.

mod announced_shutdowns;
mod capacity_guard;
mod change_rollout;
mod change_trials;
mod collectors;
mod config_reload;
mod discovery;
mod fixtures;
mod lifecycle;
mod operator_changes;
mod probes;
mod relay_calls;
mod relay_news;
mod stand_ins;
mod testbed;
