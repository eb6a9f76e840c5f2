//! One controller: its replica of the control log, the leader's logic, and the answers still owed.
//!
//! Calls that take something in only change memory; [`Controller::settle`] writes to the disk, so that one flush
//! serves all that came in since the last one. A controller whose disk failed leads nothing and answers every request
//! with "not the leader"; its node goes on without it.

use std::{collections::BTreeMap, time::Duration};

use courseshed_consensus::{GroupError, LogStorage, Message, PeerConfig, ReplicatedGroup, Term};
use courseshed_control::{
    CommandOrigin, ControlCommand, ControlLeader, ControlState, LeaderOptions, LeaderOutput,
    LeaderRole, RequestToken, TreeCompiler,
};
use courseshed_settings::tree::compile_text;
use courseshed_transport::ReplySender;
use courseshed_types::{
    NodeId, PolicySnapshot, SettingsVersion, Timestamp,
    control::{ControlReply, ControlRequest},
};

use crate::{
    control::{founding::ControlLogState, machine::ControlMachine, tasks::ControllerStatus},
    protocol::{NodeProtocol, NodeReply},
    shards::StepTime,
};

/// Time between two ticks of the leader's logic, which looks at every node; the log ticks more often.
const LOGIC_TICK: Duration = Duration::from_millis(100);

/// Compiles trees with the checks that the client makes too.
#[derive(Debug, Clone, Copy)]
pub struct SettingsCompiler;

impl TreeCompiler for SettingsCompiler {
    fn compile(&self, tree: &str, version: SettingsVersion) -> Result<PolicySnapshot, Vec<String>> {
        let compiled = compile_text(tree, version);
        compiled.map_err(|problems| problems.iter().map(ToString::to_string).collect())
    }
}

/// One controller.
pub struct Controller<S: LogStorage> {
    group: ReplicatedGroup<S, ControlMachine>,
    leader: ControlLeader<SettingsCompiler>,
    node: NodeId,
    role: LeaderRole,
    pending: BTreeMap<RequestToken, ReplySender<NodeProtocol>>,
    next_token: u64,
    next_logic_tick: Duration,
}

impl<S: LogStorage> Controller<S> {
    /// Opens a controller on its storage.
    ///
    /// # Errors
    /// When the storage can't be used or holds a snapshot that can't be read.
    pub fn open(
        node: NodeId,
        config: PeerConfig,
        storage: S,
        options: LeaderOptions,
        time: StepTime,
    ) -> Result<Controller<S>, GroupError> {
        let machine = ControlMachine::default();
        Ok(Controller {
            group: ReplicatedGroup::new(config, storage, machine, time.elapsed)?,
            leader: ControlLeader::new(node, options, SettingsCompiler, time.now),
            node,
            role: LeaderRole::Following(None),
            pending: BTreeMap::new(),
            next_token: 0,
            next_logic_tick: Duration::ZERO,
        })
    }

    /// The replicated state, as far as applied here.
    pub fn state(&self) -> &ControlState {
        &self.group.machine().state
    }

    /// What the controller says of itself.
    pub fn status(&self) -> ControllerStatus {
        let log = if self.group.term() == Term(0) {
            ControlLogState::Blank
        } else {
            ControlLogState::Established
        };
        let peer = self.group.status();
        let failed = self.group.failure().is_some();
        ControllerStatus {
            log,
            leads: self.group.is_leader(),
            votes: !failed && peer.configuration.is_voter(peer.address),
            failed,
        }
    }

    /// The part this controller plays.
    pub fn role(&self) -> LeaderRole {
        self.role
    }

    /// Takes in a message of another controller.
    pub fn handle(&mut self, time: StepTime, message: Message) {
        self.group.handle(time.elapsed, message);
    }

    /// Takes in a request; its answer is sent now or by a later [`Controller::settle`].
    ///
    /// To be called only when everything taken in before is settled, since answers rely on the state being the newest.
    pub fn request(
        &mut self,
        time: StepTime,
        request: ControlRequest,
        reply: ReplySender<NodeProtocol>,
    ) {
        self.next_token += 1;
        let token = RequestToken(self.next_token);
        self.pending.insert(token, reply);
        self.extend_read_lease(time);
        let outputs = self
            .leader
            .on_request(time.now, token, request, &self.group.machine().state);
        self.execute(time, outputs);
    }

