//! The replicas of a modelled group: real peers, whose steps are remembered.
//!
//! The same peer meets the same message in very many states; its step is computed once. A step
//! includes the replica's write to storage.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::action::Step;
use super::history::{self, History, Violation};
use super::interner::{Id, Interner};
use super::rules::{Restart, Rules};
use super::state::REPLICAS;
use crate::{
    Configuration, GroupId, HardState, MembershipChange, Message, MessageBody, Peer, PeerConfig,
    ReplicaAddress, ReplicaId, Restored,
};

const NOW: Duration = Duration::ZERO;
const FIRST_INCARNATION: u64 = 1;

/// Results that were computed before.
type Memo<Key, Value> = RefCell<HashMap<Key, Value>>;

/// The history after a step, or the promise that the step broke.
type Observed = Result<Id<History>, Violation>;

/// What a step makes of a replica, and what it sends.
#[derive(Debug)]
pub(super) struct Stepped {
    pub(super) peer: Id<Peer>,
    pub(super) sent: Vec<Id<Message>>,
}

/// All replicas, messages and histories met so far, and the steps between them.
#[derive(Debug)]
pub(super) struct Replicas {
    rules: Rules,
    peers: RefCell<Interner<Peer>>,
    messages: RefCell<Interner<Message>>,
    histories: RefCell<Interner<History>>,
    steps: Memo<(Id<Peer>, Step), Rc<Stepped>>,
    observations: Memo<(Id<History>, Id<Peer>), Observed>,
    matches: Memo<(Id<Peer>, Id<Peer>), Result<(), Violation>>,
}

impl Replicas {
    pub(super) fn new(rules: Rules) -> Self {
        Self {
            rules,
            peers: RefCell::default(),
            messages: RefCell::default(),
            histories: RefCell::default(),
            steps: RefCell::default(),
            observations: RefCell::default(),
            matches: RefCell::default(),
        }
    }

    pub(super) fn rules(&self) -> &Rules {
        &self.rules
    }

    pub(super) fn start(&self) -> [Id<Peer>; REPLICAS] {
        std::array::from_fn(|position| {
            let address = first_address(position as u64 + 1);
            let peer = self.new_peer(address, Restored::default());
            self.peers.borrow_mut().id(peer)
        })
    }

    pub(super) fn no_history(&self) -> Id<History> {
        self.histories.borrow_mut().id(History::default())
    }

    pub(super) fn peer(&self, id: Id<Peer>) -> Rc<Peer> {
        self.peers.borrow().get(id)
    }

    pub(super) fn message(&self, id: Id<Message>) -> Rc<Message> {
        self.messages.borrow().get(id)
    }

    /// What a step makes of a replica.
    pub(super) fn step(&self, id: Id<Peer>, step: Step) -> Rc<Stepped> {
        if let Some(stepped) = self.steps.borrow().get(&(id, step)) {
            return Rc::clone(stepped);
        }
        let mut peer = self.take(&self.peer(id), step);
        let sent = drive(&mut peer);
        let mut messages = self.messages.borrow_mut();
        let stepped = Rc::new(Stepped {
            peer: self.peers.borrow_mut().id(peer),
            sent: sent
                .into_iter()
                .map(|message| messages.id(message))
                .collect(),
        });
        self.steps
            .borrow_mut()
            .insert((id, step), Rc::clone(&stepped));
        stepped
    }

    fn take(&self, before: &Peer, step: Step) -> Peer {
        let mut peer = before.clone();
        match step {
            Step::Campaign => peer.campaign(),
            Step::AskLeaderless => peer.request_statements(),
            Step::Propose(number) => drop(peer.propose(vec![number])),
            Step::Heartbeat => peer.request_heartbeat(),
            Step::Remove(member) => {
                drop(peer.propose_membership(MembershipChange::Remove(member)));
            }
            Step::Restart => peer = self.restarted(before),
            Step::Receive(message) => peer.step(NOW, Message::clone(&self.message(message))),
        }
        peer
    }

    fn restarted(&self, old: &Peer) -> Peer {
        let mut address = old.address();
        let kept = match self.rules.restart {
            Restart::KeepsAll => restored(old, true),
            Restart::ForgetsVote => restored(old, false),
            Restart::SameIncarnation => Restored::default(),
            Restart::NewIncarnation => {
                address.incarnation += 1;
                Restored::default()
            }
        };
        self.new_peer(address, kept)
    }

    fn new_peer(&self, address: ReplicaAddress, restored: Restored) -> Peer {
        let members = Configuration::of_voters((1..=REPLICAS as u64).map(first_address));
        let mut config = PeerConfig::new(GroupId(0), address, members);
        config.pre_vote = false;
        config.check_quorum = false;
        config.lease = false;
        config.restart_election = self.rules.budget.restart_requests > 0;
        config.eager_commit = false;
        config.max_batch_bytes =
            self.rules.entries_per_message * crate::entry::ENTRY_OVERHEAD_BYTES;
        config.max_inflight = 1;
        Peer::new(config, NOW, restored).with_defect(self.rules.defect)
    }

    /// The history after a replica's step.
    pub(super) fn observe(&self, history: Id<History>, peer: Id<Peer>) -> Observed {
        if let Some(observed) = self.observations.borrow().get(&(history, peer)) {
            return *observed;
        }
        let mut next = History::clone(&self.histories.borrow().get(history));
        let observed = next.observe(&self.peer(peer));
        let observed = observed.map(|()| self.histories.borrow_mut().id(next));
        self.observations
            .borrow_mut()
            .insert((history, peer), observed);
        observed
    }

    /// Whether two replicas' logs agree.
    pub(super) fn logs_match(&self, left: Id<Peer>, right: Id<Peer>) -> Result<(), Violation> {
        let compare = || history::logs_match(&self.peer(left), &self.peer(right));
        *self
            .matches
            .borrow_mut()
            .entry((left, right))
            .or_insert_with(compare)
    }
}

fn first_address(id: u64) -> ReplicaAddress {
    ReplicaAddress::new(ReplicaId(id), FIRST_INCARNATION)
}

fn restored(peer: &Peer, keeps_vote: bool) -> Restored {
    let hard_state = peer.hard_state();
    let vote = hard_state.vote.filter(|_| keeps_vote);
    let last = peer.status().last_index.0;
    Restored {
        hard_state: HardState { vote, ..hard_state },
        entries: (1..=last)
            .filter_map(|index| peer.entry(index.into()).cloned())
            .collect(),
        ..Restored::default()
    }
}

/// Does all that a peer wants done, and returns what it sends.
fn drive(peer: &mut Peer) -> Vec<Message> {
    let mut sent = Vec::new();
    while peer.has_ready() && !peer.is_halted() {
        let ready = peer.ready();
        let persisted = ready.persisted();
        sent.extend(ready.messages);
        sent.extend(ready.messages_after_persist);
        peer.advance(persisted);
    }
    sent.retain(|message| !changes_nothing(&message.body));
    sent
}

/// Whether a message can change nothing at its receiver, once that is in the same term.
fn changes_nothing(body: &MessageBody) -> bool {
    matches!(body, MessageBody::VoteResponse { granted: false, .. })
}
