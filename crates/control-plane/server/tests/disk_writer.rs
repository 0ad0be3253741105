//! The disk writer on fake disks that are full, corrupt, or hang.
mod common;

use assert_matches::assert_matches;
use common::batches::{put, state, write};
use coppersail_control_plane::store::{
    Corruption, DataFolder, Disk, DiskFailure, DiskWriter, FolderCondition, RecoveredState, StoreError,
    WriteBatch,
};
use std::cell::RefCell;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The results that a fake disk returns, call by call, and the calls that it got. After the last result all
/// calls succeed.
#[derive(Default)]
struct Script {
    open_results: Vec<Result<(), StoreError>>,
    clear_results: Vec<Result<(), StoreError>>,
    write_results: Vec<Result<(), StoreError>>,
    calls: Vec<String>,
    conditions: Vec<FolderCondition>,
    /// Makes the next write send a message when it begins, and wait until it is released.
    hang: Option<(Sender<()>, Receiver<()>)>,
}

#[derive(Clone, Default)]
struct FakeDisk(Arc<Mutex<Script>>);

impl FakeDisk {
    fn next(
        &self,
        call: &str,
        results: impl Fn(&mut Script) -> &mut Vec<Result<(), StoreError>>,
    ) -> Result<(), StoreError> {
        let mut script = self.script();
        script.calls.push(call.to_string());
        let results = results(&mut script);
        if results.is_empty() {
            Ok(())
        } else {
            results.remove(0)
        }
    }

    fn script(&self) -> MutexGuard<'_, Script> {
        self.0.lock().unwrap()
    }

    fn take_calls(&self) -> Vec<String> {
        std::mem::take(&mut self.script().calls)
    }
}

impl DataFolder for FakeDisk {
    fn open(&mut self) -> Result<Box<dyn Disk>, StoreError> {
        self.next("open", |s| &mut s.open_results).map(|()| Box::new(self.clone()) as Box<dyn Disk>)
    }

    fn clear(&mut self) -> Result<(), StoreError> {
        self.next("clear", |s| &mut s.clear_results)
    }

    fn back_off(&mut self) {}
}

impl Disk for FakeDisk {
    fn condition(&self) -> FolderCondition {
        self.script().conditions.pop().unwrap_or(FolderCondition::Intact)
    }

    fn read(&mut self) -> Result<RecoveredState, StoreError> {
        Ok(RecoveredState { batch_number: 9, ..RecoveredState::default() })
    }

    fn write(&mut self, batch: &WriteBatch) -> Result<(), StoreError> {
        let hang = self.script().hang.take();
        if let Some((began, released)) = hang {
            began.send(()).unwrap();
            released.recv().unwrap();
        }
        self.next(&batch.state[0].0, |s| &mut s.write_results)
    }
}

fn full() -> Result<(), StoreError> {
    Err(DiskFailure::Io(std::io::Error::other("no space")).into())
}

fn stale() -> Result<(), StoreError> {
    Err(Corruption::StaleGeneration { found: 3, expected: 4 }.into())
}

fn start(disk: &FakeDisk) -> (DiskWriter, RecoveredState, Vec<String>) {
    let lines = RefCell::new(Vec::new());
    let (writer, found) =
        DiskWriter::with_folder(disk.clone(), |line| lines.borrow_mut().push(line.to_string())).unwrap();
    (writer, found, lines.into_inner())
}

#[test]
fn an_unavailable_disk_at_start_is_retried_with_few_log_lines() {
    let disk = FakeDisk::default();
    disk.script().open_results = (0..120).map(|_| full()).collect();
    let (writer, found, lines) = start(&disk);
    assert_eq!((found.batch_number, disk.take_calls().len()), (9, 121), "opened once it is available");
    assert_eq!(lines, vec!["The data folder can't be opened: no space."; 3], "one line in fifty attempts");
    assert!(write(&writer, state(vec![put("a", 1)])));
}

