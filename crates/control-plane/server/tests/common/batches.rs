//! Batches for tests of the store.
use coppersail_control_plane::store::{DiskWriter, KeyValue, WriteBatch};
use std::sync::mpsc::channel;

/// A key and its value.
pub(crate) fn put(name: &str, value: impl ToString) -> KeyValue {
    (name.to_string(), value.to_string())
}

/// A batch of entries of the replicated state.
pub(crate) fn state(entries: Vec<KeyValue>) -> WriteBatch {
    WriteBatch { state: entries, ..WriteBatch::default() }
}

/// A batch with one entry of the node's metadata.
pub(crate) fn metadata_batch(name: &str, value: impl ToString) -> WriteBatch {
    WriteBatch { metadata: vec![put(name, value)], ..WriteBatch::default() }
}

/// Writes a batch and waits; returns whether it is durable.
pub(crate) fn write(writer: &DiskWriter, batch: WriteBatch) -> bool {
    let (sender, receiver) = channel();
    writer.write(batch, Box::new(move |ok| sender.send(ok).unwrap()));
    receiver.recv().unwrap()
}
