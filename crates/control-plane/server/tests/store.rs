//! Data folders of the control plane on a real file system: files truncated, deleted, restored and corrupted.
mod common;

use common::batches::{metadata_batch, put, state, write};
use coppersail_control_plane::store::WriteBatch;
use coppersail_control_plane::store::{generation, DiskWriter, FolderCondition, KeyValue, RecoveredState};
use std::cell::RefCell;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A temporary folder that is removed when it is dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("store-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        TempFolder(path)
    }

    fn copy(&self, name: &str) -> TempFolder {
        let copy = TempFolder::new(name);
        for path in files_below(&self.0) {
            let to = copy.0.join(path.strip_prefix(&self.0).unwrap());
            if path.is_dir() {
                fs::create_dir_all(&to).unwrap();
            } else {
                let (bytes, used) = content_and_length(&path);
                fs::create_dir_all(to.parent().unwrap()).unwrap();
                fs::write(&to, &bytes[..used]).unwrap();
                fs::File::options().write(true).open(&to).unwrap().set_len(bytes.len() as u64).unwrap();
            }
        }
        copy
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The bytes of a file, and its length without the zeros that are preallocated at its end.
fn content_and_length(path: &Path) -> (Vec<u8>, usize) {
    let bytes = fs::read(path).unwrap();
    let used = bytes.iter().rposition(|b| *b != 0).map_or(0, |last| last + 1);
    (bytes, used)
}

/// All files and folders below, folders after what is in them.
fn files_below(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).unwrap().map(|e| e.unwrap()) {
        if entry.file_type().unwrap().is_dir() {
            found.extend(files_below(&entry.path()));
        }
        found.push(entry.path());
    }
    found
}

fn open(folder: &Path) -> (DiskWriter, RecoveredState, Vec<String>) {
    let lines = RefCell::new(Vec::new());
    let (writer, found) =
        DiskWriter::start(folder, |line| lines.borrow_mut().push(line.to_string())).unwrap();
    (writer, found, lines.into_inner())
}

fn condition_and_lines(folder: &Path) -> (FolderCondition, usize) {
    let (_, found, lines) = open(folder);
    (found.condition, lines.len())
}

/// Writes `changes` of about 100 KB each; 45 of them fill a memtable of fjall, 660 a journal.
fn fill(writer: &DiskWriter, changes: std::ops::Range<u32>) {
    for n in changes {
        let entries = vec![put("config", format!("{n:05}").repeat(20_000)), put(&format!("row/{n}"), n)];
        assert!(write(writer, state(entries)));
    }
}

/// A folder with a journal and tables, and its content.
fn populated_folder(name: &str, changes: u32) -> (TempFolder, RecoveredState) {
    let temp = TempFolder::new(name);
    let (writer, found, lines) = open(&temp.0);
    assert_eq!((found.condition, lines.len()), (FolderCondition::Fresh, 0));
    assert!(write(&writer, metadata_batch("seat", "a")));
    fill(&writer, 0..changes);
    assert!(write(&writer, metadata_batch("floor", 7)));
    assert!(write(&writer, state(vec![put("last", "one")])));
    drop(writer);
    let (_, found, lines) = open(&temp.0);
    assert_eq!(
        (found.condition, found.batch_number, lines.len()),
        (FolderCondition::Intact, changes as u64 + 3, 0)
    );
    assert_eq!((found.state.len(), found.metadata.len()), (changes as usize + 2, 2));
    (temp, found)
}

