//! `coppersail-fleet-emulator`: measures what a control-plane node spends on emulated endpoints or edges.
mod connection;
mod fleet;
mod measurement;
mod members;
mod options;

use coppersail_fleet_emulator::generate_config;
use eyre::Result;
use fleet::Fleet;
use options::{Command, MemberKind, Options};
use std::process::ExitCode;
use std::sync::Arc;

/// Members only wait on sockets and timers: two threads carry thousands.
const WORKER_THREADS: usize = 2;
/// The exit status of a command line or a measurement that failed.
const EXIT_FAILURE: u8 = 2;

fn measure(kind: MemberKind, options: Options) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build()?;
    let fleet = Arc::new(Fleet::new(options, fastrand::u16(..)));
    runtime.block_on(measurement::measure(fleet, kind))
}

fn run() -> Result<()> {
    match options::parse()? {
        Command::Help => print!("{}", options::USAGE),
        Command::PrintConfig(size) => println!("{}", generate_config(size)),
        Command::Measure(kind, options) => measure(kind, *options)?,
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coppersail-fleet-emulator: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
