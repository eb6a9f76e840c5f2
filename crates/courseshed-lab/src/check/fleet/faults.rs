//! What fails, when, and for how long.

use std::time::Duration;

use courseshed_node::shards::ShardInput;
use courseshed_types::NodeId;
use rand::RngExt;

use super::{
    events::Event,
    node::address_of,
    report::FleetFault,
    wire::{CallerReply, Party, Payload, StreamItem},
    world::World,
};

/// Longest time between faults, from a storm of them to now and then.
const LONGEST_CALM_MILLIS: [u64; 3] = [800, 2_500, 6_000];
const CUT_MILLIS: std::ops::Range<u64> = 100..5_000;
const DOWN_MILLIS: std::ops::Range<u64> = 100..4_000;
const FROZEN_MILLIS: std::ops::Range<u64> = 50..6_000;
const AWAY_MILLIS: std::ops::Range<u64> = 3_000..12_000;
const SLOW_FACTOR: std::ops::Range<f64> = 2.0..30.0;

impl World {
    pub(super) fn schedule_fault(&mut self) {
        let longest = LONGEST_CALM_MILLIS[(self.report.seed % 3) as usize];
        let wait = self.draw_millis(50..longest);
        self.events.schedule(self.now + wait, Event::Fault);
    }

    fn draw_millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    pub(super) fn inject_fault(&mut self) {
        if !self.is_faulty() {
            return;
        }
        self.schedule_fault();
        let node = self.draw_node();
        let engine = self.random.random_range(0..self.engines.len());
        match self.random.random_range(0..16) {
            0 | 1 => self.kill_node(node),
            2 | 3 => self.freeze_node(node),
            4 => self.drain_node(node),
            5 => self.hand_over(),
            6 => self.isolate(Party::Node(node)),
            7 => self.cut_one_way(node),
            8 | 9 => self.kill_engine(engine),
            10 => self.hang_engine(engine),
            11 => self.slow_engine(engine),
            12 => self.engine_leaves(engine),
            13 | 14 => self.break_streams(),
            _ => self.lose_ledger(),
        }
    }

    /// The shard's leader is the most interesting to harm.
    fn draw_node(&mut self) -> NodeId {
        let leads = |node: &&super::node::Node| {
            let process = node.process.as_ref();
            process.is_some_and(|process| process.replica.leads())
        };
        let leader = self.nodes.values().find(leads).map(|node| node.id);
        let any = NodeId(self.random.random_range(1..=self.nodes.len() as u32));
        match self.random.random_range(0..2) {
            0 => leader.unwrap_or(any),
            _ => any,
        }
    }

    /// Replicas have no disks: a node may be lost only while the others can go on without it.
    pub(super) fn may_lose(&self, lost: NodeId) -> bool {
        let groups = self.nodes.values().filter_map(|node| {
            let process = node.process.as_ref()?;
            Some(process.replica.group().peer().configuration())
        });
        let mut known = groups.filter(|configuration| !configuration.is_empty());
        known.all(|configuration| {
            let kept = configuration.voters().filter(|voter| {
                let node = &self.nodes[&NodeId(voter.0 as u32)];
                let lives = node.process.is_some() && node.id != lost;
                lives && configuration.is_voter(address_of(node.id, node.incarnation))
            });
            kept.count() >= configuration.quorum()
        })
    }

    fn kill_node(&mut self, id: NodeId) {
        let is_up = self.nodes[&id].process.is_some();
        if is_up && self.may_lose(id) {
            self.count(FleetFault::NodeKilled);
            self.stop_node(id);
            let wait = self.draw_millis(DOWN_MILLIS);
            self.events.schedule(self.now + wait, Event::StartNode(id));
        }
    }

    /// Ends a node's process: whoever was connected to it notices.
    pub(super) fn stop_node(&mut self, id: NodeId) {
        let node = self.nodes.get_mut(&id).expect("nodes are never removed");
        let Some(process) = node.process.take() else {
            return;
        };
        for (to, ask) in process.asked_by() {
            let payload = Payload::AskLost {
                ask,
                handed_over: true,
            };
            self.send_now(Party::Node(id), to, payload);
        }
        let broken = process.gateway.under_way();
        for (copy, caller) in broken {
            let reply = CallerReply::Broken;
            let payload = Payload::Reply { copy, reply };
            self.send_now(Party::Node(id), Party::Caller(caller), payload);
        }
        for envelope in process.frozen.unwrap_or_default() {
            self.refuse(envelope);
        }
        self.schedule_views();
    }

