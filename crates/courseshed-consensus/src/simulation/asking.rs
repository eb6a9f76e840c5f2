//! What clients ask, and how replicas answer them.

use std::time::Duration;

use rand::RngExt;

use super::clients::{
    Answer, ClientId, LONGEST_THINKING, Operation, OperationId, OperationKind, PATIENCE,
    STRAY_ONE_IN,
};
use super::cluster::{Cluster, Phase};
use super::events::Event;
use super::journal::WriteId;
use super::options::Variant;
use super::process::{Input, PendingWrite, Running};
use crate::{ProposeError, ReplicaId, RoleName};

/// Messages between clients and replicas that are lost, in a hundred.
const CLIENT_LOSS_PERCENT: u32 = 3;
const CLIENT_DELAY_MICROS: std::ops::Range<u64> = 100..4_000;

impl Cluster {
    pub(super) fn ask(&mut self, client: ClientId) {
        if self.phase == Phase::Quiet || self.clients[client.0].waiting_for.is_some() {
            return;
        }
        self.operations += 1;
        let writes = !client.only_reads() && self.random.random_range(0..4) > 0;
        let kind = match writes {
            true => OperationKind::Write(WriteId(self.operations)),
            false => OperationKind::Read,
        };
        let operation = Operation {
            id: OperationId(self.operations),
            client,
            kind,
        };
        let strays = self.random.random_range(0..STRAY_ONE_IN) == 0;
        let target = self.clients[client.0].leader.filter(|_| !strays);
        let replica = target.unwrap_or_else(|| self.any_replica());
        self.clients[client.0].waiting_for = Some(operation.id);
        self.observer.asked(self.now, operation);
        self.events
            .schedule(self.now + PATIENCE, Event::GiveUp(operation));
        if let Some(at) = self.client_arrival() {
            self.events
                .schedule(at, Event::Arrive { replica, operation });
        }
    }

    pub(super) fn any_replica(&mut self) -> ReplicaId {
        let count = self.processes.len() as u64;
        ReplicaId(self.random.random_range(1..=count))
    }

    /// When something between a client and a replica arrives, if it does.
    fn client_arrival(&mut self) -> Option<Duration> {
        let delay = Duration::from_micros(self.random.random_range(CLIENT_DELAY_MICROS));
        let is_lost = self.random.random_range(0..100) < CLIENT_LOSS_PERCENT;
        (!is_lost || self.phase != Phase::Faulty).then_some(self.now + delay)
    }

    pub(super) fn take_operation(
        &mut self,
        replica: ReplicaId,
        local_now: Duration,
        operation: Operation,
    ) {
        let may_use_lease = operation.client.only_reads();
        let ignores_lease = self.options.variant == Variant::ReadsWithoutLease;
        let Some(running) = self.process(replica).awake() else {
            return;
        };
        let answer = match operation.kind {
            OperationKind::Write(write) => take_write(running, local_now, operation, write),
            OperationKind::Read => {
                let has_lease = may_use_lease && running.group.lease_valid(local_now);
                let reads_at_once = has_lease || (ignores_lease && running.group.is_leader());
                take_read(running, local_now, operation, reads_at_once)
            }
        };
        if let Some(answer) = answer {
            self.answer(operation, answer);
        }
    }

    /// A process that is down takes nothing: its machine says so at once.
    pub(super) fn refuse_connection(&mut self, input: Input) {
        if let Input::Operation(operation) = input {
            self.answer(operation, Answer::Refused(None));
        }
    }

    fn answer(&mut self, operation: Operation, answer: Answer) {
        if let Some(at) = self.client_arrival() {
            self.events
                .schedule(at, Event::Answered { operation, answer });
        }
    }

    pub(super) fn answer_applied(
        &mut self,
        replica: ReplicaId,
        outputs: &crate::GroupOutputs<usize>,
    ) {
        let Some(running) = &mut self.process(replica).running else {
            return;
        };
        let mut answers = Vec::new();
        for applied in &outputs.applied {
            if let Some(pending) = running.writes.remove(&applied.index) {
                let answer = match pending.term == applied.term {
                    true => Answer::Written(applied.output),
                    false => Answer::Refused(None),
                };
                answers.push((pending.operation, answer));
            }
        }
        let journal = running.group.machine();
        let content = Answer::Read(journal.len(), journal.last());
        for read in &outputs.reads {
            if let Some(operation) = running.reads.remove(&read.id) {
                answers.push((operation, content));
            }
        }
        let lost_lead = |change: &crate::RoleChange| change.role != RoleName::Leader;
        if outputs.role_changes.iter().any(lost_lead) {
            running.reads.clear();
        }
        if let Some(installed) = outputs.installed {
            running.writes.retain(|index, _| *index > installed);
        }
        for (operation, answer) in answers {
            self.answer(operation, answer);
        }
    }

    pub(super) fn answered(&mut self, operation: Operation, answer: Answer) {
        self.observer.answered(self.now, operation, answer);
        let client = &mut self.clients[operation.client.0];
        if client.waiting_for != Some(operation.id) {
            return;
        }
        client.waiting_for = None;
        if let Answer::Refused(leader) = answer {
            client.leader = leader;
        }
        if let (Phase::Healed(_), Answer::Written(_)) = (self.phase, answer) {
            self.served_since_healed = true;
        }
        self.ask_later(operation.client);
    }

    pub(super) fn give_up(&mut self, operation: Operation) {
        let client = &mut self.clients[operation.client.0];
        if client.waiting_for == Some(operation.id) {
            client.waiting_for = None;
            client.leader = None;
            self.ask_later(operation.client);
        }
    }

    fn ask_later(&mut self, client: ClientId) {
        let thinking = self
            .random
            .random_range(1..=LONGEST_THINKING.as_millis() as u64);
        let at = self.now + Duration::from_millis(thinking);
        self.events.schedule(at, Event::Ask(client));
    }
}

fn take_write(
    running: &mut Running,
    local_now: Duration,
    operation: Operation,
    write: WriteId,
) -> Option<Answer> {
    match running.group.propose(local_now, write.encode()) {
        Ok(id) => {
            let term = id.term;
            running
                .writes
                .insert(id.index, PendingWrite { term, operation });
            None
        }
        Err(refusal) => Some(refused(&refusal)),
    }
}

fn take_read(
    running: &mut Running,
    local_now: Duration,
    operation: Operation,
    reads_at_once: bool,
) -> Option<Answer> {
    if reads_at_once {
        let journal = running.group.machine();
        return Some(Answer::Read(journal.len(), journal.last()));
    }
    match running.group.read_barrier(local_now) {
        Ok(id) => {
            running.reads.insert(id, operation);
            None
        }
        Err(refusal) => Some(refused(&refusal)),
    }
}

fn refused(refusal: &ProposeError) -> Answer {
    match refusal {
        ProposeError::NotLeader { leader } => Answer::Refused(*leader),
        _ => Answer::Refused(None),
    }
}
