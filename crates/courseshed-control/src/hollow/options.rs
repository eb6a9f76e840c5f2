//! The size and times of a hollow fleet.

use std::time::Duration;

use crate::{LeaderOptions, ViewOptions};

/// One-way times of virtual links, before a seeded spread of up to a fifth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkOptions {
    /// Between nodes of one zone.
    pub within_zone: Duration,
    /// Between zones of one region.
    pub within_region: Duration,
    /// Between regions.
    pub between_regions: Duration,
    /// Frames lost, out of a thousand; a stand-in for connections that break.
    pub loss_permille: u32,
}

impl Default for LinkOptions {
    fn default() -> LinkOptions {
        LinkOptions {
            within_zone: Duration::from_micros(250),
            within_region: Duration::from_millis(1),
            between_regions: Duration::from_millis(40),
            loss_permille: 0,
        }
    }
}

/// The size and times of a hollow fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HollowOptions {
    /// Nodes, controllers included.
    pub nodes: u32,
    /// Regions.
    pub regions: u32,
    /// Zones over all regions.
    pub zones: u32,
    /// Controllers; spread over the regions.
    pub controllers: u32,
    /// Engines in the member map.
    pub engines: u32,
    /// Tenants in the settings tree.
    pub tenants: u32,
    /// Requests for escrow each shard node makes in a minute; returns come on top, one for each request.
    pub grants_per_minute: u32,
    /// Links.
    pub links: LinkOptions,
    /// Times of the nodes.
    pub view: ViewOptions,
    /// Times of the leader.
    pub leader: LeaderOptions,
    /// Time between two ticks of a node.
    pub tick_every: Duration,
    /// Seeds the spread of link times, losses and elections.
    pub seed: u64,
}

impl Default for HollowOptions {
    fn default() -> HollowOptions {
        HollowOptions {
            nodes: 330,
            regions: 6,
            zones: 19,
            controllers: 6,
            engines: 1_500,
            tenants: 550,
            grants_per_minute: 6,
            links: LinkOptions::default(),
            view: ViewOptions::default(),
            leader: LeaderOptions::default(),
            tick_every: Duration::from_millis(100),
            seed: 1,
        }
    }
}
