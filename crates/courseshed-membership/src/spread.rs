//! Which shards the programs of a tenant are spread over.
//!
//! Each pair of shard and budgeted branch holds escrow of its own and asks the controllers for it. A tenant spread
//! over every shard of a large region would hold a little escrow in each, and the requests would grow with shards
//! times tenants. So a tenant (a branch right below the root, with all below it) keeps to a few shards, found by
//! rendezvous hashing: the same on every gateway, and moving little when shards are added.

use std::cmp::Reverse;

use courseshed_types::{BranchPath, ShardId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Shards of a region over which the programs of one tenant are spread, if there are as many.
pub const SHARDS_OF_TENANT: usize = 16;

/// The shards of a region for new programs of a branch, in the order of their numbers.
pub fn shards_of_tenant(
    branch: &BranchPath,
    of_region: impl IntoIterator<Item = ShardId>,
) -> Vec<ShardId> {
    let tenant = tenant_name(branch);
    let mut shards: Vec<ShardId> = of_region.into_iter().collect();
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