#[test]
fn disk_errors_are_not_classified_as_corruption() {
    use std::io::ErrorKind::*;
    for kind in [StorageFull, TimedOut, PermissionDenied, QuotaExceeded, Other] {
        assert_matches!(StoreError::from(fjall::Error::Io(kind.into())), StoreError::Unavailable(_));
    }
    for kind in [NotFound, UnexpectedEof, InvalidData] {
        assert_matches!(StoreError::from(fjall::Error::Io(kind.into())), StoreError::Corrupt(_));
    }
    assert_matches!(StoreError::from(fjall::Error::Locked), StoreError::Unavailable(_));
    assert_matches!(StoreError::from(fjall::Error::InvalidTrailer), StoreError::Corrupt(_));
}

#[test]
fn a_corrupt_folder_that_cannot_be_cleared_is_not_opened() {
    let disk = FakeDisk::default();
    disk.script().open_results = vec![stale()];
    disk.script().clear_results = vec![full(), full()];
    let (_writer, _, lines) = start(&disk);
    assert_eq!(disk.take_calls(), ["open", "clear", "clear", "clear", "open"]);
    let not_cleared =
        "The data folder is torn or stale (it had 4 batches, and 3 are found) and can't be cleared: no space.";
    let cleared = "The data folder was torn or stale and is cleared: it had 4 batches, and 3 are found.";
    assert_eq!(lines, [not_cleared, cleared]);
}

#[test]
fn a_full_disk_fails_each_write_until_it_has_space_and_is_never_cleared() {
    let disk = FakeDisk::default();
    disk.script().write_results = vec![Ok(()), full(), full()];
    let (writer, ..) = start(&disk);
    let written = ["a", "b", "c", "d"].map(|n| write(&writer, state(vec![put(n, 1)])));
    assert_eq!(written, [true, false, false, true]);
    assert_eq!(
        disk.take_calls(),
        ["open", "a", "b", "open", "c", "open", "d"],
        "opened anew after each error"
    );
    disk.script().write_results = vec![full()];
    disk.script().open_results = vec![stale(), full()];
    let written = ["e", "f", "g", "h"].map(|n| write(&writer, state(vec![put(n, 1)])));
    assert_eq!(written, [false, false, false, true]);
    assert_eq!(
        disk.take_calls(),
        ["e", "open", "open", "open", "h"],
        "what this process holds is not removed"
    );
    disk.script().write_results = vec![full()];
    disk.script().conditions = vec![FolderCondition::Lost];
    let written = ["i", "j", "k"].map(|n| write(&writer, state(vec![put(n, 1)])));
    assert_eq!(written, [false, false, true]);
    assert_eq!(
        disk.take_calls(),
        ["i", "open", "open", "k"],
        "nothing is written where the former data is missing"
    );
}

#[test]
fn a_hanging_write_delays_completions_and_keeps_their_order() {
    let disk = FakeDisk::default();
    let ((began, write_began), (release, released)) = (channel(), channel());
    disk.script().hang = Some((began, released));
    disk.script().write_results = vec![Ok(()), full(), Ok(())];
    let (writer, ..) = start(&disk);
    let (sender, receiver) = channel();
    for name in ["a", "b", "c"] {
        let sender = sender.clone();
        writer.write(state(vec![put(name, 1)]), Box::new(move |ok| sender.send((name, ok)).unwrap()));
    }
    write_began.recv().unwrap();
    let early = receiver.recv_timeout(Duration::from_millis(20));
    assert_eq!(early, Err(RecvTimeoutError::Timeout), "nothing is acknowledged before it is written");
    release.send(()).unwrap();
    let written: Vec<(&str, bool)> = (0..3).map(|_| receiver.recv().unwrap()).collect();
    assert_eq!(written, [("a", true), ("b", false), ("c", true)]);
    assert_eq!(disk.take_calls(), ["open", "a", "b", "open", "c"]);
}
