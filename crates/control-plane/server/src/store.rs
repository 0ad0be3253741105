//! The disk of a centre: one thread that writes, synced, in the order in which it was asked. `fjall` checks its
//! journal by sums and makes a batch last whole or not at all; the `mark` beside it shows a folder that has gone back.
//! After an error the folder is opened anew: what was asked meanwhile has failed. A disk that hangs is seen by `stuck`.
//!
//! What cannot be relied on is emptied and counts as lost. The mark outlives that, so that a folder which was emptied
//! and not written since is found lost again, and never fresh.
pub mod mark;

use coppersail_consensus::Ms;
use eyre::Result;
use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};
use mark::{Mark, Said};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};

pub type KeyValue = (String, String);
pub type Done = Box<dyn FnOnce(bool) + Send>;

/// What is written together, whole or not at all: changes of the state (all of it anew if `whole`) and what the
/// centre keeps about itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WriteBatch {
    pub state: Vec<KeyValue>,
    pub whole: bool,
    pub own: Vec<KeyValue>,
}

/// How the folder was found.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FolderCondition {
    /// Nothing was ever written here.
    #[default]
    Fresh,
    /// All that was ever answered is here.
    Whole,
    /// Torn, or gone back to an older state: emptied now, or before and not written since. Nothing of it is left.
    Lost,
}

/// What was found on the disk.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RecoveredState {
    pub state: BTreeMap<String, String>,
    pub own: BTreeMap<String, String>,
    pub kept: FolderCondition,
    /// The number of the last batch.
    pub number: u64,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// What is there is not what was written.
    Torn(String),
    /// The disk refuses for now.
    Refused(String),
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let (Fault::Torn(why) | Fault::Refused(why)) = self;
        f.write_str(why)
    }
}

impl From<io::Error> for Fault {
    fn from(e: io::Error) -> Fault {
        Fault::Refused(e.to_string())
    }
}

impl From<fjall::Error> for Fault {
    /// What is missing or short is torn; an error of the disk itself says nothing about what is on it.
    fn from(e: fjall::Error) -> Fault {
        use ErrorKind::*;
        let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(&e);
        let mut kind = None;
        while let Some(this) = cause {
            kind = kind.or(this.downcast_ref::<io::Error>().map(|e| e.kind()));
            cause = this.source();
        }
        match (&e, kind) {
            (_, Some(NotFound | UnexpectedEof | InvalidData | InvalidInput | AlreadyExists)) => {
                Fault::Torn(e.to_string())
            }
            (fjall::Error::Locked | fjall::Error::Poisoned | fjall::Error::Io(_), _) | (_, Some(_)) => {
                Fault::Refused(e.to_string())
            }
            _ => Fault::Torn(e.to_string()),
        }
    }
}

/// An open disk.
pub trait Disk: Send {
    fn kept(&self) -> FolderCondition;
    fn read(&mut self) -> Result<RecoveredState, Fault>;
    /// All of it is on the disk when this returns, or there was an error and the disk is not used again.
    fn put(&mut self, batch: &WriteBatch) -> Result<(), Fault>;
}

/// Where a disk is opened.
pub trait Folder: Send + 'static {
    fn open(&mut self) -> Result<Box<dyn Disk>, Fault>;
    fn empty(&mut self) -> Result<(), Fault>;
    /// Between two tries.
    fn pause(&mut self) {
        std::thread::sleep(Duration::from_millis(200));
    }
}

/// One line for so many tries: ten seconds at least.
const TRIES_A_LINE: u64 = 50;

pub struct DiskWriter {
    jobs: Option<Sender<(WriteBatch, Done)>>,
    thread: Option<JoinHandle<()>>,
    /// When the write under way began, in ms; 0 for none.
    began: Arc<AtomicU64>,
    ok: Arc<AtomicBool>,
    start: Instant,
}

impl DiskWriter {
    /// Opens the folder, however long that takes: a disk that is full or hangs ends no process.
    pub fn start(folder: &Path, say: impl Fn(&str)) -> Result<(DiskWriter, RecoveredState)> {
        DiskWriter::with(Files { folder: folder.to_path_buf() }, say)
    }

