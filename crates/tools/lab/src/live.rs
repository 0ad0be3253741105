//! A director's binary in real time on loopback. Fakes of the relay, of discovery, of collectors and of hosts tell it
//! over sockets what the world tells. Each director has a [`Live`]; the world plays on one thread, and what a
//! director orders, its health checks included, comes back over a channel.

mod collectors;
mod discovery;
mod error;
mod fakes;
mod hosts;
mod http;
mod process;
mod relay;
mod threads;

use crate::platform::{Platform, ServiceAddresses};
use collectors::Collectors;
use coppersail::interface::{Input, Order};
pub use error::StartError;
use fakes::Fakes;
use process::{DirectorProcess, WorkFolder};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use threads::LoopbackListener;

/// The director's name in its configuration.
const DIRECTOR_NAME: &str = "lab";
/// How often connecting to a new director is tried. It listens at once; a start takes some hundredths of a second on a
/// busy machine.
const CONNECT_ATTEMPTS: usize = 500;
/// The wait between these attempts.
const CONNECT_INTERVAL: Duration = Duration::from_millis(10);

/// A running director with its fakes. Dropping it ends the process, then the threads of the fakes, and removes the
/// temporary folder.
pub struct Live {
    // Fields are dropped in this order.
    process: DirectorProcess,
    collectors: Collectors,
    fakes: Fakes,
    folder: WorkFolder,
}

impl Live {
    /// Starts the binary with the list and the tables as the first inputs tell them.
    ///
    /// # Errors
    /// [`StartError`]; a process and threads that were started are ended.
    pub fn start(
        program: &Path,
        platform: Platform,
        seed: u64,
        inputs: &[Input],
    ) -> Result<Live, StartError> {
        let platform = Arc::new(platform);
        let fakes = Fakes::start(&platform, inputs)?;
        // Bound and given back: the director takes the port next.
        let listen = LoopbackListener::bind()?.address;
        let places =
            ServiceAddresses { listen, discovery: fakes.discovery_address, relay: fakes.relay_address };
        let config = platform.config(DIRECTOR_NAME, seed, &places, &fakes.membership());
        let folder = WorkFolder::create(&config)?;
        let process = DirectorProcess::spawn(program, &folder)?;
        let collectors = Collectors::new(platform, listen);
        let mut live = Live { process, collectors, fakes, folder };
        if live.wait_for_connections() {
            Ok(live)
        } else {
            Err(StartError::NoConnection { program: program.to_path_buf() })
        }
    }

    /// Waits until each collector has a connection; false if the director accepts none for too long.
    fn wait_for_connections(&mut self) -> bool {
        for _ in 0..CONNECT_ATTEMPTS {
            if self.collectors.connect_all() {
                return true;
            }
            std::thread::sleep(CONNECT_INTERVAL);
        }
        false
    }

    /// Sends the inputs to the director. `down`: the store is down, and the relay breaks its connections.
    pub fn deliver(&mut self, inputs: &[Input], down: bool) {
        self.fakes.deliver(inputs, down);
        self.collectors.deliver(inputs);
    }

    /// What the director has ordered since the last call, without waiting.
    pub fn take_orders(&self) -> Vec<Order> {
        self.fakes.take_orders()
    }

    /// Ends the director as a crash would.
    pub fn kill(&mut self) {
        self.process.kill();
        self.collectors.close();
    }

    /// What the director has written to standard error so far.
    pub fn log(&self) -> String {
        self.folder.log()
    }
}
