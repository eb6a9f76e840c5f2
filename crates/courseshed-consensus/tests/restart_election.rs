//! Elections after a restart of all voters, measured in virtual time.

mod support;

use std::path::Path;
use std::time::Duration;

use courseshed_consensus::{DiskLog, MessageBody, ReplicaId};
use serde::{Deserialize, Serialize};
use support::{Cluster, address, config, voters};
use tempfile::TempDir;

const VOTERS: u64 = 5;
const ELECTION: Duration = Duration::from_secs(5);
/// The step of [`Cluster::run`].
const STEP: Duration = Duration::from_millis(10);

type Disks = Cluster<DiskLog>;

fn start(cluster: &mut Disks, folder: &Path, id: u64) {
    let mut config = config(address(id), voters(VOTERS));
    config.restart_election = true;
    let folder = folder.join(id.to_string());
    let disk = DiskLog::open(folder, 1).expect("the folder is writable");
    cluster.start(config, disk);
}

fn start_all(cluster: &mut Disks, folder: &Path) {
    for id in 1..=VOTERS {
        start(cluster, folder, id);
    }
}

/// A group that has served and then lost all processes.
fn stopped_group() -> (Disks, TempDir) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut cluster = Cluster::empty();
    start_all(&mut cluster, folder.path());
    cluster.run(ELECTION);
    cluster.propose(b"kept");
    cluster.groups.clear();
    (cluster, folder)
}

/// Time until a leader is known, from now on.
fn time_to_leader(cluster: &mut Disks) -> Duration {
    let start = cluster.now;
    while cluster.leader().is_none() && cluster.now < start + ELECTION * 4 {
        cluster.run(STEP);
    }
    cluster.now - start
}

fn election_timeout() -> Duration {
    config(address(1), voters(VOTERS)).election_timeout
}

/// Guards against a wait for an election timeout though no voter can hold a lease.
#[test]
fn leader_is_elected_at_once_after_a_restart_of_all_voters() {
    let (mut cluster, folder) = stopped_group();
    start_all(&mut cluster, folder.path());
    let waited = time_to_leader(&mut cluster);
    println!("with restart elections: {waited:?}");
    assert!(waited <= STEP, "a leader is known after {waited:?}");
    let leader = cluster.leader().expect("a leader is elected");
    assert!(cluster.group(leader).peer().won_restart_election());
    cluster.propose(b"new");
    assert_eq!(cluster.group(leader).machine().0.len(), 2);
}

/// Guards against an attempt that ends before the last voter has started.
#[test]
fn last_voter_to_start_makes_the_election_possible() {
    let (mut cluster, folder) = stopped_group();
    for id in 1..=VOTERS {
        assert_eq!(cluster.leader(), None);
        start(&mut cluster, folder.path(), id);
        cluster.run(STEP * 5);
    }
    assert!(cluster.leader().is_some());
}

/// Guards against an election by a quorum alone: the missing voter may be a leader with a lease.
#[test]
fn election_waits_for_the_timeout_if_a_voter_stays_away() {
    let (mut cluster, folder) = stopped_group();
    for id in 2..=VOTERS {
        start(&mut cluster, folder.path(), id);
    }
    let waited = time_to_leader(&mut cluster);
    assert!(
        waited >= election_timeout(),
        "a leader is known after {waited:?}"
    );
    assert!(waited < ELECTION);
}

