//! A resolver for numeric addresses; peers are never addressed by host names.
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;

/// Parses numeric addresses. The default resolver of the HTTP client starts a thread for each call, in order
/// to enforce its timeout.
#[derive(Debug)]
pub(crate) struct NumericResolver;

impl Resolver for NumericResolver {
    fn resolve(&self, uri: &Uri, _: &Config, _: NextTimeout) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let address = uri.authority().and_then(|authority| authority.as_str().parse().ok());
        let mut resolved = self.empty();
        resolved.push(address.ok_or(ureq::Error::HostNotFound)?);
        Ok(resolved)
    }
}
