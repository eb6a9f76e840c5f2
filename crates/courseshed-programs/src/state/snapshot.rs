//! The state as bytes, to be handed to a replica that lags behind or to a new one.

use std::{collections::BTreeMap, hash::Hasher};

use courseshed_types::{ProgramId, ShardId};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use super::{ShardState, programs::program_key};
use crate::{
    command::{CodecError, DecodeSnafu},
    escrow::EscrowLedger,
    program::{ProgramRecord, Tombstone},
    usage::UsageTable,
};

/// The layout of snapshots; a change of it needs a new number.
const SNAPSHOT_FORMAT: u32 = 1;

/// A snapshot that can't be taken over.
#[derive(Debug, snafu::Snafu)]
pub enum SnapshotError {
    /// Not readable.
    #[snafu(transparent)]
    Codec {
        /// Why.
        source: CodecError,
    },
    /// Written by another version of the software.
    #[snafu(display("the snapshot has format {found}, this software reads {SNAPSHOT_FORMAT}"))]
    Format {
        /// The format found.
        found: u32,
    },
    /// Of another shard.
    #[snafu(display("the snapshot is of shard {found}, not of shard {expected}"))]
    OtherShard {
        /// The shard it is of.
        found: ShardId,
        /// The shard of this state.
        expected: ShardId,
    },
}

/// What a snapshot holds; tables that can be derived are left out.
#[derive(Serialize)]
struct SnapshotOut<'a> {
    format: u32,
    shard: ShardId,
    applied: u64,
    last_program: u64,
    programs: Vec<&'a ProgramRecord>,
    tombstones: Vec<&'a Tombstone>,
    escrow: &'a EscrowLedger,
}

#[derive(Deserialize)]
struct SnapshotIn {
    format: u32,
    shard: ShardId,
    applied: u64,
    last_program: u64,
    programs: Vec<ProgramRecord>,
    tombstones: Vec<Tombstone>,
    escrow: EscrowLedger,
}

impl ShardState {
    /// The whole state as bytes (MessagePack).
    pub fn snapshot(&self) -> Vec<u8> {
        // Encoding plain data into memory can't fail; an empty snapshot would be refused by `restore`.
        rmp_serde::to_vec(&self.contents()).unwrap_or_default()
    }

    fn contents(&self) -> SnapshotOut<'_> {
        SnapshotOut {
            format: SNAPSHOT_FORMAT,
            shard: self.shard,
            applied: self.applied,
            last_program: self.last_program,
            programs: self.programs.values().collect(),
            tombstones: self.tombstones.values().collect(),
            escrow: &self.escrow,
        }
    }

    /// Feeds all contents but the position in the log, for model checking.
    pub(crate) fn hash_contents(&self, hasher: &mut impl Hasher) {
        let contents = SnapshotOut {
            applied: 0,
            ..self.contents()
        };
        hasher.write(&rmp_serde::to_vec(&contents).unwrap_or_default());
    }

    /// Replaces the state by that of a snapshot; on an error the state stays as it was.
    pub fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError> {
        let read: SnapshotIn = rmp_serde::from_slice(snapshot).context(DecodeSnafu {
            what: "a shard snapshot",
        })?;
        let format = read.format;
        ensure!(format == SNAPSHOT_FORMAT, FormatSnafu { found: format });
        let other = OtherShardSnafu {
            found: read.shard,
            expected: self.shard,
        };
        ensure!(read.shard == self.shard, other);
        *self = rebuild(read);
        Ok(())
    }
}

fn rebuild(read: SnapshotIn) -> ShardState {
    let programs = read.programs.into_iter().map(|record| (record.id, record));
    let stones = read.tombstones.into_iter();
    let mut state = ShardState {
        shard: read.shard,
        applied: read.applied,
        last_program: read.last_program,
        programs: programs.collect(),
        tombstones: stones.map(|stone| (stone.view.id, stone)).collect(),
        escrow: read.escrow,
        keys: BTreeMap::new(),
        usage: UsageTable::default(),
    };
    derive_tables(&mut state);
    state
}

fn derive_tables(state: &mut ShardState) {
    let live = state.programs.values();
    let live = live.map(|record| (record.id, &record.branch, record.idempotency_key.as_deref()));
    let gone = state.tombstones.values();
    let gone = gone.map(|stone| {
        let key = stone.idempotency_key.as_deref();
        (stone.view.id, &stone.view.branch, key)
    });
    let keys = live.chain(gone).filter_map(|(program, branch, key)| {
        let key = program_key(branch, key)?;
        Some((key, program))
    });
    let keys: BTreeMap<_, ProgramId> = keys.collect();
    for record in state.programs.values() {
        if record.ended.is_none() {
            state.usage.program_started(&record.branch);
        }
        if record.open_call().is_some() {
            state.usage.call_opened(&record.branch);
        }
    }
    state.keys = keys;
}
