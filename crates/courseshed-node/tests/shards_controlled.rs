//! Shards under replicated controllers: readmitted after each restart, and founded again only when all is lost.

mod support;

use std::time::Duration;

use actix_web::http::StatusCode;
use courseshed_types::{Incarnation, NodeId, control::ShardPlacement};
use serde_json::json;
use support::{
    fleet::{Fleet, FleetPlan, wait_until},
    *,
};

/// Nodes of the fleets here.
const NODES: u32 = 3;

fn start_fleet(engine: &EngineHandle) -> Fleet {
    Fleet::start(FleetPlan {
        engines: &[engine],
        ..FleetPlan::default()
    })
}

fn caller(fleet: &Fleet, number: u32) -> Caller {
    Caller::new(fleet.node(number).http_address())
}

fn start_of(fleet: &Fleet, node: NodeId) -> Incarnation {
    fleet.node(node.0).context().identity.incarnation
}

/// Whether the controllers know the present starts of all nodes as the voters of every shard, and all are led.
fn is_repaired(fleet: &Fleet) -> bool {
    let map = fleet.node(fleet.running()[0]).context().view.map();
    let votes = |placement: &ShardPlacement| {
        let voters = placement.voters.iter();
        let present = voters.filter(|voter| start_of(fleet, voter.node) == voter.incarnation);
        present.count() == NODES as usize
    };
    let running = fleet.running().into_iter();
    let led = running.map(|number| fleet.node(number).context().shards.led().len());
    !map.shards.is_empty()
        && map.shards.values().all(votes)
        && led.sum::<usize>() == map.shards.len()
}

async fn wait_repaired(fleet: &Fleet) {
    wait_until("every shard has three voters", || is_repaired(fleet)).await;
}

async fn ask_history(fleet: &Fleet, number: u32, program: &str) -> Answer {
    let path = format!("/v1/programs/{program}/history");
    caller(fleet, number).get(&path, &[]).await
}

#[actix_web::test]
async fn history_outlives_the_restart_of_every_node() {
    let engine = start_engine("e1");
    let mut fleet = start_fleet(&engine);
    fleet.wait_in_force(1).await;
    wait_repaired(&fleet).await;
    let program = caller(&fleet, 1).program("guild/quotes").await;
    let path = format!("/v1/programs/{program}/calls");
    for number in 1..=NODES {
        let sequence = number.to_string();
        let headers = [("Courseshed-Sequence", sequence.as_str())];
        let answer = caller(&fleet, number)
            .post(&path, &headers, &call_body("quote", 3, false))
            .await;
        assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
        fleet.kill(number);
        fleet.restart(number);
        fleet.wait_in_force(1).await;
        wait_repaired(&fleet).await;
    }
    let history = ask_history(&fleet, 1, &program).await;
    let messages = history.json()["messages"].clone();
    assert_eq!(messages.as_array().map(Vec::len), Some(2 * NODES as usize));
    let map = fleet.node(1).context().view.map();
    assert!(
        map.shards
            .values()
            .all(|placement| placement.generation == 1)
    );
}

#[actix_web::test]
async fn a_shard_is_founded_again_only_when_every_copy_is_lost() {
    let engine = start_engine("e1");
    let mut fleet = start_fleet(&engine);
    fleet.wait_in_force(1).await;
    wait_repaired(&fleet).await;
    let lost = caller(&fleet, 1).program("guild/quotes").await;
    fleet.kill(1);
    fleet.kill(2);
    fleet.restart(1);
    fleet.restart(2);
    fleet.wait_in_force(1).await;
    // The third copy may be the only one that is whole: nobody may found the shards anew.
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let map = fleet.node(3).context().view.map();
    assert!(
        map.shards
            .values()
            .all(|placement| placement.generation == 1)
    );
    assert!((1..=NODES).all(|number| fleet.node(number).context().shards.led().is_empty()));

    fleet.kill(3);
    fleet.restart(3);
    fleet.wait_in_force(1).await;
    wait_repaired(&fleet).await;
    let fresh = caller(&fleet, 2).program("guild/quotes").await;
    assert_ne!(fresh, lost);
    let answer = ask_history(&fleet, 2, &lost).await;
    assert_eq!(answer.status, StatusCode::NOT_FOUND, "{:?}", answer.body);
    // It did run once, though nothing is known of it any more.
    assert_eq!(answer.json()["error"]["verdict"], json!("may_have_run"));
}

/// Found by a run of the CI script beside another one: a port that was given up between a stop and the
/// start after it had become another program's, on the address that all programs share.
#[actix_web::test]
async fn the_port_of_a_stopped_node_stays_free_until_it_starts_again() {
    let engine = start_engine("e1");
    let mut fleet = start_fleet(&engine);
    fleet.wait_in_force(1).await;
    let port = fleet.node(1).http_address().port();
    fleet.kill(1);
    let _stranger = std::net::TcpListener::bind(("127.0.0.1", port)).expect("a free port");
    fleet.restart(1);
    fleet.wait_in_force(1).await;
}
