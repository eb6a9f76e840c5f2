//! Model state: controllers, nodes, messages in transit, operators, and the history used by the invariants.

use std::{collections::BTreeMap, hash::Hasher, sync::Arc, time::Duration};

use courseshed_programs::model::search::World;
use courseshed_types::{
    ChangeId, NodeId, SettingsVersion, Timestamp, Verdict,
    control::{ControlReply, ControlRequest, NodeState, SettingsChange},
};
use xxhash_rust::xxh3::Xxh3;

use super::{
    controllers::{ControllerReply, Controllers},
    node::ModelNode,
    scenario::{Bounds, Defect, Scenario},
};
use crate::{RequestToken, ViewOutput};

const START: Timestamp = Timestamp::from_millis(100_000);
const SECOND: Duration = Duration::from_secs(1);
/// Id of the first node; controllers have lower ids.
const FIRST_NODE: u32 = 11;
/// Seconds until all nodes are registered and have the initial settings.
const WARM_UP: u32 = 8;
/// Maximum number of messages in transit per node; older ones are dropped.
const MESSAGES_OF_NODE: usize = 2;
/// Lower bound of operators' request tokens; tokens of nodes are lower.
const OPERATOR_TOKENS: u64 = 1 << 32;

/// A message in transit.
#[derive(Debug, Clone, PartialEq)]
enum Message {
    Request {
        from: NodeId,
        to: NodeId,
        number: u64,
        sent_at: Timestamp,
        request: ControlRequest,
    },
    Reply {
        to: NodeId,
        number: u64,
        sent_at: Timestamp,
        reply: ControlReply,
    },
}

impl Message {
    /// The node that sent the request.
    fn node(&self) -> NodeId {
        match self {
            Message::Request { from, .. } => *from,
            Message::Reply { to, .. } => *to,
        }
    }
}

/// A node waiting for a reply of a controller.
#[derive(Debug, Clone)]
struct PendingRequest {
    node: NodeId,
    number: u64,
    sent_at: Timestamp,
}

/// Result of a change as reported to an operator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum OperatorResult {
    Accepted(ChangeId, SettingsVersion),
    Refused(ChangeId),
}

/// A state of the model.
#[derive(Debug, Clone)]
pub(super) struct SettingsWorld {
    scenario: Arc<Scenario>,
    defect: Defect,
    now: Timestamp,
    controllers: Controllers,
    nodes: Vec<ModelNode>,
    network: Vec<Message>,
    pending_requests: BTreeMap<RequestToken, PendingRequest>,
    pending_changes: BTreeMap<RequestToken, ChangeId>,
    next_token: u64,
    remaining: Bounds,
    accepted: BTreeMap<SettingsVersion, Timestamp>,
    operator_results: Vec<OperatorResult>,
    /// The newest version confirmed to an operator as in force on all nodes.
    confirmed_version: SettingsVersion,
    usage_violation: Option<&'static str>,
}

impl SettingsWorld {
    pub fn new(scenario: &Scenario, defect: Defect) -> SettingsWorld {
        let nodes = (0..scenario.nodes).map(|node| ModelNode::new(NodeId(FIRST_NODE + node)));
        let mut world = SettingsWorld {
            nodes: nodes.collect(),
            remaining: scenario.bounds,
            scenario: Arc::new(scenario.clone()),
            defect: Defect::None,
            now: START,
            controllers: Controllers::new(
                START,
                Duration::from_secs(scenario.lease),
                scenario.down_after(),
            ),
            network: Vec::new(),
            pending_requests: BTreeMap::new(),
            pending_changes: BTreeMap::new(),
            next_token: 0,
            accepted: BTreeMap::new(),
            operator_results: Vec::new(),
            confirmed_version: SettingsVersion(0),
            usage_violation: None,
        };
        world.warm_up();
        world.defect = defect;
        world.controllers.defect = defect;
        world
    }

    /// Registers the nodes and distributes the first settings version, without faults.
    fn warm_up(&mut self) {
        self.submit(0);
        for _ in 0..WARM_UP {
            self.advance_second();
            self.settle();
        }
        self.operator_results.clear();
        for node in &mut self.nodes {
            node.initial_saved_state = node.view.to_save();
        }
    }

    fn settle(&mut self) {
        loop {
            if !self.network.is_empty() {
                self.deliver(0);
            } else if !self.commit() {
                return;
            }
        }
    }

