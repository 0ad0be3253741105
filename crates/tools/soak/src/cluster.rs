//! The processes of a run, with their settings, data folders and logs, and a relay in front of each node.
//!
//! A node is known by the address of its relay: its settings name that as the address for operators, and edges and other nodes
//! derive from it where they reach the node; the process itself listens on another address.
use crate::drain::EMPTY;
use crate::endpoints::HEARTBEAT_INTERVAL;
use crate::history::{APPLY, CONTACT};
use crate::relay::{self, Link};
use eyre::WrapErr;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::Duration;

/// A run has at most this many nodes.
pub(crate) const MAX_NODES: usize = 4;
/// The settings name at most this many nodes.
const KNOWN_PEERS: usize = 3;
const ADMIN_PORT: u16 = 8544;
const PEER_PORT: u16 = 7540;
const CLIENT_PORT: u16 = 8080;

/// What a log line names that tells of a process which was killed while it created its database: there was nothing in the folder.
const INTERRUPTED_CREATION: [&str; 2] = ["AlreadyExists", "InvalidVersion(None)"];

/// A duration as settings files have it.
fn milliseconds(duration: Duration) -> String {
    format!("{}ms", duration.as_millis())
}

/// A process and what it is started with.
struct Process {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn start(&mut self) -> eyre::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command.env("COPPERSAIL_SETTINGS", &self.settings).stdout(log.try_clone()?).stderr(log);
        let program = self.program.display().to_string();
        self.child = Some(command.spawn().wrap_err_with(|| format!("can't start {program}"))?);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by name; nothing if the process does not run.
    fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        }
    }
}

/// Which process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ProcessId {
    Node(usize),
    Edge(usize),
}

impl ProcessId {
    /// Its number among the nodes, or the edges.
    pub(crate) fn index(self) -> usize {
        match self {
            ProcessId::Node(index) | ProcessId::Edge(index) => index,
        }
    }

    /// The number of an edge; none for a node.
    pub(crate) fn edge(self) -> Option<usize> {
        match self {
            ProcessId::Edge(edge) => Some(edge),
            ProcessId::Node(_) => None,
        }
    }
}

/// The loopback addresses of a run: three subnets, for relays, nodes and edges.
pub(crate) struct Network {
    /// The second number of the addresses.
    pub(crate) second: u8,
    /// The third number of the first subnet.
    pub(crate) first_subnet: u8,
}

impl Network {
    fn ip(&self, subnet: u8, index: usize) -> IpAddr {
        Ipv4Addr::new(127, self.second, self.first_subnet + subnet, index as u8 + 1).into()
    }

    fn address(&self, subnet: u8, index: usize) -> String {
        self.ip(subnet, index).to_string()
    }
}

/// The nodes and the edges that follow them.
pub(crate) struct Cluster {
    folder: PathBuf,
    network: Network,
    nodes: Vec<Process>,
    edges: Vec<Process>,
    pub(crate) links: Vec<Link>,
    /// The nodes whose disks were lost.
    lost_disks: BTreeSet<usize>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.iter_mut().chain(&mut self.edges).for_each(Process::kill);
    }
}

