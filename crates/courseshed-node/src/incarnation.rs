//! Numbers the starts of a node, so that each is greater than all before.
//!
//! The number is the time of the start. A node with a data folder also keeps its last number there, so that a clock
//! set back between two starts does no harm; without a folder the clock alone must be trusted.

use std::{fs, io, path::Path};

use courseshed_types::{Incarnation, Timestamp};

const FILE: &str = "start";
const UNFINISHED: &str = "start.new";

/// The number of a start at `now`.
pub fn next(data_dir: Option<&Path>, now: Timestamp) -> Incarnation {
    let Some(folder) = data_dir else {
        return Incarnation(now.0);
    };
    let number = match last(folder) {
        Some(last) => now.0.max(last.saturating_add(1)),
        None => now.0,
    };
    if let Err(error) = keep(folder, number) {
        log::warn!(
            "the number of this start can't be kept in {}: {error}",
            folder.display()
        );
    }
    Incarnation(number)
}

fn last(folder: &Path) -> Option<u64> {
    let text = fs::read_to_string(folder.join(FILE)).ok()?;
    text.trim().parse().ok()
}

fn keep(folder: &Path, number: u64) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let unfinished = folder.join(UNFINISHED);
    fs::write(&unfinished, number.to_string())?;
    fs::File::open(&unfinished)?.sync_all()?;
    fs::rename(&unfinished, folder.join(FILE))?;
    fs::File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests;
