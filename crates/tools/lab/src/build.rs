//! Plays another build of ours as a process on the simulator's wire: any `coppersail-wirehost` of the history, so that
//! builds can be compared on scenarios that were written long after them.

mod clock;
mod decode;
mod encode;
mod registry;

use crate::platform::Platform;
use coppersail::interface::{Input, Order};
pub use registry::{program_path, register_program};
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// The line that ends a batch of events.
const END_OF_BATCH: &str = "COMMIT\n";
/// The line with which a build ends its orders on a batch.
const END_OF_ORDERS: &str = "READY";

/// A build's process, killed when this is dropped.
pub struct BuildProcess {
    platform: Platform,
    seed: u64,
    child: Child,
    stdin: ChildStdin,
    stdout: BufReader<ChildStdout>,
    /// The first batch, which configures the director, has been sent.
    configured: bool,
}

/// A build that cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The program cannot be run.
    #[error("{}: {source}", program.display())]
    Spawn {
        /// The program's path.
        program: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The process has no standard input or output.
    #[error("{}: no pipes", program.display())]
    NoPipes {
        /// The program's path.
        program: PathBuf,
    },
}

impl BuildProcess {
    /// Starts the program, with pipes as its standard input and output.
    ///
    /// # Errors
    /// [`StartError`]: the program cannot be run.
    pub fn start(program: &Path, platform: Platform, seed: u64) -> Result<BuildProcess, StartError> {
        let mut child = Command::new(program)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|source| StartError::Spawn { program: program.to_path_buf(), source })?;
        let (Some(stdin), Some(stdout)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(StartError::NoPipes { program: program.to_path_buf() });
        };
        Ok(BuildProcess { platform, seed, child, stdin, stdout: BufReader::new(stdout), configured: false })
    }

    /// Sends a batch of inputs at `now`, in seconds, and returns what the build orders on it. A build that ends in the
    /// middle orders nothing more.
    pub fn handle(&mut self, now: f64, inputs: &[Input]) -> Vec<Order> {
        let batch = self.encode_batch(now, inputs);
        match self.send(&batch) {
            Ok(()) => self.read_orders(),
            Err(_) => Vec::new(),
        }
    }

    fn encode_batch(&mut self, now: f64, inputs: &[Input]) -> String {
        let mut text = format!("MARK sim-time-ns={}\n", clock::time_ns(now));
        if !self.configured {
            self.configured = true;
            encode::write_configuration(&self.platform, self.seed, &mut text);
        }
        for input in inputs {
            encode::write_input(&self.platform, input, &mut text);
        }
        text.push_str(END_OF_BATCH);
        text
    }

    fn send(&mut self, text: &str) -> io::Result<()> {
        self.stdin.write_all(text.as_bytes())?;
        self.stdin.flush()
    }

    /// Reads orders up to the line that ends them, or to the end of the process.
    fn read_orders(&mut self) -> Vec<Order> {
        let routes = self.platform.routes.len();
        let mut orders = Vec::new();
        let mut line = String::new();
        loop {
            line.clear();
            let bytes = self.stdout.read_line(&mut line).unwrap_or(0);
            if bytes == 0 || line.trim_end() == END_OF_ORDERS {
                return orders;
            }
            orders.extend(decode::parse_order(line.trim_end(), routes));
        }
    }
}

impl Drop for BuildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
