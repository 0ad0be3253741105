//! The director's process: its signals, log, counters and resource usage.

use crate::stand_ins::{Shared, WAIT_TIMEOUT};
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Instant;

/// The operators' file, in the folder of the configuration; used if it exists.
pub(crate) const OPERATOR_FILE: &str = "operator.json";

pub(crate) struct DirectorProcess {
    process: Child,
    /// The lines on standard error.
    pub(crate) log: Shared<Vec<String>>,
}

impl DirectorProcess {
    pub(crate) fn spawn(config: &Path) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_coppersail-director"));
        let operator_file = config.with_file_name(OPERATOR_FILE);
        if operator_file.exists() {
            command.env("EDGE_OPERATOR", operator_file);
        }
        let mut process = command.env("EDGE_CONFIG", config).stderr(Stdio::piped()).spawn().unwrap();
        let stderr = BufReader::new(process.stderr.take().unwrap());
        let log = Shared::new(Vec::new());
        let written = log.clone();
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                written.update(|lines: &mut Vec<String>| lines.push(line));
            }
        });
        DirectorProcess { process, log }
    }

    pub(crate) fn signal(&self, name: &str) {
        // Uses the shell's built-in `kill`, as not every machine has a program of that name.
        let script = format!("kill -s {name} {}", self.process.id());
        let status = Command::new("sh").args(["-c", &script]).status();
        assert!(status.unwrap().success());
    }

    /// Returns the value of a counter, which the director logs on a signal.
    pub(crate) fn counter(&self, name: &str) -> u64 {
        let lines_before = self.log.update(|lines| lines.len());
        self.signal("USR1");
        self.log.wait_for("counters", |lines| {
            let line = lines[lines_before..].iter().find(|line| line.contains(" counters "))?;
            let count = line.split(' ').find_map(|pair| pair.strip_prefix(&format!("{name}=")));
            Some(count.unwrap_or_else(|| panic!("no counter {name}")).parse().unwrap())
        })
    }

    /// Waits until a counter has at least this value.
    pub(crate) fn wait_for_counter(&self, name: &str, least: u64) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.counter(name) < least {
            assert!(Instant::now() < deadline, "{name} stays below {least}");
        }
    }

    /// Waits for a line that contains the text.
    pub(crate) fn wait_for_log(&self, text: &str) {
        self.log.wait_until(text, |lines| lines.iter().any(|line| line.contains(text)));
    }

    /// Waits for the process to exit. Returns its status, or `None` if a signal has ended it.
    pub(crate) fn wait_for_exit(&mut self) -> Option<i32> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut status = None;
        while status.is_none() && Instant::now() < deadline {
            status = self.process.try_wait().unwrap();
            std::thread::yield_now();
        }
        status.expect("the director has not exited").code()
    }

    pub(crate) fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id())).unwrap().count()
    }

    /// Peak resident memory, in MiB.
    pub(crate) fn peak_memory_mb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches("kB").trim().parse::<f64>().unwrap() / 1024.0
    }

    pub(crate) fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for DirectorProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