    /// Lets time pass.
    pub fn tick(&mut self, time: StepTime) {
        self.group.tick(time.elapsed);
        if time.elapsed < self.next_logic_tick {
            return;
        }
        self.next_logic_tick = time.elapsed + LOGIC_TICK;
        let outputs = self.leader.tick(time.now, &self.group.machine().state);
        self.execute(time, outputs);
        self.pending.retain(|_, reply| !reply.is_closed());
    }

    /// Writes what was taken in, applies what is committed, answers, and gives the messages to send.
    pub fn settle(&mut self, time: StepTime) -> Vec<Message> {
        let mut messages = Vec::new();
        loop {
            let outputs = self.group.take_outputs();
            messages.extend(outputs.messages);
            let state = &self.group.machine().state;
            let mut produced = Vec::new();
            for applied in &outputs.applied {
                produced.extend(self.leader.on_applied(time.now, &applied.output, state));
            }
            produced.extend(self.follow_role(time.now));
            if produced.is_empty() {
                return messages;
            }
            self.execute(time, produced);
        }
    }

    /// Hands leadership to the follower that has most of the log, if this controller leads and there is one.
    pub fn hand_over(&mut self, time: StepTime) {
        if !self.group.is_leader() {
            return;
        }
        let peer = self.group.status();
        let voters = peer
            .followers
            .iter()
            .filter(|follower| peer.configuration.voters().any(|id| id == follower.replica));
        let Some(successor) = voters.max_by_key(|follower| follower.matched) else {
            return;
        };
        let handed = self
            .group
            .transfer_leadership(time.elapsed, successor.replica);
        if let Err(error) = handed {
            log::debug!("the controller can't hand over: {error}");
        }
    }

    /// Why the controller stopped, if it did.
    pub fn failure(&self) -> Option<&GroupError> {
        self.group.failure()
    }

    /// The guarantee of the log is asked for at each request instead of being handed over with its end, since it is
    /// kept on the log's own clock.
    fn extend_read_lease(&mut self, time: StepTime) {
        let holds = self.group.lease_valid(time.elapsed);
        let until = if holds {
            Timestamp(time.now.0 + 1)
        } else {
            Timestamp::ZERO
        };
        self.leader.extend_read_lease(until);
    }

    fn follow_role(&mut self, now: Timestamp) -> Vec<LeaderOutput> {
        let leads_on = self.role == LeaderRole::Leading && self.group.is_leader();
        let role = if self.group.is_established() || leads_on {
            LeaderRole::Leading
        } else {
            let leader = self.group.leader().map(|id| NodeId(id.0 as u32));
            let other = leader.filter(|leader| *leader != self.node);
            LeaderRole::Following(other.filter(|_| self.group.failure().is_none()))
        };
        if role == self.role {
            return Vec::new();
        }
        log::info!(role:? = role, term = self.group.term().0; "controller role changed");
        self.role = role;
        self.leader
            .on_role_change(now, role, &self.group.machine().state)
    }

    fn execute(&mut self, time: StepTime, outputs: Vec<LeaderOutput>) {
        for output in outputs {
            match output {
                LeaderOutput::Propose(command) => self.propose(time, &command),
                LeaderOutput::Reply { token, reply } => self.answer(token, *reply),
            }
        }
    }

    fn propose(&mut self, time: StepTime, command: &ControlCommand) {
        let proposed = match command.encode() {
            Ok(bytes) => self.group.propose(time.elapsed, bytes).is_ok(),
            Err(error) => {
                log::error!("{error}");
                false
            }
        };
        if !proposed {
            self.refuse(command.origin);
        }
    }

    fn refuse(&mut self, origin: CommandOrigin) {
        for output in self.leader.on_not_proposed(origin) {
            if let LeaderOutput::Reply { token, reply } = output {
                self.answer(token, *reply);
            }
        }
    }

    fn answer(&mut self, token: RequestToken, reply: ControlReply) {
        if let Some(pending) = self.pending.remove(&token) {
            pending.send(NodeReply::Control(Box::new(reply)));
        }
    }
}
