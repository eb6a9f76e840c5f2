//! Control of a fleet of one node, without a controller: map and policy made at start, grants given in full.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use courseshed_consensus::{Configuration, ReplicaAddress, ReplicaId};
use courseshed_programs::LeaderConfig;
use courseshed_settings::SettingsTree;
use courseshed_types::{
    MapEpoch, SettingsVersion, ShardId, Timestamp,
    control::{Grant, Member, MemberMap, NodeState, ShardPlacement},
    dispatch::{EngineMember, EngineState},
    engine::EngineDirectory,
};

use crate::{
    context::SharedContext,
    control::ControlTask,
    shards::{ReplicaStart, ShardInput},
};

/// Shards of a node that stands alone.
const SHARDS: u32 = 8;

/// Control of one node.
pub struct Standalone {
    context: SharedContext,
}

impl Standalone {
    /// Puts the tree and the node itself in force.
    pub fn start(context: SharedContext, tree: Option<&SettingsTree>, http: String, peer: String) {
        let map = make_map(&context, http, peer);
        let policy = tree.map(|tree| tree.compile(SettingsVersion(1)));
        context
            .view
            .set_policy(Arc::new(policy.unwrap_or_default()));
        context.view.set_map(Arc::new(map));
        context.view.extend_lease(Timestamp::MAX);
        for shard in (0..SHARDS).map(ShardId) {
            open_shard(&context, shard);
        }
        let standalone = Standalone { context };
        actix_rt::spawn(standalone.run());
    }

    async fn run(self) {
        let Some(mut tasks) = self.context.control.take_receiver() else {
            return;
        };
        while let Some(task) = tasks.recv().await {
            match task {
                ControlTask::RequestGrant(request) => {
                    let shard = request.shard;
                    let granted = request.wanted;
                    let grant = Grant { request, granted };
                    let input = ShardInput::Granted(grant);
                    self.context.shards.step(&self.context, shard, input);
                }
                ControlTask::ReturnGrant(returned) => {
                    let shard = returned.shard;
                    let input = ShardInput::Returned(returned);
                    self.context.shards.step(&self.context, shard, input);
                }
                ControlTask::Log(_) | ControlTask::Request(..) => {}
            }
        }
    }
}

fn open_shard(context: &SharedContext, shard: ShardId) {
    let node = context.identity.node;
    let address = ReplicaAddress::new(ReplicaId(u64::from(node.0)), context.identity.incarnation.0);
    let mut leader = LeaderConfig::new(node, shard, context.settings.region.clone());
    leader.shards_in_region = SHARDS;
    let start = ReplicaStart {
        address,
        leader,
        founders: Configuration::of_voters([address]),
        election_timeout: Duration::from_millis(500),
        heartbeat: Duration::from_millis(100),
    };
    context.shards.open(context, start);
}

fn make_map(context: &SharedContext, http_address: String, peer_address: String) -> MemberMap {
    let settings = &context.settings;
    let node = settings.node_id;
    let member = Member {
        node,
        incarnation: context.identity.incarnation,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        peer_address,
        http_address,
        roles: settings.roles.clone(),
        state: NodeState::Live,
    };
    let placement = |shard| ShardPlacement {
        shard,
        region: settings.region.clone(),
        replicas: vec![node],
        generation: 1,
        voters: Vec::new(),
    };
    let engines = settings.engines.iter().map(|entry| EngineMember {
        engine: entry.id.clone(),
        address: entry.address.to_string(),
        region: entry.region.clone(),
        zone: entry.zone.clone(),
        models: entry.models.clone(),
        state: EngineState::Live,
    });
    MemberMap {
        epoch: MapEpoch(1),
        members: BTreeMap::from([(node, member)]),
        shards: (0..SHARDS)
            .map(ShardId)
            .map(|shard| (shard, placement(shard)))
            .collect(),
        engines: EngineDirectory {
            epoch: MapEpoch(1),
            engines: engines.collect(),
        },
    }
}