#[test]
fn truncated_or_deleted_files_leave_the_folder_intact_or_lost_and_never_older() {
    let (temp, intact) = populated_folder("cut", 60);
    let mut cases = Vec::new();
    for path in files_below(&temp.0) {
        let name = path.strip_prefix(&temp.0).unwrap().to_path_buf();
        cases.push((name.clone(), None));
        if !path.is_dir() {
            let used = content_and_length(&path).1;
            let lengths = [0, used / 3, used * 2 / 3, used.saturating_sub(1)];
            cases.extend(
                lengths.iter().flat_map(|at| [true, false].map(|short| (name.clone(), Some((*at, short))))),
            );
        }
    }
    let lost = AtomicUsize::new(0);
    let case = |name: &Path, cut: Option<(usize, bool)>, copy: TempFolder| {
        let path = copy.0.join(name);
        match cut {
            None if path.is_dir() => fs::remove_dir_all(&path).unwrap(),
            None => fs::remove_file(&path).unwrap(),
            Some((at, short)) => {
                let file = fs::File::options().write(true).open(&path).unwrap();
                let length = file.metadata().unwrap().len();
                file.set_len(at as u64).unwrap();
                // Otherwise the file keeps its length, and its end reads as zeros that were never written.
                file.set_len(if short { at as u64 } else { length }).unwrap();
            }
        }
        let (_, found, lines) = open(&copy.0);
        match found.condition {
            FolderCondition::Intact => assert_eq!(found, intact, "{name:?} {cut:?}"),
            FolderCondition::Lost => {
                assert!(found.state.is_empty() && found.metadata.is_empty() && lines.len() == 1)
            }
            FolderCondition::Fresh => panic!("{name:?} {cut:?} was taken for a first start"),
        }
        lost.fetch_add((found.condition == FolderCondition::Lost) as usize, Ordering::Relaxed);
    };
    // In parallel, because most of the time is spent waiting for syncs.
    std::thread::scope(|scope| {
        for stripe in 0..8 {
            let (cases, temp, case) = (&cases, &temp, &case);
            scope.spawn(move || {
                for (name, cut) in cases.iter().skip(stripe).step_by(8) {
                    case(name, *cut, temp.copy(&format!("cut-{stripe}")));
                }
            });
        }
    });
    let lost = lost.into_inner();
    assert!(lost > 30 && cases.len() > lost + 10, "{lost} of {} were lost", cases.len());
}

#[test]
fn a_folder_older_than_its_generation_is_lost_until_the_next_write() {
    let (temp, _) = populated_folder("older", 3);
    let older = temp.copy("older-copy");
    let (writer, ..) = open(&temp.0);
    assert!(write(&writer, state(vec![put("last", "two")])));
    drop(writer);
    fs::copy(temp.0.join(generation::FILE_NAME), older.0.join(generation::FILE_NAME)).unwrap();
    let (writer, found, lines) = open(&older.0);
    assert_eq!((found.condition, found.state.len(), found.metadata.len()), (FolderCondition::Lost, 0, 0));
    assert!(lines.len() == 1 && lines[0].contains("is cleared"), "{lines:?}");
    drop(writer);
    assert_eq!(condition_and_lines(&older.0), (FolderCondition::Lost, 1), "not fresh after it was cleared");
    let (writer, ..) = open(&older.0);
    assert!(write(&writer, metadata_batch("seat", "a")));
    drop(writer);
    assert_eq!(condition_and_lines(&older.0), (FolderCondition::Intact, 0));
}

#[test]
fn a_corrupt_generation_slot_falls_back_to_the_other_slots() {
    let (temp, intact) = populated_folder("slots", 3);
    let text = fs::read(temp.0.join(generation::FILE_NAME)).unwrap();
    assert_eq!(generation::read(&temp.0).unwrap(), generation::Generation::Number(intact.batch_number));
    for slot in 0..4 {
        let copy = temp.copy("slots-copy");
        let mut corrupt = text.clone();
        corrupt[slot * 4096 + 3] ^= 1;
        fs::write(copy.0.join(generation::FILE_NAME), &corrupt).unwrap();
        assert!(
            matches!(generation::read(&copy.0).unwrap(), generation::Generation::Number(n) if n >= intact.batch_number - 1)
        );
        assert_eq!(open(&copy.0).1, intact);
    }
    // Each start writes the slot with the lower number.
    for floor in [8, 9] {
        assert!(write(&open(&temp.0).0, metadata_batch("floor", floor)));
    }
    let text = fs::read(temp.0.join(generation::FILE_NAME)).unwrap();
    let last = (intact.batch_number + 2).to_le_bytes();
    let slot = (0..4).find(|slot| text[slot * 4096..].starts_with(&last)).unwrap();
    let mut corrupt = text.clone();
    corrupt[slot * 4096] ^= 1;
    fs::write(temp.0.join(generation::FILE_NAME), &corrupt).unwrap();
    assert_eq!(generation::read(&temp.0).unwrap(), generation::Generation::Number(intact.batch_number + 1));
    let corrupt: Vec<u8> = text.iter().map(|b| b ^ 1).collect();
    fs::write(temp.0.join(generation::FILE_NAME), corrupt).unwrap();
    assert_eq!(generation::read(&temp.0).unwrap(), generation::Generation::Corrupt);
    assert_eq!(condition_and_lines(&temp.0), (FolderCondition::Lost, 1));
}

