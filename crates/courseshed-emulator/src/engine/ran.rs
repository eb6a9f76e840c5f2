//! What truly ran: the account that outside checkers compare promises with.
//!
//! It survives emulated crashes, and no answer of the engine protocol is drawn from it.

use courseshed_types::{BranchPath, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

/// What one request id took.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RanRequest {
    /// The request id.
    pub request: String,
    /// The branch that is charged.
    pub branch: BranchPath,
    /// How many times it began to run; more than 1 is a fault of the engine.
    pub runs: u32,
    /// How many times it ran to its end.
    pub finished: u32,
    /// Prompt tokens of all runs.
    pub prompt_tokens: u64,
    /// Tokens generated in all runs.
    pub output_tokens: u64,
    /// When it first began to run, by the machine's clock.
    #[serde(default)]
    pub started_at: Timestamp,
    /// When it last ran to its end, by the machine's clock.
    #[serde(default)]
    pub finished_at: Option<Timestamp>,
}

/// New work that came to an engine while it was leaving; it was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateArrival {
    /// The request id.
    pub request: String,
    /// When it came, by the machine's clock.
    pub at: Timestamp,
}

/// What a branch took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BranchTokens {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
    /// Tokens of cache filled by the branch and evicted or dropped before any reuse.
    pub wasted_cache_tokens: u64,
}

/// Answer of `GET /admin/ran`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RanReport {
    /// All requests that ever began to run, by id.
    pub requests: Vec<RanRequest>,
    /// Sums by branch.
    pub branches: BTreeMap<BranchPath, BranchTokens>,
    /// New work that came while the engine was leaving.
    #[serde(default)]
    pub late_arrivals: Vec<LateArrival>,
}

/// The account itself.
#[derive(Debug, Default)]
pub(crate) struct RanLedger {
    requests: BTreeMap<String, RanRequest>,
    branches: BTreeMap<BranchPath, BranchTokens>,
    late_arrivals: Vec<LateArrival>,
}

impl RanLedger {
    pub(crate) fn note_late_arrival(&mut self, id: &str) {
        self.late_arrivals.push(LateArrival {
            request: id.to_owned(),
            at: machine_time(),
        });
    }

    pub(crate) fn note_start(&mut self, id: &str, branch: &BranchPath, prompt_tokens: u32) {
        let request = self
            .requests
            .entry(id.to_owned())
            .or_insert_with(|| RanRequest {
                request: id.to_owned(),
                branch: branch.clone(),
                runs: 0,
                finished: 0,
                prompt_tokens: 0,
                output_tokens: 0,
                started_at: machine_time(),
                finished_at: None,
            });
        request.runs += 1;
        request.prompt_tokens += u64::from(prompt_tokens);
        self.branch(branch).prompt_tokens += u64::from(prompt_tokens);
    }

    pub(crate) fn note_tokens(&mut self, id: &str, branch: &BranchPath, count: u32) {
        if let Some(request) = self.requests.get_mut(id) {
            request.output_tokens += u64::from(count);
        }
        self.branch(branch).output_tokens += u64::from(count);
    }

    pub(crate) fn note_finish(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.finished += 1;
            request.finished_at = Some(machine_time());
        }
    }

    pub(crate) fn note_waste(&mut self, branch: &BranchPath, tokens: u64) {
        self.branch(branch).wasted_cache_tokens += tokens;
    }

    fn branch(&mut self, branch: &BranchPath) -> &mut BranchTokens {
        if !self.branches.contains_key(branch) {
            self.branches
                .insert(branch.clone(), BranchTokens::default());
        }
        self.branches.get_mut(branch).expect("inserted above")
    }

    pub(crate) fn report(&self) -> RanReport {
        RanReport {
            requests: self.requests.values().cloned().collect(),
            branches: self.branches.clone(),
            late_arrivals: self.late_arrivals.clone(),
        }
    }
}

/// The time of the machine's clock, which the checkers of one machine share.
fn machine_time() -> Timestamp {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Timestamp(since.unwrap_or_default().as_micros() as u64)
}
