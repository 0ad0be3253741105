//! `coppersail-stub-backend`: one endpoint on a real socket. The library decides; this brings threads, sockets and
//! the clock.
mod backend;
mod heartbeat_sender;
mod http_server;
mod options;

use backend::Backend;
use coppersail_stub_backend::{Endpoint, NodeSelector};
use eyre::{eyre, Result, WrapErr};
use heartbeat_sender::HeartbeatSender;
use options::Options;
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::{info, o, Logger};
use std::io::Write;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tiny_http::Server;

/// The exit status when the program can't start.
const EXIT_FAILURE: u8 = 2;

/// Writes log records to standard error, one line each.
struct StderrDrain;

impl slog::Drain for StderrDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        // A reader that has gone is no reason to end.
        let _ = writeln!(std::io::stderr(), "coppersail-stub-backend: {}", record.msg());
        Ok(())
    }
}

fn run_endpoint(options: Options) -> Result<()> {
    let log = Logger::root(StderrDrain, o!());
    let shutdown = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, shutdown.clone())?;
    }
    let config = options.endpoint;
    let server = Server::http(&config.address).map_err(|e| eyre!("{e}")).wrap_err("can't listen")?;
    info!(log, "{} of {} listens on {}", config.id, config.service, config.address);
    let nodes = NodeSelector::new(options.control_plane, fastrand::usize(..));
    let capacity = config.capacity;
    let backend = Arc::new(Backend::new(Endpoint::new(config), options.health_check_path, log));
    let serving = backend.clone();
    std::thread::spawn(move || http_server::serve(&serving, &server, capacity));
    HeartbeatSender::new(&backend, nodes).run(&shutdown);
    Ok(())
}

fn run() -> Result<()> {
    match options::parse()? {
        None => print!("{}", options::USAGE),
        Some(options) => run_endpoint(options)?,
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coppersail-stub-backend: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
