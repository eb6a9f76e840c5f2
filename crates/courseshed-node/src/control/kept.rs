//! The file in which a node keeps its newest policy and map over a restart.
//!
//! It is a cache: nothing of it is served before the controllers have confirmed it, so that a file that is old,
//! torn or missing does no harm, and a failed write is only logged.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

const FILE: &str = "control-view";
const UNFINISHED: &str = "control-view.new";

/// The file within a data folder.
pub fn file(data_dir: &Path) -> PathBuf {
    data_dir.join(FILE)
}

/// What was kept; none if there is nothing readable.
pub fn read(file: &Path) -> Option<Vec<u8>> {
    fs::read(file).ok()
}

/// Replaces what is kept.
pub fn write(file: &Path, bytes: &[u8]) {
    if let Err(error) = replace(file, bytes) {
        log::warn!("{} can't be written: {error}", file.display());
    }
}

fn replace(file: &Path, bytes: &[u8]) -> io::Result<()> {
    if let Some(folder) = file.parent() {
        fs::create_dir_all(folder)?;
    }
    let unfinished = file.with_file_name(UNFINISHED);
    fs::write(&unfinished, bytes)?;
    fs::rename(&unfinished, file)
}
