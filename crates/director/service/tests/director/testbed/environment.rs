//! Starts a director among stand-ins, and changes the stand-ins and its files.

use super::collector::Collector;
use super::config::{host_entry, host_list, DirectorConfig};
use super::director_process::{DirectorProcess, OPERATOR_FILE};
use crate::stand_ins::{bind_loopback, DiscoveryStandIn, HostStandIn, RelayStandIn, Shared};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const CONFIG_FILE: &str = "config.json";

/// A director and the stand-ins of its peers. Dropping it kills the director and removes its folder.
pub(crate) struct Testbed {
    pub(crate) relay: Shared<RelayStandIn>,
    pub(crate) discovery: Shared<DiscoveryStandIn>,
    pub(crate) host: Shared<HostStandIn>,
    pub(crate) director: DirectorProcess,
    pub(crate) listen_address: SocketAddr,
    host_address: SocketAddr,
    folder: PathBuf,
}

/// The surroundings of the director at its start.
struct Surroundings<'a> {
    host_count: usize,
    /// The proxies that have joined.
    proxies: BTreeSet<u16>,
    /// Number of slices of the director; the table of each has one line, for the first host.
    slice_count: u16,
    operator_file: Option<&'a str>,
}

impl Testbed {
    /// Three hosts in service, three proxies joined, two slices on the first host.
    pub(crate) fn start() -> Self {
        Testbed::with_slices(2, None, |_| {})
    }

    /// Like [`Testbed::start`], and waits until every table has two lines.
    pub(crate) fn with_tables() -> Self {
        let testbed = Testbed::start();
        testbed.relay.wait_until("both slices have two lines", |relay| relay.all_tables_have(2));
        testbed
    }

    /// Like [`Testbed::start`] with this many slices, ten reports per second, and an operators' file, in which `DIR`
    /// stands for the testbed's folder.
    pub(crate) fn with_operator_file(slice_count: u16, operator_file: &str) -> Self {
        Testbed::with_slices(slice_count, Some(operator_file), |config| {
            config.slice_count = slice_count;
            config.report_interval_ns = 100_000_000;
        })
    }

    /// Like [`Testbed::with_operator_file`], and waits until every table has two lines.
    pub(crate) fn with_operator_file_and_tables(slice_count: u16, operator_file: &str) -> Self {
        let testbed = Testbed::with_operator_file(slice_count, operator_file);
        testbed.relay.wait_until("every slice has two lines", |relay| relay.all_tables_have(2));
        testbed
    }

    /// A fleet with as many directors as hosts. This director has a quarter of the slices, and all proxies have
    /// joined.
    pub(crate) fn with_fleet(host_count: usize, proxy_count: u16, slice_count: u16) -> Self {
        let proxies = (0..proxy_count).collect();
        let surroundings = Surroundings { host_count, proxies, slice_count, operator_file: None };
        Testbed::start_among(surroundings, |config| {
            config.director_count = host_count;
            config.proxy_count = proxy_count;
            config.slice_count = 4 * slice_count;
            config.lines_per_s = 500_000.0;
            config.backlog = 1_000_000.0;
            config.memory_mb = 192;
            config.sockets = 4096;
        })
    }

    fn with_slices(
        slice_count: u16,
        operator_file: Option<&str>,
        adjust: impl FnOnce(&mut DirectorConfig),
    ) -> Self {
        let proxies = BTreeSet::from([1, 2, 3]);
        Testbed::start_among(Surroundings { host_count: 3, proxies, slice_count, operator_file }, adjust)
    }