#[test]
fn deleted_files_that_reappear_change_nothing() {
    let temp = TempFolder::new("back");
    let (writer, ..) = open(&temp.0);
    let older = TempFolder::new("back-older");
    fs::create_dir_all(&older.0).unwrap();
    // Copies the files several times; among them is a whole journal that is deleted in the end.
    for n in 0..5 {
        fill(&writer, n * 160..(n + 1) * 160);
        for path in
            files_below(&temp.0).into_iter().filter(|p| !p.is_dir() && !p.ends_with(generation::FILE_NAME))
        {
            let to = older.0.join(path.strip_prefix(&temp.0).unwrap());
            fs::create_dir_all(to.parent().unwrap()).unwrap();
            // A file that fjall has removed meanwhile can't be copied.
            let _ = fs::copy(&path, to);
        }
    }
    assert!(write(&writer, metadata_batch("floor", 7)));
    drop(writer);
    let intact = open(&temp.0).1;
    assert_eq!((intact.condition, intact.state.len()), (FolderCondition::Intact, 801));
    let now = files_below(&temp.0).len();
    for path in files_below(&older.0).into_iter().filter(|p| !p.is_dir()) {
        let to = temp.0.join(path.strip_prefix(&older.0).unwrap());
        if !to.exists() {
            fs::copy(path, to).unwrap();
        }
    }
    assert!(temp.0.join("0.jnl").exists() && files_below(&temp.0).len() > now + 3, "files came back");
    assert_eq!(open(&temp.0).1, intact);
}

#[test]
fn a_torn_snapshot_write_is_applied_completely_or_not_at_all() {
    let (temp, before) = populated_folder("whole", 3);
    let from = content_and_length(&temp.0.join("0.jnl")).1;
    let generation_before = fs::read(temp.0.join(generation::FILE_NAME)).unwrap();
    let (writer, ..) = open(&temp.0);
    let entries: Vec<KeyValue> = (0..500).map(|n| put(&format!("new/{n}"), n)).collect();
    assert!(write(
        &writer,
        WriteBatch { state: entries, replace_state: true, metadata: vec![put("floor", 8)] }
    ));
    drop(writer);
    let (_, after, _) = open(&temp.0);
    assert_eq!(
        (after.state.len(), after.metadata["floor"].as_str(), &after.metadata["seat"][..]),
        (500, "8", "a")
    );
    // A power loss before the generation file is written leaves the batch torn at any position.
    fs::write(temp.0.join(generation::FILE_NAME), generation_before).unwrap();
    let (text, to) = content_and_length(&temp.0.join("0.jnl"));
    assert!(to > from + 5_000);
    let (mut old, mut new) = (0, 0);
    let step = (to - from) / 8;
    for at in (from..to).step_by(step).chain([to]) {
        // Only the start is written; all but a gap; only the end.
        for hole in [at..text.len(), at..at + step, from..at] {
            let copy = temp.copy("whole-copy");
            let mut corrupt = text.clone();
            corrupt[hole.start..hole.end.min(text.len())].fill(0);
            fs::write(copy.0.join("0.jnl"), corrupt).unwrap();
            let (_, found, lines) = open(&copy.0);
            assert!(
                found == before || found == after,
                "{hole:?} of {from}..{to}: {:?} {lines:?}",
                found.condition
            );
            (old, new) = (old + (found == before) as u32, new + (found == after) as u32);
        }
    }
    assert!(old > 10 && new > 0, "{old} old, {new} new");
}

