//! Founding, a controller whose disk fails, and the list of engines.

use std::{collections::BTreeMap, time::Duration};

use courseshed_consensus::{
    Configuration, DiskFault, FaultSwitch, FaultyLog, GroupId, PeerConfig, ReplicaAddress,
    ReplicaId, VolatileLog,
};
use courseshed_control::LeaderOptions;
use courseshed_settings::{NodeSettings, Overrides};
use courseshed_transport::ReplySender;
use courseshed_types::{
    EngineId, NodeId, SettingsVersion, Timestamp, Verdict,
    control::{ControlReply, ControlRequest, SettingsChange},
    dispatch::{EngineMember, EngineState},
};
use yare::parameterized;

use super::{
    controller::Controller,
    engine_list::merge,
    founding::{ControlLogState, Decision, decide},
};
use crate::{protocol::NodeReply, shards::StepTime};

#[parameterized(
    alone = { &[], &[], Decision::Found },
    all_empty = { &[2, 3], &[(2, ControlLogState::Empty), (3, ControlLogState::Empty)], Decision::Found },
    one_has_founded = { &[2, 3], &[(2, ControlLogState::Blank), (3, ControlLogState::Empty)], Decision::Found },
    one_is_silent = { &[2, 3], &[(2, ControlLogState::Empty)], Decision::Wait },
    one_knows_the_group = { &[2, 3], &[(3, ControlLogState::Established)], Decision::Join },
)]
fn an_empty_folder_founds_only_when_no_controller_can_know_the_group(
    others: &[u32],
    answers: &[(u32, ControlLogState)],
    expected: Decision,
) {
    let others: Vec<NodeId> = others.iter().copied().map(NodeId).collect();
    let answers = answers.iter().map(|(node, state)| (NodeId(*node), *state));
    assert_eq!(decide(&others, &answers.collect()), expected);
}

const NODE: NodeId = NodeId(1);

struct Lone {
    controller: Controller<FaultyLog<VolatileLog>>,
    switch: FaultSwitch,
    elapsed: Duration,
}

impl Lone {
    fn open() -> Lone {
        let address = ReplicaAddress::new(ReplicaId(1), 1);
        let founders = Configuration::of_voters([address]);
        let config = PeerConfig::new(GroupId(1), address, founders);
        let switch = FaultSwitch::default();
        let storage = FaultyLog::new(VolatileLog, switch.clone());
        let elapsed = Duration::ZERO;
        let opened = Controller::open(
            NODE,
            config,
            storage,
            LeaderOptions::default(),
            time_of(elapsed),
        );
        Lone {
            controller: opened.expect("opened"),
            switch,
            elapsed,
        }
    }

    fn run_for(&mut self, span: Duration) {
        let until = self.elapsed + span;
        while self.elapsed < until {
            self.elapsed += Duration::from_millis(50);
            let time = time_of(self.elapsed);
            self.controller.tick(time);
            self.controller.settle(time);
        }
    }

    /// The answer to a change of the settings, if one came.
    fn change(&mut self, expected: u64) -> Option<ControlReply> {
        let (sender, mut receiver) = ReplySender::channel();
        let change = SettingsChange {
            expected_version: SettingsVersion(expected),
            change_id: format!("change-{expected}").into(),
            author: String::new(),
            tree: String::new(),
        };
        let time = time_of(self.elapsed);
        let request = ControlRequest::ApplySettings(change);
        self.controller.request(time, request, sender);
        self.controller.settle(time);
        match receiver.try_recv() {
            Ok(NodeReply::Control(reply)) => Some(*reply),
            _ => None,
        }
    }
}

fn time_of(elapsed: Duration) -> StepTime {
    StepTime {
        now: Timestamp(1_000_000_000 + elapsed.as_micros() as u64),
        elapsed,
    }
}

#[parameterized(full = { DiskFault::Full }, failing = { DiskFault::Torn })]
fn a_controller_whose_disk_fails_steps_down_and_promises_nothing(fault: DiskFault) {
    let mut lone = Lone::open();
    lone.run_for(Duration::from_secs(3));
    assert!(lone.controller.status().leads);
    let accepted = lone.change(0);
    assert!(
        matches!(accepted, Some(ControlReply::Settings(_))),
        "{accepted:?}"
    );

    lone.switch.set(fault);
    let answer = lone.change(1);
    let may_have_run = matches!(&answer, Some(ControlReply::Error(error))
        if error.verdict == Verdict::MayHaveRun);
    assert!(may_have_run, "{answer:?}");
    let status = lone.controller.status();
    assert!(status.failed && !status.leads && !status.votes);
    lone.run_for(Duration::from_secs(3));
    let refused = lone.change(1);
    assert_eq!(refused, Some(ControlReply::NotLeader { leader: None }));
}

const ENGINES: &str = r#"
node_id = 1
region = "south"
zone = "south-a"
listen = "127.0.0.1:7700"
peer_listen = "127.0.0.1:7701"
roles = ["controller"]
data_dir = "unused"

[[engines]]
id = "configured"
address = "127.0.0.1:7801"
models = ["base"]
region = "south"
zone = "south-a"
"#;

fn listed(engine: &str, state: EngineState) -> EngineMember {
    EngineMember {
        engine: EngineId::from(engine),
        address: "127.0.0.1:7801".to_owned(),
        region: "south".into(),
        zone: "south-a".into(),
        models: Vec::new(),
        state,
    }
}

#[parameterized(
    of_the_file_alone = { &[], &[], &[("configured", EngineState::Live)] },
    overridden = {
        &[("configured", EngineState::Leaving)], &[], &[("configured", EngineState::Leaving)]
    },
    missing_after_it_left = {
        &[], &[("configured", EngineState::Leaving)], &[("configured", EngineState::Leaving)]
    },
    of_the_list_alone = {
        &[("extra", EngineState::Live)], &[],
        &[("configured", EngineState::Live), ("extra", EngineState::Live)]
    },
)]
fn the_list_overrides_the_file(
    list: &[(&str, EngineState)],
    before: &[(&str, EngineState)],
    expected: &[(&str, EngineState)],
) {
    let settings = NodeSettings::parse(ENGINES, "node.toml", Overrides::default()).expect("valid");
    let list: Vec<EngineMember> = list.iter().map(|(id, state)| listed(id, *state)).collect();
    let before: BTreeMap<EngineId, EngineState> = before
        .iter()
        .map(|(id, state)| (EngineId::from(*id), *state))
        .collect();
    let merged = merge(&settings, &list, &before);
    let seen: Vec<_> = merged
        .iter()
        .map(|member| (member.engine.as_str(), member.state))
        .collect();
    assert_eq!(seen, expected);
    assert_eq!(
        merged[0].models.len(),
        1,
        "the file says which models the engine serves"
    );
}