    fn start_among(surroundings: Surroundings, adjust: impl FnOnce(&mut DirectorConfig)) -> Self {
        let Surroundings { host_count, proxies, slice_count, operator_file } = surroundings;
        let (relay_listener, relay_address) = bind_loopback();
        let (discovery_listener, discovery_address) = bind_loopback();
        let (host_listener, host_address) = bind_loopback();
        // Frees the port again for the director.
        let (unused_listener, listen_address) = bind_loopback();
        drop(unused_listener);

        let first_table = BTreeMap::from([("s-1".to_string(), 1.0)]);
        let slices = (0..slice_count).map(|slice| (slice, first_table.clone())).collect();
        let relay = Shared::new(RelayStandIn::new(proxies, slices));
        let discovery = Shared::new(DiscoveryStandIn::new(host_list(1, false, &[])));
        let host = Shared::new(HostStandIn::new());
        RelayStandIn::spawn(relay_listener, &relay);
        DiscoveryStandIn::spawn(discovery_listener, &discovery);
        HostStandIn::spawn(host_listener, &host);

        let folder_name = format!("coppersail-{}-{}", std::process::id(), listen_address.port());
        let folder = std::env::temp_dir().join(folder_name);
        std::fs::create_dir_all(&folder).unwrap();
        let entries: Vec<String> = (1..=host_count)
            .map(|number| host_entry(&format!("s-{number}"), host_address, "in_service"))
            .collect();
        let known_hosts = host_list(1, true, &entries);
        let mut config = DirectorConfig::new(listen_address, discovery_address, relay_address, known_hosts);
        adjust(&mut config);
        std::fs::write(folder.join(CONFIG_FILE), config.to_json()).unwrap();
        if let Some(text) = operator_file {
            write_operator_file(&folder, text);
        }
        let director = DirectorProcess::spawn(&folder.join(CONFIG_FILE));
        Testbed { relay, discovery, host, director, listen_address, host_address, folder }
    }

    pub(crate) fn folder(&self) -> &Path {
        &self.folder
    }

    /// Moves relay and discovery to new addresses and has the director reload its configuration. Connections to the
    /// old addresses stay open.
    pub(crate) fn relocate_services(&self) {
        let (relay_listener, relay_address) = bind_loopback();
        let (discovery_listener, discovery_address) = bind_loopback();
        RelayStandIn::relocate(relay_listener, &self.relay);
        DiscoveryStandIn::relocate(discovery_listener, &self.discovery);
        self.reload_config_with_addresses(discovery_address, relay_address);
    }

    /// Has the director reload a configuration with these addresses.
    pub(crate) fn reload_config_with_addresses(&self, discovery: SocketAddr, relay: SocketAddr) {
        let known_hosts = host_list(1, true, &[]);
        let config = DirectorConfig::new(self.listen_address, discovery, relay, known_hosts);
        self.reload_config(Some(&config.to_json()));
    }

    /// Replaces or removes the configuration file, and has the director reload it.
    pub(crate) fn reload_config(&self, text: Option<&str>) {
        let path = self.folder.join(CONFIG_FILE);
        match text {
            Some(text) => std::fs::write(path, text).unwrap(),
            None => std::fs::remove_file(path).unwrap(),
        }
        self.director.signal("HUP");
    }

    /// Replaces the operators' file and has the director reload it.
    pub(crate) fn reload_operator_file(&self, text: &str) {
        write_operator_file(&self.folder, text);
        self.director.signal("HUP");
    }

    /// A connection that has not joined.
    pub(crate) fn connect(&self) -> Collector {
        Collector::connect(self.listen_address)
    }

    /// A connection that has joined as the collector of the only zone.
    pub(crate) fn connect_collector(&self) -> Collector {
        let joined_before = self.director.counter("zones_named");
        let mut collector = self.connect();
        collector.send_line(br#"{"msg":"agent","az":"a"}"#);
        self.director.wait_for_counter("zones_named", joined_before + 1);
        collector
    }

    /// Has discovery report a new state of a host.
    pub(crate) fn update_host(&self, version: u64, id: &str, state: &str) {
        let line = host_list(version, false, &[host_entry(id, self.host_address, state)]);
        self.discovery.update(|discovery| {
            discovery.first_line = line.clone();
            discovery.send_line(&line);
        });
    }

    /// A complete list of these hosts, all in service.
    pub(crate) fn full_host_list(&self, version: u64, ids: &[&str]) -> String {
        let entries: Vec<String> =
            ids.iter().map(|id| host_entry(id, self.host_address, "in_service")).collect();
        host_list(version, true, &entries)
    }

    /// Kills the director with SIGKILL and starts it again.
    pub(crate) fn restart_director(&mut self) {
        self.director.kill();
        self.director = DirectorProcess::spawn(&self.folder.join(CONFIG_FILE));
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        self.director.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn write_operator_file(folder: &Path, text: &str) {
    let text = text.replace("DIR", &folder.display().to_string());
    std::fs::write(folder.join(OPERATOR_FILE), text).unwrap();
}
