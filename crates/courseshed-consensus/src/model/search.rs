//! The exhaustive search.

use pathfinding::directed::bfs::bfs;

use super::Counterexample;
use super::action::{Described, Step};
use super::replicas::Replicas;
use super::rules::Rules;
use super::state::State;
use crate::Peer;

/// What a search found.
pub(super) struct Found {
    pub(super) states: usize,
    pub(super) states_at_goal: usize,
    pub(super) counterexample: Option<Counterexample>,
}

/// Visits every state within the rules, or stops at the first that breaks a promise.
pub(super) fn explore(rules: &Rules, goal: fn(&Peer) -> bool) -> Found {
    let replicas = Replicas::new(*rules);
    let mut states = 0;
    let mut states_at_goal = 0;
    let successors = |state: &State| -> Vec<State> {
        states += 1;
        states_at_goal += usize::from(state.any_replica(&replicas, goal));
        let actions = state.actions(&replicas).into_iter();
        actions
            .flat_map(|action| state.after(&replicas, action))
            .collect()
    };
    let is_violated = |state: &State| state.violation().is_some();
    let path = bfs(&State::start(&replicas), successors, is_violated);
    let counterexample = path.and_then(|path| describe(&replicas, &path));
    Found {
        states,
        states_at_goal,
        counterexample,
    }
}

fn describe(replicas: &Replicas, path: &[State]) -> Option<Counterexample> {
    let promise = path.last()?.violation()?.promise().to_owned();
    let steps = path
        .windows(2)
        .filter_map(|pair| step_between(replicas, &pair[0], &pair[1]));
    Some(Counterexample {
        promise,
        steps: steps.collect(),
    })
}

fn step_between(replicas: &Replicas, before: &State, after: &State) -> Option<String> {
    let mut actions = before.actions(replicas).into_iter();
    let leads_there = |action: &_| before.after(replicas, *action).contains(after);
    let action = actions.find(leads_there)?;
    let message = match action.step {
        Step::Receive(id) => Some(replicas.message(id)),
        _ => None,
    };
    let described = Described {
        action,
        message: message.as_deref(),
    };
    Some(described.to_string())
}
