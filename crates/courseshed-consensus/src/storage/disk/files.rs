//! Files that are replaced atomically, and the errors of the system with their context.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::StorageError;
use crate::storage::IoSnafu;

const UNFINISHED_SUFFIX: &str = "unfinished";

/// Adds what was tried, and on which file, to an error of the system.
pub(super) fn at<T>(
    result: io::Result<T>,
    operation: &'static str,
    path: &Path,
) -> Result<T, StorageError> {
    result.context(IoSnafu { operation, path })
}

/// Creates a folder with its ancestors, durably.
pub(super) fn create_folder(path: &Path) -> Result<(), StorageError> {
    at(fs::create_dir_all(path), "create", path)?;
    match path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
    {
        Some(parent) => flush_folder(parent),
        None => Ok(()),
    }
}

/// Makes the names in a folder durable.
pub(super) fn flush_folder(path: &Path) -> Result<(), StorageError> {
    let folder = at(File::open(path), "open", path)?;
    at(folder.sync_all(), "flush", path)
}

/// Replaces a file's content: after a crash it is the old one or the new one, whole.
pub(super) fn replace(path: &Path, content: &[u8]) -> Result<(), StorageError> {
    let unfinished = unfinished(path);
    let mut file = at(File::create(&unfinished), "create", &unfinished)?;
    at(file.write_all(content), "write", &unfinished)?;
    at(file.sync_all(), "flush", &unfinished)?;
    at(fs::rename(&unfinished, path), "rename", &unfinished)?;
    flush_folder(path.parent().unwrap_or(Path::new(".")))
}

/// Deletes what an interrupted [`replace`] left behind.
pub(super) fn remove_unfinished(path: &Path) -> Result<(), StorageError> {
    let unfinished = unfinished(path);
    match fs::remove_file(&unfinished) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            at(Err(error), "remove", &unfinished)
        }
        _ => Ok(()),
    }
}

/// A file's content; none if there is no file.
pub(super) fn read(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    match fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        content => at(content, "read", path).map(Some),
    }
}

fn unfinished(path: &Path) -> PathBuf {
    path.with_extension(UNFINISHED_SUFFIX)
}
