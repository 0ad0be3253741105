//! The log on standard error: seconds since the start, level, text. A flood of warnings, such as bad input can cause,
//! is cut to what can be read; what is decided or asked for is always written, as long as somebody takes it. A thread
//! of its own writes, so that a reader that stalls holds nobody up.

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Warnings in a second; more are counted and left out. Nobody reads more.
const MOST: u32 = 200;
/// Lines that wait for whoever takes them; a reader that stalls must not hold the director up.
const WAITING_MOST: usize = 1024;
/// How long the end waits for the last lines to be taken.
const FINISH_MOST: Duration = Duration::from_millis(200);

/// A line, or a wish to hear when all before it is written.
enum Item {
    Line(String),
    Written(SyncSender<()>),
}

struct Budget {
    second: u64,
    written: u32,
    left_out: u32,
}

struct Logger {
    started: Instant,
    budget: Mutex<Budget>,
    lines: SyncSender<Item>,
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
        if left_out > 0 {
            let text = format!("{:.3} WARN {left_out} warnings left out", at.as_secs_f64());
            let _ = self.lines.try_send(Item::Line(text));
        }
        let text = record.args().to_string().replace(['\n', '\r'], " ");
        let line = format!("{:.3} {} {text}", at.as_secs_f64(), record.level());
        if self.lines.try_send(Item::Line(line)).is_err() {
            budget.left_out += 1;
        }
    }

    /// Waits a moment for what has been logged to be written.
    fn flush(&self) {
        let (written, done) = sync_channel(1);
        if self.lines.try_send(Item::Written(written)).is_ok() {
            let _ = done.recv_timeout(FINISH_MOST);
        }
    }
}

fn write(items: Receiver<Item>) {
    for item in items {
        match item {
            // Whoever took the log may be gone; the director goes on without it.
            Item::Line(line) => drop(writeln!(std::io::stderr(), "{line}")),
            Item::Written(written) => drop(written.try_send(())),
        }
    }
}

/// From here on `log` writes; a second call changes nothing.
pub fn start(started: Instant) {
    let budget = Mutex::new(Budget { second: 0, written: 0, left_out: 0 });
    let (lines, items) = sync_channel(WAITING_MOST);
    std::thread::spawn(move || write(items));
    if log::set_boxed_logger(Box::new(Logger { started, budget, lines })).is_ok() {
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
