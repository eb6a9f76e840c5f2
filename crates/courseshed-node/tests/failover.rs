//! Three nodes lose leaders, gateways and replicas while calls run: every caller gets its whole answer, and no
//! history is lost.

mod support;

use std::time::Duration;

use actix_web::http::StatusCode;
use courseshed_types::{NodeId, ProgramId};
use serde_json::json;
use support::{
    mapped_fleet::{MappedFleet, wait_until},
    *,
};

/// Tokens of an answer that takes some seconds.
const LONG_ANSWER: u32 = 200;

fn shard_of(program: &str) -> courseshed_types::ShardId {
    program.parse::<ProgramId>().expect("a program id").shard
}

/// The text of each message of a program, read at a node.
async fn history(fleet: &MappedFleet, node: NodeId, program: &str) -> Vec<String> {
    let caller = fleet.caller(node);
    let answer = caller
        .get(&format!("/v1/programs/{program}/history"), &[])
        .await;
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    let document = answer.json();
    let messages = document["messages"].as_array().expect("messages").clone();
    let text = |message: &serde_json::Value| message["content"].as_str().unwrap_or("").to_owned();
    messages.iter().map(text).collect()
}

/// Makes a call and gives the answer's text.
async fn call(caller: &Caller, program: &str, sequence: u32, tokens: u32) -> String {
    let path = format!("/v1/programs/{program}/calls");
    let sequence = sequence.to_string();
    let headers = [("Courseshed-Sequence", sequence.as_str())];
    let answer = caller
        .post(&path, &headers, &call_body("quote", tokens, true))
        .await;
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    let events = sse_events(&answer.body);
    assert!(is_whole(&events), "{events:?}");
    text_of(&events)
}

#[actix_web::test]
async fn any_node_serves_any_program() {
    let engine = start_engine("e1");
    let fleet = MappedFleet::start(3, &[&engine], TREE);
    let mut said = Vec::new();
    let program = fleet.caller(NodeId(1)).program("guild/quotes").await;
    for (sequence, node) in (1..=3).zip(fleet.running()) {
        said.push(call(&fleet.caller(node), &program, sequence, 5).await);
    }
    for node in fleet.running() {
        let messages = history(&fleet, node, &program).await;
        let answers: Vec<String> = messages.into_iter().skip(1).step_by(2).collect();
        assert_eq!(answers, said);
    }
}

#[actix_web::test]
async fn a_stream_goes_on_when_the_leader_dies() {
    let engine = start_engine("e1");
    let mut fleet = MappedFleet::start(3, &[&engine], TREE);
    let program = fleet.caller(NodeId(1)).program("guild/quotes").await;
    let leader = fleet.wait_leader(shard_of(&program));
    let gateway = fleet.other_than(leader);
    let caller = fleet.caller(gateway);

    let mut stream = caller
        .stream_call(&program, 1, &call_body("quote", LONG_ANSWER, true))
        .await;
    let first = stream.next().await.expect("a first event");
    fleet.kill(leader);
    fleet.note_down(leader);
    let mut events = vec![first];
    events.extend(stream.rest().await);
    assert!(is_whole(&events), "{:?}", events.last());
    let text = text_of(&events);

    assert_eq!(history(&fleet, gateway, &program).await[1], text);
    assert_eq!(engine.ran().requests.len(), 1);
    assert!(!call(&caller, &program, 2, 5).await.is_empty());
}

#[actix_web::test]
async fn another_gateway_finishes_the_answer_of_a_dead_one() {
    let engine = start_engine("e1");
    let mut fleet = MappedFleet::start(3, &[&engine], TREE);
    let program = fleet.caller(NodeId(1)).program("guild/quotes").await;
    let gateway = fleet.wait_leader(shard_of(&program));
    let caller = fleet.caller(gateway);
    let mut stream = caller
        .stream_call(&program, 1, &call_body("quote", LONG_ANSWER, true))
        .await;
    let mut had = Vec::new();
    for _ in 0..10 {
        had.push(stream.next().await.expect("an event"));
    }
    fleet.kill(gateway);
    fleet.note_down(gateway);

    let place = had
        .iter()
        .rev()
        .find_map(|event| event.id.clone())
        .expect("an id");
    let other = fleet.running()[0];
    let path = format!("/v1/programs/{program}/calls/1");
    let rest = fleet
        .caller(other)
        .get(&path, &[("Last-Event-ID", &place)])
        .await;
    assert_eq!(rest.status, StatusCode::OK, "{:?}", rest.body);
    let rest = sse_events(&rest.body);
    assert!(is_whole(&rest), "{:?}", rest.last());
    let whole = text_of(&had) + &text_of(&rest);
    assert_eq!(history(&fleet, other, &program).await[1], whole);
    assert_eq!(engine.ran().requests.len(), 1);
}

