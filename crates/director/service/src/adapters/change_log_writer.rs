//! Writes the log of operators' changes to disk on a separate thread, so that a stalled disk delays only the answers
//! that wait for a record to be durable.

use coppersail_append_log::{Log, OpenError};
use coppersail_changes::Record;
use coppersail_director::reducer::Event;
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// How long the director's exit waits for the last records to be written.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// Handle of the writer thread. Dropping it waits up to [`SHUTDOWN_TIMEOUT`] for the last records to be written.
///
/// The queue is unbounded: operators cause the records, so only a few wait at a time.
pub(crate) struct ChangeLogWriter {
    records: Option<Sender<Record>>,
    finished: Receiver<()>,
}

/// An opened log.
pub(crate) struct OpenedChangeLog {
    /// Appends further records.
    pub(crate) writer: ChangeLogWriter,
    /// The records in the log, in their order.
    pub(crate) records: Vec<Record>,
    /// Bytes of an interrupted write that were truncated.
    pub(crate) truncated_bytes: usize,
}

impl ChangeLogWriter {
    /// Opens or creates the log and starts the thread, which sends [`Event::ChangeLogged`] and
    /// [`Event::ChangeLogFailed`] to `events`.
    pub(crate) fn open(
        path: &str,
        events: tokio::sync::mpsc::Sender<Event>,
    ) -> Result<OpenedChangeLog, OpenError> {
        let opened = Log::<Record>::open(Path::new(path))?;
        let (records, queue) = channel::<Record>();
        let (finished_sender, finished) = channel();
        let log = opened.log;
        std::thread::spawn(move || {
            if write_records(log, queue, events).is_ok() {
                let _ = finished_sender.send(());
            }
        });
        let writer = ChangeLogWriter { records: Some(records), finished };
        Ok(OpenedChangeLog { writer, records: opened.records, truncated_bytes: opened.torn })
    }

    /// Queues a record to be written.
    pub(crate) fn append(&self, record: Record) {
        if let Some(records) = &self.records {
            let _ = records.send(record);
        }
    }
}

/// The event loop has ended and receives no further events.
struct EventLoopEnded;

/// Writes records until their sender is dropped; all records that wait are written together.
fn write_records(
    mut log: Log<Record>,
    queue: Receiver<Record>,
    events: tokio::sync::mpsc::Sender<Event>,
) -> Result<(), EventLoopEnded> {
    while let Ok(first) = queue.recv() {
        let batch: Vec<Record> = std::iter::once(first).chain(queue.try_iter()).collect();
        let written = log.append(&batch);
        for record in batch {
            let number = match record {
                Record::Accepted { number, .. } => Some(number),
                _ => None,
            };
            let event = match (&written, number) {
                (Ok(()), Some(number)) => Event::ChangeLogged(number),
                (Ok(()), None) => continue,
                (Err(error), number) => Event::ChangeLogFailed(number, error.to_string()),
            };
            events.blocking_send(event).map_err(|_| EventLoopEnded)?;
        }
    }
    Ok(())
}

impl Drop for ChangeLogWriter {
    fn drop(&mut self) {
        self.records = None;
        let _ = self.finished.recv_timeout(SHUTDOWN_TIMEOUT);
    }
}
