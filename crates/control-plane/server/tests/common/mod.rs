//! A cluster of three real control-plane nodes on loopback. Tests wait by long polls, with a deadline.
// Each test file includes the whole module and uses a part of it.
#![allow(dead_code)]

pub(crate) mod batches;

use coppersail_control_plane::store::generation::{self, Generation};
use coppersail_peer_client::PeerClient;
use coppersail_peer_protocol::{Update, WatchRequest};
use serde_json::{json, Value};
use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Three processes with their data folders, settings files and logs.
pub(crate) struct Core {
    pub(crate) ips: Vec<String>,
    folder: PathBuf,
    pub(crate) children: Vec<Option<Child>>,
    pub(crate) client: PeerClient,
}

impl Drop for Core {
    fn drop(&mut self) {
        (0..3).for_each(|n| self.kill(n));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Core {
    pub(crate) fn start(test: u8) -> Core {
        let net = std::process::id() % 200 + 20;
        let ips = (1..4).map(|n| format!("127.{net}.{test}.{n}")).collect();
        let folder = std::env::temp_dir().join(format!("control-plane-{}-{test}", std::process::id()));
        let client = PeerClient::new(Duration::from_millis(300), Duration::from_millis(1500));
        let mut core = Core { ips, folder, children: vec![None, None, None], client };
        (0..3).for_each(|n| core.run(n, true));
        // A node that is killed before its first write counts as having lost its disk, and two lost disks are
        // more than the system tolerates. Waiting until the nodes are ready is not enough: the first write is
        // queued before the listener opens, and becomes durable later.
        for node in 0..3 {
            core.wait_until_node_ready(node);
            core.wait_until_written_after(node, 0);
        }
        core
    }

    pub(crate) fn data(&self, n: usize) -> PathBuf {
        self.folder.join(n.to_string())
    }

    pub(crate) fn settings_file(&self, n: usize) -> PathBuf {
        self.folder.join(format!("{n}.json"))
    }

    /// The log of the node, over all its processes.
    pub(crate) fn log(&self, n: usize) -> String {
        std::fs::read_to_string(self.folder.join(format!("{n}.log"))).unwrap()
    }

    pub(crate) fn run(&mut self, n: usize, initial_boot: bool) {
        std::fs::create_dir_all(self.data(n)).unwrap();
        let peers: Vec<String> = self.ips.iter().map(|ip| format!("{ip}:8544")).collect();
        let settings = json!({
            "self": {"ipAddress": self.ips[n], "area": "a", "initialBoot": initial_boot, "dataFolder": self.data(n)},
            "network": {"binds": {"admin": peers[n]}, "sparePorts": [7540, 7555], "knownPeers": peers},
            "provider": {"heartbeat": "300ms"},
            "terms": {"survive": {"boxes": 1}, "timeLimits": {"inContact": "1500ms", "keepMax": "2s"}}
        });
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{n}.log")));
        std::fs::write(self.settings_file(n), settings.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_coppersail-control-plane"));
        command.env("COPPERSAIL_SETTINGS", self.settings_file(n)).stderr(log.unwrap());
        self.children[n] = Some(command.spawn().unwrap());
    }

    /// Ends the node with SIGKILL.
    pub(crate) fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    pub(crate) fn signal(&self, n: usize, name: &str) {
        let pid = self.children[n].as_ref().unwrap().id();
        assert!(Command::new("sh").args(["-c", &format!("kill -{name} {pid}")]).status().unwrap().success());
    }

    /// Sends a request to one node, which may redirect it twice. `None` if there is no definite response.
    pub(crate) fn at(&self, n: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_millis(1500)))
            .build();
        let agent: ureq::Agent = config.into();
        let mut url = format!("http://{}:8544{path}", self.ips[n]);
        for _ in 0..3 {
            let call = match method {
                "POST" => agent.post(&url).config().max_redirects(0).build().send(body),
                _ => agent.get(&url).config().max_redirects(0).build().call(),
            };
            let mut response = call.ok()?;
            match response.status().as_u16() {
                307 => url = response.headers()["location"].to_str().unwrap().into(),
                503 => return None,
                status => return Some((status, response.body_mut().read_to_string().ok()?)),
            }
        }
        None
    }

    /// Sends a request to the running nodes in turn, until one gives a definite response.
    pub(crate) fn admin(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let running = (0..3).filter(|n| self.children[*n].is_some());
        running.into_iter().find_map(|n| self.at(n, method, path, body))
    }

    /// Sends a request until a node answers, with a long poll between the attempts.
    pub(crate) fn order(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            if let Some(response) = self.admin(method, path, body) {
                return response;
            }
            self.long_poll(200);
        }
        panic!("no node answered {method} {path}: {:#?}", [0, 1, 2].map(|n| self.log(n)));
    }

