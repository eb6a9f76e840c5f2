//! Elections, replication, failover, reads, leadership transfer, readmission and membership changes.

mod support;

use std::time::Duration;

use courseshed_consensus::{
    LogIndex, MemberRole, MembershipChange, ProposeError, ReplicaAddress, ReplicaId, VolatileLog,
};
use support::{Cluster, Group, Journal, address, config, voters};
use yare::parameterized;

const ELECTION: Duration = Duration::from_secs(5);

fn cluster(size: u64) -> Cluster<VolatileLog> {
    let mut cluster = Cluster::empty();
    for id in 1..=size {
        cluster.start(config(address(id), voters(size)), VolatileLog);
    }
    cluster.run(ELECTION);
    cluster
}

#[parameterized(one = { 1 }, three = { 3 }, five = { 5 })]
fn commits_on_all_replicas(size: u64) {
    let mut cluster = cluster(size);
    cluster.propose(b"first");
    cluster.propose(b"second");
    let expected = Journal(vec![b"first".to_vec(), b"second".to_vec()]);
    let mut journals = cluster.groups.values().map(Group::machine);
    assert!(journals.all(|journal| *journal == expected));
}

#[test]
fn proposals_between_outputs_are_batched() {
    let mut cluster = cluster(3);
    let leader = cluster.leader().unwrap();
    let now = cluster.now;
    let before = cluster.delivered;
    for number in 0..100_u8 {
        cluster.group(leader).propose(now, vec![number]).unwrap();
    }
    cluster.settle();
    assert_eq!(cluster.group(leader).machine().0.len(), 100);
    assert!(
        cluster.delivered - before <= 8,
        "{} messages for 100 proposals",
        cluster.delivered - before
    );
}

#[test]
fn survivors_elect_a_leader_with_all_committed_entries() {
    let mut cluster = cluster(3);
    cluster.propose(b"kept");
    let old_leader = cluster.leader().unwrap();
    cluster.isolated.insert(old_leader);
    cluster.run(ELECTION);
    let new_leader = cluster.leader().unwrap();
    assert_ne!(old_leader, new_leader);
    assert_eq!(
        cluster.group(new_leader).machine().0,
        vec![b"kept".to_vec()]
    );
    assert!(
        !cluster.group(old_leader).is_leader(),
        "an isolated leader steps down"
    );
    cluster.propose(b"later");
    cluster.isolated.clear();
    cluster.run(ELECTION);
    assert_eq!(cluster.group(old_leader).machine().0.len(), 2);
}

#[test]
fn isolated_replica_does_not_disrupt_the_leader_when_it_returns() {
    let mut cluster = cluster(3);
    let leader = cluster.leader().unwrap();
    let term = cluster.group(leader).term();
    let other = *cluster.groups.keys().find(|id| **id != leader).unwrap();
    cluster.isolated.insert(other);
    cluster.run(ELECTION * 4);
    cluster.isolated.clear();
    cluster.run(ELECTION);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.group(leader).term(), term);
}

#[test]
fn follower_names_the_leader() {
    let mut cluster = cluster(3);
    let leader = cluster.leader().unwrap();
    let other = *cluster.groups.keys().find(|id| **id != leader).unwrap();
    let now = cluster.now;
    let rejected = cluster.group(other).propose(now, b"x".to_vec());
    assert_eq!(
        rejected,
        Err(ProposeError::NotLeader {
            leader: Some(leader)
        })
    );
}

#[test]
fn lease_ends_before_another_leader_can_be_elected() {
    let mut cluster = cluster(3);
    let old_leader = cluster.leader().unwrap();
    let now = cluster.now;
    assert!(cluster.group(old_leader).lease_valid(now));
    cluster.isolated.insert(old_leader);
    while cluster.leader().is_none() {
        cluster.run(Duration::from_millis(10));
    }
    let now = cluster.now;
    assert!(!cluster.group(old_leader).lease_valid(now));
}

#[test]
fn read_barrier_waits_for_a_quorum_without_a_lease() {
    let mut cluster = Cluster::empty();
    for id in 1..=3 {
        let mut config = config(address(id), voters(3));
        config.lease = false;
        cluster.start(config, VolatileLog);
    }
    cluster.run(ELECTION);
    let leader = cluster.leader().unwrap();
    let now = cluster.now;
    let id = cluster.group(leader).read_barrier(now).unwrap();
    assert!(cluster.reads.is_empty());
    cluster.settle();
    assert_eq!(
        cluster.reads.iter().map(|read| read.id).collect::<Vec<_>>(),
        vec![id]
    );
    cluster.isolated.insert(leader);
    cluster.group(leader).read_barrier(now).unwrap();
    cluster.run(ELECTION);
    assert_eq!(
        cluster.reads.len(),
        1,
        "an isolated leader confirms no read"
    );
}

