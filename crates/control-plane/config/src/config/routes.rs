//! The routing table of a configuration.
use super::model::{Config, Route};
use std::borrow::Cow;
use std::collections::HashMap;

/// The routing table. Routes are found by domain, and within a domain by the longest prefix of the path.
///
/// ```
/// use coppersail_config::{Config, Route, Routes};
/// let route = |start: &str| Route { domain: "a.example".into(), path_prefix: start.into(), ..Default::default() };
/// let routes = Routes::new(&Config { routes: vec![route("/"), route("/x/y/")], ..Default::default() });
/// assert_eq!(routes.lookup("A.example:80", "/x/y/z").unwrap().path_prefix, "/x/y/");
/// assert_eq!(routes.lookup("a.example", "/x/yz").unwrap().path_prefix, "/");
/// assert!(routes.lookup("b.example", "/x/y/z").is_none());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Routes {
    /// Sorted by domain, then by prefix. Of routes with equal domain and prefix only the last of the
    /// configuration is kept.
    routes: Vec<Route>,
    /// For each of `routes`, the index of the route in its domain with the longest proper prefix of its own
    /// prefix.
    parents: Vec<Option<u32>>,
    /// By domain, the range of its routes in `routes`: the first index and the one after the last.
    domains: HashMap<String, (u32, u32)>,
}

impl Routes {
    /// Builds the table of a configuration.
    pub fn new(config: &Config) -> Routes {
        let mut sorted: Vec<(String, &Route)> = config
            .routes
            .iter()
            .map(|route| (host_without_port(&route.domain).into_owned(), route))
            .collect();
        // The sort is stable, so the last of equal routes is the last of the configuration.
        sorted.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        let mut table = Routes::default();
        // The chain of routes whose prefixes are prefixes of the current one.
        let mut ancestors: Vec<u32> = Vec::new();
        for (position, entry) in sorted.iter().enumerate() {
            let replaced = sorted.get(position + 1).is_some_and(|next| sort_key(entry) == sort_key(next));
            if !replaced {
                table.append(&entry.0, entry.1, &mut ancestors);
            }
        }
        table
    }

    fn append(&mut self, domain: &str, route: &Route, ancestors: &mut Vec<u32>) {
        let index = self.routes.len() as u32;
        let bounds = self.domains.entry(domain.to_string()).or_insert((index, index));
        bounds.1 = index + 1;
        if bounds.0 == index {
            ancestors.clear();
        }
        let is_prefix =
            |ancestor: u32| route.path_prefix.starts_with(&self.routes[ancestor as usize].path_prefix);
        while ancestors.last().is_some_and(|ancestor| !is_prefix(*ancestor)) {
            ancestors.pop();
        }
        self.parents.push(ancestors.last().copied());
        self.routes.push(route.clone());
        ancestors.push(index);
    }

    /// The route of a request, by its `Host` header and its path; a query is ignored.
    pub fn lookup(&self, host: &str, path: &str) -> Option<&Route> {
        let path = path.split('?').next().unwrap_or_default();
        let &(first, end) = self.domains.get(host_without_port(host).as_ref())?;
        let of_domain = &self.routes[first as usize..end as usize];
        // Every matching prefix is either that of the last route that does not sort after the path, or a
        // prefix of that one.
        let not_above = of_domain.partition_point(|route| route.path_prefix.as_str() <= path);
        let mut candidate = Some(first + not_above.checked_sub(1)? as u32);
        while let Some(index) = candidate {
            let route = &self.routes[index as usize];
            if path.starts_with(&route.path_prefix) {
                return Some(route);
            }
            candidate = self.parents[index as usize];
        }
        None
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

fn sort_key<'a>((domain, route): &'a (String, &Route)) -> (&'a str, &'a str) {
    (domain, &route.path_prefix)
}

/// A host in lower case without its port; an IPv6 address keeps its brackets.
fn host_without_port(host: &str) -> Cow<'_, str> {
    let host = host.trim();
    let end = match host.find(']') {
        Some(end) => end + 1,
        None => host.find(':').unwrap_or(host.len()),
    };
    match &host[..end] {
        name if name.bytes().any(|b| b.is_ascii_uppercase()) => Cow::Owned(name.to_ascii_lowercase()),
        name => Cow::Borrowed(name),
    }
}
