//! Tests for versions, resubmission, epochs, grants, fencing tokens and snapshots of the state machine.

use std::time::Duration;

use courseshed_types::{
    BranchPath, Incarnation, NodeId, ShardId, Timestamp, Tokens,
    control::{GrantRequest, GrantReturn, Member, NodeRole, NodeState, SettingsChange},
    dispatch::{EngineMember, EngineState},
    policy::{BranchPolicy, PeriodBudget},
};

use super::*;

const HOUR: Duration = Duration::from_secs(3_600);

/// A log that applies commands in order.
struct Log {
    state: ControlState,
    index: u64,
    at: Timestamp,
}

impl Log {
    fn new() -> Log {
        Log {
            state: ControlState::default(),
            index: 0,
            at: Timestamp::ZERO,
        }
    }

    fn run(&mut self, body: CommandBody) -> ApplyOutcome {
        self.index += 1;
        let origin = CommandOrigin {
            node: NodeId(1),
            serial: self.index,
        };
        let command = ControlCommand {
            at: self.at,
            origin,
            body,
        };
        let bytes = command.encode().expect("encodes");
        self.state.apply(self.index, &bytes).outcome
    }

    fn apply(&mut self, expected: u64, id: &str, budget: u64) -> ApplyOutcome {
        self.run(settings(expected, id, budget))
    }
}

fn settings(expected: u64, id: &str, budget: u64) -> CommandBody {
    let root = BranchPolicy {
        budget: Some(PeriodBudget {
            tokens: Tokens(budget),
            period: HOUR,
        }),
        ..BranchPolicy::default()
    };
    let policy = PolicySnapshot {
        version: SettingsVersion(expected + 1),
        branches: [(BranchPath::root(), root)].into(),
        ..PolicySnapshot::default()
    };
    CommandBody::ApplySettings {
        change: SettingsChange {
            expected_version: SettingsVersion(expected),
            change_id: id.into(),
            tree: format!("budget = {budget}"),
            author: "ada".to_owned(),
        },
        policy: Arc::new(policy),
    }
}

fn member(node: u32, incarnation: u64) -> Member {
    Member {
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
        region: "south".into(),
        zone: format!("zone-{node}").into(),
        peer_address: format!("10.0.0.{node}:7000"),
        http_address: format!("10.0.0.{node}:8000"),
        roles: vec![NodeRole::Shard],
        state: NodeState::Live,
    }
}

fn engine(id: &str) -> EngineMember {
    EngineMember {
        engine: id.into(),
        address: "10.1.0.1:9000".to_owned(),
        region: "south".into(),
        zone: "zone-1".into(),
        models: vec!["m".into()],
        state: EngineState::Live,
    }
}

fn request(shard: u32, number: u64, wanted: u64) -> CommandBody {
    request_of(shard, 1, number, wanted)
}

fn request_of(shard: u32, generation: u32, number: u64, wanted: u64) -> CommandBody {
    CommandBody::Grant(GrantRequest {
        shard: ShardId(shard),
        generation,
        number,
        branch: BranchPath::root(),
        period: 0,
        wanted: Tokens(wanted),
        needed: Tokens(wanted),
    })
}

fn return_grant(shard: u32, number: u64, returned: u64) -> CommandBody {
    return_grant_of(shard, 1, number, returned)
}

fn return_grant_of(shard: u32, generation: u32, number: u64, returned: u64) -> CommandBody {
    CommandBody::ReturnGrant(GrantReturn {
        shard: ShardId(shard),
        generation,
        number,
        branch: BranchPath::root(),
        period: 0,
        returned: Tokens(returned),
    })
}

fn granted(outcome: ApplyOutcome) -> u64 {
    match outcome {
        ApplyOutcome::Granted(grant) => grant.granted.0,
        other => panic!("expected a grant, got {other:?}"),
    }
}

