//! Keeps two processes from using one data folder.

use std::{
    fs::{self, File, TryLockError},
    io,
    path::{Path, PathBuf},
};

use snafu::{ResultExt, Snafu};

const LOCK_FILE: &str = "node.lock";

/// Why a data folder can't be used.
#[derive(Debug, Snafu)]
pub enum FolderError {
    /// It can't be made or opened.
    #[snafu(display("the data folder {} can't be used (data_dir): {source}", path.display()))]
    Unusable {
        /// The folder.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// Another process has it.
    #[snafu(display("the data folder {} is in use by another process (data_dir)", path.display()))]
    InUse {
        /// The folder.
        path: PathBuf,
    },
}

/// A data folder that is this process's until the value is dropped.
#[derive(Debug)]
pub struct LockedFolder {
    _lock: File,
}

impl LockedFolder {
    /// Makes the folder if there is none, and locks it.
    ///
    /// # Errors
    /// When it can't be used, or another process has it.
    pub fn open(path: &Path) -> Result<LockedFolder, FolderError> {
        let made = fs::create_dir_all(path).and_then(|()| File::create(path.join(LOCK_FILE)));
        let lock = made.context(UnusableSnafu { path })?;
        match lock.try_lock() {
            Ok(()) => Ok(LockedFolder { _lock: lock }),
            Err(TryLockError::WouldBlock) => InUseSnafu { path }.fail(),
            Err(TryLockError::Error(source)) => Err(source).context(UnusableSnafu { path }),
        }
    }
}
