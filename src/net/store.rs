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
const MAX_BATCHES_PER_WRITE: usize = 64;

/// A voter's folder, with a thread of its own. The thread ends with this value, after it has written what it
/// was given.
pub struct StoreThread {
    batches: Sender<Batch>,
    results: Receiver<Result<u64, StoreError>>,
}

impl StoreThread {
    /// Opens the folder, before the event loop, and returns its contents.
    pub fn start(folder: &Path, waker: Waker) -> Result<(StoreThread, Kept), StoreError> {
        let store = Store::open(folder)?;
        let contents = store.load()?;
        let (batches, queue) = mpsc::channel();
        let (report, results) = mpsc::channel();
        let write_batches = move || write_batches(&store, &queue, &report, &waker);
        thread::Builder::new()
            .name("store".into())
            .spawn(write_batches)
            .map_err(|why| StoreError::Folder(folder.to_owned(), why))?;
        Ok((StoreThread { batches, results }, contents))
    }

    /// Queues a batch to be stored. Its stamp comes back by [`StoreThread::results`].
    pub fn store(&self, batch: Batch) {
        let _ = self.batches.send(batch); // a thread that has ended has reported why
    }

    /// The latest stored stamps, or why the folder can't be written any more.
    pub fn results(&self) -> impl Iterator<Item = Result<u64, StoreError>> + '_ {
        self.results.try_iter()
    }
}

fn write_batches(
    store: &Store,
    queue: &Receiver<Batch>,
    report: &Sender<Result<u64, StoreError>>,
    waker: &Waker,
) {
    while let Ok(first) = queue.recv() {
        let mut batches = vec![first];
        batches.extend(queue.try_iter().take(MAX_BATCHES_PER_WRITE - 1));
        let stamp = batches.last().map_or(0, |batch| batch.stamp);
        let written = store.write(&batches);
        let failed = written.is_err(); // what follows a batch that was not stored must not be stored either
        if report.send(written.map(|()| stamp)).is_err() || failed {
            waker.wake();
            return;
        }
        waker.wake();
    }
}