fn refusal(outcome: ApplyOutcome) -> ErrorCode {
    match outcome {
        ApplyOutcome::Refused(error) => error.code,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

fn version(outcome: ApplyOutcome) -> u64 {
    match outcome {
        ApplyOutcome::Settings(record) => record.version.0,
        other => panic!("expected settings, got {other:?}"),
    }
}

#[test]
fn concurrent_and_resent_changes_get_consistent_results() {
    let mut log = Log::new();
    assert_eq!(version(log.apply(0, "a", 10)), 1);
    assert_eq!(refusal(log.apply(0, "b", 20)), ErrorCode::VersionConflict);
    assert_eq!(version(log.apply(1, "c", 30)), 2);
    assert_eq!(version(log.apply(0, "a", 10)), 1);
    assert_eq!(refusal(log.apply(0, "a", 99)), ErrorCode::BodyConflict);
    assert_eq!(log.state.position().settings, SettingsVersion(2));
}

#[test]
fn resent_change_gets_its_version_after_its_tree_was_dropped() {
    let mut log = Log::new();
    for expected in 0..300 {
        log.apply(expected, &format!("change-{expected}"), expected);
    }
    assert!(log.state.settings().version(SettingsVersion(1)).is_none());
    assert_eq!(version(log.apply(0, "change-0", 0)), 1);
    assert_eq!(log.state.position().settings, SettingsVersion(300));
    assert_eq!(log.state.settings().latest(1_000).count(), 200);
}

#[test]
fn already_applied_entries_have_no_effect() {
    let mut log = Log::new();
    log.apply(0, "a", 10);
    let before = log.state.snapshot().expect("encodes");
    log.index = 0;
    log.apply(1, "b", 20);
    assert_eq!(log.state.snapshot().expect("encodes"), before);
}

#[test]
fn nodes_register_restart_fail_and_are_removed() {
    let mut log = Log::new();
    log.run(CommandBody::Configure(FleetOptions::default()));
    for node in 1..=4 {
        log.run(CommandBody::RegisterNode(member(node, 1)));
    }
    assert_eq!(log.state.map().shards.len(), 16);
    let epoch = log.state.map().epoch;
    log.run(CommandBody::RegisterNode(member(4, 1)));
    assert_eq!(
        log.state.map().epoch,
        epoch,
        "an unchanged registration does not advance the epoch"
    );
    log.run(CommandBody::RegisterNode(member(4, 2)));
    assert_eq!(
        refusal(log.run(CommandBody::RegisterNode(member(4, 1)))),
        ErrorCode::Forbidden
    );
    let down = |incarnation| CommandBody::NodeDown {
        node: NodeId(4),
        incarnation: Incarnation(incarnation),
    };
    log.run(down(1));
    assert_eq!(log.state.map().members[&NodeId(4)].state, NodeState::Live);
    log.run(down(2));
    assert_eq!(log.state.map().members[&NodeId(4)].state, NodeState::Down);
    let mut placements = log.state.map().shards.values();
    assert!(placements.all(|shard| !shard.replicas.contains(&NodeId(4))));
    log.run(CommandBody::NodeGone(NodeId(4)));
    log.run(CommandBody::NodeGone(NodeId(3)));
    assert_eq!(log.state.map().members.len(), 3);
}

#[test]
fn node_drain_persists_across_restarts() {
    let mut log = Log::new();
    log.run(CommandBody::RegisterNode(member(1, 1)));
    let drain = |leaving| CommandBody::DrainNode {
        node: NodeId(1),
        leaving,
    };
    log.run(drain(true));
    log.run(CommandBody::RegisterNode(member(1, 2)));
    assert_eq!(
        log.state.map().members[&NodeId(1)].state,
        NodeState::Leaving
    );
    log.run(drain(false));
    assert_eq!(log.state.map().members[&NodeId(1)].state, NodeState::Live);
}

#[test]
fn engine_drain_overrides_the_engine_list() {
    let mut log = Log::new();
    log.run(CommandBody::SetEngines(vec![engine("b"), engine("a")]));
    log.run(CommandBody::DrainEngine {
        engine: "a".into(),
        leaving: true,
    });
    let epoch = log.state.map().epoch;
    log.run(CommandBody::SetEngines(vec![engine("a"), engine("b")]));
    assert_eq!(log.state.map().epoch, epoch);
    log.run(CommandBody::SetEngines(vec![engine("b")]));
    log.run(CommandBody::SetEngines(vec![engine("a"), engine("b")]));
    let engines = &log.state.map().engines.engines;
    assert_eq!(engines[0].state, EngineState::Leaving);
    assert_eq!(engines[1].state, EngineState::Live);
}

#[test]
fn grants_stay_within_the_budget_and_are_idempotent() {
    let mut log = Log::new();
    log.apply(0, "a", 100);
    assert_eq!(granted(log.run(request(1, 1, 60))), 60);
    assert_eq!(granted(log.run(request(1, 1, 60))), 60);
    assert_eq!(granted(log.run(request(2, 1, 60))), 40);
    assert_eq!(granted(log.run(request(2, 2, 60))), 0);
    assert_eq!(
        refusal(log.run(request(2, 1, 60))),
        ErrorCode::InvalidRequest
    );
    log.run(return_grant(1, 1, 30));
    log.run(return_grant(1, 1, 30));
    assert_eq!(log.state.ledger().held(&BranchPath::root(), 0), Tokens(70));
    assert_eq!(granted(log.run(request(3, 1, 60))), 30);
}

#[test]
fn lowered_budget_blocks_grants_until_tokens_are_returned() {
    let mut log = Log::new();
    log.apply(0, "a", 100);
    log.run(request(1, 1, 80));
    log.apply(1, "b", 50);
    assert_eq!(granted(log.run(request(2, 1, 10))), 0);
    log.run(return_grant(1, 1, 40));
    assert_eq!(granted(log.run(request(2, 2, 30))), 10);
}

#[test]
fn new_shard_generation_is_not_granted_tokens_of_the_lost_one() {
    let mut log = Log::new();
    log.apply(0, "a", 100);
    assert_eq!(granted(log.run(request_of(1, 1, 1, 60))), 60);
    assert_eq!(granted(log.run(request_of(1, 2, 1, 60))), 40);
    assert_eq!(
        refusal(log.run(request_of(1, 1, 2, 10))),
        ErrorCode::InvalidRequest
    );
    log.run(return_grant_of(1, 1, 1, 60));
    assert_eq!(log.state.ledger().held(&BranchPath::root(), 0), Tokens(100));
    log.run(return_grant_of(1, 2, 1, 10));
    assert_eq!(log.state.ledger().held(&BranchPath::root(), 0), Tokens(90));
}

#[test]
fn grants_without_budget_count_once_the_budget_is_set_again() {
    let mut log = Log::new();
    log.apply(0, "a", 100);
    let lifted = CommandBody::ApplySettings {
        change: SettingsChange {
            expected_version: SettingsVersion(1),
            change_id: "lift".into(),
            tree: String::new(),
            author: "ada".to_owned(),
        },
        policy: Arc::new(PolicySnapshot {
            version: SettingsVersion(2),
            branches: [(BranchPath::root(), BranchPolicy::default())].into(),
            ..PolicySnapshot::default()
        }),
    };
    log.run(lifted);
    assert_eq!(granted(log.run(request(1, 1, 80))), 80);
    log.apply(2, "b", 100);
    assert_eq!(granted(log.run(request(2, 1, 60))), 20);
}

#[test]
fn ended_period_rejects_grants_and_its_account_is_deleted() {
    let mut log = Log::new();
    log.apply(0, "a", 100);
    log.run(request(1, 1, 100));
    log.at = Timestamp::ZERO + HOUR * 3;
    assert_eq!(
        refusal(log.run(request(1, 2, 10))),
        ErrorCode::InvalidRequest
    );
    assert_eq!(log.state.ledger().accounts(), 0);
}

#[test]
fn fencing_tokens_increase_and_require_a_known_engine() {
    let mut log = Log::new();
    log.run(CommandBody::SetEngines(vec![engine("a")]));
    let fence = || CommandBody::TakeFence("a".into());
    assert_eq!(log.run(fence()), ApplyOutcome::Fence(1));
    assert_eq!(log.run(fence()), ApplyOutcome::Fence(2));
    let unknown = CommandBody::TakeFence("z".into());
    assert_eq!(refusal(log.run(unknown)), ErrorCode::NotFound);
}

#[test]
fn snapshot_restores_the_complete_state() {
    let mut log = Log::new();
    log.run(CommandBody::Configure(FleetOptions::default()));
    log.run(CommandBody::RegisterNode(member(1, 1)));
    log.run(CommandBody::SetEngines(vec![engine("a")]));
    log.run(CommandBody::TakeFence("a".into()));
    log.apply(0, "a", 100);
    log.run(request(1, 1, 60));
    let bytes = log.state.snapshot().expect("encodes");
    let mut restored = ControlState::restore(&bytes).expect("decodes");
    assert_eq!(restored.snapshot().expect("encodes"), bytes);
    assert_eq!(restored.position(), log.state.position());
    std::mem::swap(&mut log.state, &mut restored);
    assert_eq!(granted(log.run(request(1, 1, 60))), 60);
    assert_eq!(granted(log.run(request(2, 1, 60))), 40);
    assert_eq!(
        log.run(CommandBody::TakeFence("a".into())),
        ApplyOutcome::Fence(2)
    );
    assert_eq!(version(log.apply(0, "a", 100)), 1);
}

#[test]
fn undecodable_entry_is_rejected() {
    let mut log = Log::new();
    let applied = log.state.apply(1, &[0xc1, 0x00]);
    assert_eq!(applied.origin, None);
    assert_eq!(refusal(applied.outcome), ErrorCode::Internal);
}