    fn advance_second(&mut self) {
        self.now += SECOND;
        self.controllers.tick(self.now);
        for index in 0..self.nodes.len() {
            let outputs = self.nodes[index].view.tick(self.now);
            self.send_all(index, outputs);
        }
    }

    fn send_all(&mut self, index: usize, outputs: Vec<ViewOutput>) {
        for output in outputs {
            if let ViewOutput::Send {
                number,
                target,
                request,
            } = output
            {
                self.send(Message::Request {
                    from: self.nodes[index].id,
                    to: target.node,
                    number,
                    sent_at: self.now,
                    request,
                });
            }
        }
    }

    fn send(&mut self, message: Message) {
        let node = message.node();
        self.network.push(message);
        let of_node = |message: &Message| message.node() == node;
        if self
            .network
            .iter()
            .filter(|message| of_node(message))
            .count()
            > MESSAGES_OF_NODE
            && let Some(oldest) = self.network.iter().position(of_node)
        {
            self.network.remove(oldest);
        }
    }

    fn deliver(&mut self, index: usize) {
        match self.network.remove(index) {
            Message::Request {
                from,
                to,
                number,
                sent_at,
                request,
            } => {
                let pending_request = PendingRequest {
                    node: from,
                    number,
                    sent_at,
                };
                self.on_request(pending_request, to, request);
            }
            Message::Reply {
                to,
                number,
                sent_at,
                reply,
            } => self.on_reply(to, number, sent_at, reply),
        }
    }

    fn on_request(&mut self, pending_request: PendingRequest, to: NodeId, request: ControlRequest) {
        let controller = self
            .controllers
            .all
            .iter()
            .position(|controller| controller.node == to);
        if let Some(index) = controller {
            self.next_token += 1;
            let token = RequestToken(self.next_token);
            self.pending_requests.insert(token, pending_request);
            let replies = self.controllers.request(self.now, index, token, request);
            self.send_replies(replies);
            return;
        }
        let relay = self.nodes.iter_mut().find(|node| node.id == to);
        let reply = relay.and_then(|relay| relay.view.on_request(self.now, &request));
        if let Some(reply) = reply {
            let reply = self.apply_relay_defect(reply);
            self.send(reply_to(&pending_request, reply));
        }
    }

    fn apply_relay_defect(&self, reply: ControlReply) -> ControlReply {
        match reply {
            ControlReply::Heard {
                position,
                settings_lease,
            } if self.defect == Defect::RelayGrantsFullLease && !settings_lease.is_zero() => {
                ControlReply::Heard {
                    position,
                    settings_lease: self.lease(),
                }
            }
            other => other,
        }
    }

    fn on_reply(&mut self, to: NodeId, number: u64, sent_at: Timestamp, mut reply: ControlReply) {
        if let ControlReply::Heard { settings_lease, .. } = &mut reply
            && self.defect == Defect::LeaseFromReply
            && !settings_lease.is_zero()
        {
            *settings_lease += self.now.since(sent_at);
        }
        let Some(index) = self.nodes.iter().position(|node| node.id == to) else {
            return;
        };
        let outputs = self.nodes[index].view.on_reply(self.now, number, reply);
        self.send_all(index, outputs);
    }

    fn send_replies(&mut self, replies: Vec<ControllerReply>) {
        for reply in replies {
            if let Some(pending_request) = self.pending_requests.remove(&reply.token) {
                self.send(reply_to(&pending_request, reply.reply));
            } else if let Some(change) = self.pending_changes.remove(&reply.token) {
                self.record_result(change, &reply.reply);
            }
        }
    }

    /// Records the result of a change that is reported to an operator.
    fn record_result(&mut self, change: ChangeId, reply: &ControlReply) {
        let result = match reply {
            ControlReply::Settings(record) => OperatorResult::Accepted(change, record.version),
            ControlReply::Error(error) if error.verdict == Verdict::NotRun => {
                OperatorResult::Refused(change)
            }
            _ => return,
        };
        if !self.operator_results.contains(&result) {
            self.operator_results.push(result);
            self.operator_results.sort();
        }
    }