    pub fn with(mut folder: impl Folder, say: impl Fn(&str)) -> Result<(DiskWriter, RecoveredState)> {
        let (mut tries, mut torn, mut emptied) = (0, None, false);
        let (disk, found) = loop {
            let fault = if let Some(why) = &torn {
                match folder.empty() {
                    Ok(()) => {
                        let line = format!("The folder is torn, and emptied: {why}.");
                        torn = None;
                        if !std::mem::replace(&mut emptied, true) {
                            say(&line);
                            continue;
                        }
                        line
                    }
                    Err(e) => format!("The folder is torn ({why}), and can't be emptied: {e}."),
                }
            } else {
                match folder.open().and_then(|mut disk| disk.read().map(|found| (disk, found))) {
                    Ok(opened) => break opened,
                    Err(Fault::Refused(why)) => format!("The folder can't be opened: {why}."),
                    Err(Fault::Torn(why)) => {
                        torn = Some(why);
                        continue;
                    }
                }
            };
            if tries % TRIES_A_LINE == 0 {
                say(&fault);
            }
            tries += 1;
            folder.pause();
        };
        if found.kept == FolderCondition::Lost && !emptied {
            say("The folder had been written, and nothing of that is left.");
        }
        let (jobs, todo) = channel();
        let (began, ok) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(true)));
        let start = Instant::now();
        let (b, o) = (began.clone(), ok.clone());
        let whole = found.kept == FolderCondition::Whole;
        let run = move || run(folder, (disk, whole), todo, start, b, o);
        let thread = std::thread::Builder::new().name("scribe".into()).spawn(run)?;
        Ok((DiskWriter { jobs: Some(jobs), thread: Some(thread), began, ok, start }, found))
    }

    pub fn write(&self, batch: WriteBatch, done: Done) {
        if let Some(jobs) = &self.jobs {
            let _ = jobs.send((batch, done));
        }
    }

    /// For how long the write under way has been.
    pub fn stuck(&self) -> Ms {
        match self.began.load(Ordering::Relaxed) {
            0 => 0,
            began => (self.start.elapsed().as_millis() as u64 + 1).saturating_sub(began),
        }
    }

    /// The last write succeeded.
    pub fn sound(&self) -> bool {
        self.ok.load(Ordering::Relaxed)
    }
}

impl Drop for DiskWriter {
    /// What was asked for is written, and the folder is free.
    fn drop(&mut self) {
        self.jobs = None;
        // The last to hold it may be what is called after a write.
        let other = |thread: &JoinHandle<()>| thread.thread().id() != std::thread::current().id();
        let _ = self.thread.take().filter(other).map(JoinHandle::join);
    }
}

fn run(
    mut folder: impl Folder,
    (disk, mut whole): (Box<dyn Disk>, bool),
    todo: Receiver<(WriteBatch, Done)>,
    start: Instant,
    began: Arc<AtomicU64>,
    ok: Arc<AtomicBool>,
) {
    let mut disk = Some(disk);
    while let Ok((batch, done)) = todo.recv() {
        began.store(start.elapsed().as_millis() as u64 + 1, Ordering::Relaxed);
        // After an error fjall refuses all further writes of this life: it is opened anew. What is torn or lost then
        // is emptied by the next life only, as this one still holds what was there.
        if disk.is_none() {
            disk = folder.open().ok().filter(|d| !whole || d.kept() == FolderCondition::Whole);
        }
        let written = disk.as_mut().is_some_and(|d| d.put(&batch).is_ok());
        if !written {
            disk = None;
        }
        whole |= written;
        ok.store(written, Ordering::Relaxed);
        began.store(0, Ordering::Relaxed);
        done(written);
    }
}

/// The key of the number of the last batch, in each keyspace.
const NUMBER: &str = "#number";

