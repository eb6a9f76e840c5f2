//! One state of a modelled group, and its successors.
//!
//! The network holds a bounded number of messages and delivers them in any order. When more are
//! sent, any of them are lost. Messages of a term older than the receiver's are always lost, except
//! statements to be leaderless, which are matched by the term of their request.

use super::action::{Action, Step};
use super::history::{self, History, Violation};
use super::interner::Id;
use super::replicas::Replicas;
use super::rules::Budget;
use crate::{Message, MessageBody, Peer, ReplicaId};

/// Replicas in a modelled group.
pub(super) const REPLICAS: usize = 3;

/// One state of the group, its network, and what an observer remembers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct State {
    replicas: [Id<Peer>; REPLICAS],
    network: Vec<Id<Message>>,
    history: Id<History>,
    budget: Budget,
    violation: Option<Violation>,
}

impl State {
    pub(super) fn start(replicas: &Replicas) -> Self {
        Self {
            replicas: replicas.start(),
            network: Vec::new(),
            history: replicas.no_history(),
            budget: replicas.rules().budget,
            violation: None,
        }
    }

    pub(super) fn violation(&self) -> Option<Violation> {
        self.violation
    }

    pub(super) fn any_replica(&self, replicas: &Replicas, test: fn(&Peer) -> bool) -> bool {
        self.replicas
            .iter()
            .any(|replica| test(&replicas.peer(*replica)))
    }

    /// All steps that are possible now.
    pub(super) fn actions(&self, replicas: &Replicas) -> Vec<Action> {
        // By symmetry, the first step is an election of the first replica.
        if self.budget == replicas.rules().budget {
            return vec![action(0, Step::Campaign)];
        }
        let mut actions = Vec::new();
        for message in &self.network {
            let receiver = replicas.message(*message).to.0 as usize - 1;
            let delivery = action(receiver, Step::Receive(*message));
            actions.push(delivery);
            if self.budget.duplicates > 0 {
                actions.push(Action {
                    keeps_message: true,
                    ..delivery
                });
            }
        }
        for replica in 0..REPLICAS {
            self.own_actions(replicas, replica, &mut actions);
        }
        actions
    }

    /// The steps that a replica takes without a message.
    fn own_actions(&self, replicas: &Replicas, replica: usize, actions: &mut Vec<Action>) {
        let mut offer = |budget: u8, step: Step| {
            if budget > 0 {
                actions.push(action(replica, step));
            }
        };
        offer(self.budget.restarts, Step::Restart);
        offer(self.budget.restart_requests, Step::AskLeaderless);
        if !replicas.peer(self.replicas[replica]).is_leader() {
            offer(self.budget.campaigns, Step::Campaign);
            return;
        }
        offer(self.budget.proposals, Step::Propose(self.budget.proposals));
        offer(self.budget.heartbeats, Step::Heartbeat);
        for member in 1..=REPLICAS as u64 {
            offer(self.budget.removals, Step::Remove(ReplicaId(member)));
        }
    }

    /// The states that a step may lead to: one for each choice of messages that are lost. None if
    /// the step changes nothing.
    pub(super) fn after(&self, replicas: &Replicas, action: Action) -> Vec<Self> {
        let stepped = replicas.step(self.replicas[action.replica], action.step);
        let mut next = self.clone();
        next.spend(action);
        if let (Step::Receive(message), false) = (action.step, action.keeps_message) {
            next.network.retain(|other| *other != message);
        }
        next.replicas[action.replica] = stepped.peer;
        next.send(replicas, &stepped.sent);
        next.observe(replicas, action.replica);
        let networks = subsets(&next.network, replicas.rules().network_capacity);
        let states = networks.into_iter().map(|network| Self {
            network,
            ..next.clone()
        });
        states.filter(|state| state.changes(self)).collect()
    }

    fn spend(&mut self, action: Action) {
        let budget = &mut self.budget;
        match action.step {
            Step::Campaign => budget.campaigns -= 1,
            Step::AskLeaderless => budget.restart_requests -= 1,
            Step::Propose(_) => budget.proposals -= 1,
            Step::Heartbeat => budget.heartbeats -= 1,
            Step::Remove(_) => budget.removals -= 1,
            Step::Restart => budget.restarts -= 1,
            Step::Receive(_) => budget.duplicates -= u8::from(action.keeps_message),
        }
    }

    fn send(&mut self, replicas: &Replicas, sent: &[Id<Message>]) {
        self.network.extend_from_slice(sent);
        let peers = self.replicas;
        self.network.retain(|id| {
            let message = replicas.message(*id);
            let is_statement = matches!(
                message.body,
                MessageBody::PreVoteResponse {
                    leaderless: true,
                    ..
                }
            );
            is_statement || message.term >= replicas.peer(peers[message.to.0 as usize - 1]).term()
        });
        self.network.sort_unstable();
        self.network.dedup();
    }

    fn observe(&mut self, replicas: &Replicas, replica: usize) {
        let peer = self.replicas[replica];
        match replicas.observe(self.history, peer) {
            Ok(history) => self.history = history,
            Err(violation) => self.violation = Some(violation),
        }
        let others = self.replicas.iter().filter(|other| **other != peer);
        let mismatch = others
            .filter_map(|other| replicas.logs_match(*other, peer).err())
            .next();
        let before_lease_end = self.replicas.iter().any(|other| {
            let (one, other) = (replicas.peer(peer), replicas.peer(*other));
            history::precedes_lease_end(&one, &other) || history::precedes_lease_end(&other, &one)
        });
        let early = before_lease_end.then_some(Violation::ElectedBeforeLeaseEnd);
        self.violation = self.violation.or(mismatch).or(early);
    }

    /// Whether this state differs from the one before by more than a budget.
    fn changes(&self, before: &Self) -> bool {
        self.replicas != before.replicas || self.network != before.network
    }
}

fn action(replica: usize, step: Step) -> Action {
    Action {
        replica,
        step,
        keeps_message: false,
    }
}

/// All ways to keep as many messages as fit.
fn subsets(messages: &[Id<Message>], capacity: usize) -> Vec<Vec<Id<Message>>> {
    if messages.len() <= capacity {
        return vec![messages.to_vec()];
    }
    let without = |lost: usize| {
        let kept = messages
            .iter()
            .enumerate()
            .filter(|(position, _)| *position != lost);
        let kept: Vec<_> = kept.map(|(_, message)| *message).collect();
        subsets(&kept, capacity)
    };
    (0..messages.len()).flat_map(without).collect()
}
