//! Times of control, from the node's settings.

use courseshed_control::{ControllerSeed, LeaderOptions, ViewOptions};
use courseshed_membership::DetectorOptions;
use courseshed_settings::NodeSettings;
use courseshed_types::control::NodeRole;

/// Reports that must be missing before a node is suspected.
const REPORTS_BEFORE_SUSPICION: u32 = 4;
/// Times the wait for suspicion after which a node is down.
const DOWN_FACTOR: u32 = 2;
/// Times the wait for suspicion in which a new leader calls no node down.
const GRACE_FACTOR: u32 = 3;
/// Part of a settings lease below which an upstream counts as failed.
const LEAST_LEASE_DIVISOR: u32 = 3;

/// The leader's times.
pub fn leader_options(settings: &NodeSettings) -> LeaderOptions {
    let suspect_after = settings.timeouts.suspect_after;
    LeaderOptions {
        settings_lease: settings.timeouts.settings_lease,
        detector: DetectorOptions {
            suspect_after,
            down_after: suspect_after * DOWN_FACTOR,
            ..DetectorOptions::default()
        },
        election_grace: suspect_after * GRACE_FACTOR,
        ..LeaderOptions::default()
    }
}

/// Every node's times.
pub fn view_options(settings: &NodeSettings) -> ViewOptions {
    ViewOptions {
        report_every: settings.timeouts.suspect_after / REPORTS_BEFORE_SUSPICION,
        least_lease: settings.timeouts.settings_lease / LEAST_LEASE_DIVISOR,
        ..ViewOptions::default()
    }
}

/// The controllers of the settings file, the node itself among them if it is one.
pub fn controller_seeds(settings: &NodeSettings, own_peer_address: &str) -> Vec<ControllerSeed> {
    let controllers = settings
        .seeds
        .iter()
        .filter(|seed| seed.roles.contains(&NodeRole::Controller));
    let mut seeds: Vec<ControllerSeed> = controllers
        .map(|seed| ControllerSeed {
            node: seed.node_id,
            peer_address: seed.peer.to_string(),
        })
        .collect();
    let is_controller = settings.roles.contains(&NodeRole::Controller);
    if is_controller && !seeds.iter().any(|seed| seed.node == settings.node_id) {
        seeds.push(ControllerSeed {
            node: settings.node_id,
            peer_address: own_peer_address.to_owned(),
        });
    }
    seeds
}
