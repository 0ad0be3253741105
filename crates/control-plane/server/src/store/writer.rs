//! The thread that writes to the disk, one batch after the other.
use super::contents::{FolderCondition, RecoveredState, WriteBatch};
use super::disk::{DataFolder, Disk};
use super::recovery::{open_with_retries, FileSystemFolder};
use std::io;
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;

/// Called on the writer's thread after a write, with whether the batch is durable.
pub type WriteCompletion = Box<dyn FnOnce(bool) + Send>;

struct WriteRequest {
    batch: WriteBatch,
    on_complete: WriteCompletion,
}

/// Writes batches in the order in which they are submitted. A write that hangs holds up those behind it;
/// their completions are not called meanwhile.
pub struct DiskWriter {
    /// `None` once the writer is being dropped.
    requests: Option<Sender<WriteRequest>>,
    thread: Option<JoinHandle<()>>,
}

impl DiskWriter {
    /// Opens the folder, with retries until that succeeds: a full or hanging disk must not end the process.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start(folder: &Path, log_warning: impl Fn(&str)) -> io::Result<(DiskWriter, RecoveredState)> {
        DiskWriter::with_folder(FileSystemFolder::new(folder), log_warning)
    }

    /// As [`DiskWriter::start`], with any kind of folder.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn with_folder(
        mut folder: impl DataFolder,
        log_warning: impl Fn(&str),
    ) -> io::Result<(DiskWriter, RecoveredState)> {
        let (disk, recovered) = open_with_retries(&mut folder, log_warning);
        let (sender, receiver) = channel();
        let has_data = recovered.condition == FolderCondition::Intact;
        let worker = Worker { folder, disk: Some(disk), has_data };
        let thread =
            std::thread::Builder::new().name("disk-writer".into()).spawn(move || worker.run(&receiver))?;
        Ok((DiskWriter { requests: Some(sender), thread: Some(thread) }, recovered))
    }

    /// Queues a batch.
    pub fn write(&self, batch: WriteBatch, on_complete: WriteCompletion) {
        if let Some(requests) = &self.requests {
            let _ = requests.send(WriteRequest { batch, on_complete });
        }
    }
}

impl Drop for DiskWriter {
    /// Waits until all queued batches are written and the folder is closed.
    fn drop(&mut self) {
        self.requests = None;
        // A completion may own the last reference to the writer. It is then dropped on the writer's thread,
        // which can't join itself.
        let is_other = |thread: &JoinHandle<()>| thread.thread().id() != std::thread::current().id();
        let _ = self.thread.take().filter(is_other).map(JoinHandle::join);
    }
}

/// The state of the writer's thread.
struct Worker<F> {
    folder: F,
    /// `None` after an error, because fjall then refuses all further writes to the open database.
    disk: Option<Box<dyn Disk>>,
    /// This process has read or written data in the folder.
    has_data: bool,
}

impl<F: DataFolder> Worker<F> {
    fn run(mut self, requests: &Receiver<WriteRequest>) {
        while let Ok(WriteRequest { batch, on_complete }) = requests.recv() {
            on_complete(self.write(&batch));
        }
    }

    /// Whether the batch is durable.
    fn write(&mut self, batch: &WriteBatch) -> bool {
        if self.disk.is_none() {
            self.disk = self.reopen();
        }
        let written = self.disk.as_mut().is_some_and(|disk| disk.write(batch).is_ok());
        if written {
            self.has_data = true;
        } else {
            self.disk = None;
        }
        written
    }

    /// Opens the folder again after an error. A folder that has become corrupt or lost is not used, and the
    /// next start clears it: this process has the former data only in memory, and must not continue to write
    /// where it is missing on disk.
    fn reopen(&mut self) -> Option<Box<dyn Disk>> {
        let disk = self.folder.open().ok()?;
        let is_usable = !self.has_data || disk.condition() == FolderCondition::Intact;
        is_usable.then_some(disk)
    }
}
