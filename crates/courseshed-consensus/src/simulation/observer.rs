//! Checks what clients saw.
//!
//! All writes go to one list, and every answer says where in the list it stands. So the order in which
//! everything took effect is given, and linearizability needs no search: it holds exactly if
//! positions never run against real time, and all agree on what stands where.

use std::collections::BTreeMap;
use std::time::Duration;

use super::clients::{Answer, Operation, OperationId, OperationKind};
use super::journal::{Position, WriteId};
use super::report::{Promise, Violation};
use crate::{ReplicaAddress, Term};

/// A request and what came of it.
#[derive(Clone, Copy, Debug)]
struct Seen {
    asked: Duration,
    kind: OperationKind,
    answer: Option<(Duration, Answer)>,
}

/// A request that was answered by a position.
#[derive(Clone, Copy, Debug)]
struct Effect {
    asked: Duration,
    answered: Duration,
    position: Position,
    is_write: bool,
}

/// Remembers what clients asked and were told, and who claimed to lead.
#[derive(Debug, Default)]
pub(super) struct Observer {
    requests: BTreeMap<OperationId, Seen>,
    leaders: BTreeMap<Term, ReplicaAddress>,
    violations: Vec<Violation>,
}

impl Observer {
    pub(super) fn asked(&mut self, now: Duration, operation: Operation) {
        let seen = Seen {
            asked: now,
            kind: operation.kind,
            answer: None,
        };
        self.requests.insert(operation.id, seen);
    }

    pub(super) fn answered(&mut self, now: Duration, operation: Operation, answer: Answer) {
        if let Some(seen) = self.requests.get_mut(&operation.id) {
            seen.answer.get_or_insert((now, answer));
        }
    }

    pub(super) fn leads(&mut self, term: Term, leader: ReplicaAddress) {
        let known = *self.leaders.entry(term).or_insert(leader);
        if known != leader {
            let detail = format!("{known} and {leader} both led term {term}");
            self.broken(Promise::OneLeaderPerTerm, detail);
        }
    }

    pub(super) fn broken(&mut self, promise: Promise, detail: String) {
        self.violations.push(Violation { promise, detail });
    }

    pub(super) fn terms_led(&self) -> u64 {
        self.leaders.len() as u64
    }

    pub(super) fn writes_confirmed(&self) -> u64 {
        self.effects()
            .iter()
            .filter(|effect| effect.is_write)
            .count() as u64
    }

    pub(super) fn reads_answered(&self) -> u64 {
        self.effects()
            .iter()
            .filter(|effect| !effect.is_write)
            .count() as u64
    }

    /// Checks everything against the list as it is in the end, if any replica can still tell it.
    pub(super) fn finish(mut self, list: Option<&[WriteId]>) -> Vec<Violation> {
        self.check_real_time();
        if let Some(list) = list {
            self.check_places(list);
            self.check_unique(list);
        }
        self.violations
    }

    fn effects(&self) -> Vec<Effect> {
        let effect = |seen: &Seen| {
            let (answered, answer) = seen.answer?;
            let (position, is_write) = match answer {
                Answer::Written(position) => (position, true),
                Answer::Read(position, _) => (position, false),
                Answer::Refused(_) => return None,
            };
            Some(Effect {
                asked: seen.asked,
                answered,
                position,
                is_write,
            })
        };
        self.requests.values().filter_map(effect).collect()
    }

    /// Whatever was answered before a request was asked stands before it.
    fn check_real_time(&mut self) {
        let mut by_answer = self.effects();
        by_answer.sort_by_key(|effect| effect.answered);
        let mut by_request = by_answer.clone();
        by_request.sort_by_key(|effect| effect.asked);
        let mut earlier = by_answer.iter().peekable();
        let mut greatest = 0;
        for effect in by_request {
            while let Some(before) = earlier.next_if(|before| before.answered < effect.asked) {
                greatest = greatest.max(before.position);
            }
            self.check_after(greatest, &effect);
        }
    }

    fn check_after(&mut self, greatest: Position, effect: &Effect) {
        let is_after = match effect.is_write {
            true => effect.position > greatest,
            false => effect.position >= greatest,
        };
        if is_after {
            return;
        }
        let promise = match effect.is_write {
            true => Promise::WritesInRealTime,
            false => Promise::ReadsAreCurrent,
        };
        let detail = format!(
            "asked at {:?}, it saw position {} when {greatest} had been answered",
            effect.asked, effect.position
        );
        self.broken(promise, detail);
    }

    /// Every answer agrees with the list.
    fn check_places(&mut self, list: &[WriteId]) {
        let requests: Vec<Seen> = self.requests.values().copied().collect();
        for seen in requests {
            let Some((_, answer)) = seen.answer else {
                continue;
            };
            match (answer, seen.kind) {
                (Answer::Written(position), OperationKind::Write(write)) => {
                    self.check_place(list, position, Some(write));
                }
                (Answer::Read(position, last), _) => self.check_place(list, position, last),
                (Answer::Refused(_), OperationKind::Write(write)) => {
                    self.check_absent(list, write);
                }
                _ => {}
            }
        }
    }

    fn check_place(&mut self, list: &[WriteId], position: Position, expected: Option<WriteId>) {
        let found = position.checked_sub(1).and_then(|place| list.get(place));
        if found.copied() != expected {
            let detail = format!("{expected:?} was at {position}, where now is {found:?}");
            self.broken(Promise::CommittedStays, detail);
        }
    }

    fn check_absent(&mut self, list: &[WriteId], write: WriteId) {
        if list.contains(&write) {
            self.broken(Promise::RefusedNeverRuns, format!("{write:?} was refused"));
        }
    }

    fn check_unique(&mut self, list: &[WriteId]) {
        let mut sorted = list.to_vec();
        sorted.sort_unstable();
        if let Some(pair) = sorted.windows(2).find(|pair| pair[0] == pair[1]) {
            let detail = format!("{:?} was applied twice", pair[0]);
            self.broken(Promise::AtMostOnce, detail);
        }
    }
}
