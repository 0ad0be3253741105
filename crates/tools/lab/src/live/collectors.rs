//! The fakes of collectors: a connection to the director for each zone, over which reports go.

use super::threads::WRITE_TIMEOUT;
use crate::platform::Platform;
use coppersail::interface::{Input, ZoneId};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for the director to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The collectors of all zones.
pub(super) struct Collectors {
    platform: Arc<Platform>,
    director: SocketAddr,
    connections: BTreeMap<ZoneId, TcpStream>,
}

impl Collectors {
    /// Collectors without connections; the director is to listen at `director`.
    pub(super) fn new(platform: Arc<Platform>, director: SocketAddr) -> Self {
        Collectors { platform, director, connections: BTreeMap::new() }
    }

    /// Connects the collectors that have no connection; whether all have one now.
    pub(super) fn connect_all(&mut self) -> bool {
        let zones = self.platform.settings.zone_names.len();
        for zone in 0..zones {
            self.connect(ZoneId(zone as u16));
        }
        self.connections.len() == zones
    }

    fn connect(&mut self, zone: ZoneId) {
        if self.connections.contains_key(&zone) {
            return;
        }
        let Ok(mut stream) = TcpStream::connect_timeout(&self.director, CONNECT_TIMEOUT) else {
            return;
        };
        let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
        let hello = self.platform.collector_hello(zone);
        if stream.write_all(hello.as_bytes()).is_ok() {
            self.connections.insert(zone, stream);
        }
    }

    /// Sends the reports among the inputs, those of a zone in one write.
    pub(super) fn deliver(&mut self, inputs: &[Input]) {
        let mut texts: BTreeMap<ZoneId, String> = BTreeMap::new();
        for input in inputs {
            if let Some((zone, line)) = self.platform.collector_report(input) {
                *texts.entry(zone).or_default() += &line;
            }
        }
        for (zone, text) in texts {
            self.connect(zone);
            let sent = self.connections.get_mut(&zone).map(|stream| stream.write_all(text.as_bytes()));
            // Closed by the director, or stalled: it connects again with the next report.
            if !matches!(sent, Some(Ok(()))) {
                self.connections.remove(&zone);
            }
        }
    }

    /// Closes all connections.
    pub(super) fn close(&mut self) {
        self.connections.clear();
    }
}
