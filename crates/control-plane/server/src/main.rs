//! `coppersail-control-plane`: the program of a centre. Settings: the file that COPPERSAIL_SETTINGS names.
mod file;

use file::File;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;
use slog::{Drain, Level, Never, OwnedKVList, Record};
use std::process::exit;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::time::Duration;

mod inspect;

/// One line a fact, on standard error, with the prefix of this part.
struct Lines;

impl Drain for Lines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, _values: &OwnedKVList) -> Result<(), Never> {
        let mark =
            if record.level().is_at_least(Level::Warning) { "control-plane! " } else { "control-plane: " };
        eprintln!("{mark}{}", record.msg());
        Ok(())
    }
}

/// How soon a settings file is seen that changed without a signal.
const LOOK: Duration = Duration::from_secs(1);

/// Signals, from now on. A process without a handler ends by them.
fn signals() -> std::io::Result<Receiver<i32>> {
    let mut signals = Signals::new([SIGHUP, SIGTERM])?;
    let (tell, told) = channel();
    let run = move || signals.forever().try_for_each(|signal| tell.send(signal)).unwrap_or(());
    std::thread::Builder::new().name("signals".into()).stack_size(128 * 1024).spawn(run)?;
    Ok(told)
}

fn main() {
    let mut words = lexopt::Parser::from_env();
    match words.next() {
        Ok(None) => {}
        Ok(Some(lexopt::Arg::Long("help"))) => {
            println!("coppersail-control-plane: a centre of the gateway. COPPERSAIL_SETTINGS names its settings file.");
            println!("coppersail-control-plane --inspect FOLDER: what the data folder of a stopped centre holds; 0 if it is whole, else 1.");
            return;
        }
        Ok(Some(lexopt::Arg::Long("inspect"))) => match (words.value(), words.next()) {
            (Ok(folder), Ok(None)) => exit(inspect::run(folder.as_ref())),
            (Err(_), _) => {
                eprintln!("control-plane! --inspect: nothing, expected a folder");
                exit(2);
            }
            (_, other) => {
                eprintln!("control-plane! word: {other:?}, expected none after the folder");
                exit(2);
            }
        },
        other => {
            eprintln!("control-plane! word: {other:?}, expected none, --inspect FOLDER or --help");
            exit(2);
        }
    }
    let told = signals().unwrap_or_else(|e| {
        eprintln!("control-plane! signals can't be taken: {e}");
        exit(1)
    });
    // Looked at before it is read: what is written meanwhile is seen as a change.
    let mut file = File::now();
    let boot = coppersail_config::ProcessSettings::read().unwrap_or_else(|fault| {
        eprintln!("control-plane! {fault}");
        exit(2)
    });
    // Nothing is mended by going on without one of the threads.
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        hook(info);
        exit(101)
    }));
    let log = slog::Logger::root(Lines.fuse(), slog::o!());
    let centre = coppersail_control_plane::Server::start(&boot, log).unwrap_or_else(|e| {
        eprintln!("control-plane! {e:#}");
        exit(1)
    });
    loop {
        match told.recv_timeout(LOOK) {
            Ok(SIGTERM) => {
                centre.term();
                let centre = centre.clone();
                let leave = move || {
                    centre.wait_to_leave();
                    exit(0)
                };
                if std::thread::Builder::new().stack_size(64 * 1024).spawn(leave).is_err() {
                    exit(0)
                }
                continue;
            }
            Ok(_) => file = File::now(),
            Err(RecvTimeoutError::Timeout) if file.changed() => {}
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => exit(1),
        }
        match coppersail_config::ProcessSettings::read() {
            Ok(boot) => centre.reread(boot),
            Err(fault) => centre.note(&format!("Settings are not taken, nothing changes: {fault}.")),
        }
    }
}
