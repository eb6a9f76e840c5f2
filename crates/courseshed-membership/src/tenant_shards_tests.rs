//! Tests for the assignment of tenants to shards.

use std::collections::BTreeMap;

use courseshed_types::{BranchPath, ShardId};

use crate::tenant_shards::{SHARDS_OF_TENANT, shards_of_tenant};

const SHARDS: u32 = 220;
const TENANTS: u32 = 550;

fn branch(path: &str) -> BranchPath {
    path.parse().unwrap()
}

fn shards(count: u32) -> impl Iterator<Item = ShardId> {
    (0..count).map(ShardId)
}

#[test]
fn all_branches_of_a_tenant_use_the_same_shards() {
    let parent_shards = shards_of_tenant(&branch("tenant"), shards(SHARDS));
    let child_shards = shards_of_tenant(&branch("tenant/team/nightly"), shards(SHARDS));
    assert_eq!(parent_shards, child_shards);
    assert_eq!(parent_shards.len(), SHARDS_OF_TENANT);
}

#[test]
fn small_region_uses_all_shards() {
    let all_shards: Vec<ShardId> = shards(9).collect();
    assert_eq!(shards_of_tenant(&branch("tenant"), shards(9)), all_shards);
}

#[test]
fn tenants_are_distributed_evenly() {
    let mut tenants: BTreeMap<ShardId, u32> = BTreeMap::new();
    for tenant in 0..TENANTS {
        let tenant_shards = shards_of_tenant(&branch(&format!("tenant-{tenant}")), shards(SHARDS));
        for shard in tenant_shards {
            *tenants.entry(shard).or_default() += 1;
        }
    }
    let mean = TENANTS * SHARDS_OF_TENANT as u32 / SHARDS;
    assert_eq!(tenants.len(), SHARDS as usize);
    assert!(
        tenants
            .values()
            .all(|count| (mean / 3..=mean * 2).contains(count))
    );
}

#[test]
fn adding_a_shard_replaces_at_most_one_shard_of_a_tenant() {
    for tenant in 0..TENANTS {
        let branch = branch(&format!("tenant-{tenant}"));
        let before = shards_of_tenant(&branch, shards(SHARDS));
        let after = shards_of_tenant(&branch, shards(SHARDS + 1));
        let kept = before.iter().filter(|shard| after.contains(shard)).count();
        assert!(kept + 1 >= SHARDS_OF_TENANT);
    }
}
