//! One node of the hollow fleet.

use std::{collections::BTreeMap, sync::Arc};

use courseshed_types::{
    Incarnation, MapEpoch, NodeId, SettingsVersion, ShardId, Timestamp,
    control::{
        ControlReply, ControlRequest, Member, MemberMap, NodeRole, ShardPlacement, ShardVoter,
        ShardVoters,
    },
};

use super::{
    controller::{Controller, ControllerOutput},
    disk::MemoryDisk,
    grants::GrantClient,
    network::{Delivery, Place},
    options::HollowOptions,
    traffic::{Mechanism, NodeTraffic},
    wire::{Frame, NodeMessage, NodeReply, NodeRequest, mechanism_of},
};
use crate::{ControllerSeed, NodeControlView, ViewOutput, node::LeaseState};

/// Whether a node computes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Power {
    Running,
    /// Stopped with all it holds; what arrives waits.
    Frozen,
    Down,
}

/// What a request of this node was for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    View(u64),
    Grant,
    Voters,
}

/// One node.
#[derive(Debug)]
pub(super) struct HollowNode {
    pub member: Member,
    pub place: Place,
    pub power: Power,
    pub view: NodeControlView,
    pub controller: Option<Controller>,
    pub traffic: NodeTraffic,
    /// What arrived while the node was frozen.
    pub inbox: Vec<Delivery>,
    /// The newest version this start put in force since it was last asked.
    pub changed_to: Option<SettingsVersion>,
    saved: Vec<u8>,
    disk: Option<MemoryDisk>,
    purposes: BTreeMap<u64, Purpose>,
    next_request: u64,
    grants: GrantClient,
    reported: BTreeMap<ShardId, Vec<ShardVoter>>,
    /// The map for which the voters of shards were compared last.
    voters_compared_at: Option<MapEpoch>,
}

impl HollowNode {
    /// A node that was never started.
    pub fn new(member: Member, options: &HollowOptions) -> HollowNode {
        let view = NodeControlView::new(member.clone(), Vec::new(), options.view, None);
        HollowNode {
            place: Place::of(&member),
            power: Power::Down,
            view,
            controller: None,
            traffic: NodeTraffic::default(),
            inbox: Vec::new(),
            changed_to: None,
            saved: Vec::new(),
            disk: Some(MemoryDisk::default()),
            purposes: BTreeMap::new(),
            next_request: 0,
            grants: GrantClient::new(member.node, 0, Timestamp::ZERO),
            reported: BTreeMap::new(),
            voters_compared_at: None,
            member,
        }
    }

    pub fn id(&self) -> NodeId {
        self.member.node
    }

    /// Starts anew, with what was saved before.
    pub fn start(&mut self, now: Timestamp, seeds: &[ControllerSeed], options: &HollowOptions) {
        self.power = Power::Running;
        self.member.incarnation = Incarnation(now.0);
        let saved = Some(self.saved.as_slice()).filter(|bytes| !bytes.is_empty());
        let member = self.member.clone();
        self.view = NodeControlView::new(member, seeds.to_vec(), options.view, saved);
        let is_shard = self.member.roles.contains(&NodeRole::Shard);
        let per_minute = if is_shard {
            options.grants_per_minute
        } else {
            0
        };
        self.grants = GrantClient::new(self.id(), per_minute, now);
        self.purposes.clear();
        self.reported.clear();
        self.voters_compared_at = None;
        if self.member.roles.contains(&NodeRole::Controller) {
            let disk = self.disk.take().unwrap_or_default();
            let controllers = options.controllers;
            let leader = options.leader;
            self.controller = Some(Controller::start(self.id(), controllers, disk, leader, now));
        }
    }

    /// Stops without warning; files stay.
    pub fn stop(&mut self) {
        self.power = Power::Down;
        self.inbox.clear();
        self.disk = self.controller.take().map(Controller::into_disk);
    }

    /// Whether the node has read its settings and acts on them.
    pub fn serves(&self, now: Timestamp) -> bool {
        self.power == Power::Running && self.view.lease(now) != LeaseState::Never
    }

    pub fn tick(&mut self, now: Timestamp) -> Vec<Delivery> {
        let mut sent = Vec::new();
        if let Some(controller) = &mut self.controller {
            let leads = controller.leads(now);
            let outputs = controller.tick(now);
            sent.extend(self.deliver_controller(outputs));
            if leads {
                self.view.set_leader(Some(self.member.node));
            }
        }
        let outputs = self.view.tick(now);
        sent.extend(self.deliver_view(outputs));
        sent.extend(self.tick_grants(now));
        sent.extend(self.report_voters());
        sent
    }

    /// A frame arrived.
    pub fn receive(&mut self, now: Timestamp, from: NodeId, bytes: &[u8]) -> Vec<Delivery> {
        match Frame::decode(bytes) {
            Some(Frame::Message(NodeMessage::ControlLog(message))) => {
                let Some(controller) = &mut self.controller else {
                    return Vec::new();
                };
                let outputs = controller.on_log(now, *message);
                self.deliver_controller(outputs)
            }
            Some(Frame::Request {
                id,
                request: NodeRequest::Control(request),
            }) => self.answer(now, from, id, *request),
            Some(Frame::Reply {
                id,
                reply: NodeReply::Control(reply),
            }) => self.on_reply(now, id, *reply),
            None => Vec::new(),
        }
    }

