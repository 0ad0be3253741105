//! coppersail, a table manager: it assigns hosts to proxies. `interface` holds the plain types that go in and come
//! out, `logic` the decisions; `figures`, `notes`, `state`, `ledger` and `measure` are what `logic` works with.

mod figures;
pub mod interface;
mod ledger;
pub mod logic;
mod measure;
mod notes;
mod state;

pub use state::Director;
