//! Atomic file replacement and I/O helpers that add context to errors.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::StorageError;
use crate::storage::IoSnafu;

const TEMPORARY_EXTENSION: &str = "unfinished";

/// Adds the operation and the path to an I/O error.
pub(super) fn with_context<T>(
    result: io::Result<T>,
    operation: &'static str,
    path: &Path,
) -> Result<T, StorageError> {
    result.context(IoSnafu { operation, path })
}

/// Creates a directory with its ancestors and flushes its parent.
pub(super) fn create_directory(path: &Path) -> Result<(), StorageError> {
    with_context(fs::create_dir_all(path), "create", path)?;
    match path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
    {
        Some(parent) => flush_directory(parent),
        None => Ok(()),
    }
}

/// Flushes a directory, which makes file creations and renames in it durable.
pub(super) fn flush_directory(path: &Path) -> Result<(), StorageError> {
    let directory = with_context(File::open(path), "open", path)?;
    with_context(directory.sync_all(), "flush", path)
}

/// Atomically replaces a file: after a crash it has either the old or the new content.
pub(super) fn replace(path: &Path, content: &[u8]) -> Result<(), StorageError> {
    let temporary = temporary_path(path);
    let mut file = with_context(File::create(&temporary), "create", &temporary)?;
    with_context(file.write_all(content), "write", &temporary)?;
    with_context(file.sync_all(), "flush", &temporary)?;
    with_context(fs::rename(&temporary, path), "rename", &temporary)?;
    flush_directory(path.parent().unwrap_or(Path::new(".")))
}

/// Removes the temporary file of an interrupted [`replace`].
pub(super) fn remove_temporary(path: &Path) -> Result<(), StorageError> {
    let temporary = temporary_path(path);
    match fs::remove_file(&temporary) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            with_context(Err(error), "remove", &temporary)
        }
        _ => Ok(()),
    }
}

/// Reads a file; `None` if it doesn't exist.
pub(super) fn read(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    match fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        content => with_context(content, "read", path).map(Some),
    }
}

fn temporary_path(path: &Path) -> PathBuf {
    path.with_extension(TEMPORARY_EXTENSION)
}
