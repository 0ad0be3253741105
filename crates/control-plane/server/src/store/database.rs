//! The fjall database of a data folder: two keyspaces, each of which also holds the number of the last batch.
use super::contents::{FolderCondition, KeyValue, RecoveredState, WriteBatch};
use super::disk::Disk;
use super::error::{Corruption, StoreError};
use super::folder::DirectorySync;
use super::generation::GenerationFile;
use fjall::{Database, Keyspace, KeyspaceCreateOptions, OwnedWriteBatch, PersistMode};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The key of the number of the last batch, in each keyspace.
const BATCH_NUMBER_KEY: &str = "#number";

/// The number of the first batch.
pub(super) const FIRST_BATCH_NUMBER: u64 = 1;

const CACHE_BYTES: u64 = 256 * 1024;

/// The smallest journal that fjall accepts. fjall allocates 64 MB at a time, and a second journal while the
/// first is flushed into tables. With a configuration of 1.8 MB that is written 10,000 times, the folder
/// grows to 160 MB and ends at 71 MB; with 0.2 MB and 1,000 times, 136 and 69 MB. Disks have 256 MB.
const JOURNAL_BYTES: u64 = 64 * 1024 * 1024;

const MEMTABLE_BYTES: u64 = 4 * 1024 * 1024;

/// The database and its keyspaces.
pub(super) struct Keyspaces {
    database: Database,
    state: Keyspace,
    metadata: Keyspace,
}

impl Keyspaces {
    pub(super) fn open(folder: &Path) -> fjall::Result<Keyspaces> {
        let database = Database::builder(folder)
            .cache_size(CACHE_BYTES)
            .worker_threads(1)
            .max_journaling_size(JOURNAL_BYTES)
            .open()?;
        let options = || KeyspaceCreateOptions::default().max_memtable_size(MEMTABLE_BYTES);
        let state = database.keyspace("state", options)?;
        let metadata = database.keyspace("own", options)?;
        Ok(Keyspaces { database, state, metadata })
    }

    /// The number of the last batch; 0 before the first. Both keyspaces must agree, as each batch writes
    /// both.
    pub(super) fn batch_number(&self) -> Result<u64, StoreError> {
        let state = stored_batch_number(&self.state)?;
        let metadata = stored_batch_number(&self.metadata)?;
        if state != metadata {
            return Err(Corruption::UnequalBatchNumbers { state, metadata }.into());
        }
        Ok(state)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.state.iter().next().is_none() && self.metadata.iter().next().is_none()
    }

    /// Assigns the first batch number to a database of an older version, which did not number batches.
    pub(super) fn adopt(&self) -> fjall::Result<()> {
        let mut batch = self.synced_batch();
        for keyspace in [&self.state, &self.metadata] {
            batch.insert(keyspace, BATCH_NUMBER_KEY, FIRST_BATCH_NUMBER.to_string());
        }
        batch.commit()
    }

    fn synced_batch(&self) -> OwnedWriteBatch {
        self.database.batch().durability(Some(PersistMode::SyncData))
    }

    /// Removes the stored entries of the state that are not among `entries`.
    fn remove_other_state(&self, batch: &mut OwnedWriteBatch, entries: &[KeyValue]) -> fjall::Result<()> {
        let retained: BTreeSet<&[u8]> = entries.iter().map(|(key, _)| key.as_bytes()).collect();
        for entry in self.state.iter() {
            let key = entry.key()?;
            if !retained.contains(&*key) {
                batch.remove(&self.state, key);
            }
        }
        Ok(())
    }

    /// Writes the batch under its number, atomically and synced.
    fn commit(&self, changes: &WriteBatch, number: u64) -> fjall::Result<()> {
        let mut batch = self.synced_batch();
        if changes.replace_state {
            self.remove_other_state(&mut batch, &changes.state)?;
        }
        for (keyspace, entries) in [(&self.state, &changes.state), (&self.metadata, &changes.metadata)] {
            for (key, value) in entries {
                batch.insert(keyspace, key.as_bytes(), value.as_bytes());
            }
            batch.insert(keyspace, BATCH_NUMBER_KEY, number.to_string());
        }
        batch.commit()
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn stored_batch_number(keyspace: &Keyspace) -> Result<u64, StoreError> {
    let Some(bytes) = keyspace.get(BATCH_NUMBER_KEY)? else { return Ok(0) };
    let found = text(&bytes);
    found
        .parse()
        .map_err(|source| Corruption::MalformedBatchNumber { key: BATCH_NUMBER_KEY, found, source }.into())
}

/// All entries but the batch number.
fn entries(keyspace: &Keyspace) -> fjall::Result<BTreeMap<String, String>> {
    let mut entries = BTreeMap::new();
    for entry in keyspace.iter() {
        let (key, value) = entry.into_inner()?;
        entries.insert(text(&key), text(&value));
    }
    entries.remove(BATCH_NUMBER_KEY);
    Ok(entries)
}

/// An open database with its generation file.
pub(super) struct OpenDatabase {
    pub(super) keyspaces: Keyspaces,
    pub(super) generation_file: GenerationFile,
    /// The last number in the generation file; 0 if nothing was ever written.
    pub(super) generation: u64,
    /// The number of the last batch. After a loss it continues from the generation, so that numbers only
    /// increase.
    pub(super) batch_number: u64,
    pub(super) condition: FolderCondition,
    pub(super) directories: DirectorySync,
}

impl Disk for OpenDatabase {
    fn condition(&self) -> FolderCondition {
        self.condition
    }

    fn read(&mut self) -> Result<RecoveredState, StoreError> {
        Ok(RecoveredState {
            state: entries(&self.keyspaces.state)?,
            metadata: entries(&self.keyspaces.metadata)?,
            condition: self.condition,
            batch_number: self.batch_number,
        })
    }

    /// The generation is written after the batch: a crash in between leaves a database that is newer than its
    /// generation, which is valid; the reverse would count as stale.
    fn write(&mut self, batch: &WriteBatch) -> Result<(), StoreError> {
        let number = self.batch_number + 1;
        self.keyspaces.commit(batch, number)?;
        self.batch_number = number;
        self.directories.sync_changed()?;
        // The journal is already synced. A second sync, for the generation, is worth its cost for votes and
        // terms, which are rare and must survive a power loss (Raft 5.2: one vote per term), and for the
        // first batch. Changes of the state carry their own sequence number, so their generation is written
        // without a sync.
        let changes_more_than_sequence =
            batch.metadata.iter().any(|(key, _)| key != coppersail_consensus::LAST_SEQUENCE_KEY);
        let synced = self.generation == 0 || changes_more_than_sequence;
        self.generation_file.write(number, synced)?;
        self.generation = number;
        Ok(())
    }
}
