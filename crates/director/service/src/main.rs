//! `coppersail-director`: the director's program, which runs the reducer on real sockets.
//!
//! The environment variable `EDGE_CONFIG` holds the path of its configuration file and `EDGE_OPERATOR`, if set, that
//! of the operators' file. SIGHUP reloads both files, SIGUSR1 logs the counters, and SIGTERM exits with status 0. If
//! the start fails, the program prints the cause and exits with status 2.

mod adapters;
mod config_file;
mod event_loop;
mod logger;
mod operator_file_reader;
mod signals;
mod start_error;
mod startup;

use logger::LogHandle;
use start_error::StartError;
use std::process::ExitCode;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Exit status of a director that could not start.
const START_FAILED_STATUS: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            // The error's text already contains the text of its source.
            eprintln!("coppersail-director: {report}");
            ExitCode::from(START_FAILED_STATUS)
        }
    }
}

fn run() -> eyre::Result<()> {
    let started = Instant::now();
    let wall = SystemTime::now();
    let wall_ns = wall.duration_since(UNIX_EPOCH).map_or(0, |wall| wall.as_nanos() as u64);
    let logger = logger::start(started);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Runtime)?;
    let result = runtime.block_on(serve(started, wall_ns, &logger));
    drop(runtime);
    logger.flush();
    Ok(result?)
}

async fn serve(started: Instant, wall_ns: u64, logger: &LogHandle) -> Result<(), StartError> {
    startup::start(started, wall_ns, logger).await?.run().await;
    Ok(())
}
