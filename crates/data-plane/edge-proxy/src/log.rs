//! Logging to standard error. Each message starts with the name of the component that logs it.
use slog::{Drain, Logger, Never, OwnedKVList, Record};
use std::io::Write;

/// Writes the message of each record as one line.
struct StderrDrain;

impl Drain for StderrDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        // A failed write to the log must not stop the process.
        let _ = writeln!(std::io::stderr(), "{}", record.msg());
        Ok(())
    }
}

/// The root logger of the program.
pub fn root() -> Logger {
    Logger::root(StderrDrain, slog::o!())
}
