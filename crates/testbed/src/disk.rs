//! A disk that can be full, for the stores of dispatchers.

use corkspan_dispatcher::rollout_control::Store;
use redb::backends::FileBackend;
use redb::{Database, StorageBackend};
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The disk is full while this is set: whatever would write to it fails.
#[derive(Clone, Debug, Default)]
pub struct DiskFull(Arc<AtomicBool>);

impl DiskFull {
    /// Fills the disk, or frees it.
    pub fn set(&self, full: bool) {
        self.0.store(full, Ordering::SeqCst);
    }
}

/// The store of rollouts on such a disk.
pub fn store(path: PathBuf, full: &DiskFull) -> Store {
    let full = full.clone();
    Store::with_opener(move || {
        let file = std::fs::OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)?;
        let disk = Disk {
            file: FileBackend::new(file)?,
            full: full.clone(),
        };
        Ok(Database::builder().create_with_backend(disk)?)
    })
}

#[derive(Debug)]
struct Disk {
    file: FileBackend,
    full: DiskFull,
}

impl Disk {
    fn check_space(&self) -> io::Result<()> {
        match self.full.0.load(Ordering::SeqCst) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.check_space().and_then(|()| self.file.set_len(len))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.file.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.check_space()
            .and_then(|()| self.file.write(offset, data))
    }

    fn close(&self) -> io::Result<()> {
        self.file.close()
    }
}