#[actix_web::test]
async fn a_call_whose_gateway_and_leader_died_is_settled_without_its_caller() {
    let engine = start_engine("e1");
    let mut fleet = MappedFleet::start(3, &[&engine], TREE);
    let program = fleet.caller(NodeId(1)).program("guild/quotes").await;
    let node = fleet.wait_leader(shard_of(&program));
    let caller = fleet.caller(node);
    let mut stream = caller
        .stream_call(&program, 1, &call_body("quote", 30, true))
        .await;
    stream.next().await.expect("an event");
    fleet.kill(node);
    fleet.note_down(node);
    drop(stream);

    let other = fleet.running()[0];
    let caller = fleet.caller(other);
    let path = format!("/v1/programs/{program}/calls/1");
    let started = std::time::Instant::now();
    loop {
        let answer = caller.get(&path, &[]).await;
        if answer.status == StatusCode::OK {
            break;
        }
        assert_eq!(answer.status, StatusCode::ACCEPTED, "{:?}", answer.body);
        assert!(started.elapsed() < PATIENCE, "the call is not settled");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(history(&fleet, other, &program).await.len(), 2);
    assert_eq!(engine.ran().requests.len(), 1);
}

#[actix_web::test]
async fn history_outlives_every_node_killed_in_turn() {
    let engine = start_engine("e1");
    let mut fleet = MappedFleet::start(3, &[&engine], TREE);
    let mut said = Vec::new();
    let program = fleet.caller(NodeId(1)).program("guild/quotes").await;
    for (sequence, node) in (1..=3).zip([3, 1, 2].map(NodeId)) {
        let caller = fleet.caller(fleet.other_than(node));
        said.push(call(&caller, &program, sequence, 5).await);
        fleet.kill(node);
        fleet.note_down(node);
        fleet.start_node(node);
        fleet.publish(|_| ());
        // The next kill comes right after the repair.
        fleet.wait_repaired();
    }
    for node in fleet.running() {
        let messages = history(&fleet, node, &program).await;
        let answers: Vec<String> = messages.into_iter().skip(1).step_by(2).collect();
        assert_eq!(answers, said);
    }
}

#[actix_web::test]
async fn a_frozen_leader_answers_nothing_once_another_one_may_lead() {
    let engine = start_engine("e1");
    let mut fleet = MappedFleet::start(3, &[&engine], TREE);
    let program = fleet.caller(NodeId(1)).program("guild/quotes").await;
    let shard = shard_of(&program);
    let old = fleet.wait_leader(shard);
    let frozen = fleet.freeze(old, shard);
    fleet.note_down(old);
    let others: Vec<NodeId> = fleet
        .running()
        .into_iter()
        .filter(|node| *node != old)
        .collect();
    let leads = |node: &NodeId| {
        let shards = &fleet.node(*node).context().shards;
        shards.with(shard, |replica| replica.leads()) == Some(true)
    };
    wait_until("another replica leads", || others.iter().any(leads));
    let text = call(&fleet.caller(others[0]), &program, 1, 5).await;

    // Asked while it is frozen, the old leader finds the question when it thaws, and must not answer from its state.
    let caller = fleet.caller(old);
    let program_path = format!("/v1/programs/{program}/history");
    let asked = actix_rt::spawn(async move { caller.get(&program_path, &[]).await });
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    drop(frozen);
    let answer = asked.await.expect("asked");
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    assert_eq!(answer.json()["messages"][1]["content"], json!(text));
    wait_until("the old leader has stepped down", || !leads(&old));
}

#[actix_web::test]
async fn a_shard_moves_to_other_nodes_while_it_serves() {
    let engine = start_engine("e1");
    let mut fleet = MappedFleet::start(5, &[&engine], TREE);
    let program = fleet.caller(NodeId(5)).program("guild/quotes").await;
    let shard = shard_of(&program);
    let mut said = vec![call(&fleet.caller(NodeId(5)), &program, 1, 5).await];
    let caller = fleet.caller(NodeId(4));
    let stream = caller
        .stream_call(&program, 2, &call_body("quote", 100, true))
        .await;
    fleet.publish(|map| {
        let placement = map.shards.get_mut(&shard).expect("placed");
        placement.replicas = vec![NodeId(4), NodeId(5), NodeId(1)];
    });
    fleet.wait_repaired();
    let events = stream.rest().await;
    assert!(is_whole(&events), "{:?}", events.last());
    said.push(text_of(&events));
    said.push(call(&fleet.caller(NodeId(2)), &program, 3, 5).await);
    let messages = history(&fleet, NodeId(3), &program).await;
    let answers: Vec<String> = messages.into_iter().skip(1).step_by(2).collect();
    assert_eq!(answers, said);
    let kept = |node: u32| fleet.node(NodeId(node)).context().shards.contains(shard);
    wait_until("the replicas left behind are closed", || {
        !kept(2) && !kept(3) && kept(4) && kept(5)
    });
}

#[actix_web::test]
async fn a_node_that_stops_hands_all_its_shards_over() {
    let engine = start_engine("e1");
    let fleet = MappedFleet::start(3, &[&engine], TREE);
    let program = fleet.caller(NodeId(1)).program("guild/quotes").await;
    let node = fleet.wait_leader(shard_of(&program));
    let other = fleet.other_than(node);
    let caller = fleet.caller(other);
    let stream = caller
        .stream_call(&program, 1, &call_body("quote", 100, true))
        .await;
    let context = fleet.node(node).context().clone();
    let leads_none = support::wait_until(async || context.shards.led().is_empty());
    courseshed_node::shards::hand_over_while(&context, leads_none).await;
    assert_eq!(context.shards.led(), []);
    let events = stream.rest().await;
    assert!(is_whole(&events), "{:?}", events.last());
    assert_eq!(engine.ran().requests.len(), 1);
}
