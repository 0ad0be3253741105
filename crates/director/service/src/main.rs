//! `coppersail-director`: the program of the director, which runs the reducer on real sockets.
//!
//! `EDGE_CONFIG` names its configuration and `EDGE_OPERATOR`, if set, the operators' file. SIGHUP has both read again,
//! SIGUSR1 the counters logged; on SIGTERM it ends with status 0. A start that fails prints its cause and ends with 2.

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

/// The status of a director that could not start.
const START_FAILED_STATUS: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            // The error's text has that of its source in it.
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