#[test]
fn leadership_transfer_completes_without_an_election_timeout() {
    let mut cluster = cluster(3);
    let old_leader = cluster.leader().unwrap();
    let target = *cluster.groups.keys().find(|id| **id != old_leader).unwrap();
    let now = cluster.now;
    cluster
        .group(old_leader)
        .transfer_leadership(now, target)
        .unwrap();
    cluster.settle();
    assert_eq!(cluster.leader(), Some(target));
}

#[test]
fn volatile_replica_returns_as_a_learner_and_is_promoted() {
    let mut cluster = cluster(3);
    for number in 0..20_u8 {
        cluster.propose(&[number]);
    }
    let leader = cluster.leader().unwrap();
    let lost = *cluster.groups.keys().find(|id| **id != leader).unwrap();
    let returned = ReplicaAddress::new(lost, 2);
    cluster.start(config(returned, voters(3)), VolatileLog);
    assert!(
        !cluster
            .group(leader)
            .peer()
            .configuration()
            .is_voter(returned)
    );
    cluster.run(ELECTION);
    let member = cluster
        .group(leader)
        .peer()
        .configuration()
        .member(lost)
        .unwrap();
    assert_eq!((member.incarnation, member.role), (2, MemberRole::Voter));
    assert_eq!(cluster.group(lost).machine().0.len(), 20);
}

#[test]
fn lagging_replica_catches_up_by_chunked_snapshot() {
    let mut cluster = Cluster::empty();
    for id in 1..=3 {
        let mut config = config(address(id), voters(3));
        config.snapshot_after_entries = 16;
        config.snapshot_chunk_bytes = 100;
        cluster.start(config, VolatileLog);
    }
    cluster.run(ELECTION);
    let leader = cluster.leader().unwrap();
    let lagging = *cluster.groups.keys().find(|id| **id != leader).unwrap();
    cluster.isolated.insert(lagging);
    for number in 0..200_u8 {
        cluster.propose(&[number; 8]);
    }
    cluster.isolated.clear();
    cluster.run(ELECTION);
    assert_eq!(cluster.group(lagging).machine().0.len(), 200);
    let status = cluster.group(lagging).status();
    assert!(status.snapshot_index > LogIndex(0));
}

/// Guards against unbounded memory: entries may be megabytes, so their number alone is no limit.
#[test]
fn retained_log_is_limited_by_bytes() {
    const ENTRY_BYTES: usize = 100 * 1024;
    let mut cluster = Cluster::empty();
    let mut config = config(address(1), voters(1));
    config.retained_entries = 1024;
    let limit = config.snapshot_after_bytes + 4 * 1024 * 1024 + 2 * ENTRY_BYTES;
    cluster.start(config, VolatileLog);
    cluster.run(ELECTION);
    for _ in 0..300 {
        cluster.propose(&[7; ENTRY_BYTES]);
        cluster.settle();
    }
    let held = cluster.group(ReplicaId(1)).peer().log_bytes();
    assert!(
        held <= limit,
        "log holds {held} bytes, limit is {limit} bytes"
    );
}

#[test]
fn group_grows_and_shrinks_by_one_member_at_a_time() {
    let mut cluster = Cluster::empty();
    cluster.start(config(address(1), voters(1)), VolatileLog);
    cluster.run(ELECTION);
    for id in 2..=3 {
        cluster.start(config(address(id), Default::default()), VolatileLog);
        let now = cluster.now;
        let change = MembershipChange::AddVoter(address(id));
        cluster
            .group(ReplicaId(1))
            .propose_membership(now, change)
            .unwrap();
        cluster.run(ELECTION);
    }
    assert_eq!(
        *cluster.group(ReplicaId(1)).peer().configuration(),
        voters(3)
    );
    let now = cluster.now;
    let change = MembershipChange::Remove(ReplicaId(1));
    cluster
        .group(ReplicaId(1))
        .propose_membership(now, change)
        .unwrap();
    cluster.run(ELECTION * 2);
    assert!(!cluster.group(ReplicaId(1)).is_leader());
    let leader = cluster.leader().unwrap();
    assert_eq!(cluster.group(leader).peer().configuration().len(), 2);
    cluster.propose(b"still going");
}
