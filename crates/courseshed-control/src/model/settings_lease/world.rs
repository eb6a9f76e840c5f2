//! The world: controllers, nodes, what is under way between them, operators and an observer.

use std::{collections::BTreeMap, hash::Hasher, sync::Arc, time::Duration};

use courseshed_programs::model::search::World;
use courseshed_types::{
    ChangeId, NodeId, SettingsVersion, Timestamp, Verdict,
    control::{ControlReply, ControlRequest, NodeState, SettingsChange},
};
use xxhash_rust::xxh3::Xxh3;

use super::{
    controllers::{Answer, Controllers},
    node::ModelNode,
    scenario::{Bounds, Defect, Scenario},
};
use crate::{RequestToken, ViewOutput};

const START: Timestamp = Timestamp::from_millis(100_000);
const SECOND: Duration = Duration::from_secs(1);
/// Nodes have ids from here on; below are the controllers.
const FIRST_NODE: u32 = 11;
/// Steps until the fleet is up and quiet.
const WARM_UP: u32 = 8;
/// Messages of a node under way at once; an older one is lost.
const MESSAGES_OF_NODE: usize = 2;
/// Tokens of operators' requests; those of nodes are below.
const OPERATOR_TOKENS: u64 = 1 << 32;

/// A message under way.
#[derive(Debug, Clone, PartialEq)]
enum Wire {
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

impl Wire {
    /// The node that asked.
    fn node(&self) -> NodeId {
        match self {
            Wire::Request { from, .. } => *from,
            Wire::Reply { to, .. } => *to,
        }
    }
}

/// Who waits for an answer of a controller.
#[derive(Debug, Clone)]
struct Asker {
    node: NodeId,
    number: u64,
    sent_at: Timestamp,
}

/// What an operator was told of a change.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Told {
    Accepted(ChangeId, SettingsVersion),
    Refused(ChangeId),
}

/// One state.
#[derive(Debug, Clone)]
pub(super) struct SettingsWorld {
    scenario: Arc<Scenario>,
    defect: Defect,
    now: Timestamp,
    controllers: Controllers,
    nodes: Vec<ModelNode>,
    network: Vec<Wire>,
    askers: BTreeMap<RequestToken, Asker>,
    changes_asked: BTreeMap<RequestToken, ChangeId>,
    next_token: u64,
    left: Bounds,
    accepted: BTreeMap<SettingsVersion, Timestamp>,
    told: Vec<Told>,
    /// The newest version that an operator was told to be in force everywhere.
    everywhere: SettingsVersion,
    broken: Option<&'static str>,
}

impl SettingsWorld {
    pub fn new(scenario: &Scenario, defect: Defect) -> SettingsWorld {
        let nodes = (0..scenario.nodes).map(|node| ModelNode::new(NodeId(FIRST_NODE + node)));
        let mut world = SettingsWorld {
            nodes: nodes.collect(),
            left: scenario.bounds,
            scenario: Arc::new(scenario.clone()),
            defect: Defect::None,
            now: START,
            controllers: Controllers::new(
                START,
                Duration::from_secs(scenario.lease),
                scenario.down_after(),
            ),
            network: Vec::new(),
            askers: BTreeMap::new(),
            changes_asked: BTreeMap::new(),
            next_token: 0,
            accepted: BTreeMap::new(),
            told: Vec::new(),
            everywhere: SettingsVersion(0),
            broken: None,
        };
        world.warm_up();
        world.defect = defect;
        world.controllers.defect = defect;
        world
    }

