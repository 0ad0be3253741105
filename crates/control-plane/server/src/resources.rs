//! One handler for each resource: what hosts and operators call on `admin`, and what directors call among themselves.
use crate::admin::one_line;
use crate::node::{AdminRequest, PeerRequest};
use coppersail_peer_protocol::WatchRequest;
use std::io::Read;
use tiny_http::{Method, Request};

/// A call, as the centre takes it.
pub enum ParsedRequest {
    Admin(AdminRequest),
    Peer(PeerRequest),
}

pub trait Resource: Send + Sync {
    /// The part of the path that it is about, if the call is for it.
    fn takes<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str>;
    /// What can't be read is refused with a line.
    fn read(&self, method: &Method, part: &str, body: String) -> Result<ParsedRequest, String>;
}

/// Reads the body, as much as it says, and no more than a configuration may have.
pub fn read(request: &mut Request) -> Option<String> {
    let mut body = String::new();
    let most = 16 << 20;
    request.as_reader().take(most).read_to_string(&mut body).ok()?;
    request.body_length().is_none_or(|n| n == body.len()).then_some(body)
}

fn host<'a>(method: &Method, path: &'a str, end: &str) -> Option<&'a str> {
    let ident = path.strip_prefix("/servers/")?.strip_suffix(end)?;
    (*method == Method::Post && !ident.is_empty()).then_some(ident)
}

/// `POST /servers/ID/pulse`
pub struct Pulses;

impl Resource for Pulses {
    fn takes<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        host(method, path, "/pulse")
    }

    fn read(&self, _method: &Method, ident: &str, body: String) -> Result<ParsedRequest, String> {
        Ok(ParsedRequest::Admin(AdminRequest::Heartbeat { ident: ident.into(), body }))
    }
}

/// `POST /servers/ID/sign-off`
pub struct SignOffs;

impl Resource for SignOffs {
    fn takes<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        host(method, path, "/sign-off")
    }

    fn read(&self, _method: &Method, ident: &str, _body: String) -> Result<ParsedRequest, String> {
        Ok(ParsedRequest::Admin(AdminRequest::SignOff { ident: ident.into() }))
    }
}

/// `POST /settings/replace` and `GET /settings/read`
pub struct Configurations;

impl Resource for Configurations {
    fn takes<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        match (method, path) {
            (Method::Post, "/settings/replace") | (Method::Get, "/settings/read") => Some(path),
            _ => None,
        }
    }

    fn read(&self, method: &Method, _path: &str, body: String) -> Result<ParsedRequest, String> {
        let replace = *method == Method::Post;
        Ok(ParsedRequest::Admin(if replace {
            AdminRequest::ReplaceConfig { body }
        } else {
            AdminRequest::ReadConfig
        }))
    }
}

/// `POST /rollouts/NAME`, `POST /rollouts/NAME/ORDER`, `GET /rollouts/NAME`, `GET /rollouts`
pub struct Plans;

impl Resource for Plans {
    fn takes<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        let rest = path.strip_prefix("/rollouts")?;
        let whole = rest.is_empty() || rest.starts_with('/');
        (whole && matches!(method, Method::Get | Method::Post)).then_some(rest)
    }

    fn read(&self, method: &Method, rest: &str, body: String) -> Result<ParsedRequest, String> {
        let post = *method == Method::Post;
        Ok(ParsedRequest::Admin(AdminRequest::Rollouts { post, rest: rest.into(), body }))
    }
}

/// `POST /follow`: edges, and other centres.
pub struct Follows;

impl Resource for Follows {
    fn takes<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        (*method == Method::Post && path == "/follow").then_some(path)
    }

    fn read(&self, _method: &Method, _part: &str, body: String) -> Result<ParsedRequest, String> {
        let follow = serde_json::from_str::<WatchRequest>(&body).map_err(|_| one_line("not a poll"))?;
        Ok(ParsedRequest::Peer(PeerRequest::Watch(Box::new(follow))))
    }
}

/// `POST /core`: calls to a witness, and a primary's writes to its backup.
pub struct Cores;

impl Resource for Cores {
    fn takes<'a>(&self, method: &Method, path: &'a str) -> Option<&'a str> {
        (*method == Method::Post && path == "/core").then_some(path)
    }

    fn read(&self, _method: &Method, _part: &str, body: String) -> Result<ParsedRequest, String> {
        serde_json::from_str(&body)
            .map(|call| ParsedRequest::Peer(PeerRequest::Consensus(call)))
            .map_err(one_line)
    }
}
