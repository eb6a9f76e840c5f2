//! The operators' interface of real nodes, by the client that operators use, and who may use it.

mod support;

use courseshed_cli::{Exit, run};
use courseshed_emulator::members::{EmulatedMembers, MemberOptions};
use courseshed_node::NodeHandle;
use courseshed_types::{
    EngineId,
    dispatch::{EngineMember, EngineState},
};
use serde_json::{Value, json};
use support::{
    Caller, EngineHandle,
    fleet::{Fleet, FleetPlan, wait_until},
    start_engine, start_lone,
};

const KEYS: &str = r#"
models = ["base"]
operator_keys = ["OPERATOR"]

[root]
models.default = "base"

[branch."guild"]
keys = ["GUILD"]

[branch."guild/quotes"]
priority = 1

[branch."rival"]
keys = ["RIVAL"]
"#;

fn tree_with_keys() -> String {
    let digest = courseshed_node::gateway::sha256_hex;
    KEYS.replace("OPERATOR", &digest("operator"))
        .replace("GUILD", &digest("guild"))
        .replace("RIVAL", &digest("rival"))
}

/// What the client printed on standard output, as JSON, with its exit.
async fn courseshed(node: &NodeHandle, key: &str, words: &[&str]) -> (Exit, Value, String) {
    let url = format!("http://{}", node.http_address());
    let mut arguments: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    let options = ["--url", &url, "--key", key, "--output", "json"];
    arguments.extend(options.map(str::to_owned));
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(&arguments, &mut out, &mut err).await;
    let document = serde_json::from_slice(&out).unwrap_or(Value::Null);
    (exit, document, String::from_utf8(err).expect("text"))
}

async fn done(node: &NodeHandle, words: &[&str]) -> Value {
    let (exit, document, err) = courseshed(node, "operator", words).await;
    assert_eq!(exit, Exit::Done, "{words:?}: {err}");
    document
}

async fn fleet_with_keys(engines: &[&EngineHandle]) -> Fleet {
    let fleet = Fleet::start(FleetPlan {
        engines,
        tree: &tree_with_keys(),
        ..FleetPlan::default()
    });
    fleet.wait_in_force(1).await;
    fleet
}

#[actix_web::test]
async fn settings_are_shown_changed_and_rolled_back_through_any_node() {
    let fleet = fleet_with_keys(&[]).await;
    let leader = fleet.control_leader().await;
    let node = (1..=3).find(|node| *node != leader).expect("a follower");
    let node = fleet.node(node);
    let shown = done(node, &["settings", "show"]).await;
    assert_eq!(shown["tree"], json!(tree_with_keys()));
    let file = tempfile::NamedTempFile::new().expect("a file");
    let tree = tree_with_keys().replace("priority = 1", "priority = 7");
    std::fs::write(file.path(), tree).expect("written");
    let path = file.path().to_str().expect("a path");
    let differences = done(node, &["settings", "diff", "-f", path]).await;
    assert_eq!(differences["changes"].as_array().map(Vec::len), Some(1));

    let apply = ["settings", "apply", "-f", path, "--expect-version", "1"];
    assert_eq!(done(node, &apply).await["version"], json!(2));
    assert_eq!(done(node, &apply).await["version"], json!(2), "sent again");
    done(node, &["settings", "wait", "--version", "2"]).await;
    let effective = ["settings", "get", "guild/quotes", "--effective"];
    let effective = done(node, &effective).await;
    let values = effective["values"].as_array().expect("values").clone();
    let priority = values.iter().find(|value| value["key"] == "priority");
    assert_eq!(priority.map(|value| &value["value"]), Some(&json!("7")));

    let stale = [
        "settings",
        "apply",
        "--from-version",
        "1",
        "--expect-version",
        "1",
    ];
    let (exit, _, err) = courseshed(node, "operator", &stale).await;
    assert_eq!(exit, Exit::Conflict, "{err}");
    let back = [
        "settings",
        "apply",
        "--from-version",
        "1",
        "--expect-version",
        "2",
    ];
    assert_eq!(done(node, &back).await["version"], json!(3));
    let history = done(node, &["settings", "history"]).await;
    assert_eq!(history.as_array().map(Vec::len), Some(3));
}

#[actix_web::test]
async fn a_faulty_tree_is_refused_with_all_its_problems() {
    let node = start_lone(&[], support::TREE);
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let body = json!({
        "expected_version": 1,
        "change_id": "faulty",
        "tree": "[root]\nprioriti = 1\n[branch.\"a/b\"]\nshare = 0\n",
    });
    let answer = caller.post("/v1/admin/settings", &[], &body).await;
    assert_eq!(answer.status, 400, "{:?}", answer.body);
    let message = answer.json()["error"]["message"].to_string();
    assert!(
        message.contains("prioriti") && message.contains("share"),
        "{message}"
    );
    let malformed = caller
        .post("/v1/admin/settings", &[], &json!({"tree": 1}))
        .await;
    assert_eq!(malformed.status, 400, "{:?}", malformed.body);
    assert_eq!(malformed.error_code(), "invalid_request");
    let unknown = caller.get("/v1/admin/settings?versoin=1", &[]).await;
    assert_eq!(unknown.status, 400, "{:?}", unknown.body);
    let none = caller.get("/v1/admin/nothing", &[]).await;
    assert_eq!(none.error_code(), "not_found");
}

