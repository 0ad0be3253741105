//! The history of changes on a disk, written by a thread of its own: a disk that stalls holds nobody up but who waits
//! for its word.

use crate::reducer::Event;
use coppersail_append_log::Log;
use coppersail_changes::Record;
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// How long the end waits for the last records.
const FINISH_MOST: Duration = Duration::from_millis(200);

/// Records come at the pace of operators, so those that wait are few.
pub struct Keeper {
    records: Option<Sender<Record>>,
    done: Receiver<()>,
}

pub struct Started {
    pub keeper: Keeper,
    pub records: Vec<Record>,
    pub torn: usize,
}

pub fn start(path: &str, events: tokio::sync::mpsc::Sender<Event>) -> Result<Started, String> {
    let opened = Log::<Record>::open(Path::new(path)).map_err(|damage| format!("history: {damage}"))?;
    let (records, waiting) = channel::<Record>();
    let (finished, done) = channel();
    let mut log = opened.log;
    std::thread::spawn(move || {
        while let Ok(first) = waiting.recv() {
            let batch: Vec<Record> = std::iter::once(first).chain(waiting.try_iter()).collect();
            let written = log.append(&batch);
            for record in batch {
                let number = match record {
                    Record::Accepted { number, .. } => Some(number),
                    _ => None,
                };
                let event = match (&written, number) {
                    (Ok(()), Some(number)) => Event::Written(number),
                    (Ok(()), None) => continue,
                    (Err(wrong), number) => Event::Unwritten(number, wrong.to_string()),
                };
                if events.blocking_send(event).is_err() {
                    return;
                }
            }
        }
        let _ = finished.send(());
    });
    let keeper = Keeper { records: Some(records), done };
    Ok(Started { keeper, records: opened.records, torn: opened.torn })
}

impl Keeper {
    pub fn keep(&self, record: Record) {
        if let Some(records) = &self.records {
            let _ = records.send(record);
        }
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        self.records = None;
        let _ = self.done.recv_timeout(FINISH_MOST);
    }
}
