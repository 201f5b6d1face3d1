//! The thread that writes a voter's folder: batches go in, and the stamps of stored batches come back, so the
//! event loop never waits for the disk. Exists only where the replicated log is on and a folder is set. It
//! decides nothing.
use super::poll::Waker;
use std::path::Path;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use stonewharf_agreement::{Batch, Kept};
use stonewharf_store::{Store, StoreError};

/// The largest number of batches in one write.
const TOGETHER_MOST: usize = 64;

/// A voter's folder, with a thread of its own. The thread ends with this value, after it has written what it
/// was given.
pub struct StoreThread {
    batches: Sender<Batch>,
    safe: Receiver<Result<u64, StoreError>>,
}

impl StoreThread {
    /// Opens the folder, before the event loop, and returns its contents.
    pub fn start(folder: &Path, waker: Waker) -> Result<(StoreThread, Kept), StoreError> {
        let store = Store::open(folder)?;
        let kept = store.load()?;
        let (batches, given) = mpsc::channel();
        let (told, safe) = mpsc::channel();
        let work = move || work(&store, &given, &told, &waker);
        thread::Builder::new()
            .name("store".into())
            .spawn(work)
            .map_err(|why| StoreError::Folder(folder.to_owned(), why))?;
        Ok((StoreThread { batches, safe }, kept))
    }

    /// Queues a batch to be stored. Its stamp comes back by [`StoreThread::results`].
    pub fn store(&self, batch: Batch) {
        let _ = self.batches.send(batch); // a thread that has ended has reported why
    }

    /// The latest stored stamps, or why the folder can't be written any more.
    pub fn safe(&self) -> impl Iterator<Item = Result<u64, StoreError>> + '_ {
        self.safe.try_iter()
    }
}

fn work(store: &Store, given: &Receiver<Batch>, told: &Sender<Result<u64, StoreError>>, waker: &Waker) {
    while let Ok(first) = given.recv() {
        let mut batches = vec![first];
        batches.extend(given.try_iter().take(TOGETHER_MOST - 1));
        let stamp = batches.last().map_or(0, |batch| batch.stamp);
        let written = store.write(&batches);
        let over = written.is_err(); // what follows a batch that was not stored must not be stored either
        if told.send(written.map(|()| stamp)).is_err() || over {
            waker.wake();
            return;
        }
        waker.wake();
    }
}