    fn submit(&mut self, number: u8) {
        let expected = u64::from(number > 0);
        let uses_new_id = self.defect == Defect::ChangeIdIgnored;
        self.next_token += 1;
        let name = format!("change-{number}");
        let unique = format!("{name}-{}", self.next_token);
        let change = SettingsChange {
            expected_version: SettingsVersion(expected),
            change_id: if uses_new_id {
                unique.into()
            } else {
                name.as_str().into()
            },
            tree: name.clone(),
            author: String::new(),
        };
        let token = RequestToken(OPERATOR_TOKENS + self.next_token);
        self.pending_changes.insert(token, name.into());
        let index = self.controllers.elected;
        let request = ControlRequest::ApplySettings(change);
        let replies = self.controllers.request(self.now, index, token, request);
        self.send_replies(replies);
    }

    fn commit(&mut self) -> bool {
        let Some(replies) = self.controllers.commit(self.now) else {
            return false;
        };
        let version = self.controllers.committed.position().settings;
        self.accepted.entry(version).or_insert(self.now);
        self.send_replies(replies);
        true
    }

    /// Queries the leader whether the newest version is in force on all nodes.
    fn wait(&mut self) {
        let index = self.controllers.elected;
        let version = self.controllers.all[index].state.position().settings;
        let token = RequestToken(OPERATOR_TOKENS);
        let request = ControlRequest::Lagging(version);
        for reply in self.controllers.request(self.now, index, token, request) {
            if let ControlReply::Lagging(nodes) = reply.reply {
                let map = self.controllers.committed.map();
                let is_down = |node: &NodeId| map.members[node].state == NodeState::Down;
                let ignores_leases = self.defect == Defect::WaitIgnoresLeases;
                if nodes.iter().all(|node| ignores_leases && is_down(node)) {
                    self.confirmed_version = self.confirmed_version.max(version);
                }
            }
        }
    }

    fn lease(&self) -> Duration {
        Duration::from_secs(self.scenario.lease)
    }

    /// Checks the version used by every node against the history.
    fn observe(&mut self) {
        let lease = self.lease();
        for node in &mut self.nodes {
            let Some(version) = node.used_version(self.now, self.defect) else {
                continue;
            };
            if node.newest_used.is_some_and(|before| version < before) {
                self.usage_violation = Some("a node never uses an older version than before");
            }
            if version < self.confirmed_version {
                self.usage_violation =
                    Some("no node uses an older version than one confirmed by wait");
            }
            let next = SettingsVersion(version.0 + 1);
            let superseded = self.accepted.range(next..).next();
            if superseded.is_some_and(|(_, at)| self.now >= *at + lease) {
                self.usage_violation =
                    Some("no node uses a version superseded a lease duration ago");
            }
            node.newest_used = node.newest_used.max(Some(version));
        }
    }

    fn operator_result_violation(&self) -> Option<&'static str> {
        let committed = self.controllers.committed.settings();
        let record_of = |change: &ChangeId| {
            let mut records = committed.latest(usize::MAX);
            records.find(|record| *record.tree == *change.as_str())
        };
        for result in &self.operator_results {
            match result {
                OperatorResult::Accepted(change, version) => {
                    if record_of(change).map(|record| record.version) != Some(*version) {
                        return Some("a change reported as accepted is committed as reported");
                    }
                }
                OperatorResult::Refused(change) => {
                    if record_of(change).is_some() {
                        return Some("a change reported as rejected is never committed");
                    }
                }
            }
        }
        None
    }

    fn steps(&self) -> Vec<(String, SettingsWorld)> {
        let mut next = Vec::new();
        let mut step = |name: String, change: &dyn Fn(&mut SettingsWorld) -> bool| {
            let mut world = self.clone();
            if change(&mut world) {
                world.observe();
                next.push((name, world));
            }
        };
        for (index, message) in self.network.iter().enumerate() {
            step(format!("deliver {message:?}"), &|world| {
                world.deliver(index);
                true
            });
        }
        step("advance time by a second".to_owned(), &|world| {
            spend(&mut world.remaining.seconds) && {
                world.advance_second();
                true
            }
        });
        step("commit the next proposal".to_owned(), &|world| {
            world.commit()
        });
        step("submit the next change".to_owned(), &|world| {
            let number = world.scenario.bounds.changes - world.remaining.changes + 1;
            spend(&mut world.remaining.changes) && {
                world.submit(number);
                true
            }
        });
        step("resend the first change".to_owned(), &|world| {
            let is_sent = world.remaining.changes < world.scenario.bounds.changes;
            is_sent && spend(&mut world.remaining.resends) && {
                world.submit(1);
                true
            }
        });
        step("query lagging nodes".to_owned(), &|world| {
            spend(&mut world.remaining.waits) && {
                world.wait();
                true
            }
        });
        step(
            "partition the leader from its quorum".to_owned(),
            &|world| {
                world.controllers.has_quorum && spend(&mut world.remaining.leader_changes) && {
                    world.controllers.lose_quorum();
                    true
                }
            },
        );
        step("elect the other controller".to_owned(), &|world| {
            world.controllers.elect(world.now)
        });
        for index in 0..self.nodes.len() {
            let saved_states = [
                self.nodes[index].initial_saved_state.clone(),
                self.nodes[index].view.to_save(),
            ];
            for saved_state in saved_states {
                step(format!("restart node {index}"), &|world| {
                    spend(&mut world.remaining.restarts) && {
                        world.nodes[index].restart(&saved_state);
                        true
                    }
                });
            }
        }
        next
    }
}

