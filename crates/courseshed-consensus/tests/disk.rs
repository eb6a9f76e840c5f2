//! Recovery of the disk storage after crashes and corruption, and the effect of disk failures on a
//! group.

mod support;

use std::fs;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use courseshed_consensus::{
    DiskFault, DiskLog, Entry, EntryPayload, FaultSwitch, FaultyLog, HardState, LogIndex,
    LogStorage, ProposeError, ReplicaId, Restored, Snapshot, SnapshotMetadata, StorageError, Term,
};
use support::{Cluster, address, config, voters};
use yare::parameterized;

const INCARNATION: u64 = 1;

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        term: Term(term),
        index: LogIndex(index),
        payload: EntryPayload::Data(Bytes::from(vec![index as u8; 40])),
    }
}

fn open(directory: &Path) -> DiskLog {
    DiskLog::open(directory, INCARNATION).expect("the directory can be opened")
}

fn reload(directory: &Path) -> Result<Restored, StorageError> {
    open(directory).load()
}

fn write_entries(directory: &Path, count: u64) {
    let mut disk = open(directory);
    disk.load().unwrap();
    let hard_state = HardState {
        term: Term(1),
        vote: Some(address(2)),
    };
    disk.append(Some(&hard_state), &[]).unwrap();
    for index in 1..=count {
        disk.append(None, &[entry(index, 1)]).unwrap();
    }
}

fn snapshot(index: u64) -> Snapshot {
    let metadata = SnapshotMetadata {
        index: LogIndex(index),
        term: Term(1),
        configuration: voters(3),
    };
    Snapshot {
        metadata,
        data: Bytes::from_static(b"state"),
    }
}

#[test]
fn reload_restores_hard_state_and_entries() {
    let directory = tempfile::tempdir().unwrap();
    write_entries(directory.path(), 3);
    let restored = reload(directory.path()).unwrap();
    assert_eq!(
        restored.hard_state,
        HardState {
            term: Term(1),
            vote: Some(address(2))
        }
    );
    assert_eq!(
        restored.entries,
        vec![entry(1, 1), entry(2, 1), entry(3, 1)]
    );
}

#[test]
fn later_entries_replace_earlier_ones() {
    let directory = tempfile::tempdir().unwrap();
    write_entries(directory.path(), 3);
    let mut disk = open(directory.path());
    disk.load().unwrap();
    disk.append(None, &[entry(2, 2)]).unwrap();
    drop(disk);
    let restored = reload(directory.path()).unwrap();
    assert_eq!(restored.entries, vec![entry(1, 1), entry(2, 2)]);
}

#[test]
fn truncation_within_the_last_record_loses_only_that_record() {
    let directory = tempfile::tempdir().unwrap();
    write_entries(directory.path(), 2);
    let log = directory.path().join("log");
    let complete_length = fs::read(&log).unwrap().len();
    let mut disk = open(directory.path());
    disk.load().unwrap();
    disk.append(None, &[entry(3, 1)]).unwrap();
    drop(disk);
    let intact = fs::read(&log).unwrap();
    for length in complete_length..intact.len() {
        fs::write(&log, &intact[..length]).unwrap();
        let restored = reload(directory.path()).unwrap();
        assert_eq!(
            restored.entries,
            vec![entry(1, 1), entry(2, 1)],
            "truncated at {length} bytes"
        );
        assert_eq!(
            fs::read(&log).unwrap().len(),
            complete_length,
            "the incomplete record is truncated"
        );
    }
}

#[test]
fn corruption_before_the_last_record_is_rejected() {
    let directory = tempfile::tempdir().unwrap();
    write_entries(directory.path(), 2);
    let log = directory.path().join("log");
    let checked_length = fs::read(&log).unwrap().len();
    let mut disk = open(directory.path());
    disk.load().unwrap();
    disk.append(None, &[entry(3, 1)]).unwrap();
    drop(disk);
    let intact = fs::read(&log).unwrap();
    for position in 0..checked_length {
        let mut corrupted = intact.clone();
        corrupted[position] ^= 0x40;
        fs::write(&log, &corrupted).unwrap();
        let rejected = reload(directory.path());
        assert!(
            matches!(rejected, Err(StorageError::Corrupted { .. })),
            "corruption at byte {position} is not rejected"
        );
        assert_eq!(
            fs::read(&log).unwrap(),
            corrupted,
            "a corrupted log is not modified"
        );
    }
}

#[test]
fn compaction_removes_entries_covered_by_the_snapshot() {
    let directory = tempfile::tempdir().unwrap();
    write_entries(directory.path(), 4);
    let mut disk = open(directory.path());
    disk.load().unwrap();
    disk.compact(&snapshot(3), LogIndex(4)).unwrap();
    disk.append(None, &[entry(5, 1)]).unwrap();
    drop(disk);
    let restored = reload(directory.path()).unwrap();
    assert_eq!(restored.snapshot, Some(snapshot(3)));
    assert_eq!(restored.entries, vec![entry(4, 1), entry(5, 1)]);
    assert_eq!(restored.hard_state.vote, Some(address(2)));
}