#[actix_web::test]
async fn callers_keys_read_their_own_branch_and_steer_nothing() {
    let fleet = fleet_with_keys(&[]).await;
    let node = fleet.node(1);
    let caller = Caller::new(node.http_address());
    caller.wait_ready().await;
    let guild = [("Authorization", "Bearer guild")];
    let body = json!({"branch": "guild/quotes"});
    let program = caller.post("/v1/programs", &guild, &body).await;
    let program = program.json()["id"].as_str().expect("an id").to_owned();

    let (exit, list, err) = courseshed(node, "guild", &["programs", "list"]).await;
    assert_eq!(
        (exit, list[0]["id"].as_str()),
        (Exit::Done, Some(&*program)),
        "{err}"
    );
    let (_, list, _) = courseshed(node, "rival", &["programs", "list"]).await;
    assert_eq!(list, json!([]));
    let (exit, _, err) = courseshed(node, "rival", &["explain", &program]).await;
    assert!(exit == Exit::Failed && err.contains("not_found"), "{err}");
    let (exit, explained, _) = courseshed(node, "guild", &["explain", &program]).await;
    assert_eq!(exit, Exit::Done);
    assert!(
        explained["reason"]
            .as_str()
            .is_some_and(|reason| reason.contains("between calls"))
    );
    let get = ["settings", "get", "rival", "--effective"];
    let (exit, _, err) = courseshed(node, "guild", &get).await;
    assert!(exit == Exit::Failed && err.contains("not_found"), "{err}");
    for words in [
        &["nodes", "list"][..],
        &["settings", "show"],
        &["programs", "end", &program],
    ] {
        let (exit, _, err) = courseshed(node, "guild", words).await;
        assert!(
            exit == Exit::Failed && err.contains("HTTP 403"),
            "{words:?}: {err}"
        );
        let (exit, _, err) = courseshed(node, "nobody", words).await;
        assert!(
            exit == Exit::Failed && err.contains("HTTP 401"),
            "{words:?}: {err}"
        );
    }
    done(node, &["programs", "end", &program]).await;
    let shown = done(node, &["programs", "show", &program]).await;
    assert_eq!(shown["phase"], json!({"ended": "operator"}));
}

#[actix_web::test]
async fn nodes_and_engines_are_listed_drained_and_ordered() {
    let (first, second) = (start_engine("e1"), start_engine("e2"));
    let fleet = fleet_with_keys(&[&first, &second]).await;
    let node = fleet.node(2);
    wait_until("the engines are known", || {
        let nodes = fleet.running().into_iter();
        nodes
            .map(|number| fleet.node(number).context().view.map())
            .all(|map| map.engines.engines.len() == 2)
    })
    .await;
    let status = done(node, &["status"]).await;
    assert_eq!(
        (&status["nodes_live"], &status["engines_live"]),
        (&json!(3), &json!(2))
    );
    let nodes = done(node, &["nodes", "list"]).await;
    let versions = nodes.as_array().expect("nodes").iter();
    assert!(
        versions
            .map(|node| &node["settings_version"])
            .all(|version| *version == json!(1))
    );

    let drained = done(node, &["engines", "drain", "e2"]).await;
    assert_eq!(drained[0]["state"], json!("leaving"));
    wait_until("every node knows that e2 leaves", || {
        fleet
            .running()
            .into_iter()
            .all(|number| state_of(fleet.node(number), "e2") == EngineState::Leaving)
    })
    .await;
    done(node, &["engines", "drain", "e2", "--undo"]).await;
    let order = ["engines", "order", "e1", "load", "other"];
    let (early, late) = (done(node, &order).await, done(fleet.node(3), &order).await);
    assert!(
        early["fence"].as_u64() < late["fence"].as_u64(),
        "{early} {late}"
    );
    let role = done(node, &["engines", "role", "e1", "prefill"]).await;
    assert_eq!(role["accepted"], json!(true));
    assert!(first.ran().requests.is_empty());

    let drained = done(node, &["nodes", "drain", "3"]).await;
    assert_eq!(drained[0]["state"], json!("leaving"));
    let (exit, _, err) = courseshed(node, "operator", &["nodes", "drain", "9"]).await;
    assert!(
        exit == Exit::Failed && err.contains("no node has the id 9"),
        "{err}"
    );
}

fn state_of(node: &NodeHandle, engine: &str) -> EngineState {
    let map = node.context().view.map();
    let mut engines = map.engines.engines.iter();
    let found = engines.find(|member| member.engine == EngineId::from(engine));
    found.expect("the engine is known").state
}

#[actix_web::test]
async fn what_the_platforms_list_says_of_engines_is_known_at_every_node() {
    let engine = start_engine("listed");
    let member = EngineMember {
        engine: EngineId::from("listed"),
        address: engine.address().to_string(),
        region: "south".into(),
        zone: "south-a".into(),
        models: vec!["base".into()],
        state: EngineState::Live,
    };
    let list = EmulatedMembers::start(MemberOptions {
        lag: std::time::Duration::from_millis(300),
        members: vec![member],
        ..MemberOptions::default()
    })
    .expect("the list starts");
    let fleet = Fleet::start(FleetPlan {
        others: 1,
        more: &format!("members_url = \"http://{}/members\"", list.address()),
        ..FleetPlan::default()
    });
    let known = |count: usize| {
        let maps = fleet
            .running()
            .into_iter()
            .map(|number| fleet.node(number).context().view.map());
        maps.map(|map| map.engines.engines.len())
            .all(|known| known == count)
    };
    wait_until("the engine is known everywhere", || known(1)).await;
    let listed = EngineId::from("listed");
    assert!(list.set_state(&listed, EngineState::Leaving));
    wait_until("its leaving is known everywhere", || {
        let nodes = fleet.running().into_iter();
        nodes
            .map(|number| fleet.node(number))
            .all(|node| state_of(node, "listed") == EngineState::Leaving)
    })
    .await;
    assert!(list.remove(&listed));
    wait_until("it is forgotten everywhere", || known(0)).await;
}
