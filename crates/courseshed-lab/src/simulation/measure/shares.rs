//! Service over time against what the settings tree grants.
//!
//! In each window the service a pool gave is divided anew as the tree would: by weights among branches with demand,
//! down the tree, none given more than it asked for. What a branch asked for is what it got and the least service
//! its waiting calls need. Drift is the part of the service that went elsewhere. Floors and priorities are left out:
//! they move service for a while and are meant to.

use std::collections::BTreeMap;

use courseshed_types::{BranchPath, PolicySnapshot, Timestamp};
use serde::{Deserialize, Serialize};

use super::super::scenario::Scenario;

/// Weight of a branch's own calls beside its children, as the dispatcher counts it.
const OWN_WEIGHT: f64 = 1.0;

/// A branch in a window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareRow {
    /// The branch.
    pub branch: String,
    /// Service it got, in units.
    pub served: u64,
    /// Service the tree grants it of what the pool gave.
    pub fair: f64,
}

/// A window of one pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareWindow {
    /// Second at which it ends.
    pub second: u64,
    /// The pool's model.
    pub model: String,
    /// Branches that got or wanted service.
    pub rows: Vec<ShareRow>,
}

struct Window {
    pool: usize,
    end: Timestamp,
    rows: Vec<ShareRow>,
}

/// Windows gathered, and the one under way.
pub(super) struct ShareLog {
    served: Vec<BTreeMap<BranchPath, u64>>,
    windows: Vec<Window>,
    measured_from: Timestamp,
    measured_until: Timestamp,
}

impl ShareLog {
    pub(super) fn new(pools: usize, from: Timestamp, until: Timestamp) -> ShareLog {
        ShareLog {
            served: vec![BTreeMap::new(); pools],
            windows: Vec::new(),
            measured_from: from,
            measured_until: until,
        }
    }

    pub(super) fn served(&mut self, pool: usize, branch: &BranchPath, service: u64) {
        *self.served[pool].entry(branch.clone()).or_default() += service;
    }

    pub(super) fn end_window(
        &mut self,
        pool: usize,
        end: Timestamp,
        policy: &PolicySnapshot,
        backlog: &BTreeMap<BranchPath, u64>,
    ) {
        let served = std::mem::take(&mut self.served[pool]);
        if end <= self.measured_from || end > self.measured_until || served.is_empty() {
            return;
        }
        let mut demand: BTreeMap<BranchPath, f64> = BTreeMap::new();
        for (branch, units) in served.iter().chain(backlog) {
            *demand.entry(branch.clone()).or_default() += *units as f64;
        }
        let total: u64 = served.values().sum();
        let fair = fair_parts(policy, &demand, total as f64);
        let rows = demand.keys().map(|branch| ShareRow {
            branch: branch.to_string(),
            served: served.get(branch).copied().unwrap_or(0),
            fair: fair.get(branch).copied().unwrap_or(0.0),
        });
        let rows = rows.collect();
        self.windows.push(Window { pool, end, rows });
    }

    /// Part of all service that went to other branches than the tree says.
    pub(super) fn drift(&self) -> f64 {
        let rows = self.windows.iter().flat_map(|window| &window.rows);
        let mut total = 0.0;
        let mut misplaced = 0.0;
        for row in rows {
            total += row.served as f64;
            misplaced += (row.served as f64 - row.fair).abs() / 2.0;
        }
        if total > 0.0 { misplaced / total } else { 0.0 }
    }

    /// The models of the pools, in order.
    pub(super) fn models(&self, scenario: &Scenario) -> Vec<String> {
        let mut models: Vec<String> = Vec::new();
        for spec in &scenario.engines {
            let model = spec.model.to_string();
            if !models.contains(&model) {
                models.push(model);
            }
        }
        models
    }

    pub(super) fn windows(&self, models: &[String]) -> Vec<ShareWindow> {
        let window = |window: &Window| ShareWindow {
            second: window.end.as_millis() / 1_000,
            model: models[window.pool].clone(),
            rows: window.rows.clone(),
        };
        self.windows.iter().map(window).collect()
    }
}

/// Divides service among the branches that ask for it, as the tree's weights say.
fn fair_parts(
    policy: &PolicySnapshot,
    demand: &BTreeMap<BranchPath, f64>,
    service: f64,
) -> BTreeMap<BranchPath, f64> {
    let mut parts = BTreeMap::new();
    divide(policy, demand, &BranchPath::root(), service, &mut parts);
    parts
}

/// A child of a branch, or its own calls, in the division.
struct Claim {
    child: Option<BranchPath>,
    weight: f64,
    wanted: f64,
}

fn divide(
    policy: &PolicySnapshot,
    demand: &BTreeMap<BranchPath, f64>,
    branch: &BranchPath,
    service: f64,
    parts: &mut BTreeMap<BranchPath, f64>,
) {
    for (claim, part) in fill(claims_below(policy, demand, branch), service) {
        match claim.child {
            Some(child) => divide(policy, demand, &child, part, parts),
            None => {
                parts.insert(branch.clone(), part);
            }
        }
    }
}

fn claims_below(
    policy: &PolicySnapshot,
    demand: &BTreeMap<BranchPath, f64>,
    branch: &BranchPath,
) -> Vec<Claim> {
    let wanted_below = |path: &BranchPath| -> f64 {
        let within = demand.iter().filter(|(other, _)| other.is_within(path));
        within.map(|(_, wanted)| wanted).sum()
    };
    let children = policy
        .branches
        .iter()
        .filter(|(path, _)| path.parent().as_ref() == Some(branch));
    let mut claims: Vec<Claim> = children
        .map(|(path, policy)| Claim {
            child: Some(path.clone()),
            weight: policy.share,
            wanted: wanted_below(path),
        })
        .collect();
    claims.push(Claim {
        child: None,
        weight: OWN_WEIGHT,
        wanted: demand.get(branch).copied().unwrap_or(0.0),
    });
    claims.retain(|claim| claim.wanted > 0.0);
    claims
}

/// Water-filling: each claim gets its part by weight, but no more than it wants; the rest goes to the others.
fn fill(mut open: Vec<Claim>, mut service: f64) -> Vec<(Claim, f64)> {
    let mut settled = Vec::new();
    loop {
        let weights: f64 = open.iter().map(|claim| claim.weight).sum();
        let per_weight = service / weights.max(f64::MIN_POSITIVE);
        let (content, hungry): (Vec<Claim>, Vec<Claim>) = open
            .into_iter()
            .partition(|claim| claim.wanted <= claim.weight * per_weight);
        if content.is_empty() {
            let parts = hungry.into_iter().map(|claim| {
                let part = claim.weight * per_weight;
                (claim, part)
            });
            settled.extend(parts);
            return settled;
        }
        for claim in content {
            service -= claim.wanted;
            let wanted = claim.wanted;
            settled.push((claim, wanted));
        }
        open = hungry;
        if open.is_empty() {
            return settled;
        }
    }
}
