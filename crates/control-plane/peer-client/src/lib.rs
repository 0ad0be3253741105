//! Calls to control-plane nodes: JSON by HTTP POST, to numeric addresses.
//!
//! A call is sent once. It is never repeated here, because only the caller knows whether the peer may run it twice.
//!
//! ```no_run
//! use coppersail_peer_client::{PeerClient, PeerError};
//! use std::time::Duration;
//! let client = PeerClient::new(Duration::from_millis(300), Duration::from_secs(2));
//! match client.post::<_, u64>("10.1.0.1:7540", "/follow", &1) {
//!     Ok(answer) => println!("{answer}"),
//!     Err(PeerError::Status(status)) => println!("rejected with {}", status.as_u16()),
//!     Err(error) => println!("{error}"),
//! }
//! ```
mod error;
mod resolver;

pub use error::PeerError;

use resolver::NumericResolver;
use serde::{de::DeserializeOwned, Serialize};
use std::time::Duration;
use ureq::http::StatusCode;
use ureq::unversioned::transport::DefaultConnector;

/// The longest answer that is read, in bytes. A snapshot of all assignments and endpoints is far below it.
const MAX_ANSWER_BYTES: u64 = 64 << 20;
/// Of the buffers of a connection, each, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// A client that keeps one connection to each peer.
pub struct PeerClient {
    agent: ureq::Agent,
}

impl PeerClient {
    /// `connect`: the timeout for a connection; `whole`: for a complete call, from connecting to the end of the answer.
    pub fn new(connect: Duration, whole: Duration) -> PeerClient {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .timeout_connect(Some(connect))
            .timeout_global(Some(whole))
            .max_idle_connections(2)
            .max_idle_connections_per_host(1)
            // Calls follow each other closely. A connection that was idle for longer may be dead.
            .max_idle_age(whole)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .build();
        PeerClient { agent: ureq::Agent::with_parts(config, DefaultConnector::default(), NumericResolver) }
    }

    /// Posts `body` as JSON to `path` at `address` ("ip:port"), and reads the answer.
    ///
    /// # Errors
    /// Anything but an answer with status 200 and the expected JSON. Unless the error is [`PeerError::Encode`],
    /// [`PeerError::Address`] or [`PeerError::Connect`], the peer may have run the call.
    pub fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &T,
    ) -> Result<R, PeerError> {
        self.call(address, path, body, None)
    }

    /// [`PeerClient::post`] for a call that the peer answers at once: the connection has to be made within `begin`, and the
    /// answer has to begin within it, though all of it may take longer.
    ///
    /// # Errors
    /// As [`PeerClient::post`].
    pub fn post_with_response_timeout<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &T,
        begin: Duration,
    ) -> Result<R, PeerError> {
        self.call(address, path, body, Some(begin))
    }

    fn call<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &T,
        response_timeout: Option<Duration>,
    ) -> Result<R, PeerError> {
        let text = serde_json::to_vec(body).map_err(PeerError::Encode)?;
        let request = self.agent.post(format!("http://{address}{path}")).content_type("application/json");
        let request = match response_timeout {
            Some(begin) => {
                request.config().timeout_connect(Some(begin)).timeout_recv_response(Some(begin)).build()
            }
            None => request,
        };
        let mut response = request.send(&text[..])?;
        if response.status() != StatusCode::OK {
            return Err(PeerError::Status(response.status()));
        }
        let answer = response.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec()?;
        serde_json::from_slice(&answer).map_err(PeerError::Decode)
    }
}
