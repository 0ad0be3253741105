//! The edge proxy of the gateway: it accepts client requests and proxies them to endpoints.
//!
//! One thread drives all sockets of clients, endpoints and peers; another one polls a control-plane node. The
//! decision logic without I/O is in `coppersail-load-balancing`, `coppersail-retry`, `coppersail-rollout` and
//! `coppersail-session-affinity`.
//!
//! The path of a request: `ingress` accepts the connection, `client_connection` serves HTTP/1.1 on it,
//! `request_handler` checks the head (`request`), `proxy` reads the body, `attempt_loop` selects endpoints,
//! `attempt` sends the request on a connection of the pool (`lease`, `connection_pool`), and
//! `upstream_response` reads and classifies the response.
mod attempt;
mod attempt_loop;
mod body;
mod client_connection;
mod clock;
mod connection_pool;
mod connection_state;
pub mod edge;
mod head_scanner;
mod headers;
mod in_flight;
mod ingress;
mod input_poll;
mod lease;
pub mod log;
mod proxy;
mod readiness;
mod request;
mod request_counter;
mod request_handler;
mod response;
pub mod rollout;
mod server;
pub mod sessions;
mod shutdown;
mod socket_read;
mod upstream_response;
mod upstream_socket;
pub mod watch;

pub use server::{check_settings, run, start, MissingListener};
pub use shutdown::shut_down;
