//! Calls between directors: JSON by POST, to addresses that are numbers.
use serde::{de::DeserializeOwned, Serialize};
use std::time::Duration;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};

/// Directors know each other by numbers. The usual resolver starts a thread for each call, to be able to give up.
#[derive(Debug)]
struct Numbers;

impl Resolver for Numbers {
    fn resolve(&self, uri: &Uri, _: &Config, _: NextTimeout) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let address = uri.authority().and_then(|authority| authority.as_str().parse().ok());
        let mut found = self.empty();
        found.push(address.ok_or(ureq::Error::HostNotFound)?);
        Ok(found)
    }
}

/// An answer is read up to this: a whole table of keys and hosts is well below it.
const MOST: u64 = 64 << 20;

/// Keeps one connection to each peer that it calls.
pub struct PeerClient {
    agent: ureq::Agent,
}

impl PeerClient {
    /// `connect`: for the connection; `whole`: for all of a call.
    pub fn new(connect: Duration, whole: Duration) -> PeerClient {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .timeout_connect(Some(connect))
            .timeout_global(Some(whole))
            .max_idle_connections(2)
            .max_idle_connections_per_host(1)
            // Longer silence between calls means that something is wrong with the connection.
            .max_idle_age(whole)
            .input_buffer_size(8 * 1024)
            .output_buffer_size(8 * 1024)
            .build();
        PeerClient { agent: ureq::Agent::with_parts(config, DefaultConnector::default(), Numbers) }
    }

    /// Anything but a 200 with the JSON that is expected is an error, in words.
    pub fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &T,
    ) -> Result<R, String> {
        self.call(address, path, body, None)
    }

    /// The same for a call that is answered at once: the answer has to begin within this.
    pub fn post_with_response_timeout<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &T,
        begin: Duration,
    ) -> Result<R, String> {
        self.call(address, path, body, Some(begin))
    }

    fn call<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &T,
        begin: Option<Duration>,
    ) -> Result<R, String> {
        let text = serde_json::to_vec(body).map_err(|e| e.to_string())?;
        let call = self.agent.post(format!("http://{address}{path}")).content_type("application/json");
        let call = call.config().timeout_recv_response(begin).build();
        let mut answer = call.send(&text[..]).map_err(|e| e.to_string())?;
        if answer.status() != 200 {
            return Err(format!("status {}", answer.status()));
        }
        let body = answer.body_mut().with_config().limit(MOST).read_to_vec().map_err(|e| e.to_string())?;
        serde_json::from_slice(&body).map_err(|e| e.to_string())
    }
}
