//! Tests for leases, failure detection, lagging nodes and replies of the leader.

use courseshed_types::{
    BranchPath, PolicySnapshot, SettingsVersion, Verdict,
    control::{
        ControlRequest, Member, NodeHeartbeat, NodeRole, NodeState, SettingsChange, ZoneReport,
    },
    dispatch::{EngineMember, EngineState},
    policy::{BranchPolicy, CutOffPolicy},
};

use super::*;

type Compiler = fn(&str, SettingsVersion) -> Result<PolicySnapshot, Vec<String>>;

/// The test compiler rejects this tree.
const INVALID: &str = "faulty";
/// With this tree, the root branch continues while cut off.
const CONTINUES_WHEN_CUT_OFF: &str = "continuing";

fn compile(tree: &str, version: SettingsVersion) -> Result<PolicySnapshot, Vec<String>> {
    if tree == INVALID {
        return Err(vec![
            "line 1: faulty".to_owned(),
            "line 2: faulty".to_owned(),
        ]);
    }
    let mut root = BranchPolicy::default();
    if tree == CONTINUES_WHEN_CUT_OFF {
        root.when_cut_off = CutOffPolicy::Continue;
    }
    Ok(PolicySnapshot {
        version,
        branches: [(BranchPath::root(), root)].into(),
        ..PolicySnapshot::default()
    })
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis((1_000 + seconds) * 1_000)
}

/// A leader with a log that commits proposals immediately, unless `drops_proposals` is set.
struct Fleet {
    leader: ControlLeader<Compiler>,
    state: ControlState,
    index: u64,
    drops_proposals: bool,
    next_token: u64,
}

impl Fleet {
    fn new() -> Fleet {
        let leader = ControlLeader::new(
            NodeId(1),
            LeaderOptions::default(),
            compile as Compiler,
            at(0),
        );
        let mut fleet = Fleet {
            leader,
            state: ControlState::default(),
            index: 0,
            drops_proposals: false,
            next_token: 0,
        };
        fleet.leader.extend_read_lease(Timestamp::MAX);
        fleet.lead(0);
        fleet
    }

    fn lead(&mut self, seconds: u64) {
        let outputs = self
            .leader
            .on_role_change(at(seconds), LeaderRole::Leading, &self.state);
        assert!(outputs.is_empty());
    }

    fn send_request(&mut self, seconds: u64, request: ControlRequest) -> Option<ControlReply> {
        self.next_token += 1;
        let token = RequestToken(self.next_token);
        let outputs = self
            .leader
            .on_request(at(seconds), token, request, &self.state);
        self.execute(seconds, outputs).into_iter().next()
    }

    fn tick(&mut self, seconds: u64) {
        let outputs = self.leader.tick(at(seconds), &self.state);
        self.execute(seconds, outputs);
    }

    /// Commits all proposals and returns the replies.
    fn execute(&mut self, seconds: u64, outputs: Vec<LeaderOutput>) -> Vec<ControlReply> {
        let mut replies = Vec::new();
        for output in outputs {
            match output {
                LeaderOutput::Reply { reply, .. } => replies.push(*reply),
                LeaderOutput::Propose(_) if self.drops_proposals => {}
                LeaderOutput::Propose(command) => {
                    self.index += 1;
                    let bytes = command.encode().expect("encodes");
                    let applied = self.state.apply(self.index, &bytes);
                    let outputs = self.leader.on_applied(at(seconds), &applied, &self.state);
                    replies.extend(self.execute(seconds, outputs));
                }
            }
        }
        replies
    }

    fn heartbeat(&mut self, seconds: u64, node: u32, incarnation: u64) -> Option<ControlReply> {
        let position = self.state.position();
        self.heartbeat_at_position(seconds, node, incarnation, position)
    }

    fn heartbeat_at_position(
        &mut self,
        seconds: u64,
        node: u32,
        incarnation: u64,
        position: ControlPosition,
    ) -> Option<ControlReply> {
        let member = member(node, incarnation);
        let report = ZoneReport {
            from: NodeId(node),
            heard: Vec::new(),
            changed: vec![NodeHeartbeat { member, position }],
        };
        self.send_request(seconds, ControlRequest::ZoneReport(report))
    }

    fn change(&mut self, seconds: u64, id: &str, tree: &str) -> Option<ControlReply> {
        let expected_version = self.state.position().settings;
        let change = SettingsChange {
            expected_version,
            change_id: id.into(),
            tree: tree.to_owned(),
            author: "ada".to_owned(),
        };
        self.send_request(seconds, ControlRequest::ApplySettings(change))
    }

    fn lagging(&mut self, seconds: u64) -> Vec<NodeId> {
        let version = self.state.position().settings;
        match self.send_request(seconds, ControlRequest::Lagging(version)) {
            Some(ControlReply::Lagging(nodes)) => nodes,
            other => panic!("expected a list of nodes, got {other:?}"),
        }
    }

    fn node_state(&self, node: u32) -> NodeState {
        self.state.map().members[&NodeId(node)].state
    }
}

