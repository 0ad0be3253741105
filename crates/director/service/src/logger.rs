//! The log on standard error: seconds since the start, level, text, or the same as JSON lines with the change that a
//! line is about as a field of its own. A flood of warnings, such as bad input can cause, is cut to what can be read;
//! what is decided or asked for is always written, as long as somebody takes it. A thread of its own writes, so that a
//! reader that stalls holds nobody up.

use std::fmt::{Debug, Write as _};
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::Layer;

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

struct Lines {
    started: Instant,
    budget: Mutex<Budget>,
    lines: SyncSender<Item>,
    json: Arc<AtomicBool>,
}

/// What a line says, and the change that it is about.
#[derive(Default)]
struct Said {
    text: String,
    change: Option<u64>,
}

impl Visit for Said {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "change" {
            self.change = Some(value);
        }
    }
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        if field.name() == "message" {
            let _ = write!(self.text, "{value:?}");
        }
    }
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

fn line(json: bool, at: f64, level: &str, change: Option<u64>, text: &str) -> String {
    if json {
        let text = serde_json::Value::from(text);
        let change = change.map_or(String::new(), |change| format!(",\"change\":{change}"));
        return format!("{{\"at\":{at:.3},\"level\":\"{level}\"{change},\"text\":{text}}}");
    }
    format!("{at:.3} {level} {}", text.replace(['\n', '\r'], " "))
}

impl<S: Subscriber> Layer<S> for Lines {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let level = *event.metadata().level();
        // Libraries may have their own words; the log is the director's.
        if level > Level::INFO || !event.metadata().target().starts_with("coppersail") {
            return;
        }
        let at = self.started.elapsed();
        let json = self.json.load(Ordering::Relaxed);
        let Ok(mut budget) = self.budget.lock() else { return };
        let left_out = if level < Level::INFO { budget.take(at.as_secs()) } else { Some(0) };
        let Some(left_out) = left_out else { return };
        if left_out > 0 {
            let text = format!("{left_out} warnings left out");
            let _ = self.lines.try_send(Item::Line(line(json, at.as_secs_f64(), "WARN", None, &text)));
        }
        let mut said = Said::default();
        event.record(&mut said);
        let line = line(json, at.as_secs_f64(), level.as_str(), said.change, &said.text);
        if self.lines.try_send(Item::Line(line)).is_err() {
            budget.left_out += 1;
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

/// The log from outside: its form may still be chosen, and its end be waited for.
pub struct Handle {
    json: Arc<AtomicBool>,
    lines: SyncSender<Item>,
}

impl Handle {
    pub fn json(&self, json: bool) {
        self.json.store(json, Ordering::Relaxed);
    }

    /// Waits a moment for what has been logged to be written.
    pub fn flush(&self) {
        let (written, done) = sync_channel(1);
        if self.lines.try_send(Item::Written(written)).is_ok() {
            let _ = done.recv_timeout(FINISH_MOST);
        }
    }
}

/// From here on events are written; a second call has no effect but a log that nobody writes to.
pub fn start(started: Instant) -> Handle {
    let budget = Mutex::new(Budget { second: 0, written: 0, left_out: 0 });
    let (lines, items) = sync_channel(WAITING_MOST);
    std::thread::spawn(move || write(items));
    let json = Arc::new(AtomicBool::new(false));
    let layer = Lines { started, budget, lines: lines.clone(), json: json.clone() };
    let _ = tracing::subscriber::set_global_default(tracing_subscriber::registry().with(layer));
    Handle { json, lines }
}

#[cfg(test)]
mod tests;