/// Guards against two leaders with a lease: the former leader is frozen while all others restart.
#[test]
fn frozen_leader_prevents_the_immediate_election() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut cluster = Cluster::empty();
    start_all(&mut cluster, folder.path());
    cluster.run(ELECTION);
    let frozen = cluster.leader().expect("a leader is elected");
    let lease_seen_at = cluster.now;
    cluster.isolated.insert(frozen);
    for id in (1..=VOTERS).filter(|id| *id != frozen.0) {
        cluster.groups.remove(&ReplicaId(id));
        start(&mut cluster, folder.path(), id);
    }
    // The frozen process gets no ticks, and has not noticed that time has passed.
    let mut asleep = cluster
        .groups
        .remove(&frozen)
        .expect("the process is frozen");
    let waited = time_to_leader(&mut cluster);
    assert!(
        waited >= election_timeout(),
        "a leader is known after {waited:?}"
    );
    assert!(asleep.lease_valid(lease_seen_at));
    assert!(!asleep.lease_valid(cluster.now));
    asleep.tick(cluster.now);
    cluster.groups.insert(frozen, asleep);
    cluster.isolated.clear();
    cluster.run(ELECTION);
    assert!(!cluster.group(frozen).is_leader());
}

/// Guards against a leader that is deposed by restarted voters while it wakes up in time.
#[test]
fn leader_that_wakes_up_keeps_its_lease() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut cluster = Cluster::empty();
    start_all(&mut cluster, folder.path());
    cluster.run(ELECTION);
    let leader = cluster.leader().expect("a leader is elected");
    for id in (1..=VOTERS).filter(|id| *id != leader.0) {
        cluster.groups.remove(&ReplicaId(id));
        start(&mut cluster, folder.path(), id);
    }
    cluster.run(ELECTION);
    assert_eq!(cluster.leader(), Some(leader));
}

/// Guards against a group without a leader after replicas restart in the middle of the election.
#[test]
fn replicas_that_restart_again_during_the_election_get_a_leader() {
    for restarted in 1..=VOTERS {
        let (mut cluster, folder) = stopped_group();
        start_all(&mut cluster, folder.path());
        let now = cluster.now;
        // The requests are sent, and their senders are killed before the responses arrive.
        for group in cluster.groups.values_mut() {
            group.tick(now);
        }
        for id in 1..=restarted {
            cluster.groups.remove(&ReplicaId(id));
            start(&mut cluster, folder.path(), id);
        }
        let waited = time_to_leader(&mut cluster);
        assert!(
            waited < election_timeout(),
            "{restarted} restarted: a leader is known after {waited:?}"
        );
        cluster.propose(b"new");
    }
}

/// Guards against a restart election in a group whose settings don't ask for it.
#[test]
fn election_waits_for_the_timeout_by_default() {
    let (mut cluster, folder) = stopped_group();
    for id in 1..=VOTERS {
        let disk = DiskLog::open(folder.path().join(id.to_string()), 1).expect("the disk opens");
        cluster.start(config(address(id), voters(VOTERS)), disk);
    }
    let waited = time_to_leader(&mut cluster);
    println!("without restart elections: {waited:?}");
    assert!(waited >= election_timeout());
}

/// The pre-vote messages of a build without restart elections.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OldBody {
    PreVoteRequest {
        log_end: courseshed_consensus::LogEnd,
    },
}

/// Guards against pre-votes that builds without restart elections can't read: fields encoded by
/// position must be absent while they have their default.
#[test]
fn ordinary_pre_votes_are_encoded_as_by_older_builds() {
    let log_end = courseshed_consensus::LogEnd::default();
    let request = MessageBody::PreVoteRequest {
        log_end,
        after_restart: false,
    };
    let old = OldBody::PreVoteRequest { log_end };
    let by_position = rmp_serde::to_vec(&request).expect("the request can be encoded");
    assert_eq!(by_position, rmp_serde::to_vec(&old).expect("as above"));
    let read: MessageBody = rmp_serde::from_slice(&by_position).expect("the request is readable");
    assert_eq!(read, request);
    // Fields encoded by name are ignored by a reader that doesn't know them.
    let after_restart = MessageBody::PreVoteRequest {
        log_end,
        after_restart: true,
    };
    let by_name = rmp_serde::to_vec_named(&after_restart).expect("the request can be encoded");
    let read: OldBody = rmp_serde::from_slice(&by_name).expect("older builds read the request");
    assert_eq!(read, old);
}