impl Cluster {
    /// Starts all processes, with empty folders below `folder`.
    pub(crate) fn start(
        programs: &Path,
        folder: PathBuf,
        network: Network,
        nodes: usize,
        edges: usize,
    ) -> eyre::Result<Cluster> {
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder)?;
        let mut cluster = Cluster {
            folder,
            network,
            nodes: Vec::new(),
            edges: Vec::new(),
            links: Vec::new(),
            lost_disks: BTreeSet::new(),
        };
        for node in 0..nodes {
            let relay = format!("{}:{PEER_PORT}", cluster.relay_ip(node));
            let link = relay::start(&relay, format!("{}:{PEER_PORT}", cluster.node_ip(node)));
            cluster.links.push(link.wrap_err_with(|| format!("can't listen at {relay}"))?);
            let process = cluster.process(programs, "coppersail-control-plane", &format!("node-{node}"));
            cluster.nodes.push(process);
        }
        (0..nodes).try_for_each(|node| cluster.write_node_settings(node, true))?;
        for edge in 0..edges {
            let process = cluster.process(programs, "coppersail-edge-proxy", &format!("edge-{edge}"));
            cluster.edges.push(process);
            cluster.write_edge_settings(edge)?;
        }
        cluster.nodes.iter_mut().chain(&mut cluster.edges).try_for_each(Process::start)?;
        Ok(cluster)
    }

    /// From now on a start of a node is not the first one. All must have read their settings, and written to their disks.
    pub(crate) fn end_first_start(&self) -> eyre::Result<()> {
        (0..self.nodes.len()).try_for_each(|node| self.write_node_settings(node, false))
    }

    fn process(&self, programs: &Path, program: &str, name: &str) -> Process {
        Process {
            program: programs.join(program),
            settings: self.folder.join(format!("{name}.json")),
            log: self.folder.join(format!("{name}.log")),
            child: None,
        }
    }

    fn relay_ip(&self, node: usize) -> String {
        self.network.address(0, node)
    }

    fn node_ip(&self, node: usize) -> String {
        self.network.address(1, node)
    }

    fn edge_ip(&self, edge: usize) -> String {
        self.network.address(2, edge)
    }

    /// Where operators reach a node, "ip:port".
    pub(crate) fn admin_address(&self, node: usize) -> String {
        format!("{}:{ADMIN_PORT}", self.relay_ip(node))
    }

    /// Where the endpoints of a slot are. They share the subnet of the relays.
    pub(crate) fn endpoint_address(&self, slot: usize) -> SocketAddr {
        SocketAddr::new(self.network.ip(0, MAX_NODES + slot), CLIENT_PORT)
    }

    /// Where clients reach an edge, "ip:port".
    pub(crate) fn client_address(&self, edge: usize) -> String {
        format!("{}:{CLIENT_PORT}", self.edge_ip(edge))
    }

    fn common_settings(&self, ip: &str, initial_boot: bool) -> Value {
        let known = 0..self.nodes.len().min(KNOWN_PEERS);
        let peers: Vec<String> = known.map(|node| self.admin_address(node)).collect();
        json!({
            "self": {"ipAddress": ip, "area": "north", "initialBoot": initial_boot},
            "network": {"sparePorts": [PEER_PORT, PEER_PORT], "knownPeers": peers, "binds": {}},
            "provider": {"heartbeat": milliseconds(HEARTBEAT_INTERVAL)},
            "terms": {
                "survive": {"boxes": 1},
                "timeLimits": {
                    "inContact": milliseconds(CONTACT), "apply": milliseconds(APPLY), "empty": milliseconds(EMPTY),
                    "keepMax": "10s", "leeway": "6s"
                }
            }
        })
    }

    fn write_node_settings(&self, node: usize, initial_boot: bool) -> eyre::Result<()> {
        let mut settings = self.common_settings(&self.node_ip(node), initial_boot);
        settings["self"]["dataFolder"] = json!(self.data_folder(node));
        settings["network"]["binds"]["admin"] = self.admin_address(node).into();
        std::fs::create_dir_all(self.data_folder(node))?;
        Ok(std::fs::write(&self.nodes[node].settings, settings.to_string())?)
    }

    fn write_edge_settings(&self, edge: usize) -> eyre::Result<()> {
        let mut settings = self.common_settings(&self.edge_ip(edge), false);
        settings["network"]["binds"]["publicPlain"] = self.client_address(edge).into();
        settings["network"]["binds"]["readiness"] = format!("{}:8081", self.edge_ip(edge)).into();
        Ok(std::fs::write(&self.edges[edge].settings, settings.to_string())?)
    }

    fn data_folder(&self, node: usize) -> PathBuf {
        self.folder.join(format!("data-{node}"))
    }

    /// Empties the data folder of a node that does not run.
    pub(crate) fn lose_disk(&mut self, node: usize) -> eyre::Result<()> {
        self.lost_disks.insert(node);
        let folder = self.data_folder(node);
        std::fs::remove_dir_all(&folder)?;
        Ok(std::fs::create_dir_all(&folder)?)
    }

    fn get_mut(&mut self, id: ProcessId) -> &mut Process {
        match id {
            ProcessId::Node(node) => &mut self.nodes[node],
            ProcessId::Edge(edge) => &mut self.edges[edge],
        }
    }

    pub(crate) fn kill(&mut self, id: ProcessId) {
        self.get_mut(id).kill();
    }

    /// Starts a process unless it runs.
    pub(crate) fn start_again(&mut self, id: ProcessId) -> eyre::Result<()> {
        let process = self.get_mut(id);
        if process.child.is_some() {
            return Ok(());
        }
        process.start()
    }

    /// Sends a signal by name.
    pub(crate) fn signal(&mut self, id: ProcessId, name: &str) {
        self.get_mut(id).signal(name);
    }

    /// Whether a process that was told to end has; it can be started again then.
    pub(crate) fn has_ended(&mut self, id: ProcessId) -> bool {
        let process = self.get_mut(id);
        let runs = process.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)));
        if !runs {
            process.child = None;
        }
        !runs
    }

    /// Writes the settings of a process once more.
    pub(crate) fn rewrite_settings(&self, id: ProcessId) -> eyre::Result<()> {
        match id {
            ProcessId::Node(node) => self.write_node_settings(node, false),
            ProcessId::Edge(edge) => self.write_edge_settings(edge),
        }
    }

    /// Lines of any log that tell of a fault of the program.
    pub(crate) fn suspicious_log_lines(&self) -> Vec<String> {
        let processes = self.nodes.iter().chain(&self.edges).enumerate();
        processes.flat_map(|(index, process)| self.suspicious_lines_of(index, process)).collect()
    }

    /// Those of one process; nodes have the first indices.
    fn suspicious_lines_of(&self, index: usize, process: &Process) -> Vec<String> {
        let text = std::fs::read_to_string(&process.log).unwrap_or_default();
        let has_any = |line: &str, words: &[&str]| words.iter().any(|word| line.contains(word));
        let has_lost_disk = index < self.nodes.len() && self.lost_disks.contains(&index);
        let is_suspicious = |line: &&str| {
            has_any(line, &["Invariant violated", "panicked", "torn"])
                && !(has_lost_disk && has_any(line, &INTERRUPTED_CREATION))
        };
        text.lines().filter(is_suspicious).map(str::to_owned).collect()
    }
}
