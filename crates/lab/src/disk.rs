//! A disk that can be full, for the stores of dispatchers.

use corkspan_dispatcher::rollout_control::Store;
use redb::backends::FileBackend;
use redb::{Database, StorageBackend};
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Full while this is set: whatever would write to it fails then.
#[derive(Clone, Debug, Default)]
pub struct DiskFull(Arc<AtomicBool>);

impl DiskFull {
    pub fn set(&self, full: bool) {
        self.0.store(full, Ordering::SeqCst);
    }
}

/// A store of rolls on such a disk.
pub fn store(path: PathBuf, full: &DiskFull) -> Store {
    let full = full.clone();
    Store::over(move || {
        let mut open = std::fs::OpenOptions::new();
        let file = open
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)?;
        Ok(Database::builder().create_with_backend(Disk(FileBackend::new(file)?, full.clone()))?)
    })
}

#[derive(Debug)]
struct Disk(FileBackend, DiskFull);

impl Disk {
    fn room(&self) -> io::Result<()> {
        match self.1.0.load(Ordering::SeqCst) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.room().and_then(|()| self.0.set_len(len))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.room().and_then(|()| self.0.write(offset, data))
    }

    fn close(&self) -> io::Result<()> {
        self.0.close()
    }
}
