//! What hollow members do and what is counted of them, without sockets: for the slopes of docs/CAPACITY.md.
pub mod spent;
pub mod table;
pub mod walk;

pub use spent::Spent;
pub use table::Tally;
pub use walk::{settings, Follower, Size};
