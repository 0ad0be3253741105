//! The log on standard error, for tracing's events.
//!
//! A line has the seconds since the start, the level and the text, or the same as JSON with the change that it is about
//! as a field of its own. Warnings, which bad input may cause in floods, are limited to what can be read; what is
//! decided or asked for is always written, as long as somebody reads the log. A thread of its own writes, so that a
//! reader that stalls holds nobody up.

use coppersail_changes::Version;
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

/// More are counted and left out, as nobody reads more.
const MAX_WARNINGS_PER_SECOND: u32 = 200;
/// Lines that wait to be written; when there are as many, further ones are left out.
const QUEUE_LENGTH: usize = 1024;
/// How long [`LogHandle::flush`] waits for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Libraries log as well; the log is the director's.
const TARGET_PREFIX: &str = "coppersail";
/// The field of a tracing event that has the number of a change.
const CHANGE_FIELD: &str = "change";
/// The field in which tracing has an event's text.
const MESSAGE_FIELD: &str = "message";

/// Logs a text, with the change that it is about, if any.
pub(crate) fn log(level: Level, change: Option<Version>, text: &str) {
    let change = change.map(|number| number.0);
    match level {
        Level::ERROR => tracing::error!(change, "{text}"),
        Level::WARN => tracing::warn!(change, "{text}"),
        _ => tracing::info!(change, "{text}"),
    }
}

/// Starts the writing thread and takes all events of this process; a second call has no effect but a log that nobody
/// writes to.
pub(crate) fn start(started: Instant) -> LogHandle {
    let budget = Mutex::new(WarningBudget { second: 0, written: 0, left_out: 0 });
    let (queue, entries) = sync_channel(QUEUE_LENGTH);
    std::thread::spawn(move || write_entries(entries));
    let json = Arc::new(AtomicBool::new(false));
    let layer = LogLayer { started, budget, queue: queue.clone(), json: json.clone() };
    let _ = tracing::subscriber::set_global_default(tracing_subscriber::registry().with(layer));
    LogHandle { json, queue }
}

/// The log from outside: its format may still be chosen, and its end be waited for.
pub(crate) struct LogHandle {
    json: Arc<AtomicBool>,
    queue: SyncSender<QueueEntry>,
}

impl LogHandle {
    /// Whether further lines are JSON.
    pub(crate) fn set_json(&self, json: bool) {
        self.json.store(json, Ordering::Relaxed);
    }

    /// Waits a moment for what has been logged to be written.
    pub(crate) fn flush(&self) {
        let (done_sender, done) = sync_channel(1);
        if self.queue.try_send(QueueEntry::Flush(done_sender)).is_ok() {
            let _ = done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

enum QueueEntry {
    Line(String),
    /// To be answered when all lines before it are written.
    Flush(SyncSender<()>),
}

fn write_entries(entries: Receiver<QueueEntry>) {
    for entry in entries {
        match entry {
            // Whoever reads the log may be gone; the director goes on without it.
            QueueEntry::Line(line) => drop(writeln!(std::io::stderr(), "{line}")),
            QueueEntry::Flush(done) => drop(done.try_send(())),
        }
    }
}

/// How many warnings were written in the current second.
struct WarningBudget {
    /// Since the start.
    second: u64,
    written: u32,
    left_out: u32,
}

impl WarningBudget {
    /// None: no warning may be written in this second any more. Otherwise how many were left out in earlier seconds.
    fn take(&mut self, second: u64) -> Option<u32> {
        let mut left_out_before = 0;
        if second != self.second {
            left_out_before = std::mem::take(&mut self.left_out);
            self.second = second;
            self.written = 0;
        }
        if self.written >= MAX_WARNINGS_PER_SECOND {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(left_out_before)
    }
}

/// What an event says, and the change that it is about.
#[derive(Default)]
struct EventFields {
    text: String,
    change: Option<u64>,
}

impl Visit for EventFields {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == CHANGE_FIELD {
            self.change = Some(value);
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        if field.name() == MESSAGE_FIELD {
            let _ = write!(self.text, "{value:?}");
        }
    }
}

/// Turns tracing's events into lines.
struct LogLayer {
    started: Instant,
    budget: Mutex<WarningBudget>,
    queue: SyncSender<QueueEntry>,
    json: Arc<AtomicBool>,
}

impl<S: Subscriber> Layer<S> for LogLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let level = *event.metadata().level();
        if level > Level::INFO || !event.metadata().target().starts_with(TARGET_PREFIX) {
            return;
        }
        let at = self.started.elapsed();
        let json = self.json.load(Ordering::Relaxed);
        let Ok(mut budget) = self.budget.lock() else { return };
        let left_out = if level < Level::INFO { budget.take(at.as_secs()) } else { Some(0) };
        let Some(left_out) = left_out else { return };
        if left_out > 0 {
            let text = format!("{left_out} warnings left out");
            let line = format_line(json, at.as_secs_f64(), "WARN", None, &text);
            let _ = self.queue.try_send(QueueEntry::Line(line));
        }
        let mut fields = EventFields::default();
        event.record(&mut fields);
        let line = format_line(json, at.as_secs_f64(), level.as_str(), fields.change, &fields.text);
        if self.queue.try_send(QueueEntry::Line(line)).is_err() {
            budget.left_out += 1;
        }
    }
}

/// `at` is in seconds since the start.
fn format_line(json: bool, at: f64, level: &str, change: Option<u64>, text: &str) -> String {
    if json {
        let text = serde_json::Value::from(text);
        let change = change.map_or(String::new(), |change| format!(",\"change\":{change}"));
        return format!("{{\"at\":{at:.3},\"level\":\"{level}\"{change},\"text\":{text}}}");
    }
    format!("{at:.3} {level} {}", text.replace(['\n', '\r'], " "))
}

#[cfg(test)]
mod tests;
