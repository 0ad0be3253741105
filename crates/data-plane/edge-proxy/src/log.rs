//! Short lines on standard error; each message begins with the part that it is from.
use slog::{Drain, Logger, Never, OwnedKVList, Record};
use std::io::Write;

struct Lines;

impl Drain for Lines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        // A log that cannot be written is no reason to stop.
        let _ = writeln!(std::io::stderr(), "{}", record.msg());
        Ok(())
    }
}

pub fn root() -> Logger {
    Logger::root(Lines, slog::o!())
}