    /// Waits for a change of the feed of the first running node, for at most `wait_ms`.
    pub(crate) fn long_poll(&self, wait_ms: u64) -> Option<Update> {
        let running = self.children.iter().position(|c| c.is_some()).unwrap_or(0);
        let address = format!("{}:7540", self.ips[running]);
        let mut watch = WatchRequest { edge: "e".into(), ..WatchRequest::default() };
        let update: Update = self.client.post(&address, "/follow", &watch).ok()?;
        (watch.feed_id, watch.sequence, watch.wait_ms) = (update.feed_id, update.sequence, wait_ms);
        self.client.post(&address, "/follow", &watch).ok().or(Some(update))
    }

    /// Waits until the first running node has opened its disk and answers.
    pub(crate) fn wait_until_ready(&self) {
        self.wait_until_node_ready(self.children.iter().position(|c| c.is_some()).unwrap_or(0));
    }

    fn wait_until_node_ready(&self, n: usize) {
        let (end, address) = (Instant::now() + Duration::from_secs(20), format!("{}:7540", self.ips[n]));
        let watch = WatchRequest { edge: "e".into(), ..WatchRequest::default() };
        while self.client.post::<_, Update>(&address, "/follow", &watch).is_err() {
            assert!(Instant::now() < end, "{n} does not start");
            std::thread::yield_now();
        }
    }

    /// The number of the last batch that the node's generation file names; 0 before its first write.
    pub(crate) fn generation(&self, n: usize) -> u64 {
        match generation::read(&self.data(n)) {
            Ok(Generation::Number(number)) => number,
            _ => 0,
        }
    }

    /// Waits until the node has written a batch after this generation. The generation file is updated after
    /// each durable batch.
    pub(crate) fn wait_until_written_after(&self, n: usize, previous: u64) {
        let end = Instant::now() + Duration::from_secs(20);
        while self.generation(n) <= previous {
            assert!(Instant::now() < end, "{n} writes nothing after batch {previous}");
            std::thread::yield_now();
        }
    }

    pub(crate) fn replace(&self, revision: u64, prefix: &str) -> u16 {
        self.order("POST", "/settings/replace", &settings(revision, prefix).to_string()).0
    }

    pub(crate) fn read(&self) -> Value {
        serde_json::from_str(&self.order("GET", "/settings/read", "").1).unwrap()
    }
}

pub(crate) fn settings(revision: u64, prefix: &str) -> Value {
    json!({
        "revision": format!("r{revision}"),
        "routes": {"columns": ["name", "domain", "pathStart", "sort", "giveUp", "target_time", "backend"],
                   "rows": [["r", "d.example", prefix, "repeatable", "1000ms", "400ms", "s"]]},
        "backends": {"columns": ["name", "checkPath", "maxConnections", "splitUp"], "rows": [["s", "/w", 10, null]]},
        "caps": {"headSizeBytes": 16384, "bodySizeBytes": 1000, "headWait": "3000ms", "quiet": "15000ms"}
    })
}