fn member(node: u32, incarnation: u64) -> Member {
    Member {
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
        region: "south".into(),
        zone: "south-a".into(),
        peer_address: String::new(),
        http_address: String::new(),
        roles: vec![NodeRole::Gateway],
        state: NodeState::Live,
    }
}

fn lease_of(reply: Option<ControlReply>) -> Duration {
    match reply {
        Some(ControlReply::Heard { settings_lease, .. }) => settings_lease,
        other => panic!("expected a lease, got {other:?}"),
    }
}

fn error_of(reply: Option<ControlReply>) -> CallError {
    match reply {
        Some(ControlReply::Error(error)) => error,
        other => panic!("expected an error, got {other:?}"),
    }
}

#[test]
fn requests_are_rejected_without_a_read_lease() {
    let mut fleet = Fleet::new();
    fleet.heartbeat(0, 11, 1);
    fleet.leader.extend_read_lease(at(5));
    assert_eq!(lease_of(fleet.heartbeat(4, 11, 1)), Duration::from_secs(10));
    let not_leader = Some(ControlReply::NotLeader { leader: None });
    assert_eq!(fleet.heartbeat(5, 11, 1), not_leader);
    assert_eq!(
        fleet.send_request(5, ControlRequest::GetSettings(None)),
        not_leader
    );
}

#[test]
fn unregistered_incarnation_gets_no_lease() {
    let mut fleet = Fleet::new();
    assert_eq!(lease_of(fleet.heartbeat(0, 11, 1)), Duration::ZERO);
    assert_eq!(lease_of(fleet.heartbeat(1, 11, 1)), Duration::from_secs(10));
    assert_eq!(lease_of(fleet.heartbeat(3, 11, 2)), Duration::ZERO);
    assert_eq!(
        error_of(fleet.heartbeat(4, 11, 1)).code,
        ErrorCode::Forbidden
    );
}

#[test]
fn silent_node_is_marked_down_until_its_next_heartbeat() {
    let mut fleet = Fleet::new();
    fleet.heartbeat(0, 11, 1);
    for second in 1..=15 {
        fleet.heartbeat(second, 12, 1);
        fleet.tick(second);
    }
    assert_eq!(fleet.node_state(11), NodeState::Down);
    assert_eq!(fleet.node_state(12), NodeState::Live);
    fleet.heartbeat(20, 11, 1);
    assert_eq!(fleet.node_state(11), NodeState::Live);
}

#[test]
fn new_leader_marks_no_node_down_during_grace_period() {
    let mut fleet = Fleet::new();
    fleet.heartbeat(0, 11, 1);
    let following = LeaderRole::Following(None);
    fleet.leader.on_role_change(at(1), following, &fleet.state);
    fleet.lead(100);
    for second in 101..108 {
        fleet.tick(second);
        assert_eq!(fleet.node_state(11), NodeState::Live, "after {second} s");
    }
    for second in 108..112 {
        fleet.tick(second);
    }
    assert_eq!(fleet.node_state(11), NodeState::Down);
}

#[test]
fn paused_leader_marks_no_node_down() {
    let mut fleet = Fleet::new();
    for second in 0..20 {
        fleet.heartbeat(second, 11, 1);
        fleet.tick(second);
    }
    fleet.tick(400);
    assert_eq!(fleet.node_state(11), NodeState::Live);
}

#[test]
fn flapping_node_is_damped() {
    let mut fleet = Fleet::new();
    let mut second = 0;
    for _ in 0..3 {
        fleet.heartbeat(second, 11, 1);
        for _ in 0..20 {
            second += 1;
            fleet.tick(second);
        }
        assert_eq!(fleet.node_state(11), NodeState::Down);
    }
    fleet.heartbeat(second, 11, 1);
    assert_eq!(fleet.node_state(11), NodeState::Down);
    assert_eq!(fleet.leader.counters().returns_damped, 1);
    fleet.heartbeat(second + 10, 11, 1);
    assert_eq!(fleet.node_state(11), NodeState::Live);
}

#[test]
fn node_lags_until_it_reports_the_version() {
    let mut fleet = Fleet::new();
    fleet.heartbeat(0, 11, 1);
    let old = fleet.state.position();
    fleet.change(1, "a", "first");
    assert_eq!(fleet.lagging(1), [NodeId(11)]);
    fleet.heartbeat_at_position(2, 11, 1, old);
    assert_eq!(fleet.lagging(2), [NodeId(11)]);
    fleet.heartbeat(3, 11, 1);
    assert_eq!(fleet.lagging(3), []);
    fleet.heartbeat_at_position(4, 11, 1, old);
    assert_eq!(
        fleet.lagging(4),
        [],
        "a late report does not decrease the position"
    );
}

/// Node 11 falls silent at 10 s, and settings change at 14 s, before it is marked down. Returns the number of lagging
/// nodes at each given time.
fn lagging_after_silence(first_tree: &str, seconds: &[u64]) -> Vec<usize> {
    let mut fleet = Fleet::new();
    fleet.change(0, "a", first_tree);
    for second in 0..=10 {
        fleet.heartbeat(second, 11, 1);
        fleet.tick(second);
    }
    let mut counts = Vec::new();
    for second in 11..=40 {
        fleet.tick(second);
        if second == 14 {
            fleet.change(second, "b", "second");
        }
        if seconds.contains(&second) {
            counts.push(fleet.lagging(second).len());
        }
    }
    counts
}

