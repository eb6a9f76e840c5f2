//! Several nodes in the test process, with the test in the controllers' place: it makes the member map and puts it
//! in force, takes the leaders' reports, and kills, restarts and moves as it likes.

use std::{
    collections::BTreeMap,
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant},
};

use courseshed_emulator::engine::EngineHandle;
use courseshed_node::{Node, NodeHandle, NodeOptions};
use courseshed_settings::{NodeSettings, Overrides, SettingsTree};
use courseshed_types::{
    EngineId, MapEpoch, NodeId, SettingsVersion, ShardId, Timestamp,
    control::{Member, MemberMap, NodeRole, NodeState, ShardPlacement, ShardVoter},
    dispatch::{EngineMember, EngineState},
};

use super::{Caller, PATIENCE};

/// The shards of a fleet, unless its plan says otherwise.
const SHARDS: u32 = 4;
/// Replicas of each shard.
const REPLICAS: usize = 3;
/// Time between two looks at what is waited for.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// How a fleet is made up.
pub struct MappedPlan<'a> {
    /// Nodes, numbered from 1.
    pub nodes: u32,
    /// Shards, numbered from 0.
    pub shards: u32,
    /// Engines.
    pub engines: &'a [&'a EngineHandle],
    /// The settings tree.
    pub tree: &'a str,
    /// More of the node settings, such as `[timeouts]`.
    pub more: &'a str,
}

/// Nodes that keep shards, and the engines behind them.
pub struct MappedFleet {
    nodes: BTreeMap<NodeId, NodeHandle>,
    map: MemberMap,
    tree: SettingsTree,
    more: String,
    /// A frozen node hears of no map.
    frozen: Option<NodeId>,
}

impl MappedFleet {
    /// Starts nodes, each in a zone of its own, and founds the shards on the first three.
    pub fn start(nodes: u32, engines: &[&EngineHandle], tree: &str) -> MappedFleet {
        MappedFleet::start_planned(&MappedPlan {
            nodes,
            shards: SHARDS,
            engines,
            tree,
            more: "",
        })
    }

    /// Starts a fleet as planned.
    pub fn start_planned(plan: &MappedPlan<'_>) -> MappedFleet {
        let mut fleet = MappedFleet {
            nodes: BTreeMap::new(),
            map: MemberMap::default(),
            tree: SettingsTree::parse(plan.tree).expect("a valid tree"),
            more: plan.more.to_owned(),
            frozen: None,
        };
        let engines = plan.engines.iter().map(|engine| engine_member(engine));
        fleet.map.engines.engines = engines.collect();
        for node in 1..=plan.nodes {
            fleet.start_node(NodeId(node));
        }
        let nodes: Vec<NodeId> = fleet.nodes.keys().copied().collect();
        let founders = &nodes[..REPLICAS.min(nodes.len())];
        for shard in 0..plan.shards {
            let placement = fleet.first_placement(ShardId(shard), founders);
            fleet.map.shards.insert(placement.shard, placement);
        }
        fleet.publish(|_| ());
        fleet.wait_led();
        fleet
    }

    /// The founding placement; preferred leaders are spread.
    fn first_placement(&self, shard: ShardId, nodes: &[NodeId]) -> ShardPlacement {
        let mut replicas = nodes.to_vec();
        replicas.rotate_left(shard.0 as usize % nodes.len());
        let voters = nodes.iter().map(|node| ShardVoter {
            node: *node,
            incarnation: self.map.members[node].incarnation,
        });
        ShardPlacement {
            shard,
            region: "south".into(),
            replicas,
            generation: 1,
            voters: voters.collect(),
        }
    }

    /// Starts a node, or a killed one again with nothing of what it held.
    pub fn start_node(&mut self, node: NodeId) {
        let mut options = NodeOptions::new(settings(node, &self.more));
        options.http_workers = 1;
        options.is_embedder_in_control = true;
        let handle = Node::start(options).expect("the node starts");
        let member = Member {
            node,
            incarnation: handle.context().identity.incarnation,
            region: "south".into(),
            zone: format!("south-{node}").as_str().into(),
            peer_address: handle.peer_address().to_string(),
            http_address: handle.http_address().to_string(),
            roles: vec![NodeRole::Gateway, NodeRole::Shard, NodeRole::Dispatcher],
            state: NodeState::Live,
        };
        self.map.members.insert(node, member);
        self.nodes.insert(node, handle);
    }

    /// Changes the member map and puts it in force on every node that runs.
    pub fn publish(&mut self, change: impl FnOnce(&mut MemberMap)) {
        change(&mut self.map);
        self.map.epoch = MapEpoch(self.map.epoch.0 + 1);
        self.map.engines.epoch = self.map.epoch;
        let map = Arc::new(self.map.clone());
        let policy = Arc::new(self.tree.compile(SettingsVersion(1)));
        let hearing = self
            .nodes
            .iter()
            .filter(|(node, _)| Some(**node) != self.frozen);
        for (_, handle) in hearing {
            let context = handle.context();
            for member in map.members.values() {
                let address = member.peer_address.parse().expect("an address");
                context.transport().set_address(member.node, address);
            }
            context.view.set_policy(policy.clone());
            context.view.extend_lease(Timestamp::MAX);
            context.put_map_in_force(map.clone());
        }
    }

