//! Assigns tenants to shards.
//!
//! Every pair of shard and budgeted branch requests its own budget escrow from the controllers. Using all shards of a
//! large region for every tenant would fragment the escrow, and the number of requests would grow with shards times
//! tenants. A tenant (a branch directly below the root, with its subtree) therefore uses a limited number of shards,
//! chosen by rendezvous hashing: identical on every gateway and stable when shards are added.

use std::cmp::Reverse;

use courseshed_types::{BranchPath, ShardId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of shards of a region that hold programs of one tenant.
pub const SHARDS_OF_TENANT: usize = 16;

/// Returns the shards of a region for new programs of a branch, in ascending order.
pub fn shards_of_tenant(
    branch: &BranchPath,
    region_shards: impl IntoIterator<Item = ShardId>,
) -> Vec<ShardId> {
    let tenant = tenant_name(branch);
    let mut shards: Vec<ShardId> = region_shards.into_iter().collect();
    shards.sort_by_key(|shard| (Reverse(score(tenant, *shard)), *shard));
    shards.truncate(SHARDS_OF_TENANT);
    shards.sort();
    shards
}

fn tenant_name(branch: &BranchPath) -> &str {
    let path = branch.as_str();
    path.split_once('/').map_or(path, |(tenant, _)| tenant)
}

fn score(tenant: &str, shard: ShardId) -> u64 {
    xxh3_64_with_seed(tenant.as_bytes(), u64::from(shard.0))
}
