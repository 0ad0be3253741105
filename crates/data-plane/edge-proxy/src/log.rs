//! Log lines on standard error; each message begins with the part of the program that it is from.
use slog::{Drain, Logger, Never, OwnedKVList, Record};
use std::io::Write;

/// Writes each record's message as a line.
struct StderrDrain;

impl Drain for StderrDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        // A log that cannot be written to is no reason to stop.
        let _ = writeln!(std::io::stderr(), "{}", record.msg());
        Ok(())
    }
}

/// The logger of the program.
pub fn root() -> Logger {
    Logger::root(StderrDrain, slog::o!())
}
