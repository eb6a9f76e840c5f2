//! Where the nodes and engines of a hollow fleet stand.

use courseshed_types::{
    Incarnation, NodeId, RegionName, ZoneName,
    control::{Member, NodeRole, NodeState},
    dispatch::{EngineMember, EngineState},
};

use super::options::HollowOptions;

/// Models that engines serve, as many as are in steady use at the size the project is designed for.
const MODELS: u32 = 13;

/// The region of a zone.
fn region_of(zone: u32, options: &HollowOptions) -> RegionName {
    RegionName::from(format!("region-{}", zone % options.regions.max(1)))
}

fn zone_name(zone: u32, options: &HollowOptions) -> ZoneName {
    ZoneName::from(format!("{}-zone-{zone}", region_of(zone, options)))
}

/// The members; the first ones are the controllers, each in another region as far as there are enough.
pub(super) fn members(options: &HollowOptions) -> Vec<Member> {
    (1..=options.nodes)
        .map(|node| member(node, options))
        .collect()
}

fn member(node: u32, options: &HollowOptions) -> Member {
    let zone = (node - 1) % options.zones.max(1);
    let roles = if node <= options.controllers {
        vec![NodeRole::Controller]
    } else {
        vec![NodeRole::Gateway, NodeRole::Shard, NodeRole::Dispatcher]
    };
    let (high, low) = (node / 250, node % 250 + 1);
    Member {
        node: NodeId(node),
        incarnation: Incarnation(0),
        region: region_of(zone, options),
        zone: zone_name(zone, options),
        peer_address: format!("10.{zone}.{high}.{low}:8701"),
        http_address: format!("10.{zone}.{high}.{low}:8700"),
        roles,
        state: NodeState::Live,
    }
}

/// The engines, spread over zones and models.
pub(super) fn engines(options: &HollowOptions) -> Vec<EngineMember> {
    let zones = options.zones.max(1);
    (0..options.engines)
        .map(|engine| EngineMember {
            engine: format!("engine-{engine}").into(),
            address: format!(
                "10.{}.{}.{}:9000",
                100 + engine % zones,
                engine / 250,
                engine % 250
            ),
            region: region_of(engine % zones, options),
            zone: zone_name(engine % zones, options),
            models: vec![format!("model-{}", engine / zones % MODELS).into()],
            state: EngineState::Live,
        })
        .collect()
}
