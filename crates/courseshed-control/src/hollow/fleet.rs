//! The fleet: nodes, links, operators and faults in virtual time.

use std::{collections::BTreeMap, fmt, time::Duration};

use courseshed_types::{
    NodeId, RegionName, SettingsVersion, Timestamp,
    control::{ControlReply, ControlRequest, Member, SettingsChange},
    dispatch::EngineMember,
};

use super::{
    layout,
    network::{Delivery, Event, EventQueue, Network},
    node::{HollowNode, Power},
    operator::{ChangeAnswer, OPERATOR, Operators, QuestionId},
    options::HollowOptions,
    report::FleetReport,
    spread::{SpreadRecord, SpreadTracker},
    traffic::{CpuClock, Mechanism, NodeTraffic},
    watch::{PromiseWatch, Violation},
    wire::weight,
};
use crate::{ControlState, ControllerSeed, NodeControlView};

/// The fleet starts at this time, so that times on the wire are as long as those of a daemon.
const ORIGIN: Timestamp = Timestamp(1_750_000_000_000_000);
const SECOND: Duration = Duration::from_secs(1);
/// Time an operator's frame takes.
const OPERATOR_TRANSIT: Duration = Duration::from_millis(1);
/// Seconds in a minute.
const MINUTE_SECONDS: u64 = 60;

/// A fleet of hollow nodes.
pub struct HollowFleet {
    options: HollowOptions,
    cpu: Box<dyn CpuClock>,
    now: Timestamp,
    counting_since: Timestamp,
    seconds: u64,
    nodes: BTreeMap<NodeId, HollowNode>,
    seeds: Vec<ControllerSeed>,
    events: EventQueue,
    network: Network,
    operators: Operators,
    watch: PromiseWatch,
    spread: SpreadTracker,
}

impl fmt::Debug for HollowFleet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("HollowFleet")
            .field("now", &self.now)
            .field("nodes", &self.nodes.len())
            .finish_non_exhaustive()
    }
}

impl HollowFleet {
    /// A fleet whose nodes all start now, without settings or member map.
    pub fn new(options: HollowOptions, cpu: Box<dyn CpuClock>) -> HollowFleet {
        let members = layout::members(&options);
        let seeds = members
            .iter()
            .take(options.controllers as usize)
            .map(seed_of);
        let lease = options.leader.settings_lease;
        let longest_lease = lease + lease * options.leader.clock_rate_percent / 100;
        let mut fleet = HollowFleet {
            cpu,
            now: ORIGIN,
            counting_since: ORIGIN,
            seconds: 0,
            seeds: seeds.collect(),
            events: EventQueue::default(),
            network: Network::new(options.links, options.seed),
            operators: Operators::default(),
            watch: PromiseWatch::new(longest_lease),
            spread: SpreadTracker::default(),
            nodes: BTreeMap::new(),
            options,
        };
        for member in members {
            let node = HollowNode::new(member, &fleet.options);
            fleet.nodes.insert(node.id(), node);
        }
        for node in fleet.node_ids() {
            fleet.start(node);
        }
        fleet.events.push(ORIGIN + SECOND, Event::Second);
        fleet
    }

    /// The time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// All nodes, started or not.
    pub fn node_ids(&self) -> Vec<NodeId> {
        self.nodes.keys().copied().collect()
    }

