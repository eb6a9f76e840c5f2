//! The leader: leases only while it surely leads, who is down, who lags, and what askers are told in the end.

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

/// A tree of this text is refused.
const FAULTY: &str = "faulty";
/// In a tree of this text the root goes on when cut off.
const CONTINUING: &str = "continuing";

fn compile(tree: &str, version: SettingsVersion) -> Result<PolicySnapshot, Vec<String>> {
    if tree == FAULTY {
        return Err(vec![
            "line 1: faulty".to_owned(),
            "line 2: faulty".to_owned(),
        ]);
    }
    let mut root = BranchPolicy::default();
    if tree == CONTINUING {
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

/// A leader and the log behind it, in which everything proposed is committed at once, unless it is held back.
struct Fleet {
    leader: ControlLeader<Compiler>,
    state: ControlState,
    index: u64,
    held_back: bool,
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
            held_back: false,
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

    fn ask(&mut self, seconds: u64, request: ControlRequest) -> Option<ControlReply> {
        self.next_token += 1;
        let token = RequestToken(self.next_token);
        let outputs = self
            .leader
            .on_request(at(seconds), token, request, &self.state);
        self.carry_out(seconds, outputs).into_iter().next()
    }

    fn tick(&mut self, seconds: u64) {
        let outputs = self.leader.tick(at(seconds), &self.state);
        self.carry_out(seconds, outputs);
    }

    /// Answers, after everything proposed was committed.
    fn carry_out(&mut self, seconds: u64, outputs: Vec<LeaderOutput>) -> Vec<ControlReply> {
        let mut replies = Vec::new();
        for output in outputs {
            match output {
                LeaderOutput::Reply { reply, .. } => replies.push(*reply),
                LeaderOutput::Propose(_) if self.held_back => {}
                LeaderOutput::Propose(command) => {
                    self.index += 1;
                    let bytes = command.encode().expect("encodes");
                    let applied = self.state.apply(self.index, &bytes);
                    let outputs = self.leader.on_applied(at(seconds), &applied, &self.state);
                    replies.extend(self.carry_out(seconds, outputs));
                }
            }
        }
        replies
    }

    fn hear(&mut self, seconds: u64, node: u32, incarnation: u64) -> Option<ControlReply> {
        let position = self.state.position();
        self.hear_with(seconds, node, incarnation, position)
    }

    fn hear_with(
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
        self.ask(seconds, ControlRequest::ZoneReport(report))
    }

    fn change(&mut self, seconds: u64, id: &str, tree: &str) -> Option<ControlReply> {
        let expected_version = self.state.position().settings;
        let change = SettingsChange {
            expected_version,
            change_id: id.into(),
            tree: tree.to_owned(),
            author: "ada".to_owned(),
        };
        self.ask(seconds, ControlRequest::ApplySettings(change))
    }

    fn lagging(&mut self, seconds: u64) -> Vec<NodeId> {
        let version = self.state.position().settings;
        match self.ask(seconds, ControlRequest::Lagging(version)) {
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
fn no_answer_without_the_lease_of_the_log() {
    let mut fleet = Fleet::new();
    fleet.hear(0, 11, 1);
    fleet.leader.extend_read_lease(at(5));
    assert_eq!(lease_of(fleet.hear(4, 11, 1)), Duration::from_secs(10));
    let not_leader = Some(ControlReply::NotLeader { leader: None });
    assert_eq!(fleet.hear(5, 11, 1), not_leader);
    assert_eq!(fleet.ask(5, ControlRequest::GetSettings(None)), not_leader);
}

#[test]
fn a_start_gets_no_lease_before_the_map_knows_it() {
    let mut fleet = Fleet::new();
    assert_eq!(lease_of(fleet.hear(0, 11, 1)), Duration::ZERO);
    assert_eq!(lease_of(fleet.hear(1, 11, 1)), Duration::from_secs(10));
    assert_eq!(lease_of(fleet.hear(3, 11, 2)), Duration::ZERO);
    assert_eq!(error_of(fleet.hear(4, 11, 1)).code, ErrorCode::Forbidden);
}

#[test]
fn a_silent_node_is_down_and_one_that_is_heard_again_is_back() {
    let mut fleet = Fleet::new();
    fleet.hear(0, 11, 1);
    for second in 1..=15 {
        fleet.hear(second, 12, 1);
        fleet.tick(second);
    }
    assert_eq!(fleet.node_state(11), NodeState::Down);
    assert_eq!(fleet.node_state(12), NodeState::Live);
    fleet.hear(20, 11, 1);
    assert_eq!(fleet.node_state(11), NodeState::Live);
}

#[test]
fn a_new_leader_calls_nobody_down_at_first() {
    let mut fleet = Fleet::new();
    fleet.hear(0, 11, 1);
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
fn a_leader_that_was_stopped_calls_nobody_down_for_it() {
    let mut fleet = Fleet::new();
    for second in 0..20 {
        fleet.hear(second, 11, 1);
        fleet.tick(second);
    }
    fleet.tick(400);
    assert_eq!(fleet.node_state(11), NodeState::Live);
}

#[test]
fn a_node_that_fails_again_and_again_is_held_back() {
    let mut fleet = Fleet::new();
    let mut second = 0;
    for _ in 0..3 {
        fleet.hear(second, 11, 1);
        for _ in 0..20 {
            second += 1;
            fleet.tick(second);
        }
        assert_eq!(fleet.node_state(11), NodeState::Down);
    }
    fleet.hear(second, 11, 1);
    assert_eq!(fleet.node_state(11), NodeState::Down);
    assert_eq!(fleet.leader.counters().returns_damped, 1);
    fleet.hear(second + 10, 11, 1);
    assert_eq!(fleet.node_state(11), NodeState::Live);
}

#[test]
fn a_node_lags_until_it_reports_the_version_itself() {
    let mut fleet = Fleet::new();
    fleet.hear(0, 11, 1);
    let old = fleet.state.position();
    fleet.change(1, "a", "first");
    assert_eq!(fleet.lagging(1), [NodeId(11)]);
    fleet.hear_with(2, 11, 1, old);
    assert_eq!(fleet.lagging(2), [NodeId(11)]);
    fleet.hear(3, 11, 1);
    assert_eq!(fleet.lagging(3), []);
    fleet.hear_with(4, 11, 1, old);
    assert_eq!(fleet.lagging(4), [], "a late report takes nothing back");
}

/// Node 11 falls silent at 10 s; a change comes at 14 s, when it is not known to be down. Says who lags at times.
fn lagging_after_silence(first_tree: &str, seconds: &[u64]) -> Vec<usize> {
    let mut fleet = Fleet::new();
    fleet.change(0, "a", first_tree);
    for second in 0..=10 {
        fleet.hear(second, 11, 1);
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
fn a_node_that_is_down_lags_until_every_older_lease_has_run_out() {
    // Down from 17 s on; a lease given just before the change lasts until 24.5 s by the leader's clock.
    assert_eq!(
        lagging_after_silence("first", &[16, 18, 24, 25]),
        [1, 1, 1, 0]
    );
}

#[test]
fn a_node_that_may_go_on_when_cut_off_lags_for_as_long_as_it_is_away() {
    assert_eq!(lagging_after_silence(CONTINUING, &[18, 25, 40]), [1, 1, 1]);
}

#[test]
fn a_version_that_was_not_accepted_can_not_be_waited_for() {
    let mut fleet = Fleet::new();
    let reply = fleet.ask(0, ControlRequest::Lagging(SettingsVersion(1)));
    assert_eq!(error_of(reply).code, ErrorCode::NotFound);
}

#[test]
fn a_faulty_tree_is_refused_with_all_its_faults_and_not_proposed() {
    let mut fleet = Fleet::new();
    let error = error_of(fleet.change(0, "a", FAULTY));
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(error.message.lines().count(), 2);
    assert_eq!(fleet.leader.counters().settings_proposed, 0);
}

#[test]
fn a_change_sent_again_gets_its_first_answer_without_a_proposal() {
    let mut fleet = Fleet::new();
    let change = SettingsChange {
        expected_version: SettingsVersion(0),
        change_id: "a".into(),
        tree: "first".to_owned(),
        author: "ada".to_owned(),
    };
    let request = ControlRequest::ApplySettings(change);
    let first = fleet.ask(0, request.clone());
    assert!(matches!(first, Some(ControlReply::Settings(_))));
    assert_eq!(fleet.ask(5, request), first);
    assert_eq!(fleet.leader.counters().settings_proposed, 1);
}

#[test]
fn askers_hear_of_a_lost_leadership_that_their_change_may_have_run() {
    let mut fleet = Fleet::new();
    fleet.held_back = true;
    assert_eq!(fleet.change(0, "a", "first"), None);
    let following = LeaderRole::Following(Some(NodeId(2)));
    let outputs = fleet.leader.on_role_change(at(1), following, &fleet.state);
    let replies = fleet.carry_out(1, outputs);
    assert_eq!(
        error_of(replies.into_iter().next()).verdict,
        Verdict::MayHaveRun
    );
    let leader = Some(NodeId(2));
    assert_eq!(
        fleet.hear(2, 11, 1),
        Some(ControlReply::NotLeader { leader })
    );
}

#[test]
fn a_proposal_that_is_never_applied_is_given_up() {
    let mut fleet = Fleet::new();
    fleet.tick(0);
    fleet.held_back = true;
    fleet.change(0, "a", "first");
    let outputs = fleet.leader.tick(at(10), &fleet.state);
    assert!(fleet.carry_out(10, outputs).is_empty());
    let outputs = fleet.leader.tick(at(11), &fleet.state);
    let replies = fleet.carry_out(11, outputs);
    assert_eq!(
        error_of(replies.into_iter().next()).verdict,
        Verdict::MayHaveRun
    );
    assert_eq!(fleet.leader.counters().proposals_lost, 1);
}

#[test]
fn a_proposal_of_another_controller_answers_nobody_here() {
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
    let replies = fleet.carry_out(0, vec![LeaderOutput::Propose(command)]);
    assert!(replies.is_empty());
    assert!(fleet.state.map().members.contains_key(&NodeId(11)));
}

#[test]
fn the_fleet_is_configured_once() {
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
fn a_list_of_engines_that_is_in_force_is_not_proposed_again() {
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
        assert_eq!(fleet.ask(0, request), Some(ControlReply::Done));
        assert_eq!(fleet.index, proposals);
    }
}
