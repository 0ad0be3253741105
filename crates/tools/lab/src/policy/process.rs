//! The director's binary as a policy.

use crate::live::Live;
use crate::platform::Platform;
use coppersail::interface::{Input, Order};
use std::path::{Path, PathBuf};

/// The environment variable that names the director's binary.
const DIRECTOR_VARIABLE: &str = "COPPERSAIL_DIRECTOR";
/// The file name of the director's binary.
const DIRECTOR_FILE: &str = "coppersail-director";

/// The director's binary, which is started with its first inputs.
pub struct DirectorProcess {
    state: State,
    seed: u64,
}

enum State {
    /// Before the first inputs.
    NotStarted(Platform),
    Running(Live),
    /// The start failed, which ends the play.
    Failed,
}

impl DirectorProcess {
    /// A director that has had no inputs.
    pub(super) fn new(platform: Platform, seed: u64) -> Self {
        DirectorProcess { state: State::NotStarted(platform), seed }
    }

    /// Sends inputs to the process, which is started by the first ones.
    ///
    /// # Panics
    /// If the binary cannot be started: there is nothing to play without it.
    pub(super) fn send(&mut self, inputs: &[Input], store_down: bool) {
        if let State::Running(live) = &mut self.state {
            live.deliver(inputs, store_down);
            return;
        }
        let State::NotStarted(platform) = std::mem::replace(&mut self.state, State::Failed) else { return };
        let started = Live::start(&director_binary(), platform, self.seed, inputs);
        self.state = State::Running(started.unwrap_or_else(|error| panic!("{error}")));
    }

    /// What the process has ordered since the last time, without waiting.
    pub fn take_orders(&self) -> Vec<Order> {
        match &self.state {
            State::Running(live) => live.take_orders(),
            State::NotStarted(_) | State::Failed => vec![],
        }
    }

    /// Ends the process as a crash would.
    pub fn kill(&mut self) {
        if let State::Running(live) = &mut self.state {
            live.kill();
        }
    }
}

/// The path of the director's binary: what `COPPERSAIL_DIRECTOR` says, else beside this program, else one folder up,
/// where it is when tests run.
pub fn director_binary() -> PathBuf {
    if let Some(path) = std::env::var_os(DIRECTOR_VARIABLE) {
        return path.into();
    }
    let program = std::env::current_exe().unwrap_or_default();
    let beside = program.with_file_name(DIRECTOR_FILE);
    match program.parent().and_then(Path::parent) {
        Some(folder) if !beside.exists() => folder.join(DIRECTOR_FILE),
        _ => beside,
    }
}
