//! One handler for each HTTP resource: the requests of endpoints and operators on the admin address, and the
//! requests of nodes and edge proxies on the peer address.
use crate::node::{AdminRequest, PeerRequest};
use crate::responses::error_body;
use coppersail_peer_protocol::WatchRequest;
use hyper::Method;
use thiserror::Error;

/// The longest body that is read, in bytes: no configuration is longer.
pub(crate) const MAX_BODY_BYTES: usize = 16 << 20;

/// A parsed request for the node.
pub(crate) enum ParsedRequest {
    Admin(AdminRequest),
    Peer(PeerRequest),
}

/// Why a request is refused before the node sees it.
#[derive(Debug, Error)]
pub(crate) enum RequestError {
    #[error("nothing here")]
    UnknownResource,
    /// The body ended before its Content-Length, is longer than allowed, or is not UTF-8.
    #[error("the body was cut short")]
    IncompleteBody,
    #[error("not a poll")]
    InvalidWatch(#[source] serde_json::Error),
    #[error(transparent)]
    InvalidConsensusRequest(serde_json::Error),
}

impl RequestError {
    pub(crate) fn status(&self) -> u16 {
        match self {
            RequestError::UnknownResource => 404,
            _ => 400,
        }
    }

    /// `{"why": ...}`
    pub(crate) fn body(&self) -> String {
        error_body(self)
    }
}

/// A resource, or several that belong together.
pub(crate) trait Resource: Send + Sync {
    /// The part of the path that names what the request is about, if the request is for this resource.
    fn matches<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str>;

    /// Parses a request for this resource; `parameter` is what [`Resource::matches`] found.
    fn parse(&self, method: &Method, parameter: &str, body: String) -> Result<ParsedRequest, RequestError>;
}

/// The resources for endpoints and operators.
pub(crate) fn of_admin() -> Vec<Box<dyn Resource>> {
    vec![Box::new(Heartbeats), Box::new(SignOffs), Box::new(Configurations), Box::new(Rollouts)]
}

/// The resources for edge proxies and other nodes.
pub(crate) fn of_peers() -> Vec<Box<dyn Resource>> {
    vec![Box::new(Watches), Box::new(ConsensusRequests)]
}

/// The id in `POST /servers/ID` with this suffix.
fn endpoint_id<'a>(method: &Method, path: &'a str, suffix: &str) -> Option<&'a str> {
    let id = path.strip_prefix("/servers/")?.strip_suffix(suffix)?;
    (*method == Method::POST && !id.is_empty()).then_some(id)
}

/// `POST /servers/ID/pulse`
struct Heartbeats;

impl Resource for Heartbeats {
    fn matches<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        endpoint_id(method, path, "/pulse")
    }

    fn parse(&self, _method: &Method, id: &str, body: String) -> Result<ParsedRequest, RequestError> {
        Ok(ParsedRequest::Admin(AdminRequest::Heartbeat { endpoint_id: id.into(), body }))
    }
}

/// `POST /servers/ID/sign-off`
struct SignOffs;

impl Resource for SignOffs {
    fn matches<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        endpoint_id(method, path, "/sign-off")
    }

    fn parse(&self, _method: &Method, id: &str, _body: String) -> Result<ParsedRequest, RequestError> {
        Ok(ParsedRequest::Admin(AdminRequest::SignOff { endpoint_id: id.into() }))
    }
}

/// `POST /settings/replace` and `GET /settings/read`
struct Configurations;

impl Resource for Configurations {
    fn matches<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        match (method, path) {
            (&Method::POST, "/settings/replace") | (&Method::GET, "/settings/read") => Some(path),
            _ => None,
        }
    }

    fn parse(&self, method: &Method, _path: &str, body: String) -> Result<ParsedRequest, RequestError> {
        Ok(ParsedRequest::Admin(match *method {
            Method::POST => AdminRequest::ReplaceConfig { body },
            _ => AdminRequest::ReadConfig,
        }))
    }
}

/// `POST /rollouts/NAME`, `POST /rollouts/NAME/COMMAND`, `GET /rollouts/NAME`, `GET /rollouts`
struct Rollouts;

impl Resource for Rollouts {
    fn matches<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        let rest = path.strip_prefix("/rollouts")?;
        let is_segment = rest.is_empty() || rest.starts_with('/');
        (is_segment && matches!(*method, Method::GET | Method::POST)).then_some(rest)
    }

    fn parse(&self, method: &Method, rest: &str, body: String) -> Result<ParsedRequest, RequestError> {
        let post = *method == Method::POST;
        Ok(ParsedRequest::Admin(AdminRequest::Rollouts { post, path: rest.into(), body }))
    }
}

/// `POST /follow`: the change feed, for edge proxies and other nodes.
struct Watches;

impl Resource for Watches {
    fn matches<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        (*method == Method::POST && path == "/follow").then_some(path)
    }

    fn parse(&self, _method: &Method, _path: &str, body: String) -> Result<ParsedRequest, RequestError> {
        let watch = serde_json::from_str::<WatchRequest>(&body).map_err(RequestError::InvalidWatch)?;
        Ok(ParsedRequest::Peer(PeerRequest::Watch(Box::new(watch))))
    }
}

/// `POST /core`: a candidate's or leader's requests to a voter, and its writes to a replica.
struct ConsensusRequests;

impl Resource for ConsensusRequests {
    fn matches<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        (*method == Method::POST && path == "/core").then_some(path)
    }

    fn parse(&self, _method: &Method, _path: &str, body: String) -> Result<ParsedRequest, RequestError> {
        let request = serde_json::from_str(&body).map_err(RequestError::InvalidConsensusRequest)?;
        Ok(ParsedRequest::Peer(PeerRequest::Consensus(request)))
    }
}
