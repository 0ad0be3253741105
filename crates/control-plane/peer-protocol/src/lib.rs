//! The messages between edges and control-plane nodes, and between control-plane nodes, as JSON over HTTP on the first of the
//! spare ports.
//!
//! An edge watches one control-plane node at a time, and each node watches every other one: `POST /follow` with a
//! [`WatchRequest`]. The node answers with an [`Update`] as soon as there is something new, or after `wait_ms`. The sequence
//! number in a request acknowledges the answer before it.
//!
//! Fields are added, never renamed or removed: builds of several versions run side by side during a rolling upgrade. Fields
//! that a message leaves out have their default, unknown ones are skipped. `tests/wire_format.rs` holds the bytes.
//!
//! ```
//! use coppersail_peer_protocol::WatchRequest;
//! let request = WatchRequest { edge: "10.1.0.34".into(), sequence: 7, ..Default::default() };
//! let text = serde_json::to_string(&request).unwrap();
//! assert_eq!(serde_json::from_str::<WatchRequest>(&text).unwrap().sequence, 7);
//! ```
mod assignments;
mod endpoints;
mod optional;
mod status;
mod watch;

pub use assignments::{AssignmentRow, AssignmentUpdate, RequestCounts};
pub use endpoints::{EndpointState, EndpointUpdate};
pub use status::{MemberDetail, MemberStatus};
pub use watch::{ConfigDocument, RolloutsAsOf, Update, WatchRequest};
