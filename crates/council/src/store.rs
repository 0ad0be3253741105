//! The disk of a centre: one thread that writes, synced, in the order in which it was asked. `fjall` checks its
//! journal by sums and makes a batch last whole or not at all. After an error it is opened anew: what was asked
//! meanwhile has failed. A disk that hangs is seen by `stuck`.
use accord::Ms;
use eyre::{eyre, Result};
use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub type Put = (String, String);

/// What is written at once, whole or not at all: the state's changes (all of it anew if `whole`) and what the centre keeps
/// about itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Batch {
    pub state: Vec<Put>,
    pub whole: bool,
    pub own: Vec<Put>,
}

pub type Done = Box<dyn FnOnce(bool) + Send>;

/// How the folder was found.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Kept {
    /// Nothing was ever written here.
    #[default]
    Fresh,
    /// All that was ever answered is here.
    Whole,
    /// Torn, or gone back to an older state: emptied.
    Lost,
}

pub struct Scribe {
    jobs: Sender<(Batch, Done)>,
    /// When the write under way began, in ms; 0 for none.
    began: Arc<AtomicU64>,
    ok: Arc<AtomicU64>,
    start: Instant,
}

/// What was found on the disk.
#[derive(Debug, Default)]
pub struct Found {
    pub state: BTreeMap<String, String>,
    pub own: BTreeMap<String, String>,
    pub kept: Kept,
}

struct Disk {
    db: Database,
    state: Keyspace,
    own: Keyspace,
}

fn open(folder: &Path) -> fjall::Result<Disk> {
    let db = Database::builder(folder)
        .cache_size(256 * 1024)
        .worker_threads(1)
        .max_journaling_size(64 * 1024 * 1024)
        .open()?;
    let options = || KeyspaceCreateOptions::default().max_memtable_size(4 * 1024 * 1024);
    let (state, own) = (db.keyspace("state", options)?, db.keyspace("own", options)?);
    Ok(Disk { db, state, own })
}

fn all(keyspace: &Keyspace) -> fjall::Result<BTreeMap<String, String>> {
    let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
    keyspace.iter().map(|kv| kv.into_inner().map(|(k, v)| (text(&k), text(&v)))).collect()
}

/// Reads a folder without changing what it says, for the command line.
pub fn read(folder: &Path) -> Result<Found> {
    let disk = open(folder).map_err(|e| eyre!("{}: {e}", folder.display()))?;
    Ok(Found { state: all(&disk.state)?, own: all(&disk.own)?, kept: Kept::Whole })
}

impl Scribe {
    /// Opens the folder. What cannot be read is a lost disk: it is emptied, and the seat asks the others.
    pub fn start(folder: &Path, say: impl Fn(&str)) -> Result<(Scribe, Found)> {
        let mut disk = None;
        for _ in 0..50 {
            match open(folder) {
                Ok(found) => {
                    disk = Some(found);
                    break;
                }
                Err(fjall::Error::Io(e)) => {
                    say(&format!("The folder can't be opened: {e}."));
                    std::thread::sleep(Duration::from_millis(200));
                }
                Err(e) => {
                    say(&format!("The folder is torn, and emptied: {e}."));
                    std::fs::read_dir(folder)?.flatten().for_each(|f| {
                        let gone = if f.path().is_dir() {
                            std::fs::remove_dir_all(f.path())
                        } else {
                            std::fs::remove_file(f.path())
                        };
                        gone.unwrap_or_else(|e| say(&format!("{}: {e}.", f.path().display())));
                    });
                }
            }
        }
        let disk = disk.ok_or_else(|| eyre!("{} can't be opened", folder.display()))?;
        let (state, own) = (all(&disk.state)?, all(&disk.own)?);
        let kept = if own.is_empty() { Kept::Fresh } else { Kept::Whole };
        let found = Found { state, own, kept };
        let (jobs, todo) = channel();
        let (began, ok) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(1)));
        let start = Instant::now();
        let (b, o, folder) = (began.clone(), ok.clone(), folder.to_path_buf());
        std::thread::Builder::new()
            .name("scribe".into())
            .spawn(move || run(folder, disk, todo, start, b, o))?;
        Ok((Scribe { jobs, began, ok, start }, found))
    }

    pub fn write(&self, batch: Batch, done: Done) {
        let _ = self.jobs.send((batch, done));
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
        self.ok.load(Ordering::Relaxed) == 1
    }
}

fn run(
    folder: PathBuf,
    disk: Disk,
    todo: Receiver<(Batch, Done)>,
    start: Instant,
    began: Arc<AtomicU64>,
    ok: Arc<AtomicU64>,
) {
    let mut disk = Some(disk);
    while let Ok((write, tell)) = todo.recv() {
        began.store(start.elapsed().as_millis() as u64 + 1, Ordering::Relaxed);
        // After an error fjall refuses all further writes of this life: it is opened anew.
        if disk.is_none() {
            disk = open(&folder).ok();
        }
        let done = disk.as_ref().is_some_and(|d| put(d, &write).is_ok());
        if !done {
            disk = None;
        }
        ok.store(done as u64, Ordering::Relaxed);
        began.store(0, Ordering::Relaxed);
        tell(done);
    }
}

fn put(disk: &Disk, write: &Batch) -> fjall::Result<()> {
    let mut batch = disk.db.batch().durability(Some(PersistMode::SyncData));
    if write.whole {
        let kept: std::collections::BTreeSet<&str> = write.state.iter().map(|(n, _)| n.as_str()).collect();
        for name in all(&disk.state)?.into_keys().filter(|n| !kept.contains(n.as_str())) {
            batch.remove(&disk.state, name.as_bytes());
        }
    }
    for (name, value) in &write.state {
        batch.insert(&disk.state, name.as_bytes(), value.as_bytes());
    }
    for (name, value) in &write.own {
        batch.insert(&disk.own, name.as_bytes(), value.as_bytes());
    }
    batch.commit()
}
