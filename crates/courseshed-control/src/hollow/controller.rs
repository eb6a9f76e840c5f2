//! A controller of the hollow fleet: the replicated log with the control state in it, and the leader's logic.

use std::{collections::BTreeMap, time::Duration};

use courseshed_consensus::{
    Configuration, GroupId, Message, PeerConfig, ReplicaAddress, ReplicaId, ReplicatedGroup,
};
use courseshed_settings::tree::compile_text;
use courseshed_types::{
    NodeId, PolicySnapshot, SettingsVersion, Timestamp,
    control::{ControlReply, ControlRequest},
};

use super::{disk::MemoryDisk, machine::ControlMachine, traffic::Mechanism, wire::mechanism_of};
use crate::{
    ControlLeader, ControlState, LOG_ENTRIES_RETAINED, LeaderOptions, LeaderOutput, LeaderRole,
    RequestToken,
};

/// The group of the controllers.
const GROUP: GroupId = GroupId(0);
/// A replica with a disk keeps its incarnation.
const INCARNATION: u64 = 1;
/// A request is passed in at a time at which the log's lease holds; it holds for that instant.
const LEASE_STEP: Duration = Duration::from_micros(1);

type Compiler = fn(&str, SettingsVersion) -> Result<PolicySnapshot, Vec<String>>;
type Group = ReplicatedGroup<MemoryDisk, ControlMachine>;

/// What a controller sends.
#[derive(Debug)]
pub(super) enum ControllerOutput {
    Log { to: NodeId, message: Message },
    Reply { asker: Asker, reply: ControlReply },
}

/// Who waits for an answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Asker {
    pub node: NodeId,
    pub request: u64,
    pub mechanism: Mechanism,
}

/// One controller.
#[derive(Debug)]
pub(super) struct Controller {
    group: Group,
    leader: ControlLeader<Compiler>,
    role: LeaderRole,
    askers: BTreeMap<RequestToken, Asker>,
    next_token: u64,
}

impl Controller {
    pub fn start(
        node: NodeId,
        controllers: u32,
        disk: MemoryDisk,
        options: LeaderOptions,
        now: Timestamp,
    ) -> Controller {
        let address = |id: u32| ReplicaAddress::new(ReplicaId(u64::from(id)), INCARNATION);
        let members = Configuration::of_voters((1..=controllers).map(address));
        let mut config = PeerConfig::new(GROUP, address(node.0), members);
        config.retained_entries = LOG_ENTRIES_RETAINED;
        config.seed = u64::from(node.0) ^ now.0;
        let group = Group::new(config, disk, ControlMachine::default(), since_origin(now));
        Controller {
            group: group
                .expect("the defaults are sound, and what the disk holds was written by them"),
            leader: ControlLeader::new(node, options, compile, now),
            role: LeaderRole::Following(None),
            askers: BTreeMap::new(),
            next_token: 0,
        }
    }

    pub fn into_disk(self) -> MemoryDisk {
        self.group.into_storage()
    }

    pub fn leads(&self, now: Timestamp) -> bool {
        self.leader.leads() && self.group.lease_valid(since_origin(now))
    }

    pub fn state(&self) -> &ControlState {
        &self.group.machine().state
    }

    pub fn tick(&mut self, now: Timestamp) -> Vec<ControllerOutput> {
        self.group.tick(since_origin(now));
        let outputs = self.leader.tick(now, &self.group.machine().state);
        let mut sent = self.execute(now, outputs);
        sent.extend(self.drain(now));
        sent
    }

    pub fn on_log(&mut self, now: Timestamp, message: Message) -> Vec<ControllerOutput> {
        self.group.handle(since_origin(now), message);
        self.drain(now)
    }

    pub fn on_request(
        &mut self,
        now: Timestamp,
        node: NodeId,
        request_id: u64,
        request: ControlRequest,
    ) -> Vec<ControllerOutput> {
        self.next_token += 1;
        let token = RequestToken(self.next_token);
        let asker = Asker {
            node,
            request: request_id,
            mechanism: mechanism_of(&request),
        };
        self.askers.insert(token, asker);
        let holds = self.group.lease_valid(since_origin(now));
        let until = if holds {
            now + LEASE_STEP
        } else {
            Timestamp::ZERO
        };
        self.leader.extend_read_lease(until);
        let state = &self.group.machine().state;
        let outputs = self.leader.on_request(now, token, request, state);
        let mut sent = self.execute(now, outputs);
        sent.extend(self.drain(now));
        sent
    }

    /// Carries out all that came of the log since the last time.
    fn drain(&mut self, now: Timestamp) -> Vec<ControllerOutput> {
        let outputs = self.group.take_outputs();
        let mut sent: Vec<ControllerOutput> = outputs.messages.into_iter().map(to_peer).collect();
        for applied in outputs.applied {
            let state = &self.group.machine().state;
            let answers = self.leader.on_applied(now, &applied.output, state);
            sent.extend(self.execute(now, answers));
        }
        sent.extend(self.follow_role(now));
        sent
    }

    fn follow_role(&mut self, now: Timestamp) -> Vec<ControllerOutput> {
        let role = self.role_now();
        if role == self.role {
            return Vec::new();
        }
        self.role = role;
        let state = &self.group.machine().state;
        let outputs = self.leader.on_role_change(now, role, state);
        self.execute(now, outputs)
    }

    fn role_now(&self) -> LeaderRole {
        let led = self.role == LeaderRole::Leading;
        if self.group.is_leader() && (led || self.group.is_established()) {
            return LeaderRole::Leading;
        }
        let leader = self.group.leader().map(node_of);
        LeaderRole::Following(leader.filter(|_| !self.group.is_leader()))
    }

    fn execute(&mut self, now: Timestamp, outputs: Vec<LeaderOutput>) -> Vec<ControllerOutput> {
        let mut sent = Vec::new();
        for output in outputs {
            match output {
                LeaderOutput::Propose(command) => self.propose(now, &command),
                LeaderOutput::Reply { token, reply } => {
                    let asker = self.askers.remove(&token);
                    sent.extend(asker.map(|asker| ControllerOutput::Reply {
                        asker,
                        reply: *reply,
                    }));
                }
            }
        }
        sent
    }

    /// A proposal that the log refuses is given up by the leader in time.
    fn propose(&mut self, now: Timestamp, command: &crate::ControlCommand) {
        if let Ok(bytes) = command.encode() {
            let _ = self.group.propose(since_origin(now), bytes);
        }
    }
}

fn to_peer(message: Message) -> ControllerOutput {
    ControllerOutput::Log {
        to: node_of(message.to),
        message,
    }
}

fn node_of(replica: ReplicaId) -> NodeId {
    NodeId(u32::try_from(replica.0).unwrap_or(u32::MAX))
}

fn since_origin(now: Timestamp) -> Duration {
    Duration::from_micros(now.0)
}

fn compile(tree: &str, version: SettingsVersion) -> Result<PolicySnapshot, Vec<String>> {
    compile_text(tree, version)
        .map_err(|problems| problems.iter().map(ToString::to_string).collect())
}
