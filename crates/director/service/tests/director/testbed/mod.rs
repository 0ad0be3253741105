//! A director among stand-ins.

mod callers;
mod collector;
mod config;
mod director_process;
mod environment;
mod operator;

pub(crate) use callers::Callers;
pub(crate) use collector::Collector;
pub(crate) use config::{host_list, DirectorConfig};
pub(crate) use director_process::DirectorProcess;
pub(crate) use environment::Testbed;
