//! Reads the files that this dispatcher stores on disk, up to a size limit.

use std::path::Path;

/// Largest size of a stored file; larger ones were not written by this program.
const MAX_FILE_BYTES: u64 = 64 << 20;

/// The reason why a stored file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoredFileError {
    /// It can't be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// It is larger than any file that this program writes.
    #[error("the file is too large: {0} bytes")]
    TooLarge(u64),
    /// It is not the JSON that this program writes.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Its checksum does not match its content.
    #[error("the checksum does not match")]
    Checksum,
    /// A version in it does not have the digest that it is stored under.
    #[error("a version does not match its digest")]
    Digest,
}

/// Returns the bytes of a stored file; none if the file does not exist.
pub fn read_bounded(path: &Path) -> Result<Option<Vec<u8>>, StoredFileError> {
    match std::fs::metadata(path) {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error.into()),
        Ok(data) if data.len() > MAX_FILE_BYTES => Err(StoredFileError::TooLarge(data.len())),
        Ok(_) => Ok(Some(std::fs::read(path)?)),
    }
}
