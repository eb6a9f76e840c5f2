//! History of accepted changes to the settings tree.
//!
//! A change is accepted if its expected version is in force, and creates the next version. Resubmitting a change id
//! returns the original result, so operators can retry after a lost reply. A rollback is a regular change to an older
//! tree. The number and size of stored trees are limited; change ids are retained longer because they are small.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use courseshed_types::{
    CallError, ChangeId, ErrorCode, PolicySnapshot, SettingsVersion, Timestamp,
    control::{SettingsChange, SettingsRecord},
    policy::CutOffPolicy,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{publish::Published, state::ApplyOutcome, state::version_after};

/// Maximum number of stored trees.
const MAX_RECORDS: usize = 200;
/// Maximum total size of stored trees in bytes; the version in force is always stored.
const MAX_TEXT_BYTES: usize = 8 << 20;
/// Maximum number of retained change ids.
const MAX_CHANGE_IDS: usize = 20_000;

#[derive(Debug, Clone, Serialize, Deserialize)]
struct ChangeDigest {
    version: SettingsVersion,
    accepted_at: Timestamp,
    tree_digest: u64,
}

/// Accepted changes, newest last.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct SettingsHistory {
    records: VecDeque<SettingsRecord>,
    text_bytes: usize,
    changes: BTreeMap<ChangeId, ChangeDigest>,
    change_order: VecDeque<ChangeId>,
    /// Versions in which some branch continues while cut off from the controllers.
    continuing: BTreeSet<SettingsVersion>,
    /// Lower bound of `continuing`; older versions have been dropped from it.
    continuing_from: SettingsVersion,
}

impl SettingsHistory {
    /// The change in force; `None` before the first.
    pub fn current(&self) -> Option<&SettingsRecord> {
        self.records.back()
    }

    /// Returns the record of a version if its tree is still stored.
    pub fn version(&self, version: SettingsVersion) -> Option<&SettingsRecord> {
        let mut records = self.records.iter().rev();
        records.find(|record| record.version == version)
    }

    /// Returns the latest stored changes, newest first.
    pub fn latest(&self, limit: usize) -> impl Iterator<Item = &SettingsRecord> {
        self.records.iter().rev().take(limit)
    }

    /// Whether any version in `from..below` may let a branch continue while cut off.
    pub fn may_continue(&self, from: SettingsVersion, below: SettingsVersion) -> bool {
        if from >= below {
            return false;
        }
        from < self.continuing_from || self.continuing.range(from..below).next().is_some()
    }

    pub(super) fn apply(
        &mut self,
        published: &mut Published,
        at: Timestamp,
        change: SettingsChange,
        policy: Arc<PolicySnapshot>,
    ) -> Result<ApplyOutcome, CallError> {
        if let Some(record) = self.previous_result(&change)? {
            return Ok(ApplyOutcome::Settings(record));
        }
        let in_force = published.position().settings;
        check_version(&change, in_force, &policy)?;
        published.set_policy(Arc::clone(&policy));
        self.record_continuing(&policy);
        let record = SettingsRecord {
            version: policy.version,
            change_id: change.change_id,
            author: change.author,
            accepted_at: at,
            tree: Arc::from(change.tree),
        };
        self.add_record(record.clone());
        Ok(ApplyOutcome::Settings(record))
    }

    /// Returns the record of an earlier submission of the same change, if it was accepted. Fails if the change id was
    /// used with another tree.
    pub fn previous_result(
        &self,
        change: &SettingsChange,
    ) -> Result<Option<SettingsRecord>, CallError> {
        let Some(earlier) = self.changes.get(&change.change_id) else {
            return Ok(None);
        };
        if earlier.tree_digest != xxh3_64(change.tree.as_bytes()) {
            let message = format!(
                "change {} was already accepted as version {} with a different tree; use a new change id",
                change.change_id, earlier.version
            );
            return Err(CallError::not_run(ErrorCode::BodyConflict, message));
        }
        if let Some(record) = self.version(earlier.version) {
            return Ok(Some(record.clone()));
        }
        Ok(Some(SettingsRecord {
            version: earlier.version,
            change_id: change.change_id.clone(),
            author: change.author.clone(),
            accepted_at: earlier.accepted_at,
            tree: Arc::from(change.tree.as_str()),
        }))
    }

    fn add_record(&mut self, record: SettingsRecord) {
        let digest = ChangeDigest {
            version: record.version,
            accepted_at: record.accepted_at,
            tree_digest: xxh3_64(record.tree.as_bytes()),
        };
        self.changes.insert(record.change_id.clone(), digest);
        self.change_order.push_back(record.change_id.clone());
        self.text_bytes += record.tree.len();
        self.records.push_back(record);
        self.compact();
    }

    fn compact(&mut self) {
        let exceeds_limits = |history: &SettingsHistory| {
            history.records.len() > MAX_RECORDS || history.text_bytes > MAX_TEXT_BYTES
        };
        while self.records.len() > 1 && exceeds_limits(self) {
            if let Some(dropped) = self.records.pop_front() {
                self.text_bytes -= dropped.tree.len();
            }
        }
        while self.change_order.len() > MAX_CHANGE_IDS {
            if let Some(evicted) = self.change_order.pop_front() {
                self.changes.remove(&evicted);
            }
        }
        while self.continuing.len() > MAX_CHANGE_IDS {
            if let Some(evicted) = self.continuing.pop_first() {
                self.continuing_from = version_after(evicted);
            }
        }
    }

    fn record_continuing(&mut self, policy: &PolicySnapshot) {
        let continues = |cut_off: CutOffPolicy| cut_off == CutOffPolicy::Continue;
        let mut branches = policy.branches.values();
        if branches.any(|branch| continues(branch.when_cut_off)) {
            self.continuing.insert(policy.version);
        }
    }
}

fn check_version(
    change: &SettingsChange,
    in_force: SettingsVersion,
    policy: &PolicySnapshot,
) -> Result<(), CallError> {
    if change.expected_version != in_force {
        let message = format!(
            "the change expects version {}, but version {in_force} is in force; read the current version and retry",
            change.expected_version
        );
        return Err(CallError::not_run(ErrorCode::VersionConflict, message));
    }
    if policy.version != version_after(in_force) {
        let message = format!(
            "the policy was compiled for version {} instead of {}",
            policy.version,
            version_after(in_force)
        );
        return Err(CallError::not_run(ErrorCode::Internal, message));
    }
    Ok(())
}
