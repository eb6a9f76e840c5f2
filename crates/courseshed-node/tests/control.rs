//! Replicated controllers in real nodes: changes, failures, restarts.

mod support;

use courseshed_types::SettingsVersion;
use serde_json::json;
use support::{
    Answer, Caller, TREE,
    fleet::{Fleet, FleetPlan},
};

fn changed_tree(share: u32) -> String {
    TREE.replace("share = 2", &format!("share = {share}"))
}

async fn apply(caller: &Caller, expected: u64, change: &str, tree: &str) -> Answer {
    let body = json!({
        "expected_version": expected,
        "change_id": change,
        "tree": tree,
        "author": "test",
    });
    caller.post("/v1/admin/settings", &[], &body).await
}

fn caller_of(fleet: &Fleet, node: u32) -> Caller {
    Caller::new(fleet.node(node).http_address())
}

#[actix_web::test]
async fn a_change_at_one_node_comes_into_force_at_all() {
    let fleet = Fleet::start(FleetPlan {
        others: 1,
        ..FleetPlan::default()
    });
    fleet.wait_in_force(1).await;
    let answer = apply(&caller_of(&fleet, 4), 1, "second", &changed_tree(3)).await;
    assert_eq!(answer.status, 200, "{:?}", answer.body);
    assert_eq!(answer.json()["version"], json!(2));
    fleet.wait_in_force(2).await;
    for node in fleet.running() {
        let policy = fleet.node(node).context().view.policy();
        assert_eq!(policy.snapshot.version, SettingsVersion(2));
    }
}
