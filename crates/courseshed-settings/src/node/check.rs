//! Checks across keys of the node settings: what is fine alone but wrong together.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::NodeSettings;
use crate::problem::Problem;
use courseshed_types::control::NodeRole;

/// Finds every fault that takes more than one key, or the file system, to see.
pub(super) fn check(settings: &NodeSettings, file: &str) -> Vec<Problem> {
    let mut faults = Faults {
        file,
        found: Vec::new(),
    };
    check_own_addresses(settings, &mut faults);
    check_seeds(settings, &mut faults);
    check_engines(settings, &mut faults);
    check_roles(settings, &mut faults);
    if let Some(folder) = &settings.data_dir {
        check_folder(folder, &mut faults);
    }
    faults.found
}

struct Faults<'f> {
    file: &'f str,
    found: Vec<Problem>,
}

impl Faults<'_> {
    fn add(&mut self, key: impl Into<String>, reason: String, example: &str) {
        self.found.push(Problem {
            line: None,
            path: self.file.to_owned(),
            key: key.into(),
            reason,
            example: example.to_owned(),
        });
    }
}

fn check_own_addresses(settings: &NodeSettings, faults: &mut Faults<'_>) {
    if settings.listen == settings.peer_listen && settings.listen.port() != 0 {
        let reason = format!(
            "duplicate address: {} is `listen` too",
            settings.peer_listen
        );
        faults.add("peer_listen", reason, "\"127.0.0.1:7701\"");
    }
}

fn check_seeds(settings: &NodeSettings, faults: &mut Faults<'_>) {
    let mut addresses: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    let mut nodes = BTreeMap::new();
    for (index, seed) in settings.seeds.iter().enumerate() {
        if let Some(first) = addresses.insert(seed.peer, index) {
            let reason = format!("duplicate address: {} is seeds[{first}] too", seed.peer);
            faults.add(format!("seeds[{index}].peer"), reason, "\"127.0.0.1:7711\"");
        }
        if let Some(first) = nodes.insert(seed.node_id, index) {
            let reason = format!("duplicate node: {} is seeds[{first}] too", seed.node_id);
            faults.add(format!("seeds[{index}].node_id"), reason, "2");
        }
        let is_self = seed.node_id == settings.node_id;
        if !is_self && seed.peer == settings.peer_listen {
            let reason = format!(
                "duplicate address: {} is this node's `peer_listen`",
                seed.peer
            );
            faults.add(format!("seeds[{index}].peer"), reason, "\"127.0.0.1:7711\"");
        }
        if is_self && (&seed.zone, &seed.region) != (&settings.zone, &settings.region) {
            let reason = format!(
                "node {} stands in zone {} itself",
                seed.node_id, settings.zone
            );
            let example = format!("\"{}\"", settings.zone);
            faults.add(format!("seeds[{index}].zone"), reason, &example);
        }
    }
}

fn check_engines(settings: &NodeSettings, faults: &mut Faults<'_>) {
    let mut addresses: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    let mut ids = BTreeMap::new();
    for (index, engine) in settings.engines.iter().enumerate() {
        if let Some(first) = addresses.insert(engine.address, index) {
            let reason = format!(
                "duplicate address: {} is engines[{first}] too",
                engine.address
            );
            faults.add(
                format!("engines[{index}].address"),
                reason,
                "\"127.0.0.1:9101\"",
            );
        }
        if let Some(first) = ids.insert(engine.id.clone(), index) {
            let reason = format!("duplicate engine: {} is engines[{first}] too", engine.id);
            faults.add(format!("engines[{index}].id"), reason, "\"engine-2\"");
        }
        if engine.address == settings.listen || engine.address == settings.peer_listen {
            let reason = format!("duplicate address: {} is this node's own", engine.address);
            faults.add(
                format!("engines[{index}].address"),
                reason,
                "\"127.0.0.1:9101\"",
            );
        }
    }
}

fn check_roles(settings: &NodeSettings, faults: &mut Faults<'_>) {
    let controller = settings.roles.contains(&NodeRole::Controller);
    if controller && settings.data_dir.is_none() {
        let reason = "missing: a controller keeps its state on a disk".to_owned();
        faults.add("data_dir", reason, "\"data/node-1\"");
    }
    let other_controller = settings
        .seeds
        .iter()
        .any(|seed| seed.roles.contains(&NodeRole::Controller));
    if !controller && !other_controller {
        let reason = "no seed is a controller, and neither is this node".to_owned();
        faults.add("seeds", reason, "[[seeds]] with roles = [\"controller\"]");
    }
}

/// The folder, or the closest of its ancestors that exists, must be one this process can read.
fn check_folder(folder: &Path, faults: &mut Faults<'_>) {
    let existing = closest_existing(folder);
    let fault = match fs::metadata(&existing) {
        Ok(metadata) if !metadata.is_dir() => Some("is not a folder".to_owned()),
        Ok(metadata) if metadata.permissions().readonly() => Some("is read-only".to_owned()),
        Ok(_) => fs::read_dir(&existing)
            .err()
            .map(|error| format!("cannot be read: {error}")),
        Err(error) => Some(format!("cannot be read: {error}")),
    };
    if let Some(fault) = fault {
        let reason = format!("{} {fault}", existing.display());
        faults.add("data_dir", reason, "\"data/node-1\"");
    }
}

fn closest_existing(folder: &Path) -> PathBuf {
    let found = folder
        .ancestors()
        .find(|ancestor| ancestor.symlink_metadata().is_ok());
    match found {
        Some(ancestor) => ancestor.to_path_buf(),
        None => PathBuf::from("."),
    }
}
