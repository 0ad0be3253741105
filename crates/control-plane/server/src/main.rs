//! `coppersail-control-plane`: the program of a control-plane node.
//!
//! Its settings are in the file that `COPPERSAIL_SETTINGS` names. It reads them again on SIGHUP and when the
//! file has changed; on SIGTERM it hands over its duties and ends with status 0.
mod failure;
mod inspect;
mod settings_file;

use coppersail_config::ProcessSettings;
use coppersail_control_plane::Server;
use eyre::WrapErr;
use failure::{Failure, UsageError};
use settings_file::SettingsFileVersion;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;
use slog::{Drain, Level, Never, OwnedKVList, Record};
use std::path::PathBuf;
use std::process::{exit, ExitCode};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::Duration;

/// How often the settings file is checked for a change that came without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The exit status of a process that panicked, the same as in the standard library.
const PANIC_STATUS: i32 = 101;

const SIGNALS_STACK_BYTES: usize = 128 * 1024;
const SHUTDOWN_STACK_BYTES: usize = 64 * 1024;

const HELP: &str = "\
coppersail-control-plane: a control-plane node of the gateway. COPPERSAIL_SETTINGS names its settings file.
coppersail-control-plane --inspect FOLDER: print the content of a stopped node's data folder; status 0 if it is intact, else 1.";

/// What the command line asks for.
enum Command {
    Serve,
    Inspect { folder: PathBuf },
    Help,
}

/// Writes log lines to standard error, with the prefix of this program.
struct StderrDrain;

impl Drain for StderrDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, _values: &OwnedKVList) -> Result<(), Never> {
        let is_warning = record.level().is_at_least(Level::Warning);
        let prefix = if is_warning { "control-plane! " } else { "control-plane: " };
        eprintln!("{prefix}{}", record.msg());
        Ok(())
    }
}

fn main() -> ExitCode {
    let result = match parse_arguments() {
        Ok(Command::Serve) => serve(),
        Ok(Command::Inspect { folder }) => inspect::run(&folder),
        Ok(Command::Help) => {
            println!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
        Err(error) => Err(Failure::usage(error)),
    };
    result.unwrap_or_else(|failure| failure.print())
}

fn parse_arguments() -> Result<Command, UsageError> {
    let mut arguments = lexopt::Parser::from_env();
    match arguments.next() {
        Ok(None) => Ok(Command::Serve),
        Ok(Some(lexopt::Arg::Long("help"))) => Ok(Command::Help),
        Ok(Some(lexopt::Arg::Long("inspect"))) => parse_inspect(&mut arguments),
        other => Err(UsageError::UnknownArgument { found: format!("{other:?}") }),
    }
}

fn parse_inspect(arguments: &mut lexopt::Parser) -> Result<Command, UsageError> {
    let folder = arguments.value().map_err(|_| UsageError::MissingFolder)?;
    match arguments.next() {
        Ok(None) => Ok(Command::Inspect { folder: folder.into() }),
        other => Err(UsageError::UnexpectedAfterFolder { found: format!("{other:?}") }),
    }
}

/// Runs the node; ends the process on SIGTERM, once the node has handed over its duties.
fn serve() -> Result<ExitCode, Failure> {
    let signals =
        subscribe_to_signals().wrap_err("signal handlers can't be installed").map_err(Failure::runtime)?;
    // Taken before the file is read, so that a write in between is detected as a change.
    let settings_version = SettingsFileVersion::current();
    let settings = ProcessSettings::read().map_err(Failure::usage)?;
    exit_on_panic();
    let log = slog::Logger::root(StderrDrain.fuse(), slog::o!());
    let server = Server::start(&settings, log).map_err(Failure::runtime)?;
    handle_signals(&server, &signals, settings_version);
    Ok(ExitCode::FAILURE)
}

/// Installs the signal handlers, and returns the channel on which signals arrive. A signal without a handler
/// would end the process.
fn subscribe_to_signals() -> std::io::Result<Receiver<i32>> {
    let mut signals = Signals::new([SIGHUP, SIGTERM])?;
    let (sender, receiver) = channel();
    let forward = move || signals.forever().try_for_each(|signal| sender.send(signal)).unwrap_or(());
    std::thread::Builder::new().name("signals".into()).stack_size(SIGNALS_STACK_BYTES).spawn(forward)?;
    Ok(receiver)
}

/// Makes a panic of any thread end the process: the node can't continue without one of its threads, or with a
/// partly changed state. The next start recovers from the disk.
fn exit_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        exit(PANIC_STATUS)
    }));
}

/// Returns only if the thread that receives signals has ended.
fn handle_signals(server: &Arc<Server>, signals: &Receiver<i32>, mut settings_version: SettingsFileVersion) {
    loop {
        match signals.recv_timeout(SETTINGS_CHECK_INTERVAL) {
            Ok(SIGTERM) => shut_down(server),
            Ok(_) => {
                settings_version = SettingsFileVersion::current();
                reload_settings(server);
            }
            Err(RecvTimeoutError::Timeout) if settings_version.refresh() => reload_settings(server),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Begins a graceful shutdown. Signals are still handled meanwhile.
fn shut_down(server: &Arc<Server>) {
    server.begin_shutdown();
    let server = server.clone();
    let wait_and_exit = move || {
        server.wait_for_exit();
        exit(0)
    };
    if std::thread::Builder::new().stack_size(SHUTDOWN_STACK_BYTES).spawn(wait_and_exit).is_err() {
        exit(0)
    }
}

fn reload_settings(server: &Arc<Server>) {
    match ProcessSettings::read() {
        Ok(settings) => server.change_settings(settings),
        Err(error) => {
            server.log_info(&format!("Settings are not reloaded, the previous ones stay in force: {error}."))
        }
    }
}