#[test]
fn an_interrupted_creation_leaves_a_fresh_folder() {
    let temp = TempFolder::new("fresh");
    assert_eq!(condition_and_lines(&temp.0), (FolderCondition::Fresh, 0));
    assert_eq!(condition_and_lines(&temp.0), (FolderCondition::Fresh, 0));
    fs::remove_file(temp.0.join("version")).unwrap();
    assert_eq!(condition_and_lines(&temp.0).0, FolderCondition::Fresh);
    let only_generation = TempFolder::new("fresh-mark");
    fs::create_dir_all(&only_generation.0).unwrap();
    fs::write(only_generation.0.join(generation::FILE_NAME), [0; 100]).unwrap();
    assert_eq!(condition_and_lines(&only_generation.0), (FolderCondition::Fresh, 0));
    fs::remove_file(temp.0.join(generation::FILE_NAME)).unwrap();
    assert_eq!(condition_and_lines(&temp.0).0, FolderCondition::Lost, "a generation file is never removed");
}

#[test]
fn a_database_without_a_generation_file_is_adopted() {
    let temp = TempFolder::new("before");
    let db = fjall::Database::builder(&temp.0).open().unwrap();
    let keyspace = |name: &str| db.keyspace(name, fjall::KeyspaceCreateOptions::default).unwrap();
    keyspace("state").insert("config", "old").unwrap();
    keyspace("own").insert("seat", "a").unwrap();
    db.persist(fjall::PersistMode::SyncAll).unwrap();
    drop(db);
    for _ in 0..2 {
        let (_, found, lines) = open(&temp.0);
        assert_eq!(
            (found.condition, &found.state["config"][..], &found.metadata["seat"][..]),
            (FolderCondition::Intact, "old", "a")
        );
        assert!(lines.is_empty());
    }
}

#[test]
fn inspect_reports_the_content_and_changes_nothing() {
    let (temp, _) = populated_folder("inspect", 3);
    let settings = coppersail_peer_protocol::ConfigDocument { revision: 12, body: "{}".into() };
    let (writer, ..) = open(&temp.0);
    assert!(write(&writer, state(vec![put("config", serde_json::to_string(&settings).unwrap())])));
    drop(writer);
    let inspect = |words: &[&str]| {
        let output =
            Command::new(env!("CARGO_BIN_EXE_coppersail-control-plane")).args(words).output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
        (output.status.code().unwrap(), text)
    };
    let folder = temp.0.to_str().unwrap();
    let content = || -> Vec<(PathBuf, Option<Vec<u8>>)> {
        files_below(&temp.0).into_iter().map(|p| (p.clone(), fs::read(p).ok())).collect()
    };
    let before = content();
    let (status, text) = inspect(&["--inspect", folder]);
    let lines = "kept: whole\nbatches: 7\nown floor: 7\nown seat: a\nstate: 5 entries, ";
    assert!(
        status == 0 && text.starts_with(lines) && text.ends_with("configuration: revision 12\n"),
        "{text}"
    );
    assert!(content() == before);
    fs::remove_file(temp.0.join("0.jnl")).unwrap();
    assert_eq!(inspect(&["--inspect", folder]).0, 1);
    assert!(!temp.0.join("0.jnl").exists());
    for words in [&["--inspect"][..], &["--inspect", "/nowhere"], &["--inspect", folder, "more"]] {
        let (status, text) = inspect(words);
        assert!(status == 2 && text.lines().count() == 1 && text.contains("expected"), "{text}");
    }
}