    fn answer(
        &mut self,
        now: Timestamp,
        from: NodeId,
        id: u64,
        request: ControlRequest,
    ) -> Vec<Delivery> {
        if let Some(controller) = &mut self.controller {
            let outputs = controller.on_request(now, from, id, request);
            return self.deliver_controller(outputs);
        }
        let mechanism = mechanism_of(&request);
        let reply = self.view.on_request(now, &request);
        let reply = reply.unwrap_or(ControlReply::NotLeader { leader: None });
        vec![self.delivery(from, mechanism, &Frame::reply(id, reply))]
    }

    fn on_reply(&mut self, now: Timestamp, id: u64, reply: ControlReply) -> Vec<Delivery> {
        let Some(purpose) = self.purposes.remove(&id) else {
            return Vec::new();
        };
        match purpose {
            Purpose::View(number) => {
                let outputs = self.view.on_reply(now, number, reply);
                self.deliver_view(outputs)
            }
            Purpose::Grant => {
                self.learn_leader(&reply);
                let next = self.grants.on_reply(now, &reply);
                next.and_then(|request| self.ask_controller(Purpose::Grant, request))
                    .into_iter()
                    .collect()
            }
            Purpose::Voters => {
                self.learn_leader(&reply);
                if !matches!(reply, ControlReply::Done) {
                    self.reported.clear();
                    self.voters_compared_at = None;
                }
                Vec::new()
            }
        }
    }

    fn learn_leader(&mut self, reply: &ControlReply) {
        if let ControlReply::NotLeader { leader } = reply {
            self.view.set_leader(*leader);
        }
    }

    fn tick_grants(&mut self, now: Timestamp) -> Option<Delivery> {
        if !self.view.lease_valid(now) {
            return None;
        }
        let request = self.grants.tick(now, self.view.policy())?;
        self.ask_controller(Purpose::Grant, request)
    }

    /// Says who votes in the shards that this node is preferred to lead, when the map has it otherwise. In a hollow
    /// fleet the replicas that the map wants vote at once.
    fn report_voters(&mut self) -> Vec<Delivery> {
        let map = Arc::clone(self.view.map());
        if self.voters_compared_at == Some(map.epoch) {
            return Vec::new();
        }
        self.voters_compared_at = Some(map.epoch);
        let own = self.id();
        let led = map.shards.values();
        let led = led.filter(|shard| shard.replicas.first() == Some(&own));
        let mut sent = Vec::new();
        for placement in led {
            let voters = voters_now(placement, &map);
            let is_reported = self.reported.get(&placement.shard) == Some(&voters);
            if voters == placement.voters || is_reported {
                continue;
            }
            self.reported.insert(placement.shard, voters.clone());
            let request = ControlRequest::ReportVoters(ShardVoters {
                shard: placement.shard,
                generation: placement.generation,
                voters,
            });
            sent.extend(self.ask_controller(Purpose::Voters, request));
        }
        sent
    }

    fn deliver_view(&mut self, outputs: Vec<ViewOutput>) -> Vec<Delivery> {
        let mut sent = Vec::new();
        for output in outputs {
            match output {
                ViewOutput::Send {
                    number,
                    target,
                    request,
                } => {
                    sent.push(self.ask(target.node, Purpose::View(number), request));
                }
                ViewOutput::PolicyChanged(policy) => {
                    self.changed_to = Some(policy.version);
                    self.saved = self.view.to_save();
                }
                ViewOutput::MapChanged(_) => {}
            }
        }
        sent
    }

    fn deliver_controller(&self, outputs: Vec<ControllerOutput>) -> Vec<Delivery> {
        let deliveries = outputs.into_iter().map(|output| match output {
            ControllerOutput::Log { to, message } => {
                self.delivery(to, Mechanism::Log, &Frame::log(message))
            }
            ControllerOutput::Reply { asker, reply } => {
                let frame = Frame::reply(asker.request, reply);
                self.delivery(asker.node, asker.mechanism, &frame)
            }
        });
        deliveries.collect()
    }

    fn ask_controller(&mut self, purpose: Purpose, request: ControlRequest) -> Option<Delivery> {
        let target = self.view.controller()?;
        Some(self.ask(target.node, purpose, request))
    }

    fn ask(&mut self, to: NodeId, purpose: Purpose, request: ControlRequest) -> Delivery {
        self.next_request += 1;
        self.purposes.insert(self.next_request, purpose);
        self.forget_lost_requests();
        let mechanism = mechanism_of(&request);
        self.delivery(to, mechanism, &Frame::request(self.next_request, request))
    }

    /// Requests whose answers were lost long ago.
    fn forget_lost_requests(&mut self) {
        const REMEMBERED: u64 = 1_000;
        let oldest = self.next_request.saturating_sub(REMEMBERED);
        self.purposes = self.purposes.split_off(&oldest);
    }

    fn delivery(&self, to: NodeId, mechanism: Mechanism, frame: &Frame) -> Delivery {
        Delivery {
            from: self.id(),
            to,
            mechanism,
            bytes: frame.encode(),
        }
    }
}

/// The wanted replicas as they run now.
fn voters_now(placement: &ShardPlacement, map: &MemberMap) -> Vec<ShardVoter> {
    let members = placement.replicas.iter();
    let members = members.filter_map(|node| map.members.get(node));
    members
        .map(|member| ShardVoter {
            node: member.node,
            incarnation: member.incarnation,
        })
        .collect()
}