/// For so long after a folder's time of change was seen to move, it may change again and show the same time: clocks of
/// file systems move by up to 10 ms at once.
const COARSE: Duration = Duration::from_millis(20);

/// A folder, when its names last changed, and when that was seen.
type Names = (PathBuf, Option<SystemTime>, Instant);

fn folders(folder: &Path, found: &mut Vec<Names>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_type()?.is_dir() {
            folders(&entry.path(), found)?;
        }
    }
    found.push((folder.to_path_buf(), None, Instant::now()));
    Ok(())
}

struct Files {
    folder: PathBuf,
}

struct Open {
    db: Database,
    state: Keyspace,
    own: Keyspace,
    mark: Mark,
    said: u64,
    number: u64,
    kept: FolderCondition,
    /// fjall makes no folder after it is open.
    folders: Vec<Names>,
}

/// The least journal that fjall takes: it lays out 64 MB at a time, and a second beside it while the first is emptied
/// into tables. At the target's size, a configuration of 1.8 MB written 10,000 times, the folder had 160 MB at most and
/// 71 MB at the end; of 0.2 MB and 1,000 times 136 and 69 MB. Disks have 256 MB.
fn database(folder: &Path) -> fjall::Result<(Database, Keyspace, Keyspace)> {
    let db = Database::builder(folder)
        .cache_size(256 * 1024)
        .worker_threads(1)
        .max_journaling_size(64 * 1024 * 1024)
        .open()?;
    let options = || KeyspaceCreateOptions::default().max_memtable_size(4 * 1024 * 1024);
    let (state, own) = (db.keyspace("state", options)?, db.keyspace("own", options)?);
    Ok((db, state, own))
}

fn all(keyspace: &Keyspace) -> fjall::Result<BTreeMap<String, String>> {
    let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
    keyspace.iter().map(|kv| kv.into_inner().map(|(k, v)| (text(&k), text(&v)))).collect()
}

/// Opens a copy, as opening writes.
pub fn read(folder: &Path) -> Result<RecoveredState, Fault> {
    static COPIES: AtomicU64 = AtomicU64::new(0);
    let copy = COPIES.fetch_add(1, Ordering::Relaxed);
    let copy = std::env::temp_dir().join(format!("council-read-{}-{copy}", std::process::id()));
    let found = copied(folder, &copy)
        .map_err(Fault::from)
        .and_then(|()| Files { folder: copy.clone() }.open())
        .and_then(|mut disk| disk.read());
    fs::remove_dir_all(&copy)?;
    found
}

fn copied(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let to = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copied(&entry.path(), &to)?;
        } else {
            fs::copy(entry.path(), to)?;
        }
    }
    Ok(())
}

impl Folder for Files {
    fn open(&mut self) -> Result<Box<dyn Disk>, Fault> {
        let folder = &self.folder;
        fs::create_dir_all(folder)?;
        let beside = |entry: io::Result<fs::DirEntry>| entry.map_or(true, |e| e.file_name() != mark::NAME);
        let empty = !fs::read_dir(folder)?.any(beside);
        let mut said = mark::read(folder)?;
        // Before all else, so that whatever is beside it was written under it.
        if empty && !matches!(said, Said::Number(_)) {
            mark::make(folder, 0)?;
            said = Said::Number(0);
        }
        let (db, state, own) = database(folder)?;
        let number = |keyspace: &Keyspace| -> Result<u64, Fault> {
            let text = keyspace.get(NUMBER)?.map(|n| String::from_utf8_lossy(&n).into_owned());
            text.map_or(Ok(0), |n| n.parse().map_err(|_| Fault::Torn(format!("{NUMBER} is {n:?}"))))
        };
        let numbers = (number(&state)?, number(&own)?);
        if numbers.0 != numbers.1 {
            return Err(Fault::Torn(format!("one part has {} batches, the other {}", numbers.0, numbers.1)));
        }
        let number = numbers.0;
        let bare = || state.iter().next().is_none() && own.iter().next().is_none();
        let adopt = match said {
            Said::Number(said) if said > number && !(number == 0 && bare()) => {
                return Err(Fault::Torn(format!("it had {said} batches, and {number} are found")));
            }
            Said::Number(said) => said == 0 && number == 0 && !bare(),
            // Written before there was a mark.
            Said::Absent if number == 0 && !bare() => true,
            _ => return Err(Fault::Torn("no mark is found beside it".into())),
        };
        if adopt {
            let mut batch = db.batch().durability(Some(PersistMode::SyncData));
            batch.insert(&state, NUMBER, "1");
            batch.insert(&own, NUMBER, "1");
            batch.commit()?;
            mark::make(folder, 1)?;
            said = Said::Number(1);
        }
        let said = if let Said::Number(n) = said { n } else { 0 };
        let mark = Mark::open(folder)?;
        let kept = match (number, said) {
            (0, 0) if !adopt => FolderCondition::Fresh,
            (0, _) if !adopt => FolderCondition::Lost,
            _ => FolderCondition::Whole,
        };
        let number = number.max(said);
        let mut all = Vec::new();
        folders(folder, &mut all)?;
        let mut open = Open { db, state, own, mark, said, number, kept, folders: all };
        open.sync_names()?;
        Ok(Box::new(open))
    }

