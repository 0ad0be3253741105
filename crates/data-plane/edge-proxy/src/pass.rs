//! Former names of the request path, which `sessions.rs` uses.
pub(crate) use crate::attempt_loop::ProxiedResponse as Passed;
pub(crate) use crate::body::Body as Held;
pub(crate) use crate::proxy::{
    proxy_buffered as forward, proxy_request as pass, read_request_body as take_body,
};
pub(crate) use crate::request::ReceivedRequest as Taken;
