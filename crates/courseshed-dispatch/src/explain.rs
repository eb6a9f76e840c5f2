//! Read-only diagnostics: wait explanations and statistics.

use std::collections::BTreeMap;

use courseshed_types::{
    CallId, EngineId, Timestamp, Tokens,
    dispatch::{EngineState, WaitExplanation},
};

use crate::{
    output::{BranchStats, DispatcherStats, EngineStats, Waste},
    state::State,
    systems::{assignment, engine_selection, fairness},
    tables::{BranchTable, CallPhase, NodeIndex},
    units::Service,
};

/// Explains why a call is queued; `None` if it is not queued.
pub(crate) fn explain(state: &State, now: Timestamp, call: CallId) -> Option<WaitExplanation> {
    let entry = state.calls.get(&call)?;
    if !entry.is_waiting() {
        return None;
    }
    let queue = entry.queue;
    let entitled_share = state.branches.entitled_share(queue);
    let attained_share = attained(&state.branches, queue);
    Some(WaitExplanation {
        call,
        position: position(state, call),
        pool_waiting: state.calls.waiting() as u32,
        entitled_share,
        attained_share,
        reason: reason(state, now, call, entitled_share, attained_share),
    })
}

pub(crate) fn stats(state: &State, now: Timestamp) -> DispatcherStats {
    let waiting = state.calls.waiting();
    DispatcherStats {
        waiting,
        in_flight: state.calls.len() - waiting,
        programs: state.programs.len(),
        timers: state.timers.len(),
        branches: branch_stats(state),
        engines: engine_stats(state, now),
        counters: state.counters,
    }
}

/// Position of the call in the scheduling order, found by simulating the order with expected
/// charges on a copy of the tree.
fn position(state: &State, call: CallId) -> u32 {
    let is_queued = state
        .calls
        .get(&call)
        .is_some_and(|entry| matches!(entry.phase, CallPhase::Waiting(_)));
    if !is_queued {
        return 0;
    }
    let mut tree = state.branches.clone();
    let warp = state.config.warp_per_priority;
    let mut ahead = 0;
    while let Some((queue, next)) = fairness::next_call(&tree) {
        if next == call {
            break;
        }
        ahead += 1;
        let charged = expected_charge(state, next);
        fairness::begin_service(&mut tree, queue);
        tree.node_mut(queue).queue.pop_first();
        fairness::charge(&mut tree, queue, charged, warp);
    }
    ahead
}

/// The expected charge of a call, assuming it finds its prefix cached.
fn expected_charge(state: &State, call: CallId) -> Service {
    let program = state.programs.get(&call.program);
    let prefix = program.and_then(|program| program.prefix.as_ref());
    let cached = prefix.map_or(Tokens::ZERO, |prefix| prefix.tokens);
    assignment::expected_service(state, call, cached)
}

/// The branch's fraction of recently charged service.
fn attained(tree: &BranchTable, index: NodeIndex) -> f64 {
    let pool = tree.node(NodeIndex::ROOT);
    let all = pool.recent.value_at(pool.served);
    let own = tree.node(index).recent.value_at(pool.served);
    (own / all.max(1.0)).clamp(0.0, 1.0)
}

fn reason(state: &State, now: Timestamp, call: CallId, entitled: f64, attained: f64) -> String {
    if let Some(CallPhase::Parked(parking)) = state.calls.get(&call).map(|entry| &entry.phase) {
        let engine = &parking.engine;
        return format!("the call waits for engine {engine}, which caches its prefix");
    }
    let is_live = |engine_state: EngineState| engine_state == EngineState::Live;
    if !state
        .engines
        .iter()
        .any(|(_, engine)| is_live(engine.member.state))
    {
        return "no live engine serves the model".to_string();
    }
    if now < state.grace_until {
        return "the dispatcher has just started and is waiting for announcements and load reports"
            .to_string();
    }
    if engine_selection::any_slot(state, now, call) {
        return "engines have free slots but not enough KV memory for this call".to_string();
    }
    if attained > entitled {
        return "all engines are full and the branch has recently used more than its share"
            .to_string();
    }
    "all engines are full and other calls are ahead in the queue".to_string()
}

fn branch_stats(state: &State) -> Vec<BranchStats> {
    let mut waiting: BTreeMap<NodeIndex, usize> = BTreeMap::new();
    for (index, node) in state.branches.iter() {
        for ancestor in state.branches.path_to_root(index) {
            *waiting.entry(ancestor).or_default() += node.queue.len();
        }
    }
    let branch_entry = |(index, node): (NodeIndex, &crate::tables::BranchNode)| {
        let account = state
            .cache_accounts
            .get(&node.path)
            .filter(|_| !node.is_own_queue);
        BranchStats {
            branch: node.path.clone(),
            own_queue: node.is_own_queue,
            entitled_share: state.branches.entitled_share(index),
            served: node.served,
            waiting: waiting.get(&index).copied().unwrap_or(0),
            cached_tokens: account.map_or(0, |account| account.cached),
            leased_tokens: account.map_or(0, |account| account.leased),
            waste: account.map_or(Waste::default(), |account| account.waste),
        }
    };
    state.branches.iter().map(branch_entry).collect()
}

fn engine_stats(state: &State, now: Timestamp) -> BTreeMap<EngineId, EngineStats> {
    let mut stats = BTreeMap::new();
    for (id, engine) in state.engines.iter() {
        let load = engine.report.as_ref().map(|report| &report.load);
        let entry = EngineStats {
            engine: id.clone(),
            state: engine.member.state,
            accepts_calls: engine.accepts_calls(now, &state.pool.model),
            ejected_until: engine.health.ejected_until,
            in_flight: engine.in_flight,
            call_limit: engine.call_limit(&state.config, now),
            parked: engine.parked.len(),
            memory_tokens: engine.memory.0,
            leased_tokens: engine.leased.0,
            reported_running: load.map(|load| load.running),
            reported_waiting: load.map(|load| load.waiting),
        };
        stats.insert(id.clone(), entry);
    }
    stats
}