#[test]
fn down_node_lags_until_older_leases_expire() {
    // The node is down from 17 s; a lease granted just before the change expires at 24.5 s on the leader's clock.
    assert_eq!(
        lagging_after_silence("first", &[16, 18, 24, 25]),
        [1, 1, 1, 0]
    );
}

#[test]
fn down_node_that_may_continue_when_cut_off_keeps_lagging() {
    assert_eq!(
        lagging_after_silence(CONTINUES_WHEN_CUT_OFF, &[18, 25, 40]),
        [1, 1, 1]
    );
}

#[test]
fn lagging_request_for_unaccepted_version_fails() {
    let mut fleet = Fleet::new();
    let reply = fleet.send_request(0, ControlRequest::Lagging(SettingsVersion(1)));
    assert_eq!(error_of(reply).code, ErrorCode::NotFound);
}

#[test]
fn invalid_tree_is_rejected_with_all_errors() {
    let mut fleet = Fleet::new();
    let error = error_of(fleet.change(0, "a", INVALID));
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(error.message.lines().count(), 2);
    assert_eq!(fleet.leader.counters().settings_proposed, 0);
}

#[test]
fn resent_change_gets_the_original_reply_without_a_proposal() {
    let mut fleet = Fleet::new();
    let change = SettingsChange {
        expected_version: SettingsVersion(0),
        change_id: "a".into(),
        tree: "first".to_owned(),
        author: "ada".to_owned(),
    };
    let request = ControlRequest::ApplySettings(change);
    let first = fleet.send_request(0, request.clone());
    assert!(matches!(first, Some(ControlReply::Settings(_))));
    assert_eq!(fleet.send_request(5, request), first);
    assert_eq!(fleet.leader.counters().settings_proposed, 1);
}

#[test]
fn pending_requests_may_have_run_after_leadership_loss() {
    let mut fleet = Fleet::new();
    fleet.drops_proposals = true;
    assert_eq!(fleet.change(0, "a", "first"), None);
    let following = LeaderRole::Following(Some(NodeId(2)));
    let outputs = fleet.leader.on_role_change(at(1), following, &fleet.state);
    let replies = fleet.execute(1, outputs);
    assert_eq!(
        error_of(replies.into_iter().next()).verdict,
        Verdict::MayHaveRun
    );
    let leader = Some(NodeId(2));
    assert_eq!(
        fleet.heartbeat(2, 11, 1),
        Some(ControlReply::NotLeader { leader })
    );
}

#[test]
fn unapplied_proposal_times_out() {
    let mut fleet = Fleet::new();
    fleet.tick(0);
    fleet.drops_proposals = true;
    fleet.change(0, "a", "first");
    let outputs = fleet.leader.tick(at(10), &fleet.state);
    assert!(fleet.execute(10, outputs).is_empty());
    let outputs = fleet.leader.tick(at(11), &fleet.state);
    let replies = fleet.execute(11, outputs);
    assert_eq!(
        error_of(replies.into_iter().next()).verdict,
        Verdict::MayHaveRun
    );
    assert_eq!(fleet.leader.counters().proposals_lost, 1);
}

#[test]
fn proposal_of_another_controller_sends_no_reply() {
    let mut fleet = Fleet::new();
    let body = CommandBody::RegisterNode(member(11, 1));
    let command = ControlCommand {
        at: at(0),
        origin: CommandOrigin {
            node: NodeId(2),
            serial: 1,
        },
        body,
    };
    let replies = fleet.execute(0, vec![LeaderOutput::Propose(command)]);
    assert!(replies.is_empty());
    assert!(fleet.state.map().members.contains_key(&NodeId(11)));
}

#[test]
fn fleet_options_are_proposed_once() {
    let mut fleet = Fleet::new();
    fleet.tick(1);
    fleet.tick(2);
    assert_eq!(fleet.index, 1);
    assert_eq!(
        fleet.state.fleet_options(),
        Some(LeaderOptions::default().fleet)
    );
}

#[test]
fn unchanged_engine_list_is_not_proposed_again() {
    let mut fleet = Fleet::new();
    let engine = |id: &str| EngineMember {
        engine: id.into(),
        address: String::new(),
        region: "south".into(),
        zone: "south-a".into(),
        models: Vec::new(),
        state: EngineState::Live,
    };
    let list = |ids: [&str; 2]| ControlRequest::SetEngines(ids.map(engine).to_vec());
    let drain = ControlRequest::SetEngineLeaving {
        engine: "a".into(),
        leaving: true,
    };
    for (request, proposals) in [
        (list(["b", "a"]), 1),
        (drain, 2),
        (list(["a", "b"]), 2),
        (list(["a", "c"]), 3),
    ] {
        assert_eq!(fleet.send_request(0, request), Some(ControlReply::Done));
        assert_eq!(fleet.index, proposals);
    }
}
