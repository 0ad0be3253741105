//! The log on standard error: seconds since the start, level, text. A flood of warnings, such as bad input can cause,
//! is cut to what can be read; what is decided or asked for is always written.

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// Warnings in a second; more are counted and left out. Nobody reads more, and whoever takes them may block.
const MOST: u32 = 200;

struct Budget {
    second: u64,
    written: u32,
    left_out: u32,
}

struct Logger {
    started: Instant,
    budget: Mutex<Budget>,
}

impl Budget {
    /// Whether a warning may be written in this second, and how many were left out before it.
    fn take(&mut self, second: u64) -> Option<u32> {
        let mut before = 0;
        if second != self.second {
            before = std::mem::take(&mut self.left_out);
            (self.second, self.written) = (second, 0);
        }
        if self.written >= MOST {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(before)
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Info
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let at = self.started.elapsed();
        let Ok(mut budget) = self.budget.lock() else { return };
        let warning = record.level() < Level::Info;
        let left_out = if warning { budget.take(at.as_secs()) } else { Some(0) };
        let Some(left_out) = left_out else { return };
        let mut error = std::io::stderr().lock();
        // Whoever took the log may be gone; the director goes on without it.
        if left_out > 0 {
            let _ = writeln!(error, "{:.3} WARN {left_out} warnings left out", at.as_secs_f64());
        }
        let text = record.args().to_string().replace(['\n', '\r'], " ");
        let _ = writeln!(error, "{:.3} {} {text}", at.as_secs_f64(), record.level());
    }

    fn flush(&self) {}
}

/// From here on `log` writes; a second call changes nothing.
pub fn start(started: Instant) {
    let budget = Mutex::new(Budget { second: 0, written: 0, left_out: 0 });
    if log::set_boxed_logger(Box::new(Logger { started, budget })).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_cut_and_counted() {
        let mut budget = Budget { second: 0, written: 0, left_out: 0 };
        let written = (0..MOST + 7).filter(|_| budget.take(3).is_some()).count();
        assert_eq!((written as u32, budget.take(4)), (MOST, Some(7)));
    }
}
