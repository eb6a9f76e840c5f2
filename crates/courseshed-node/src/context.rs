//! What the parts of one node share.

use std::{
    path::Path,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
};

use courseshed_settings::NodeSettings;
use courseshed_transport::{PeerIdentity, Transport};
use courseshed_types::{EngineId, Incarnation, NodeId, control::MemberMap};

use crate::{
    clock::Clock,
    control::{ControlClient, ControlTasks},
    dispatchers::{DispatcherTable, EngineTasks},
    drain::DrainState,
    gateway::GatewayState,
    incarnation,
    metrics::NodeMetrics,
    protocol::{NodeMessage, NodeProtocol},
    shards::{FollowedMap, ShardClient, ShardTable, StepTime},
    view::NodeView,
};

/// What the parts of one node share. Each part guards its own state; nothing here is locked as a whole.
pub struct NodeContext {
    /// The node's settings.
    pub settings: NodeSettings,
    /// The node and its start.
    pub identity: PeerIdentity,
    /// The clock.
    pub clock: Clock,
    /// What is in force.
    pub view: NodeView,
    /// Replicas of shards.
    pub shards: ShardTable,
    /// The member map that the replicas follow.
    pub followed_map: FollowedMap,
    /// Finds leaders of shards.
    pub shard_client: ShardClient,
    /// Dispatchers.
    pub dispatchers: DispatcherTable,
    /// Work for engines.
    pub engines: EngineTasks,
    /// Work for control.
    pub control: ControlTasks,
    /// Finds the controllers' leader.
    pub control_client: ControlClient,
    /// The gateway's tables.
    pub gateway: GatewayState,
    /// Counters.
    pub metrics: NodeMetrics,
    /// Whether the node is stopping.
    pub drain: DrainState,
    transport: OnceLock<Transport<NodeProtocol>>,
    dispatcher_starts: AtomicU64,
}

impl NodeContext {
    /// The context of a node that has not started yet. `starts` is the folder that keeps the number of its last start.
    pub fn new(settings: NodeSettings, starts: Option<&Path>) -> NodeContext {
        let clock = Clock::new();
        let identity = PeerIdentity {
            node: settings.node_id,
            incarnation: incarnation::next(starts, clock.now()),
        };
        NodeContext {
            control: ControlTasks::new(&settings),
            control_client: ControlClient::default(),
            settings,
            identity,
            clock,
            view: NodeView::new(),
            shards: ShardTable::default(),
            followed_map: FollowedMap::default(),
            shard_client: ShardClient::default(),
            dispatchers: DispatcherTable::default(),
            engines: EngineTasks::new(),
            gateway: GatewayState::default(),
            metrics: NodeMetrics::new(),
            drain: DrainState::default(),
            transport: OnceLock::new(),
            dispatcher_starts: AtomicU64::new(0),
        }
    }

    /// The moment on both clocks.
    pub fn step_time(&self) -> StepTime {
        StepTime {
            now: self.clock.now(),
            elapsed: self.clock.elapsed(),
        }
    }

    /// Sets the transport; once, before anything is sent.
    pub fn set_transport(&self, transport: Transport<NodeProtocol>) {
        if self.transport.set(transport).is_err() {
            log::error!("the transport was set twice");
        }
    }

    /// The transport.
    ///
    /// # Panics
    /// Before [`NodeContext::set_transport`].
    pub fn transport(&self) -> &Transport<NodeProtocol> {
        self.transport.get().expect("the transport is set at start")
    }

    /// Tells a node; a message that can't be queued is counted and lost, as any message may be.
    pub fn tell(&self, to: NodeId, message: NodeMessage) {
        if let Err(error) = self.transport().send(to, message) {
            log::trace!("{error}");
        }
    }

    /// Puts a member map in force, with the replicas of shards that it places here; false if it is not newer.
    pub fn put_map_in_force(&self, map: Arc<MemberMap>) -> bool {
        if !self.view.set_map(map.clone()) {
            return false;
        }
        self.followed_map.follow(self, &map);
        true
    }

    /// A number that no dispatcher of this node had before, over restarts too.
    pub fn next_dispatcher_incarnation(&self) -> Incarnation {
        let count = self.dispatcher_starts.fetch_add(1, Ordering::Relaxed);
        Incarnation(self.identity.incarnation.0 + count)
    }

    /// A name for a request that no other request of the fleet has.
    pub fn random_key(&self) -> String {
        let high: u64 = rand::random();
        let low: u64 = rand::random();
        format!("gateway-{high:016x}{low:016x}")
    }

    /// The HTTP address of an engine.
    pub fn engine_address(&self, engine: &EngineId) -> Option<String> {
        let map = self.view.map();
        let mut engines = map.engines.engines.iter();
        let found = engines.find(|member| &member.engine == engine);
        found.map(|member| member.address.clone())
    }

    /// Whether this node is the one named.
    pub fn is_self(&self, node: NodeId) -> bool {
        node == self.identity.node
    }
}

/// The context as the parts hold it.
pub type SharedContext = Arc<NodeContext>;
