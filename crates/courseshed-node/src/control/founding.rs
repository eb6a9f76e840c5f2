//! How a controller comes to its log: the one kept in its folder, a new group, or admission to a standing one.
//!
//! A controller with an empty folder can't tell by itself whether its fleet is new or its disk was lost. It asks the
//! other controllers of its settings file:
//!
//! - one of them has a log in which something happened: the group stands, and this controller joins it under an
//!   incarnation that it never had, so that no vote of the lost disk counts again;
//! - all of them answer and none has: the group is founded, by all in the same incarnation;
//! - some don't answer: it waits, since one of those may know the group.

use std::{collections::BTreeMap, path::PathBuf};

use courseshed_consensus::{
    Configuration, DiskLog, GroupId, PeerConfig, ReplicaAddress, ReplicaId, StorageError,
};
use courseshed_control::LOG_ENTRIES_RETAINED;
use courseshed_settings::NodeSettings;
use courseshed_types::{NodeId, control::NodeRole};
use serde::{Deserialize, Serialize};

/// The controllers' group among all replicated logs of a node.
const CONTROL_GROUP: GroupId = GroupId(u32::MAX);
/// The incarnation of every founder.
const FOUNDING_INCARNATION: u64 = 1;
/// Folder of the log within the node's data folder.
const LOG_FOLDER: &str = "control";
/// Heartbeats and elections of controllers come so much later than those of shards, since controllers wait for their
/// disks.
const ELECTION_FACTOR: u32 = 2;

/// What a controller says of its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlLogState {
    /// It has no log, and has not decided whether to found or to join.
    Empty,
    /// It has founded the group, and nothing has happened in it as far as it knows.
    Blank,
    /// Something has happened: a vote, an election, an entry.
    Established,
}

/// What to do with an empty folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Found the group.
    Found,
    /// Join the group that stands.
    Join,
    /// Ask again.
    Wait,
}

/// Decides from the answers of the `others`, all other controllers of the settings file.
pub fn decide(others: &[NodeId], answers: &BTreeMap<NodeId, ControlLogState>) -> Decision {
    if answers
        .values()
        .any(|state| *state == ControlLogState::Established)
    {
        return Decision::Join;
    }
    if others.iter().all(|node| answers.contains_key(node)) {
        return Decision::Found;
    }
    Decision::Wait
}

/// The controllers that the settings file names, this node among them if it is one.
pub fn controllers(settings: &NodeSettings) -> Vec<NodeId> {
    let seeds = settings
        .seeds
        .iter()
        .filter(|seed| seed.roles.contains(&NodeRole::Controller))
        .map(|seed| seed.node_id);
    let own = settings.roles.contains(&NodeRole::Controller);
    let mut nodes: Vec<NodeId> = seeds.chain(own.then_some(settings.node_id)).collect();
    nodes.sort();
    nodes.dedup();
    nodes
}

/// The folder of the control log.
pub fn log_folder(settings: &NodeSettings) -> Option<PathBuf> {
    Some(settings.data_dir.as_ref()?.join(LOG_FOLDER))
}

/// Opens the log that the folder holds, or a new one. A new one is for a founder, or for a replica that joins under
/// `incarnation`.
///
/// # Errors
/// When the folder is in use, damaged or can't be written.
pub fn open_log(
    settings: &NodeSettings,
    folder: PathBuf,
    incarnation: u64,
) -> Result<(DiskLog, PeerConfig), StorageError> {
    let log = DiskLog::open(folder, incarnation)?;
    let config = peer_config(settings, log.incarnation());
    Ok((log, config))
}

/// The incarnation for a decision.
pub fn incarnation_for(decision: Decision, start: u64) -> u64 {
    match decision {
        Decision::Found => FOUNDING_INCARNATION,
        Decision::Join | Decision::Wait => start.max(FOUNDING_INCARNATION + 1),
    }
}

fn peer_config(settings: &NodeSettings, incarnation: u64) -> PeerConfig {
    let replica = |node: NodeId| ReplicaId(u64::from(node.0));
    let founders = controllers(settings);
    let is_alone = founders.len() == 1;
    let founders = founders
        .into_iter()
        .map(|node| ReplicaAddress::new(replica(node), FOUNDING_INCARNATION));
    let members = if incarnation == FOUNDING_INCARNATION {
        Configuration::of_voters(founders)
    } else {
        Configuration::default()
    };
    let address = ReplicaAddress::new(replica(settings.node_id), incarnation);
    let mut config = PeerConfig::new(CONTROL_GROUP, address, members);
    config.retained_entries = LOG_ENTRIES_RETAINED;
    let timeouts = &settings.timeouts;
    if is_alone {
        config.heartbeat_interval = timeouts.heartbeat;
        config.election_timeout = timeouts.heartbeat * ELECTION_FACTOR;
    } else {
        config.heartbeat_interval = timeouts.heartbeat * ELECTION_FACTOR;
        config.election_timeout = timeouts.election * ELECTION_FACTOR;
    }
    config.seed = incarnation.wrapping_add(u64::from(settings.node_id.0));
    config
}
