//! The log on standard error, for tracing's events.
//!
//! A line has the seconds since the start, the level and the text, or the same as JSON with the number of the change
//! that it is about as a separate field. Warnings are rate-limited, because invalid input may cause floods of them;
//! other lines are written as long as the log is read. A separate thread writes the lines, so that a stalled reader
//! of the log blocks nothing else.

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

/// Further warnings in the same second are suppressed and counted, as nobody can read more.
const MAX_WARNINGS_PER_SECOND: u32 = 200;
/// Lines that wait to be written; while the queue is full, further lines are suppressed and counted.
const QUEUE_LENGTH: usize = 1024;
/// How long [`LogHandle::flush`] waits for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Only events of this project's crates are logged, not those of libraries.
const TARGET_PREFIX: &str = "coppersail";
/// The field of a tracing event that holds the number of a change.
const CHANGE_FIELD: &str = "change";
/// The field of a tracing event that holds its text.
const MESSAGE_FIELD: &str = "message";

/// Logs a text and, if it is about a change, that change's number.
pub(crate) fn log(level: Level, change: Option<Version>, text: &str) {
    let change = change.map(|number| number.0);
    match level {
        Level::ERROR => tracing::error!(change, "{text}"),
        Level::WARN => tracing::warn!(change, "{text}"),
        _ => tracing::info!(change, "{text}"),
    }
}

/// Starts the writer thread and installs the process' tracing subscriber. To be called once: a further call installs
/// nothing, and its log stays empty.
pub(crate) fn start(started: Instant) -> LogHandle {
    let budget = Mutex::new(WarningBudget { second: 0, written: 0, suppressed: 0 });
    let (queue, entries) = sync_channel(QUEUE_LENGTH);
    std::thread::spawn(move || write_entries(entries));
    let json = Arc::new(AtomicBool::new(false));
    let layer = LogLayer { started, budget, queue: queue.clone(), json: json.clone() };
    let _ = tracing::subscriber::set_global_default(tracing_subscriber::registry().with(layer));
    LogHandle { json, queue }
}

/// Sets the format of the log and flushes it.
pub(crate) struct LogHandle {
    json: Arc<AtomicBool>,
    queue: SyncSender<QueueEntry>,
}

impl LogHandle {
    /// Sets whether further lines are JSON.
    pub(crate) fn set_json(&self, json: bool) {
        self.json.store(json, Ordering::Relaxed);
    }

    /// Waits until all queued lines are written, for at most [`FLUSH_TIMEOUT`].
    pub(crate) fn flush(&self) {
        let (done_sender, done) = sync_channel(1);
        if self.queue.try_send(QueueEntry::Flush(done_sender)).is_ok() {
            let _ = done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

enum QueueEntry {
    Line(String),
    /// Answered once all lines before it are written.
    Flush(SyncSender<()>),
}

fn write_entries(entries: Receiver<QueueEntry>) {
    for entry in entries {
        match entry {
            // If the log cannot be written, for example because its reader has exited, the director continues.
            QueueEntry::Line(line) => drop(writeln!(std::io::stderr(), "{line}")),
            QueueEntry::Flush(done) => drop(done.try_send(())),
        }
    }
}

/// Limits the warnings per second.
struct WarningBudget {
    /// The current second since the start.
    second: u64,
    written: u32,
    suppressed: u32,
}

impl WarningBudget {
    /// Returns `None` if no further warning may be written in this second, otherwise the number of warnings that were
    /// suppressed in earlier seconds.
    fn take(&mut self, second: u64) -> Option<u32> {
        let mut suppressed_before = 0;
        if second != self.second {
            suppressed_before = std::mem::take(&mut self.suppressed);
            self.second = second;
            self.written = 0;
        }
        if self.written >= MAX_WARNINGS_PER_SECOND {
            self.suppressed += 1;
            return None;
        }
        self.written += 1;
        Some(suppressed_before)
    }
}

/// The text of a tracing event, and the change that it is about.
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

/// Formats tracing events as lines.
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
        let suppressed = if level < Level::INFO { budget.take(at.as_secs()) } else { Some(0) };
        let Some(suppressed) = suppressed else { return };
        if suppressed > 0 {
            let text = format!("{suppressed} warnings suppressed");
            let line = format_line(json, at.as_secs_f64(), "WARN", None, &text);
            let _ = self.queue.try_send(QueueEntry::Line(line));
        }
        let mut fields = EventFields::default();
        event.record(&mut fields);
        let line = format_line(json, at.as_secs_f64(), level.as_str(), fields.change, &fields.text);
        if self.queue.try_send(QueueEntry::Line(line)).is_err() {
            budget.suppressed += 1;
        }
    }
}

/// Formats a line; `at` is in seconds since the start.
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