    /// Registers the nodes, accepts a first version and lets it reach all, in the obvious order.
    fn warm_up(&mut self) {
        self.submit(0);
        for _ in 0..WARM_UP {
            self.pass_second();
            self.settle();
        }
        self.told.clear();
        for node in &mut self.nodes {
            node.old_file = node.view.to_save();
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

    fn pass_second(&mut self) {
        self.now += SECOND;
        self.controllers.tick(self.now);
        for place in 0..self.nodes.len() {
            let outputs = self.nodes[place].view.tick(self.now);
            self.send_all(place, outputs);
        }
    }

    fn send_all(&mut self, place: usize, outputs: Vec<ViewOutput>) {
        for output in outputs {
            if let ViewOutput::Send {
                number,
                target,
                request,
            } = output
            {
                self.send(Wire::Request {
                    from: self.nodes[place].id,
                    to: target.node,
                    number,
                    sent_at: self.now,
                    request,
                });
            }
        }
    }

    fn send(&mut self, message: Wire) {
        let node = message.node();
        self.network.push(message);
        let of_node = |message: &Wire| message.node() == node;
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

    fn deliver(&mut self, place: usize) {
        match self.network.remove(place) {
            Wire::Request {
                from,
                to,
                number,
                sent_at,
                request,
            } => {
                let asker = Asker {
                    node: from,
                    number,
                    sent_at,
                };
                self.on_request(asker, to, request);
            }
            Wire::Reply {
                to,
                number,
                sent_at,
                reply,
            } => self.on_reply(to, number, sent_at, reply),
        }
    }

    fn on_request(&mut self, asker: Asker, to: NodeId, request: ControlRequest) {
        let controller = self
            .controllers
            .all
            .iter()
            .position(|controller| controller.node == to);
        if let Some(place) = controller {
            self.next_token += 1;
            let token = RequestToken(self.next_token);
            self.askers.insert(token, asker);
            let answers = self.controllers.request(self.now, place, token, request);
            self.send_answers(answers);
            return;
        }
        let relay = self.nodes.iter_mut().find(|node| node.id == to);
        let reply = relay.and_then(|relay| relay.view.on_request(self.now, &request));
        if let Some(reply) = reply {
            let reply = self.relayed(reply);
            self.send(reply_to(&asker, reply));
        }
    }

    fn relayed(&self, reply: ControlReply) -> ControlReply {
        match reply {
            ControlReply::Heard {
                position,
                settings_lease,
            } if self.defect == Defect::RelayLeaseInFull && !settings_lease.is_zero() => {
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
            && self.defect == Defect::LeaseFromAnswer
            && !settings_lease.is_zero()
        {
            *settings_lease += self.now.since(sent_at);
        }
        let Some(place) = self.nodes.iter().position(|node| node.id == to) else {
            return;
        };
        let outputs = self.nodes[place].view.on_reply(self.now, number, reply);
        self.send_all(place, outputs);
    }

    fn send_answers(&mut self, answers: Vec<Answer>) {
        for answer in answers {
            if let Some(asker) = self.askers.remove(&answer.token) {
                self.send(reply_to(&asker, answer.reply));
            } else if let Some(change) = self.changes_asked.remove(&answer.token) {
                self.tell(change, &answer.reply);
            }
        }
    }

    /// An operator hears what came of a change.
    fn tell(&mut self, change: ChangeId, reply: &ControlReply) {
        let told = match reply {
            ControlReply::Settings(record) => Told::Accepted(change, record.version),
            ControlReply::Error(error) if error.verdict == Verdict::NotRun => Told::Refused(change),
            _ => return,
        };
        if !self.told.contains(&told) {
            self.told.push(told);
            self.told.sort();
        }
    }

    fn submit(&mut self, number: u8) {
        let expected = u64::from(number > 0);
        let is_copy = self.defect == Defect::ChangeIdForgotten;
        self.next_token += 1;
        let name = format!("change-{number}");
        let unique = format!("{name}-{}", self.next_token);
        let change = SettingsChange {
            expected_version: SettingsVersion(expected),
            change_id: if is_copy {
                unique.into()
            } else {
                name.as_str().into()
            },
            tree: name.clone(),
            author: String::new(),
        };
        let token = RequestToken(OPERATOR_TOKENS + self.next_token);
        self.changes_asked.insert(token, name.into());
        let place = self.controllers.followed;
        let request = ControlRequest::ApplySettings(change);
        let answers = self.controllers.request(self.now, place, token, request);
        self.send_answers(answers);
    }

    fn commit(&mut self) -> bool {
        let Some(answers) = self.controllers.commit(self.now) else {
            return false;
        };
        let version = self.controllers.committed.position().settings;
        self.accepted.entry(version).or_insert(self.now);
        self.send_answers(answers);
        true
    }

    /// An operator asks the leader whether the newest version is in force everywhere.
    fn wait(&mut self) {
        let place = self.controllers.followed;
        let version = self.controllers.all[place].state.position().settings;
        let token = RequestToken(OPERATOR_TOKENS);
        let request = ControlRequest::Lagging(version);
        for answer in self.controllers.request(self.now, place, token, request) {
            if let ControlReply::Lagging(nodes) = answer.reply {
                let map = self.controllers.committed.map();
                let is_down = |node: &NodeId| map.members[node].state == NodeState::Down;
                let forgets = self.defect == Defect::WaitForgetsLeases;
                if nodes.iter().all(|node| forgets && is_down(node)) {
                    self.everywhere = self.everywhere.max(version);
                }
            }
        }
    }

    fn lease(&self) -> Duration {
        Duration::from_secs(self.scenario.lease)
    }

    /// The observer looks at what every node acts on.
    fn observe(&mut self) {
        let lease = self.lease();
        for node in &mut self.nodes {
            let Some(version) = node.acts_on(self.now, self.defect) else {
                continue;
            };
            if node.acted_on.is_some_and(|before| version < before) {
                self.broken = Some("no start of a node acts on an older version than before");
            }
            if version < self.everywhere {
                self.broken = Some("wait is true: no node acts on an older version afterwards");
            }
            let next = SettingsVersion(version.0 + 1);
            let superseded = self.accepted.range(next..).next();
            if superseded.is_some_and(|(_, at)| self.now >= *at + lease) {
                self.broken = Some("no node acts on a version superseded a lease ago");
            }
            node.acted_on = node.acted_on.max(Some(version));
        }
    }

    fn told_violation(&self) -> Option<&'static str> {
        let committed = self.controllers.committed.settings();
        let record_of = |change: &ChangeId| {
            let mut records = committed.latest(usize::MAX);
            records.find(|record| *record.tree == *change.as_str())
        };
        for told in &self.told {
            match told {
                Told::Accepted(change, version) => {
                    if record_of(change).map(|record| record.version) != Some(*version) {
                        return Some("a change told to be accepted is committed as told");
                    }
                }
                Told::Refused(change) => {
                    if record_of(change).is_some() {
                        return Some("a change told to be refused is never committed");
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
        for (place, message) in self.network.iter().enumerate() {
            step(format!("deliver {message:?}"), &|world| {
                world.deliver(place);
                true
            });
        }
        step("a second passes".to_owned(), &|world| {
            spend(&mut world.left.seconds) && {
                world.pass_second();
                true
            }
        });
        step("a quorum has the next proposal".to_owned(), &|world| {
            world.commit()
        });
        step("an operator submits the next change".to_owned(), &|world| {
            let number = world.scenario.bounds.changes - world.left.changes + 1;
            spend(&mut world.left.changes) && {
                world.submit(number);
                true
            }
        });
        step(
            "an operator sends the first change again".to_owned(),
            &|world| {
                let is_sent = world.left.changes < world.scenario.bounds.changes;
                is_sent && spend(&mut world.left.resends) && {
                    world.submit(1);
                    true
                }
            },
        );
        step("an operator waits".to_owned(), &|world| {
            spend(&mut world.left.waits) && {
                world.wait();
                true
            }
        });
        step("the leader loses its quorum".to_owned(), &|world| {
            world.controllers.has_quorum && spend(&mut world.left.leader_changes) && {
                world.controllers.lose_quorum();
                true
            }
        });
        step("the other controller is elected".to_owned(), &|world| {
            world.controllers.elect(world.now)
        });
        for place in 0..self.nodes.len() {
            let files = [
                self.nodes[place].old_file.clone(),
                self.nodes[place].view.to_save(),
            ];
            for file in files {
                step(format!("node {place} restarts"), &|world| {
                    spend(&mut world.left.restarts) && {
                        world.nodes[place].restart(&file);
                        true
                    }
                });
            }
        }
        next
    }
}

impl SettingsWorld {
    /// Times of proposals and numbers of commands decide nothing here.
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
        hash_debug(&(controllers.followed, controllers.has_quorum), hasher);
        let records = controllers.committed.settings().latest(usize::MAX);
        let changes: Vec<_> = records
            .map(|record| (record.version, &record.change_id))
            .collect();
        let members: Vec<_> = controllers.committed.map().members.values().collect();
        hash_debug(&(changes, members), hasher);
    }

    /// Of the number of a request only counts whether its answer is still waited for.
    fn message_key(&self, message: &Wire) -> String {
        let awaits = |node: NodeId, number: u64| {
            let mut nodes = self.nodes.iter();
            nodes.any(|found| found.id == node && found.view.is_pending(number))
        };
        match message {
            Wire::Request {
                from,
                to,
                number,
                request,
                ..
            } => format!("{from} {to} {} {request:?}", awaits(*from, *number)),
            Wire::Reply {
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
            hash_debug(&(node.incarnation, node.acted_on), hasher);
        }
        let mut messages: Vec<String> = self
            .network
            .iter()
            .map(|message| self.message_key(message))
            .collect();
        messages.sort();
        hash_debug(&messages, hasher);
        hash_debug(&(self.now, self.left, &self.told, self.everywhere), hasher);
        let changes: Vec<&ChangeId> = self.changes_asked.values().collect();
        hash_debug(&(&self.accepted, changes), hasher);
    }

    fn successors(&self) -> Vec<(String, SettingsWorld)> {
        self.steps()
    }

    fn violation(&self) -> Option<&'static str> {
        self.broken.or_else(|| self.told_violation())
    }
}

fn spend(left: &mut u8) -> bool {
    let spends = *left > 0;
    *left -= u8::from(spends);
    spends
}

fn reply_to(asker: &Asker, reply: ControlReply) -> Wire {
    Wire::Reply {
        to: asker.node,
        number: asker.number,
        sent_at: asker.sent_at,
        reply,
    }
}

fn hash_debug(value: &impl std::fmt::Debug, hasher: &mut Xxh3) {
    hasher.write(format!("{value:?}").as_bytes());
}
