//! Calls to control-plane nodes: JSON over HTTP POST, to numeric addresses.
//!
//! A call is sent once. It is never retried here, because only the caller knows whether the peer may execute
//! it twice.
//!
//! ```no_run
//! use coppersail_peer_client::{PeerClient, PeerError};
//! use std::time::Duration;
//! let client = PeerClient::new(Duration::from_millis(300), Duration::from_secs(2));
//! match client.post::<_, u64>("10.1.0.1:7540", "/follow", &1) {
//!     Ok(response) => println!("{response}"),
//!     Err(PeerError::Status(status)) => println!("rejected with {}", status.as_u16()),
//!     Err(error) => println!("{error}"),
//! }
//! ```
mod error;
mod resolver;

pub use error::PeerError;

use coppersail_response_framing::ResponseHead;
use resolver::NumericResolver;
use serde::{de::DeserializeOwned, Serialize};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use ureq::config::Config;
use ureq::http::{Method, StatusCode};
use ureq::unversioned::transport::DefaultConnector;
use ureq::Agent;

/// The longest response that is read, in bytes. A snapshot of all assignments and endpoints is far smaller.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// The size of the input buffer and of the output buffer of a connection, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// A client that keeps one connection to each peer.
pub struct PeerClient {
    config: Config,
    /// The agent with the current connections.
    agent: Mutex<Agent>,
}

impl PeerClient {
    /// Creates a client. `connect_timeout` limits the making of a connection, and `call_timeout` a complete
    /// call, from connecting to the end of the response.
    pub fn new(connect_timeout: Duration, call_timeout: Duration) -> PeerClient {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .timeout_connect(Some(connect_timeout))
            .timeout_global(Some(call_timeout))
            .max_idle_connections(2)
            .max_idle_connections_per_host(1)
            // Calls follow each other closely. A connection that was idle for longer may be broken.
            .max_idle_age(call_timeout)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .build();
        PeerClient { agent: Mutex::new(new_agent(&config)), config }
    }

    /// Posts `body` as JSON to `path` at `address` ("ip:port"), and reads the response.
    ///
    /// # Errors
    /// Anything but a response with status 200 and the expected JSON. Unless the error is
    /// [`PeerError::Encode`], [`PeerError::Address`] or [`PeerError::Connect`], the peer may have executed
    /// the call.
    pub fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &T,
    ) -> Result<R, PeerError> {
        self.call(address, path, body, None)
    }

    /// [`PeerClient::post`] for a call to which the peer responds at once. The connection must be made within
    /// `response_timeout`, and the response must begin within it; the complete call may take longer.
    ///
    /// # Errors
    /// As [`PeerClient::post`].
    pub fn post_with_response_timeout<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &T,
        response_timeout: Duration,
    ) -> Result<R, PeerError> {
        self.call(address, path, body, Some(response_timeout))
    }

    fn call<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &T,
        response_timeout: Option<Duration>,
    ) -> Result<R, PeerError> {
        let text = serde_json::to_vec(body).map_err(PeerError::Encode)?;
        let agent = self.agent.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let request = agent.post(format!("http://{address}{path}")).content_type("application/json");
        let request = match response_timeout {
            Some(timeout) => {
                request.config().timeout_connect(Some(timeout)).timeout_recv_response(Some(timeout)).build()
            }
            None => request,
        };
        let mut response = request.send(&text[..])?;
        if let Err(malformed) = ResponseHead::from(&response).delimited_body_framing(&Method::POST) {
            self.close_connections();
            return Err(PeerError::Malformed(malformed));
        }
        if response.status() != StatusCode::OK {
            return Err(PeerError::Status(response.status()));
        }
        let text = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec()?;
        serde_json::from_slice(&text).map_err(PeerError::Decode)
    }

    /// Closes all idle connections. After a malformed response, the connection may be idle already although it is
    /// unknown where the response ends, and an agent cannot close one of its connections.
    fn close_connections(&self) {
        *self.agent.lock().unwrap_or_else(PoisonError::into_inner) = new_agent(&self.config);
    }
}

fn new_agent(config: &Config) -> Agent {
    Agent::with_parts(config.clone(), DefaultConnector::default(), NumericResolver)
}