    fn freeze_node(&mut self, id: NodeId) {
        let until = self.now + self.draw_millis(FROZEN_MILLIS);
        let node = self.nodes.get_mut(&id).expect("nodes are never removed");
        if let Some(process) = node.awake() {
            process.frozen = Some(Vec::new());
            self.events.schedule(until, Event::ResumeNode(id));
            self.count(FleetFault::NodeFrozen);
            self.schedule_views();
        }
    }

    /// Asks a node to stop. It stops when it has nothing under way and leads nothing.
    fn drain_node(&mut self, id: NodeId) {
        if !self.may_lose(id) {
            return;
        }
        let now = self.now;
        let node = self.nodes.get_mut(&id).expect("nodes are never removed");
        let Some(process) = node.awake() else {
            return;
        };
        if process.draining_since.is_none() {
            process.draining_since = Some(now);
            process.gateway.is_draining = true;
            self.count(FleetFault::NodeDrained);
            self.schedule_views();
        }
    }

    fn hand_over(&mut self) {
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        for id in ids {
            let mut outputs = Vec::new();
            let node = self.nodes.get_mut(&id).expect("nodes are never removed");
            let leads = node.awake().is_some_and(|process| process.replica.leads());
            if leads {
                node.input(self.now, ShardInput::HandOver, &mut outputs);
                self.count(FleetFault::HandOver);
            }
            self.send_all(Party::Node(id), outputs);
        }
    }

    fn parties(&self) -> Vec<Party> {
        let nodes = self.nodes.keys().copied().map(Party::Node);
        let engines = (0..self.engines.len()).map(Party::Engine);
        nodes.chain(engines).chain([Party::Ledger]).collect()
    }

    fn isolate(&mut self, party: Party) {
        for other in self.parties() {
            self.links.cut(party, other);
            self.links.cut(other, party);
        }
        self.reconnect_later();
        self.count(FleetFault::NodeIsolated);
    }

    fn cut_one_way(&mut self, node: NodeId) {
        let parties = self.parties();
        let other = parties[self.random.random_range(0..parties.len())];
        match self.random.random_range(0..2) {
            0 => self.links.cut(Party::Node(node), other),
            _ => self.links.cut(other, Party::Node(node)),
        }
        self.reconnect_later();
        self.count(FleetFault::CutOneWay);
    }

    fn reconnect_later(&mut self) {
        let wait = self.draw_millis(CUT_MILLIS);
        self.events.schedule(self.now + wait, Event::Reconnect);
    }

    fn kill_engine(&mut self, place: usize) {
        if !self.engines[place].is_up {
            return;
        }
        self.count(FleetFault::EngineKilled);
        self.break_streams_of(place);
        self.engines[place].kill();
        for (_, envelope) in std::mem::take(&mut self.backlogs[place]) {
            self.reset(envelope);
        }
        let wait = self.draw_millis(DOWN_MILLIS);
        self.events
            .schedule(self.now + wait, Event::StartEngine(place));
    }

    fn hang_engine(&mut self, place: usize) {
        self.engines[place].is_hung = true;
        self.count(FleetFault::EngineHung);
        self.mend_later(place);
    }

    fn slow_engine(&mut self, place: usize) {
        let factor = self.random.random_range(SLOW_FACTOR);
        self.engines[place].set_slow_factor(factor);
        self.count(FleetFault::EngineSlow);
        self.mend_later(place);
    }

    fn mend_later(&mut self, place: usize) {
        let wait = self.draw_millis(DOWN_MILLIS);
        self.events
            .schedule(self.now + wait, Event::MendEngine(place));
    }

    /// One engine at a time leaves, so that the others can take its work.
    fn engine_leaves(&mut self, place: usize) {
        if self.engines.iter().any(|engine| engine.is_leaving) {
            return;
        }
        self.engines[place].is_leaving = true;
        self.engines[place].leaving_since = Some(self.now);
        self.count(FleetFault::EngineLeaving);
        self.schedule_views();
        let wait = self.draw_millis(AWAY_MILLIS);
        self.events
            .schedule(self.now + wait, Event::ReturnEngine(place));
    }

    fn break_streams(&mut self) {
        let place = self.random.random_range(0..self.engines.len());
        self.count(FleetFault::StreamBroken);
        self.break_streams_of(place);
    }

    pub(super) fn break_streams_of(&mut self, place: usize) {
        let open = self.engines[place].drop_watchers();
        for (gateway, stream) in open {
            let item = StreamItem::Broken;
            let payload = Payload::Stream { stream, item };
            self.send_now(Party::Engine(place), Party::Node(gateway), payload);
        }
    }

    fn lose_ledger(&mut self) {
        self.ledger.is_reachable = false;
        self.count(FleetFault::LedgerUnreachable);
        let wait = self.draw_millis(CUT_MILLIS);
        self.events.schedule(self.now + wait, Event::MendLedger);
    }
}
