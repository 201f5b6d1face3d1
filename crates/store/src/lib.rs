//! A voter's folder: term, vote and log in one file, crash-safe. By the embedded store `redb` (copy on write,
//! checksums, two commit slots): a batch is there as a whole or not at all, and [`Store::write`] returns when
//! it is safe. Decides nothing; blocks on the disk, so it belongs on a thread of its own.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use redb::{Builder, Database, Durability, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::fs;
use std::path::{Path, PathBuf};
use stonewharf_agreement::{Batch, Change, EntryWord, Kept};

/// Everything but the entries, by name.
const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// The entries by index.
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
/// The file within the folder.
const FILE: &str = "agreement.redb";
/// Memory for pages, bytes: the whole is some hundred kilobytes.
const CACHE: usize = 1 << 20;

/// What a folder can't do.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The folder can't be made.
    #[error("{0}: {1}")]
    Folder(PathBuf, std::io::Error),
    /// The file can't be read or written; `redb` says why.
    #[error("{0}")]
    Redb(String),
    /// What it holds can't be read by this version of the program.
    #[error("the file's {0} can't be read")]
    Unreadable(&'static str),
}

macro_rules! from_redb {
    ($($error:ty),*) => { $(impl From<$error> for StoreError {
        fn from(why: $error) -> StoreError {
            StoreError::Redb(why.to_string())
        }
    })* };
}
from_redb!(
    redb::DatabaseError,
    redb::TransactionError,
    redb::TableError,
    redb::StorageError,
    redb::CommitError,
    redb::SetDurabilityError
);

/// A voter's folder, open.
pub struct Store {
    database: Database,
}

fn bytes<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

impl Store {
    /// Opens the file in a folder, or makes it.
    pub fn open(folder: &Path) -> Result<Store, StoreError> {
        fs::create_dir_all(folder).map_err(|why| StoreError::Folder(folder.to_owned(), why))?;
        let database = Builder::new().set_cache_size(CACHE).create(folder.join(FILE))?;
        Ok(Store { database })
    }

    /// Opens what a backend holds: for tests of crashes.
    pub fn open_on(backend: impl StorageBackend) -> Result<Store, StoreError> {
        Ok(Store { database: Builder::new().set_cache_size(CACHE).create_with_backend(backend)? })
    }

    /// All that it holds; an empty one for a new file.
    pub fn load(&self) -> Result<Kept, StoreError> {
        let read = self.database.begin_read()?;
        let facts = match read.open_table(FACTS) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Kept::default()),
            Err(why) => return Err(why.into()),
        };
        fn fact<T: serde::de::DeserializeOwned + Default>(
            table: &redb::ReadOnlyTable<&str, &[u8]>,
            name: &'static str,
        ) -> Result<T, StoreError> {
            let Some(found) = table.get(name)? else { return Ok(T::default()) };
            postcard::from_bytes(found.value()).map_err(|_| StoreError::Unreadable(name))
        }
        let mut kept = Kept {
            id: fact(&facts, "id")?,
            log: fact(&facts, "log")?,
            stamp: fact(&facts, "stamp")?,
            promised: fact(&facts, "promised")?,
            hard: fact(&facts, "hard")?,
            snapshot: fact(&facts, "snapshot")?,
            entries: Vec::new(),
            heard: fact(&facts, "heard")?,
        };
        match read.open_table(ENTRIES) {
            Ok(entries) => {
                for entry in entries.iter()? {
                    let (_, entry) = entry?;
                    let entry: EntryWord =
                        postcard::from_bytes(entry.value()).map_err(|_| StoreError::Unreadable("entries"))?;
                    kept.entries.push(entry);
                }
            }
            Err(redb::TableError::TableDoesNotExist(_)) => {}
            Err(why) => return Err(why.into()),
        }
        Ok(kept)
    }

    /// Stores batches, all of them or none; returns when they are safe.
    pub fn write(&self, batches: &[Batch]) -> Result<(), StoreError> {
        let mut write = self.database.begin_write()?;
        write.set_durability(Durability::Immediate)?;
        {
            let mut facts = write.open_table(FACTS)?;
            let mut entries = write.open_table(ENTRIES)?;
            for batch in batches {
                for change in &batch.changes {
                    change_of(change, &mut facts, &mut entries)?;
                }
                facts.insert("stamp", bytes(&batch.stamp).as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }
}

/// The same as [`Kept::take`], on the tables.
fn change_of(
    change: &Change,
    facts: &mut redb::Table<&str, &[u8]>,
    entries: &mut redb::Table<u64, &[u8]>,
) -> Result<(), StoreError> {
    match change {
        Change::Begin(id) => {
            facts.retain(|_, _| false)?;
            entries.retain(|_, _| false)?;
            facts.insert("id", bytes(id).as_slice())?;
        }
        Change::Log(log) => drop(facts.insert("log", bytes(log).as_slice())?),
        Change::Promised(life) => drop(facts.insert("promised", bytes(life).as_slice())?),
        Change::Hard(hard) => drop(facts.insert("hard", bytes(hard).as_slice())?),
        Change::Heard(heard) => drop(facts.insert("heard", bytes(heard).as_slice())?),
        Change::Snapshot(snapshot) => {
            entries.retain_in(..=snapshot.index, |_, _| false)?;
            let joins = entries.first()?.is_none_or(|(at, _)| at.value() == snapshot.index + 1);
            if !joins {
                entries.retain(|_, _| false)?;
            }
            facts.insert("snapshot", bytes(snapshot).as_slice())?;
        }
        Change::Append(fresh) => {
            let Some(first) = fresh.first() else { return Ok(()) };
            entries.retain_in(first.index.., |_, _| false)?;
            for entry in fresh {
                entries.insert(entry.index, bytes(entry).as_slice())?;
            }
        }
    }
    Ok(())
}
