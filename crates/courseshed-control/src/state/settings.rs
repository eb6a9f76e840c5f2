//! The accepted changes of the settings tree.
//!
//! A change is accepted if it was made against the version in force; every accepted change makes the next version.
//! The same change id again gets the first answer, so that operators may resend when an answer is lost. Rolling
//! back is a change like any other, with an older tree. Texts of old versions are bounded; change ids are
//! remembered for far longer, since they are small.

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

/// Versions whose text is kept.
const RECORDS_KEPT: usize = 200;
/// Bytes of text kept over all versions; the version in force is kept whatever its size.
const TEXT_BYTES_KEPT: usize = 8 << 20;
/// Changes whose ids are remembered; more than a week at 2,800 changes a day.
const CHANGES_REMEMBERED: usize = 20_000;

#[derive(Debug, Clone, Serialize, Deserialize)]
struct RememberedChange {
    version: SettingsVersion,
    accepted_at: Timestamp,
    tree_digest: u64,
}

/// Accepted changes, newest last.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct SettingsHistory {
    records: VecDeque<SettingsRecord>,
    text_bytes: usize,
    changes: BTreeMap<ChangeId, RememberedChange>,
    change_order: VecDeque<ChangeId>,
    /// Versions in which some branch goes on when cut off from control.
    continuing: BTreeSet<SettingsVersion>,
    /// Versions below this are not in `continuing` even if they belonged there.
    continuing_from: SettingsVersion,
}

impl SettingsHistory {
    /// The change in force; none before the first.
    pub fn current(&self) -> Option<&SettingsRecord> {
        self.records.back()
    }

    /// A version whose text is still kept.
    pub fn version(&self, version: SettingsVersion) -> Option<&SettingsRecord> {
        let mut records = self.records.iter().rev();
        records.find(|record| record.version == version)
    }

    /// The latest changes whose text is kept, newest first.
    pub fn latest(&self, limit: usize) -> impl Iterator<Item = &SettingsRecord> {
        self.records.iter().rev().take(limit)
    }

    /// Whether a node that has some version from `from` up to but not including `below` may have one in which a
    /// branch goes on when cut off.
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
        if let Some(record) = self.first_answer(&change)? {
            return Ok(ApplyOutcome::Settings(record));
        }
        let in_force = published.position().settings;
        check_version(&change, in_force, &policy)?;
        published.set_policy(Arc::clone(&policy));
        self.note_continuing(&policy);
        let record = SettingsRecord {
            version: policy.version,
            change_id: change.change_id,
            author: change.author,
            accepted_at: at,
            tree: Arc::from(change.tree),
        };
        self.remember(record.clone());
        Ok(ApplyOutcome::Settings(record))
    }

    /// The answer that the same change got before.
    pub fn first_answer(
        &self,
        change: &SettingsChange,
    ) -> Result<Option<SettingsRecord>, CallError> {
        let Some(first) = self.changes.get(&change.change_id) else {
            return Ok(None);
        };
        if first.tree_digest != xxh3_64(change.tree.as_bytes()) {
            let message = format!(
                "change {} was accepted as version {} with another tree; use a new change id",
                change.change_id, first.version
            );
            return Err(CallError::not_run(ErrorCode::BodyConflict, message));
        }
        if let Some(record) = self.version(first.version) {
            return Ok(Some(record.clone()));
        }
        Ok(Some(SettingsRecord {
            version: first.version,
            change_id: change.change_id.clone(),
            author: change.author.clone(),
            accepted_at: first.accepted_at,
            tree: Arc::from(change.tree.as_str()),
        }))
    }

    fn remember(&mut self, record: SettingsRecord) {
        let remembered = RememberedChange {
            version: record.version,
            accepted_at: record.accepted_at,
            tree_digest: xxh3_64(record.tree.as_bytes()),
        };
        self.changes.insert(record.change_id.clone(), remembered);
        self.change_order.push_back(record.change_id.clone());
        self.text_bytes += record.tree.len();
        self.records.push_back(record);
        self.compact();
    }

    fn compact(&mut self) {
        let too_many = |history: &SettingsHistory| {
            history.records.len() > RECORDS_KEPT || history.text_bytes > TEXT_BYTES_KEPT
        };
        while self.records.len() > 1 && too_many(self) {
            if let Some(dropped) = self.records.pop_front() {
                self.text_bytes -= dropped.tree.len();
            }
        }
        while self.change_order.len() > CHANGES_REMEMBERED {
            if let Some(forgotten) = self.change_order.pop_front() {
                self.changes.remove(&forgotten);
            }
        }
        while self.continuing.len() > CHANGES_REMEMBERED {
            if let Some(forgotten) = self.continuing.pop_first() {
                self.continuing_from = version_after(forgotten);
            }
        }
    }

    fn note_continuing(&mut self, policy: &PolicySnapshot) {
        let goes_on = |cut_off: CutOffPolicy| cut_off == CutOffPolicy::Continue;
        let mut branches = policy.branches.values();
        if branches.any(|branch| goes_on(branch.when_cut_off)) {
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
            "the change was made against version {}, but version {in_force} is in force; read it and try again",
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
