//! Prefixes that were copied out of engines for dispatchers of this node, until they are brought back.
//!
//! The store holds what an engine needs to import a prefix. It is soft state: what is lost or pushed out is computed
//! anew by the engine that needs it. The oldest go first when it is full.

use std::collections::{BTreeMap, VecDeque};

use courseshed_engine::protocol::ExportedPrefix;
use courseshed_types::ProgramId;
use parking_lot::Mutex;

/// Blocks whose hashes are kept, 8 bytes each.
const CAPACITY_BLOCKS: usize = 1 << 20;

/// The store.
#[derive(Debug, Default)]
pub struct ExportStore {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    prefixes: BTreeMap<ProgramId, ExportedPrefix>,
    order: VecDeque<ProgramId>,
    blocks: usize,
}

impl Inner {
    fn remove(&mut self, program: &ProgramId) {
        if let Some(prefix) = self.prefixes.remove(program) {
            self.blocks -= prefix.blocks.len();
        }
    }
}

impl ExportStore {
    /// Keeps a prefix in place of an older one of its program.
    pub fn put(&self, prefix: ExportedPrefix) {
        let mut inner = self.inner.lock();
        let program = prefix.program;
        inner.order.retain(|kept| *kept != program);
        inner.remove(&program);
        inner.order.push_back(program);
        inner.blocks += prefix.blocks.len();
        inner.prefixes.insert(program, prefix);
        while inner.blocks > CAPACITY_BLOCKS
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.remove(&oldest);
        }
    }

    /// The prefix kept for a program.
    pub fn get(&self, program: &ProgramId) -> Option<ExportedPrefix> {
        self.inner.lock().prefixes.get(program).cloned()
    }
}

#[cfg(test)]
mod tests {
    use courseshed_types::{BranchPath, ShardId, Tokens};

    use super::*;

    fn prefix(number: u64, blocks: usize) -> ExportedPrefix {
        ExportedPrefix {
            program: ProgramId {
                shard: ShardId(1),
                number,
            },
            branch: BranchPath::root(),
            blocks: vec![number; blocks],
            tokens: Tokens(blocks as u64 * 16),
        }
    }

    #[test]
    fn a_full_store_pushes_the_oldest_out() {
        let store = ExportStore::default();
        let quarter = CAPACITY_BLOCKS / 4;
        for number in 0..4 {
            store.put(prefix(number, quarter));
        }
        store.put(prefix(0, quarter));
        store.put(prefix(4, 1));
        let is_kept = |number| store.get(&prefix(number, 0).program).is_some();
        assert!(is_kept(0) && is_kept(4), "0 was kept again after 1");
        assert!(!is_kept(1));
        assert!(is_kept(2) && is_kept(3));
    }
}
