//! The messages between edges and control-plane nodes, and between control-plane nodes. They are JSON over
//! HTTP, on the first of the configured spare ports.
//!
//! An edge watches one control-plane node at a time, and each node watches every other one: `POST /follow`
//! with a [`WatchRequest`]. The node responds with an [`Update`] as soon as there is something new, or after
//! `wait_ms`. The sequence number in a request acknowledges the preceding response.
//!
//! Fields may be added, but never renamed or removed, because different versions run side by side during a
//! rolling upgrade. Fields that a message omits have their default value, and unknown fields are ignored.
//! `tests/wire_format.rs` checks the exact bytes.
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
