//! What is played: a fleet, a load, faults and operators' changes at given times, and the checks that must hold.
//! Files are Jsonnet or JSON; absent fields have the defaults of [`Scenario::default`].

mod changes;
mod defaults;
mod errors;
mod faults;
mod model;
mod read;
mod validate;

pub use changes::Change;
pub use errors::{EditError, InvalidScenario, ReadError};
pub use faults::{Fault, FaultKind};
pub use model::{Channel, Checks, EndpointSettings, Fleet, Load, Reports, Route, Scenario};
