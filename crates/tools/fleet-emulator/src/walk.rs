//! What one hollow edge says from poll to poll, and a configuration for hollow hosts.
use coppersail_peer_protocol::{RequestCounts, Update, WatchRequest};
use serde_json::json;

/// An edge that polls and keeps only what it needs for the next poll.
///
/// ```
/// use coppersail_fleet_emulator::Follower;
/// let mut edge = Follower::new(3, "north".into(), 1000);
/// assert_eq!((edge.poll(&[]).edge.as_str(), edge.poll(&[]).seq), ("127.64.0.3", 0));
/// let news = coppersail_peer_protocol::News { feed: 5, seq: 9, whole: true, ..Default::default() };
/// assert!(edge.took(&news));
/// assert!(!edge.took(&news), "nothing new the second time");
/// assert_eq!((edge.poll(&[]).feed, edge.poll(&[]).seq), (5, 9));
/// ```
#[derive(Debug, Clone)]
pub struct Follower {
    follow: WatchRequest,
}

impl Follower {
    /// Addresses of the loopback net, so that no real edge is taken for one.
    pub fn new(number: u32, area: String, wait_ms: u64) -> Follower {
        let edge = format!("127.{}.{}.{}", 64 + (number >> 16 & 63), number >> 8 & 255, number & 255);
        Follower { follow: WatchRequest { edge, zone: area, wait_ms, ..WatchRequest::default() } }
    }

    pub fn poll(&self, asked: &[RequestCounts]) -> WatchRequest {
        WatchRequest { request_counts: asked.to_vec(), ..self.follow.clone() }
    }

    /// Takes an answer; whether it told anything new.
    pub fn took(&mut self, news: &Update) -> bool {
        let new = (news.feed_id, news.sequence) != (self.follow.feed_id, self.follow.sequence);
        (self.follow.feed_id, self.follow.sequence) = (news.feed_id, news.sequence);
        new
    }
}

/// The size of a made-up configuration.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub revision: u64,
    pub routes: usize,
    pub services: usize,
    /// How many of the services are divided by key.
    pub split: usize,
}

/// The name of the service of host `number`.
pub fn service(number: usize, services: usize) -> String {
    format!("b{}", number % services.max(1))
}

/// A configuration for hollow hosts, as `POST /settings/replace` takes it.
///
/// ```
/// let size = coppersail_fleet_emulator::Size { revision: 4, routes: 530, services: 55, split: 5 };
/// let config = coppersail_config::config::parse(coppersail_fleet_emulator::settings(size).as_bytes()).unwrap();
/// assert_eq!((config.revision, config.routes.len(), config.services.len()), (4, 530, 55));
/// assert_eq!(config.services.iter().filter(|service| service.split_up).count(), 5);
/// ```
pub fn settings(size: Size) -> String {
    let route = |n: usize| {
        let (domain, start) = (format!("d{}.example", n % 100), format!("/p{n}/"));
        json!([
            format!("r{n}"),
            domain,
            start,
            "repeatable",
            "5s",
            "1s",
            1,
            null,
            2,
            service(n, size.services)
        ])
    };
    let host = |n: usize| json!([service(n, size.services), "/wellness", 100, n < size.split]);
    let columns = [
        "name",
        "domain",
        "pathStart",
        "sort",
        "giveUp",
        "target_time",
        "rank",
        "shares",
        "tries",
        "backend",
    ];
    json!({
        "revision": format!("r{}", size.revision),
        "routes": {"columns": columns, "rows": (0..size.routes).map(route).collect::<Vec<_>>()},
        "backends": {
            "columns": ["name", "checkPath", "maxConnections", "splitUp"],
            "rows": (0..size.services).map(host).collect::<Vec<_>>(),
        },
    })
    .to_string()
}