    /// All but the mark, which keeps saying that something was here.
    fn empty(&mut self) -> Result<(), Fault> {
        if !matches!(mark::read(&self.folder)?, Said::Number(_)) {
            mark::make(&self.folder, 1)?;
        }
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            if entry.file_name() == mark::NAME {
                continue;
            }
            if entry.file_type()?.is_dir() {
                fs::remove_dir_all(entry.path())?;
            } else {
                fs::remove_file(entry.path())?;
            }
        }
        Ok(File::open(&self.folder)?.sync_all()?)
    }
}

impl Open {
    /// Syncs each folder whose names have changed since. fjall syncs the folder of each file that it makes, but not
    /// the one in which it makes a keyspace's folder, nor after it removes a file.
    fn sync_names(&mut self) -> io::Result<()> {
        for (folder, changed, seen) in &mut self.folders {
            let now = fs::metadata(&*folder)?.modified().ok();
            if now != *changed {
                (*changed, *seen) = (now, Instant::now());
            } else if seen.elapsed() > COARSE {
                continue;
            }
            File::open(&*folder)?.sync_all()?;
        }
        Ok(())
    }
}

impl Disk for Open {
    /// As it was opened.
    fn kept(&self) -> FolderCondition {
        self.kept
    }

    fn read(&mut self) -> Result<RecoveredState, Fault> {
        let (mut state, mut own) = (all(&self.state)?, all(&self.own)?);
        state.remove(NUMBER);
        own.remove(NUMBER);
        Ok(RecoveredState { state, own, kept: self.kept, number: self.number })
    }

    fn put(&mut self, batch: &WriteBatch) -> Result<(), Fault> {
        let number = self.number + 1;
        let mut changes = self.db.batch().durability(Some(PersistMode::SyncData));
        if batch.whole {
            let kept: BTreeSet<&[u8]> = batch.state.iter().map(|(n, _)| n.as_bytes()).collect();
            for entry in self.state.iter() {
                let key = entry.key()?;
                if !kept.contains(&*key) {
                    changes.remove(&self.state, key);
                }
            }
        }
        for (keyspace, puts) in [(&self.state, &batch.state), (&self.own, &batch.own)] {
            for (name, value) in puts {
                changes.insert(keyspace, name.as_bytes(), value.as_bytes());
            }
            changes.insert(keyspace, NUMBER, number.to_string());
        }
        changes.commit()?;
        self.number = number;
        self.sync_names()?;
        // fjall's journal is synced already. What the mark adds is worth a second sync for promises and epochs, which
        // are rare, and for the first batch of all; for changes of the state, which bring their number, it is written
        // without one.
        let synced = self.said == 0 || batch.own.iter().any(|(name, _)| name != coppersail_consensus::SEQ);
        self.mark.write(number, synced)?;
        self.said = number;
        Ok(())
    }
}
