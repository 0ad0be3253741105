//! Name resolution, which peers don't need.
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;

/// Reads numeric addresses. The client's default resolver starts a thread for each call, in order to keep its timeout.
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