    /// Takes the leaders' reports into the map, as controllers would.
    pub fn take_reports(&mut self) {
        let reports: Vec<_> = self
            .nodes
            .values()
            .flat_map(|handle| handle.context().shards.owed_reports())
            .collect();
        if reports.is_empty() {
            return;
        }
        self.publish(|map| {
            for report in reports {
                if let Some(placement) = map.shards.get_mut(&report.shard) {
                    placement.voters = report.voters;
                }
            }
        });
    }

    /// Kills a node; the map says so only when [`MappedFleet::note_down`] is called.
    pub fn kill(&mut self, node: NodeId) {
        self.nodes.remove(&node).expect("a node that runs").stop();
    }

    /// Puts a map in force that says that a node is down.
    pub fn note_down(&mut self, node: NodeId) {
        self.publish(|map| {
            let member = map.members.get_mut(&node).expect("a member");
            member.state = NodeState::Down;
        });
    }

    /// A node that runs.
    pub fn node(&self, node: NodeId) -> &NodeHandle {
        &self.nodes[&node]
    }

    /// The nodes that run.
    pub fn running(&self) -> Vec<NodeId> {
        self.nodes.keys().copied().collect()
    }

    /// A node that runs and is not the one given.
    pub fn other_than(&self, node: NodeId) -> NodeId {
        let mut others = self.running().into_iter().filter(|other| *other != node);
        others.next().expect("another node")
    }

    /// A caller of a node's gateway.
    pub fn caller(&self, node: NodeId) -> Caller {
        Caller::new(self.node(node).http_address())
    }

    /// The node that leads a shard, if exactly one says so.
    pub fn leader(&self, shard: ShardId) -> Option<NodeId> {
        let leads = |handle: &&NodeHandle| {
            let context = handle.context();
            context.shards.with(shard, |replica| replica.leads()) == Some(true)
        };
        let leading = self.nodes.values().filter(leads);
        let leading: Vec<NodeId> = leading
            .map(|handle| handle.context().identity.node)
            .collect();
        match leading[..] {
            [leader] => Some(leader),
            _ => None,
        }
    }

    /// Waits until a shard has a leader, and names it.
    pub fn wait_leader(&self, shard: ShardId) -> NodeId {
        wait_until("a shard has a leader", || self.leader(shard).is_some());
        self.leader(shard).expect("a leader")
    }

    /// Waits until every shard has a leader.
    pub fn wait_led(&self) {
        for shard in self.map.shards.keys() {
            self.wait_leader(*shard);
        }
    }

    /// Waits until the voters of every shard are the present starts of the replicas wanted, and reported.
    pub fn wait_repaired(&mut self) {
        let started = Instant::now();
        while !self.is_repaired() {
            assert!(
                started.elapsed() < PATIENCE,
                "not repaired: {:?}",
                self.map.shards
            );
            self.take_reports();
            thread::sleep(LOOK_INTERVAL);
        }
    }

    fn is_repaired(&self) -> bool {
        self.map.shards.values().all(|placement| {
            let wanted = placement.replicas.iter().map(|node| ShardVoter {
                node: *node,
                incarnation: self.map.members[node].incarnation,
            });
            let mut wanted: Vec<ShardVoter> = wanted.collect();
            let mut voters = placement.voters.clone();
            wanted.sort_unstable();
            voters.sort_unstable();
            wanted == voters && self.leader(placement.shard).is_some()
        })
    }

    /// Freezes a node's replica of a shard, and with it the threads that bring it anything, until the guard is
    /// dropped, as if its process were stopped.
    pub fn freeze(&mut self, node: NodeId, shard: ShardId) -> Frozen {
        self.frozen = Some(node);
        let context = self.node(node).context().clone();
        let (thaw, thawed) = mpsc::channel::<()>();
        let (freeze, frozen) = mpsc::channel();
        let thread = thread::spawn(move || {
            context.shards.with(shard, |_| {
                let _ = freeze.send(());
                let _ = thawed.recv();
            });
        });
        frozen.recv().expect("the replica is frozen");
        Frozen {
            thaw: Some(thaw),
            thread: Some(thread),
        }
    }
}

/// A frozen replica; thaws when dropped.
pub struct Frozen {
    thaw: Option<mpsc::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Frozen {
    fn drop(&mut self) {
        self.thaw.take();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the freezing thread ends");
        }
    }
}

/// Waits until something holds, on the calling thread.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < PATIENCE, "in vain: {what}");
        thread::sleep(LOOK_INTERVAL);
    }
}

fn engine_member(engine: &EngineHandle) -> EngineMember {
    EngineMember {
        engine: EngineId::clone(engine.id()),
        address: engine.address().to_string(),
        region: "south".into(),
        zone: "south-1".into(),
        models: vec!["base".into()],
        state: EngineState::Live,
    }
}

fn settings(node: NodeId, more: &str) -> NodeSettings {
    let text = format!(
        r#"
node_id = {node}
region = "south"
zone = "south-{node}"
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
data_dir = "unused"
roles = ["gateway", "shard", "dispatcher", "controller"]
{more}
"#
    );
    NodeSettings::parse(&text, "node.toml", Overrides::default()).expect("valid settings")
}
