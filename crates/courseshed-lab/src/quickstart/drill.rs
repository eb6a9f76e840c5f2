//! What goes wrong while the quickstart's programs run.

use std::time::Duration;

use actix_rt::time::sleep;
use courseshed_emulator::engine::FaultOrder;
use courseshed_types::{
    ChangeId, SettingsVersion,
    admin::{ApplySettings, SettingsDocument},
};

use super::{EmbeddedFleet, fleet::TREE};

/// How long the crashed engine stays away.
const ENGINE_DOWN: Duration = Duration::from_secs(1);
/// How many times longer a slow engine takes.
const SLOW_FACTOR: f64 = 3.0;
/// How long a stopped node stays away.
const NODE_DOWN: Duration = Duration::from_millis(500);
/// How often a change of settings is sent before it counts as lost.
const CHANGE_TRIES: u32 = 20;
/// Time between two such tries.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// The change of the settings: part of the tree's text, and what replaces it.
const CHANGE: (&str, &str) = ("share = 6", "share = 7");

/// One engine crashes in the middle of its streams, another leaves, a third is slow and drops its streams; the
/// settings change; a node stops in a planned way and comes back.
pub(super) async fn run(fleet: &EmbeddedFleet, pace: Duration) {
    let engines = fleet.engines();
    if engines.len() < 3 {
        return;
    }
    sleep(pace).await;
    engines[0].crash(ENGINE_DOWN);
    sleep(pace).await;
    engines[1].fault(&FaultOrder {
        leaving: Some(true),
        ..FaultOrder::default()
    });
    engines[2].fault(&FaultOrder {
        slow_factor: Some(SLOW_FACTOR),
        ..FaultOrder::default()
    });
    change_settings(fleet).await;
    sleep(pace).await;
    engines[2].fault(&FaultOrder {
        slow_factor: Some(1.0),
        cut_streams: true,
        ..FaultOrder::default()
    });
    stop_and_start_a_node(fleet).await;
}

/// Stops the last node, if others can go on without it.
async fn stop_and_start_a_node(fleet: &EmbeddedFleet) {
    if fleet.nodes() < 3 {
        return;
    }
    let node = fleet.nodes() - 1;
    fleet.stop_node(node).await;
    sleep(NODE_DOWN).await;
    if let Err(error) = fleet.restart_node(node) {
        log::error!("the stopped node did not start again: {error}");
    }
}

/// Sends one change until it is accepted; the same change id makes sending it again harmless.
async fn change_settings(fleet: &EmbeddedFleet) {
    let urls = fleet.node_urls();
    for tries in 0..CHANGE_TRIES {
        let url = &urls[tries as usize % urls.len()];
        if try_change(url).await.is_some() {
            return;
        }
        sleep(CHANGE_INTERVAL).await;
    }
    log::error!("the change of the settings was not accepted");
}

async fn try_change(url: &str) -> Option<SettingsVersion> {
    let http = awc::Client::default();
    let url = format!("{url}/v1/admin/settings");
    let mut answer = http.get(&url).send().await.ok()?;
    let in_force: SettingsDocument = answer.json().await.ok()?;
    let change = ApplySettings {
        expected_version: in_force.version,
        change_id: ChangeId::from("quickstart"),
        tree: TREE.replace(CHANGE.0, CHANGE.1),
        author: "quickstart".to_owned(),
    };
    let mut answer = http.post(&url).send_json(&change).await.ok()?;
    let accepted: SettingsDocument = answer.json().await.ok()?;
    Some(accepted.version)
}