#[test]
fn reload_recovers_from_a_crash_between_snapshot_and_log_replacement() {
    let directory = tempfile::tempdir().unwrap();
    write_entries(directory.path(), 4);
    let log = directory.path().join("log");
    let before = fs::read(&log).unwrap();
    let mut disk = open(directory.path());
    disk.load().unwrap();
    disk.compact(&snapshot(3), LogIndex(4)).unwrap();
    drop(disk);
    fs::write(&log, before).unwrap();
    fs::write(directory.path().join("log.unfinished"), b"half a fi").unwrap();
    let restored = reload(directory.path()).unwrap();
    assert_eq!(restored.entries, vec![entry(4, 1)]);
    assert!(!directory.path().join("log.unfinished").exists());
}

#[test]
fn gap_between_snapshot_and_log_is_rejected() {
    let directory = tempfile::tempdir().unwrap();
    write_entries(directory.path(), 4);
    let mut disk = open(directory.path());
    disk.load().unwrap();
    disk.compact(&snapshot(3), LogIndex(4)).unwrap();
    drop(disk);
    fs::remove_file(directory.path().join("snapshot")).unwrap();
    assert!(matches!(
        reload(directory.path()),
        Err(StorageError::Corrupted { .. })
    ));
}

#[test]
fn directory_is_locked_and_keeps_its_incarnation() {
    let directory = tempfile::tempdir().unwrap();
    let first = open(directory.path());
    let second = DiskLog::open(directory.path(), 7);
    assert!(matches!(second, Err(StorageError::Locked { .. })));
    drop(first);
    let third = DiskLog::open(directory.path(), 7).unwrap();
    assert_eq!(third.incarnation(), INCARNATION);
}

#[test]
fn log_without_an_incarnation_file_is_rejected() {
    let directory = tempfile::tempdir().unwrap();
    write_entries(directory.path(), 1);
    fs::remove_file(directory.path().join("incarnation")).unwrap();
    let rejected = DiskLog::open(directory.path(), 2);
    assert!(matches!(rejected, Err(StorageError::Corrupted { .. })));
}

fn disk_cluster(directory: &Path) -> (Cluster<FaultyLog<DiskLog>>, Vec<FaultSwitch>) {
    let mut cluster = Cluster::empty();
    let switches: Vec<_> = (1..=3).map(|_| FaultSwitch::default()).collect();
    for (id, switch) in (1..=3).zip(&switches) {
        let disk = open(&directory.join(id.to_string()));
        let storage = FaultyLog::new(disk, switch.clone());
        cluster.start(config(address(id), voters(3)), storage);
    }
    cluster.run(Duration::from_secs(5));
    (cluster, switches)
}

#[parameterized(full = { DiskFault::Full }, failing = { DiskFault::Torn })]
fn leader_with_a_failed_disk_steps_down_and_rejects_proposals(fault: DiskFault) {
    let directory = tempfile::tempdir().unwrap();
    let (mut cluster, switches) = disk_cluster(directory.path());
    cluster.propose(b"before");
    let old = cluster.leader().unwrap();
    switches[old.0 as usize - 1].set(fault);
    cluster.propose(b"during");
    assert!(!cluster.group(old).is_leader());
    assert!(cluster.group(old).failure().is_some());
    let now = cluster.now;
    let rejected = cluster.group(old).propose(now, b"after".to_vec());
    assert_eq!(rejected, Err(ProposeError::StorageFailed));
    let new = cluster
        .leader()
        .expect("another replica is elected immediately");
    cluster.propose(b"after");
    assert!(cluster.group(new).machine().0.contains(&b"after".to_vec()));
}

#[test]
fn whole_group_restarts_from_its_disks() {
    let directory = tempfile::tempdir().unwrap();
    let (mut cluster, _) = disk_cluster(directory.path());
    for number in 0..40_u8 {
        cluster.propose(&[number]);
    }
    drop(cluster);
    let (mut cluster, _) = disk_cluster(directory.path());
    cluster.propose(b"new");
    assert_eq!(cluster.group(ReplicaId(1)).machine().0.len(), 41);
}

#[test]
fn commit_index_is_persisted_with_the_next_write() {
    let directory = tempfile::tempdir().unwrap();
    write_entries(directory.path(), 3);
    let mut disk = open(directory.path());
    disk.load().unwrap();
    disk.note_committed(LogIndex(3));
    disk.append(None, &[entry(4, 1)]).unwrap();
    disk.note_committed(LogIndex(4));
    drop(disk);
    assert_eq!(reload(directory.path()).unwrap().committed, LogIndex(3));
    let mut disk = open(directory.path());
    disk.load().unwrap();
    disk.compact(&snapshot(2), LogIndex(3)).unwrap();
    drop(disk);
    assert_eq!(reload(directory.path()).unwrap().committed, LogIndex(3));
}

/// Guards against a restarted replica applying nothing until a leader is elected.
#[test]
fn restarted_replica_applies_committed_entries_without_a_leader() {
    let directory = tempfile::tempdir().unwrap();
    let (mut cluster, _) = disk_cluster(directory.path());
    for number in 0..10_u8 {
        cluster.propose(&[number]);
    }
    let leader = cluster.leader().unwrap();
    drop(cluster);
    let disk = open(&directory.path().join(leader.0.to_string()));
    let mut alone = Cluster::empty();
    alone.start(config(address(leader.0), voters(3)), disk);
    alone.settle();
    assert_eq!(alone.leader(), None);
    let known: Vec<Vec<u8>> = (0..9_u8).map(|number| vec![number]).collect();
    assert_eq!(alone.group(leader).machine().0, known);
}
