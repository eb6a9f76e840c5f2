//! Tests of the spread of tenants over shards.

use std::collections::BTreeMap;

use courseshed_types::{BranchPath, ShardId};

use crate::spread::{SHARDS_OF_TENANT, shards_of_tenant};

const SHARDS: u32 = 220;
const TENANTS: u32 = 550;

fn branch(path: &str) -> BranchPath {
    path.parse().unwrap()
}

fn shards(count: u32) -> impl Iterator<Item = ShardId> {
    (0..count).map(ShardId)
}

#[test]
fn branches_of_a_tenant_share_its_shards() {
    let above = shards_of_tenant(&branch("tenant"), shards(SHARDS));
    let below = shards_of_tenant(&branch("tenant/team/nightly"), shards(SHARDS));
    assert_eq!(above, below);
    assert_eq!(above.len(), SHARDS_OF_TENANT);
}

#[test]
fn a_small_region_is_used_whole() {
    let few: Vec<ShardId> = shards(9).collect();
    assert_eq!(shards_of_tenant(&branch("tenant"), shards(9)), few);
}

#[test]
fn tenants_load_the_shards_alike() {
    let mut tenants: BTreeMap<ShardId, u32> = BTreeMap::new();
    for tenant in 0..TENANTS {
        let of_tenant = shards_of_tenant(&branch(&format!("tenant-{tenant}")), shards(SHARDS));
        for shard in of_tenant {
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
fn a_shard_more_moves_at_most_one_shard_of_a_tenant() {
    for tenant in 0..TENANTS {
        let branch = branch(&format!("tenant-{tenant}"));
        let before = shards_of_tenant(&branch, shards(SHARDS));
        let after = shards_of_tenant(&branch, shards(SHARDS + 1));
        let kept = before.iter().filter(|shard| after.contains(shard)).count();
        assert!(kept + 1 >= SHARDS_OF_TENANT);
    }
}
