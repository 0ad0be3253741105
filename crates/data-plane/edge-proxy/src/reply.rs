//! Former names of responses, which `sessions.rs` uses.
pub(crate) use crate::response::{
    close_connection as closing, empty_response as own, unavailable as later, ResponseBody as Reply,
    ResponseContent as Kind,
};