impl SettingsWorld {
    /// Hashes the controllers; proposal times and command numbers are omitted, because they do not affect behaviour.
    fn hash_controllers(&self, hasher: &mut Xxh3) {
        let controllers = &self.controllers;
        for controller in &controllers.all {
            hash_debug(&controller.leader.reply_state(), hasher);
            if self.scenario.bounds.waits > 0 {
                hash_debug(&controller.leader.heartbeat_state(), hasher);
            }
            let proposals = controller.proposals.iter();
            let proposals: Vec<_> = proposals.map(|command| &command.body).collect();
            hash_debug(&(controller.state.position(), proposals), hasher);
            hash_debug(&controller.lease_until, hasher);
        }
        hash_debug(&(controllers.elected, controllers.has_quorum), hasher);
        let records = controllers.committed.settings().latest(usize::MAX);
        let changes: Vec<_> = records
            .map(|record| (record.version, &record.change_id))
            .collect();
        let members: Vec<_> = controllers.committed.map().members.values().collect();
        hash_debug(&(changes, members), hasher);
    }

    /// Fingerprint of a message; a request number matters only by whether the request is still pending.
    fn message_key(&self, message: &Message) -> String {
        let awaits = |node: NodeId, number: u64| {
            let mut nodes = self.nodes.iter();
            nodes.any(|found| found.id == node && found.view.is_pending(number))
        };
        match message {
            Message::Request {
                from,
                to,
                number,
                request,
                ..
            } => format!("{from} {to} {} {request:?}", awaits(*from, *number)),
            Message::Reply {
                to, number, reply, ..
            } => format!("{to} {} {reply:?}", awaits(*to, *number)),
        }
    }
}

impl World for SettingsWorld {
    fn fingerprint(&self, hasher: &mut Xxh3) {
        self.hash_controllers(hasher);
        for node in &self.nodes {
            hash_debug(&node.view.behavioural_state(), hasher);
            hash_debug(&(node.incarnation, node.newest_used), hasher);
        }
        let mut messages: Vec<String> = self
            .network
            .iter()
            .map(|message| self.message_key(message))
            .collect();
        messages.sort();
        hash_debug(&messages, hasher);
        hash_debug(
            &(
                self.now,
                self.remaining,
                &self.operator_results,
                self.confirmed_version,
            ),
            hasher,
        );
        let changes: Vec<&ChangeId> = self.pending_changes.values().collect();
        hash_debug(&(&self.accepted, changes), hasher);
    }

    fn successors(&self) -> Vec<(String, SettingsWorld)> {
        self.steps()
    }

    fn violation(&self) -> Option<&'static str> {
        self.usage_violation
            .or_else(|| self.operator_result_violation())
    }
}

fn spend(left: &mut u8) -> bool {
    let spends = *left > 0;
    *left -= u8::from(spends);
    spends
}

fn reply_to(pending_request: &PendingRequest, reply: ControlReply) -> Message {
    Message::Reply {
        to: pending_request.node,
        number: pending_request.number,
        sent_at: pending_request.sent_at,
        reply,
    }
}

fn hash_debug(value: &impl std::fmt::Debug, hasher: &mut Xxh3) {
    hasher.write(format!("{value:?}").as_bytes());
}