    /// What a node is.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.nodes.get(&node).map(|node| &node.member)
    }

    /// The engines that stand behind the fleet, for [`ControlRequest::SetEngines`].
    pub fn engines(&self) -> Vec<EngineMember> {
        layout::engines(&self.options)
    }

    /// A node's view of control; none if it is down.
    pub fn view(&self, node: NodeId) -> Option<&NodeControlView> {
        let node = self.nodes.get(&node);
        let running = node.filter(|node| node.power == Power::Running);
        running.map(|node| &node.view)
    }

    /// The controller that leads and knows it.
    pub fn leader(&self) -> Option<NodeId> {
        let leads = |node: &&HollowNode| {
            let controller = node.controller.as_ref();
            let running = node.power == Power::Running;
            running && controller.is_some_and(|controller| controller.leads(self.now))
        };
        self.nodes.values().find(leads).map(HollowNode::id)
    }

    /// The replicated state as a controller has it.
    pub fn state(&self, controller: NodeId) -> Option<&ControlState> {
        let controller = self.nodes.get(&controller)?.controller.as_ref()?;
        Some(controller.state())
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, event)) = self.events.pop_until(end) {
            self.now = at;
            self.execute(event);
        }
        self.now = end;
    }

    /// Lets time pass until a condition holds; whether it came to hold within the time.
    pub fn run_until(
        &mut self,
        most: Duration,
        mut holds: impl FnMut(&HollowFleet) -> bool,
    ) -> bool {
        let step = self.options.tick_every;
        let end = self.now + most;
        while !holds(self) {
            if self.now >= end {
                return false;
            }
            self.run_for(step);
        }
        true
    }

    /// Starts a node that is down, as a new incarnation.
    pub fn start(&mut self, node: NodeId) {
        let now = self.now;
        let Some(found) = self.nodes.get_mut(&node) else {
            return;
        };
        if found.power != Power::Down {
            return;
        }
        found.start(now, &self.seeds, &self.options);
        // Nodes tick at their own places within the interval.
        let phase = self.options.tick_every * (node.0 % 16) / 16;
        self.events.push(now + phase, Event::Tick(node));
    }

    /// Kills a node; what it saved and what controllers wrote stays.
    pub fn crash(&mut self, node: NodeId) {
        if let Some(found) = self
            .nodes
            .get_mut(&node)
            .filter(|found| found.power != Power::Down)
        {
            found.stop();
            self.spread.set(node, None);
        }
    }

    /// Stops a node in the middle of what it does.
    pub fn freeze(&mut self, node: NodeId) {
        let found = self.nodes.get_mut(&node);
        if let Some(found) = found.filter(|found| found.power == Power::Running) {
            found.power = Power::Frozen;
            self.spread.set(node, None);
        }
    }

    /// Lets a frozen node go on; first it finds all that was sent to it.
    pub fn thaw(&mut self, node: NodeId) {
        let Some(found) = self
            .nodes
            .get_mut(&node)
            .filter(|found| found.power == Power::Frozen)
        else {
            return;
        };
        found.power = Power::Running;
        let inbox = std::mem::take(&mut found.inbox);
        for delivery in inbox {
            self.events.push(self.now, Event::Deliver(delivery));
        }
        self.events.push(self.now, Event::Tick(node));
    }

    /// Cuts a region off from all others.
    pub fn cut_region(&mut self, region: &RegionName) {
        self.network.cut(region.clone());
        for node in self.nodes_of(region) {
            self.spread.set(node, None);
        }
    }

    /// Ends the cut of a region.
    pub fn heal_region(&mut self, region: &RegionName) {
        self.network.heal(region);
        let running = self.nodes_of(region).into_iter();
        let running = running.filter(|node| self.nodes[node].power == Power::Running);
        let returned: Vec<NodeId> = running.collect();
        for node in &returned {
            self.note_position(*node);
        }
        self.spread
            .returned(returned, self.watch.newest(), self.now);
    }

    /// Asks a controller as an operator would.
    pub fn ask(&mut self, controller: NodeId, request: ControlRequest) -> QuestionId {
        let (question, delivery) = self.operators.ask(controller, request);
        self.send(delivery);
        question
    }

    /// The answer to a question, once there is one.
    pub fn answer(&self, question: QuestionId) -> Option<&ControlReply> {
        self.operators.answer(question)
    }

    /// Submits a change, again and again until it is answered for good. One at a time; see [`Self::is_changing`].
    pub fn submit(&mut self, change: SettingsChange) {
        self.operators.submit(self.now, change);
        self.tick_operators();
    }

    /// Whether a submitted change is not answered for good yet.
    pub fn is_changing(&self) -> bool {
        self.operators.is_busy()
    }

    /// The answers to submitted changes, in order.
    pub fn changes(&self) -> &[ChangeAnswer] {
        self.operators.changes()
    }

    /// The newest version that any controller committed.
    pub fn newest_version(&self) -> SettingsVersion {
        self.watch.newest()
    }

    /// The way of each version accepted since counting began.
    pub fn spread(&self) -> &[SpreadRecord] {
        self.spread.records()
    }

    /// How long regions that were cut off took to catch up.
    pub fn catch_ups(&self) -> &[Duration] {
        self.spread.catch_ups()
    }

    /// Promises broken so far.
    pub fn violations(&self) -> &[Violation] {
        self.watch.violations()
    }

    /// Counts traffic and time from now on.
    pub fn start_counting(&mut self) {
        self.counting_since = self.now;
        self.seconds = 0;
        self.spread.clear();
        for node in self.nodes.values_mut() {
            node.traffic = NodeTraffic::default();
        }
    }

    /// What was counted.
    pub fn report(&self) -> FleetReport {
        let counted = self.now.since(self.counting_since);
        FleetReport::make(
            self.now,
            counted,
            self.nodes.values(),
            &self.spread,
            &self.watch,
        )
    }

    fn nodes_of(&self, region: &RegionName) -> Vec<NodeId> {
        let nodes = self.nodes.values();
        let nodes = nodes.filter(|node| &node.member.region == region);
        nodes.map(HollowNode::id).collect()
    }

    fn execute(&mut self, event: Event) {
        match event {
            Event::Tick(node) => self.tick(node),
            Event::Deliver(delivery) => self.deliver(delivery),
            Event::Second => self.on_second(),
        }
    }

    fn tick(&mut self, node: NodeId) {
        let now = self.now;
        let Some(found) = self.nodes.get_mut(&node) else {
            return;
        };
        if found.power != Power::Running {
            return;
        }
        let begun = self.cpu.used();
        let sent = found.tick(now);
        let spent = self.cpu.used().saturating_sub(begun);
        found.traffic.computed(Mechanism::Timers, spent);
        self.events
            .push(now + self.options.tick_every, Event::Tick(node));
        self.after_step(node, sent);
    }

    fn deliver(&mut self, delivery: Delivery) {
        let now = self.now;
        if delivery.to == OPERATOR {
            self.operators.receive(now, &delivery.bytes);
            return;
        }
        let Some(found) = self.nodes.get_mut(&delivery.to) else {
            return;
        };
        match found.power {
            Power::Down => return,
            Power::Frozen => {
                found.inbox.push(delivery);
                return;
            }
            Power::Running => {}
        }
        if delivery.from != delivery.to {
            let bytes = weight(delivery.bytes.len());
            found.traffic.received(delivery.mechanism, bytes);
        }
        let begun = self.cpu.used();
        let sent = found.receive(now, delivery.from, &delivery.bytes);
        let spent = self.cpu.used().saturating_sub(begun);
        found.traffic.computed(delivery.mechanism, spent);
        self.after_step(delivery.to, sent);
    }

    fn after_step(&mut self, node: NodeId, sent: Vec<Delivery>) {
        for delivery in sent {
            self.send(delivery);
        }
        self.note_accepted(node);
        let found = self.nodes.get_mut(&node);
        if found.is_some_and(|found| found.changed_to.take().is_some()) {
            self.note_position(node);
            self.spread.settle(self.now);
        }
    }

    /// A controller's state machine shows what has been committed.
    fn note_accepted(&mut self, node: NodeId) {
        let Some(controller) = &self.nodes[&node].controller else {
            return;
        };
        let version = controller.state().position().settings;
        if version > self.watch.newest() && self.watch.note_accepted(version, self.now) {
            self.spread.accepted(version, self.now);
        }
    }

    /// Takes in which version a node acts on.
    fn note_position(&mut self, node: NodeId) {
        let found = &self.nodes[&node];
        let version = found.view.position().settings;
        if found.serves(self.now) && found.view.lease_valid(self.now) {
            self.watch.observe(node, version, self.now);
        }
        let is_reachable = !self.network.is_cut(&found.member.region);
        let counts = found.serves(self.now) && is_reachable;
        self.spread.set(node, counts.then_some(version));
    }

    fn send(&mut self, delivery: Delivery) {
        let Some(transit) = self.transit(&delivery) else {
            return;
        };
        self.events
            .push(self.now + transit, Event::Deliver(delivery));
    }

    /// Counts the frame and says how long it takes; none if it is lost. A frame to the node itself takes no time.
    fn transit(&mut self, delivery: &Delivery) -> Option<Duration> {
        if delivery.from == delivery.to {
            return Some(Duration::ZERO);
        }
        if let Some(from) = self.nodes.get_mut(&delivery.from) {
            let bytes = weight(delivery.bytes.len());
            from.traffic.sent(delivery.mechanism, bytes);
        }
        if delivery.from == OPERATOR || delivery.to == OPERATOR {
            return Some(OPERATOR_TRANSIT);
        }
        let from = &self.nodes.get(&delivery.from)?.place;
        let to = &self.nodes.get(&delivery.to)?.place;
        self.network.transit(from, to)
    }

    fn on_second(&mut self) {
        self.seconds += 1;
        self.events.push(self.now + SECOND, Event::Second);
        for node in self.node_ids() {
            if self.nodes[&node].power == Power::Running {
                self.note_position(node);
            }
        }
        self.spread.settle(self.now);
        if self.seconds.is_multiple_of(MINUTE_SECONDS) {
            for node in self.nodes.values_mut() {
                node.traffic.close_minute();
            }
        }
        self.tick_operators();
    }

    fn tick_operators(&mut self) {
        let leader = self.leader();
        if let Some(change) = self.operators.tick(self.now, leader) {
            self.send(change);
        }
    }
}

fn seed_of(member: &Member) -> ControllerSeed {
    ControllerSeed {
        node: member.node,
        peer_address: member.peer_address.clone(),
    }
}
