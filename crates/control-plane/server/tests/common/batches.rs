//! Batches for tests of the store.
use coppersail_control_plane::store::{DiskWriter, KeyValue, WriteBatch};
use std::sync::mpsc::channel;

/// An entry.
pub(crate) fn put(name: &str, value: impl ToString) -> KeyValue {
    (name.to_string(), value.to_string())
}

/// Batches of entries of the state.
pub(crate) fn state(entries: Vec<KeyValue>) -> WriteBatch {
    WriteBatch { state: entries, ..WriteBatch::default() }
}

/// A batch with one entry that the node keeps about itself.
pub(crate) fn own(name: &str, value: impl ToString) -> WriteBatch {
    WriteBatch { metadata: vec![put(name, value)], ..WriteBatch::default() }
}

/// Writes a batch and waits; whether it is durable.
pub(crate) fn write(writer: &DiskWriter, batch: WriteBatch) -> bool {
    let (sender, receiver) = channel();
    writer.write(batch, Box::new(move |ok| sender.send(ok).unwrap()));
    receiver.recv().unwrap()
}
