//! Replicated controllers in real nodes: changes, failures, restarts.

mod support;

use courseshed_control::publish::Published;
use courseshed_node::{Node, NodeOptions};
use courseshed_types::{NodeId, SettingsVersion, control::NodeState};
use serde_json::json;
use support::{
    Answer, Caller, TREE,
    fleet::{Fleet, FleetPlan, wait_until},
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

/// The version that a node would find in its folder at its next start.
fn kept_version(fleet: &Fleet, node: u32) -> Option<SettingsVersion> {
    let settings = &fleet.node(node).context().settings;
    let file = settings.data_dir.as_ref()?.join("control-view");
    let kept: Published = rmp_serde::from_slice(&std::fs::read(file).ok()?).ok()?;
    Some(kept.position().settings)
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

#[actix_web::test]
async fn a_change_survives_its_leader_and_counts_once_when_resent() {
    let mut fleet = Fleet::start(FleetPlan::default());
    fleet.wait_in_force(1).await;
    let leader = fleet.control_leader().await;
    let other = (1..=3).find(|node| *node != leader).expect("another node");
    let caller = caller_of(&fleet, other);
    let tree = changed_tree(3);
    let sent = actix_rt::spawn({
        let (caller, tree) = (caller.clone(), tree.clone());
        async move { apply(&caller, 1, "contested", &tree).await }
    });
    // The change is on its way when the leader dies; it may or may not have been accepted.
    actix_rt::time::sleep(std::time::Duration::from_millis(2)).await;
    fleet.kill(leader);
    let first = sent.await.expect("an answer");
    let again = apply(&caller, 1, "contested", &tree).await;
    assert_eq!(again.status, 200, "{:?}", again.body);
    assert_eq!(again.json()["version"], json!(2), "{:?}", first.body);
    let history = caller.get("/v1/admin/settings/history?limit=9", &[]).await;
    assert_eq!(history.json().as_array().map(Vec::len), Some(2));
    fleet.wait_in_force(2).await;
    fleet.restart(leader);
    fleet.wait_in_force(2).await;
}

#[actix_web::test]
async fn a_node_that_missed_hundreds_of_changes_never_serves_an_older_version() {
    const CHANGES: u64 = 500;
    let mut fleet = Fleet::start(FleetPlan {
        others: 1,
        ..FleetPlan::default()
    });
    fleet.wait_in_force(1).await;
    // What it kept must be old, or there is nothing it could wrongly serve.
    wait_until("the node has kept the version", || {
        kept_version(&fleet, 4) == Some(SettingsVersion(1))
    })
    .await;
    fleet.kill(4);
    let caller = caller_of(&fleet, 1);
    for change in 1..=CHANGES {
        let tree = changed_tree(1 + change as u32 % 7);
        let answer = apply(&caller, change, &format!("change-{change}"), &tree).await;
        assert_eq!(answer.status, 200, "{:?}", answer.body);
    }
    let committed = SettingsVersion(1 + CHANGES);
    fleet.restart(4);
    let late = caller_of(&fleet, 4);
    let seen = || fleet.version(4);
    let mut served = Vec::new();
    wait_until("the node has caught up", || {
        served.push(seen());
        seen() == committed
    })
    .await;
    let before = |version: &SettingsVersion| *version < committed;
    assert!(
        served
            .iter()
            .filter(|version| before(version))
            .all(|version| *version == SettingsVersion(0)),
        "{served:?}"
    );
    late.wait_ready().await;
    let status = late.get("/v1/admin/status", &[]).await.json();
    assert_eq!(status["settings_version"], json!(committed.0));
}

#[actix_web::test]
async fn of_two_operators_with_the_same_version_one_is_told_of_the_conflict() {
    let fleet = Fleet::start(FleetPlan::default());
    fleet.wait_in_force(1).await;
    let (left, right) = (caller_of(&fleet, 1), caller_of(&fleet, 2));
    let (left_tree, right_tree) = (changed_tree(3), changed_tree(4));
    let (left, right) = futures_util::join!(
        apply(&left, 1, "left", &left_tree),
        apply(&right, 1, "right", &right_tree),
    );
    let mut answers = [left, right];
    answers.sort_by_key(|answer| answer.status);
    assert_eq!(answers[0].status, 200, "{:?}", answers[0].body);
    assert_eq!(answers[1].status, 409, "{:?}", answers[1].body);
    assert_eq!(answers[1].error_code(), "version_conflict");
    assert_eq!(answers[1].header("Courseshed-Verdict"), Some("not_run"));
}

#[actix_web::test]
async fn a_fleet_that_restarts_on_its_folders_goes_on_where_it_was() {
    let mut fleet = Fleet::start(FleetPlan::default());
    fleet.wait_in_force(1).await;
    let changed = apply(&caller_of(&fleet, 1), 1, "second", &changed_tree(5)).await;
    assert_eq!(changed.status, 200, "{:?}", changed.body);
    fleet.wait_in_force(2).await;
    let epoch = fleet.node(1).context().view.position().map;
    for node in 1..=3 {
        fleet.kill(node);
    }
    for node in 1..=3 {
        fleet.restart(node);
    }
    fleet.wait_in_force(2).await;
    for node in 1..=3 {
        assert_eq!(fleet.version(node), SettingsVersion(2));
        assert!(fleet.node(node).context().view.position().map >= epoch);
    }
    let again = apply(&caller_of(&fleet, 3), 1, "second", &changed_tree(5)).await;
    assert_eq!(again.json()["version"], json!(2), "{:?}", again.body);
}

#[actix_web::test]
async fn a_controller_that_lost_its_folder_joins_instead_of_founding() {
    let mut fleet = Fleet::start(FleetPlan::default());
    fleet.wait_in_force(1).await;
    fleet.kill(2);
    let changed = apply(&caller_of(&fleet, 1), 1, "second", &changed_tree(5)).await;
    assert_eq!(changed.status, 200, "{:?}", changed.body);
    fleet.lose_folder(2);
    fleet.restart(2);
    fleet.wait_in_force(2).await;
    // It counts for a quorum again once it has been admitted in its new incarnation.
    fleet.wait_until_voting(2).await;
    fleet.kill(3);
    let changed = apply(&caller_of(&fleet, 2), 2, "third", &changed_tree(6)).await;
    assert_eq!(changed.status, 200, "{:?}", changed.body);
}

#[actix_web::test]
async fn without_a_quorum_nothing_new_starts_once_the_lease_has_run_out() {
    let engine = support::start_engine("e1");
    let tree = format!(
        "{TREE}when_cut_off = \"refuse\"\n\n[branch.\"islands\"]\nwhen_cut_off = \"continue\"\n"
    );
    let mut fleet = Fleet::start(FleetPlan {
        controllers_serve: false,
        others: 1,
        engines: &[&engine],
        tree: &tree,
        more: "[timeouts]\nsettings_lease = \"2s\"\n",
        ..FleetPlan::default()
    });
    fleet.wait_in_force(1).await;
    let caller = caller_of(&fleet, 4);
    caller.wait_ready().await;
    let refused = caller.program("guild/quotes").await;
    let goes_on = caller.program("islands").await;
    for program in [&refused, &goes_on] {
        let path = format!("/v1/programs/{program}/calls");
        let answer = caller
            .post(&path, &[], &support::call_body("a", 5, false))
            .await;
        assert_eq!(answer.status, 200, "{:?}", answer.body);
    }
    fleet.kill(1);
    fleet.kill(2);
    wait_until("every lease has run out", || {
        fleet.running().into_iter().all(|node| {
            let context = fleet.node(node).context();
            !context.view.lease_valid(context.clock.now())
        })
    })
    .await;
    let path = format!("/v1/programs/{refused}/calls");
    let answer = caller
        .post(&path, &[], &support::call_body("b", 5, false))
        .await;
    assert_eq!(answer.status, 503, "{:?}", answer.body);
    assert_eq!(answer.error_code(), "settings_lease_expired");
    assert_eq!(answer.header("Courseshed-Verdict"), Some("not_run"));
    let path = format!("/v1/programs/{goes_on}/calls");
    let answer = caller
        .post(&path, &[], &support::call_body("b", 5, false))
        .await;
    assert_eq!(answer.status, 200, "{:?}", answer.body);
}

#[actix_web::test]
async fn a_leader_that_stops_as_planned_hands_over_and_is_known_to_leave() {
    let fleet = Fleet::start(FleetPlan::default());
    fleet.wait_in_force(1).await;
    let leader = fleet.control_leader().await;
    fleet.node(leader).drain().await;
    let other = (1..=3).find(|node| *node != leader).expect("another node");
    let controller = fleet.node(leader).context().control.controller();
    assert!(controller.is_some_and(|controller| !controller.leads));
    wait_until("the others know that it leaves", || {
        let map = fleet.node(other).context().view.map();
        map.members[&NodeId(leader)].state == NodeState::Leaving
    })
    .await;
    let changed = apply(&caller_of(&fleet, other), 1, "second", &changed_tree(5)).await;
    assert_eq!(changed.status, 200, "{:?}", changed.body);
}

#[actix_web::test]
async fn a_folder_in_use_is_refused_to_a_second_process() {
    let fleet = Fleet::start(FleetPlan {
        controllers: 1,
        ..FleetPlan::default()
    });
    let mut settings = fleet.node(1).context().settings.clone();
    settings.listen.set_port(0);
    settings.peer_listen.set_port(0);
    let refused = Node::start(NodeOptions::new(settings));
    let error = refused.err().expect("refused").to_string();
    assert!(
        error.contains("in use by another process (data_dir)"),
        "{error}"
    );
}

#[actix_web::test]
async fn a_budget_holds_over_all_shards_and_nodes() {
    const BUDGET: u64 = 600;
    let engine = support::start_engine("e1");
    let limits = "limits = { output_tokens = 30 }";
    let budget = format!("budget = {{ tokens = {BUDGET}, period = \"24h\" }}");
    let tree = TREE
        .replace("[root]", &format!("[root]\n{limits}"))
        .replace("share = 2", &format!("share = 2\n{budget}"));
    let fleet = Fleet::start(FleetPlan {
        engines: &[&engine],
        tree: &tree,
        ..FleetPlan::default()
    });
    fleet.wait_in_force(1).await;
    let (mut spent, mut answered, mut refused) = (0, 0, 0);
    for turn in 0..45_u32 {
        let caller = caller_of(&fleet, 1 + turn % 3);
        caller.wait_ready().await;
        let program = caller.program("guild/quotes").await;
        let path = format!("/v1/programs/{program}/calls");
        let answer = caller
            .post(&path, &[], &support::call_body("a", 20, false))
            .await;
        if answer.status == 200 {
            answered += 1;
            spent += answer.json()["usage"]["total_tokens"]
                .as_u64()
                .expect("tokens");
        } else {
            assert_eq!(answer.error_code(), "budget_spent", "{:?}", answer.body);
            assert_eq!(answer.header("Courseshed-Verdict"), Some("not_run"));
            refused += 1;
        }
    }
    assert!(spent <= BUDGET, "{spent} tokens spent of {BUDGET}");
    assert!(
        answered > 0 && refused > 0,
        "{answered} answered, {refused} refused"
    );
}
