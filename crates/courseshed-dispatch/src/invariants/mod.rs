//! Consistency checks between the tables, and a property test that applies them after arbitrary
//! messages.

mod messages;

use std::collections::BTreeMap;

use courseshed_types::{BranchPath, EngineId, ProgramId};
use proptest::prelude::*;

use crate::{
    state::State,
    tables::{CallPhase, NodeIndex},
};

use messages::{ENGINES, Run, directory, inputs};

/// Panics if two tables are inconsistent.
fn check(state: &State) {
    check_queues(state);
    check_listings(state);
    check_engines(state);
    check_leases(state);
    check_timers(state);
}

fn check_queues(state: &State) {
    let mut queued = 0;
    for (index, node) in state.branches.iter() {
        queued += node.queue.len();
        for (rank, call) in &node.queue {
            let entry = state.calls.get(call).expect("a queued call is known");
            assert_eq!(entry.phase, CallPhase::Waiting(*rank));
            assert_eq!(entry.queue, index);
        }
        assert!(node.first_calls.is_subset(&node.queue));
    }
    let parked: usize = state
        .engines
        .iter()
        .map(|(_, engine)| engine.parked.len())
        .sum();
    let waiting = state.calls.iter().filter(|(_, call)| call.is_waiting());
    assert_eq!(queued + parked, waiting.count());
    assert_eq!(queued + parked, state.calls.waiting());
    for (id, engine) in state.engines.iter() {
        for call in &engine.parked {
            let entry = state.calls.get(call).expect("a parked call is known");
            let CallPhase::Parked(parking) = &entry.phase else {
                panic!("{call:?} is listed as parked");
            };
            assert_eq!(parking.engine, *id);
        }
    }
}

fn check_listings(state: &State) {
    for (index, node) in state.branches.iter() {
        let has_calls = !node.queue.is_empty() || !node.active.is_empty();
        assert_eq!(node.active.len(), node.by_urgency.len());
        if index == NodeIndex::ROOT {
            continue;
        }
        assert_eq!(has_calls, node.listing.is_some());
        if let (Some(listing), Some(parent)) = (node.listing, node.parent) {
            let parent = state.branches.node(parent);
            assert!(parent.active.contains(&(listing.effective_start, index)));
            assert!(parent.by_urgency.contains(&(listing.urgency, index)));
        }
    }
}

fn check_engines(state: &State) {
    let mut calls: BTreeMap<EngineId, (u32, u64)> = BTreeMap::new();
    for (_, call) in state.calls.iter() {
        if let Some(assignment) = call.assignment() {
            let entry = calls.entry(assignment.engine.clone()).or_default();
            entry.0 += 1;
            entry.1 += assignment.memory.0;
        }
    }
    for (id, engine) in state.engines.iter() {
        let (in_flight, memory) = calls.get(id).copied().unwrap_or_default();
        assert_eq!((engine.in_flight, engine.memory.0), (in_flight, memory));
    }
}

fn check_leases(state: &State) {
    let mut by_engine: BTreeMap<EngineId, u64> = BTreeMap::new();
    let mut by_branch: BTreeMap<BranchPath, u64> = BTreeMap::new();
    for (id, program) in state.programs.iter() {
        let Some(prefix) = &program.prefix else {
            continue;
        };
        *by_engine.entry(prefix.engine.clone()).or_default() += prefix.leased_tokens.0;
        for path in program.branch.ancestry() {
            *by_branch.entry(path).or_default() += prefix.leased_tokens.0;
        }
        if prefix.leased_until.is_some() {
            let mut calls = state.calls.iter().filter(|(call, _)| call.program == *id);
            assert!(calls.all(|(_, call)| call.assignment().is_none()));
        }
    }
    for (branch, account) in &state.cache_accounts {
        let programs = state
            .programs
            .iter()
            .filter(|(_, program)| program.branch == *branch);
        let tokens = programs.filter_map(|(_, program)| program.prefix.as_ref());
        let cached: u64 = tokens.map(|prefix| prefix.tokens.0).sum();
        assert_eq!(account.cached, cached);
    }
    let exported: u64 = state
        .programs
        .iter()
        .map(|(_, program)| program.exported.0)
        .sum();
    assert_eq!(state.exported.0, exported);
    for (id, engine) in state.engines.iter() {
        assert_eq!(engine.leased.0, by_engine.get(id).copied().unwrap_or(0));
        let is_held = |program: &ProgramId| {
            let prefix = state
                .programs
                .get(program)
                .and_then(|entry| entry.prefix.as_ref());
            prefix.is_some_and(|prefix| prefix.leased_until.is_some() && prefix.engine == *id)
        };
        assert!(engine.leased_programs.iter().all(is_held));
    }
    for (branch, account) in &state.cache_accounts {
        assert_eq!(account.leased, by_branch.get(branch).copied().unwrap_or(0));
    }
}

/// Checks that the number of timers is bounded by the other tables.
fn check_timers(state: &State) {
    let entities = state.calls.len() * 3 + state.programs.len() * 2;
    let few = ENGINES.len() + 2;
    assert!(state.timers.len() <= entities + few);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    #[test]
    fn tables_are_consistent_after_arbitrary_messages(inputs in inputs()) {
        let mut run = Run::new();
        run.dispatcher.on_engines(run.now, &directory(0));
        for input in inputs {
            run.apply(input);
            run.dispatcher.tick(run.now);
            check(&run.dispatcher.state);
            let late = run.dispatcher.next_wakeup().is_some_and(|at| at <= run.now);
            prop_assert!(!late, "a tick leaves nothing due");
        }
    }
}
