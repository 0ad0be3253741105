//! Redirects between control-plane nodes: a node that can't serve a call answers 307 with the one that can.

/// How often one call is redirected before it fails.
pub const MAX_REDIRECTS: usize = 2;

/// Where a redirect leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RedirectTarget<'a> {
    /// The node, as "ip:port".
    pub address: &'a str,
    /// The path with its slash; empty if the location has none.
    pub path: &'a str,
}

impl<'a> RedirectTarget<'a> {
    /// Parses a `Location` header; `None` if it is no plain HTTP URL.
    pub fn parse(location: &'a str) -> Option<RedirectTarget<'a>> {
        let rest = location.strip_prefix("http://")?;
        let (address, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        Some(RedirectTarget { address, path })
    }
}
