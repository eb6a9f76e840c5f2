//! The end of a run: whether the group serves again and agrees, and what the observer found.

use std::time::Duration;

use super::cluster::{Cluster, Phase};
use super::process::{Process, Running};
use super::report::{Promise, SimulationReport};

const SETTLING_STEP: Duration = Duration::from_millis(500);

impl Cluster {
    /// Runs on until clients are served again and all members agree, or time is up.
    pub(super) fn run_until_settled(&mut self, limit: Duration) {
        while self.now < limit && !self.is_settled() {
            self.run_until(self.now + SETTLING_STEP);
            if self.served_since_healed {
                self.phase = Phase::Quiet;
            }
        }
    }

    fn is_settled(&self) -> bool {
        let all_answered = self
            .clients
            .iter()
            .all(|client| client.waiting_for.is_none());
        self.phase == Phase::Quiet && all_answered && self.members_agree()
    }

    /// The process that leads and knows all that is committed.
    pub(super) fn leader(&self) -> Option<&Running> {
        let running = self
            .processes
            .values()
            .filter_map(|process| process.running.as_ref());
        let established = running.filter(|running| running.group.is_established());
        established.max_by_key(|running| running.group.term())
    }

    fn members_agree(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let mut members = leader.group.peer().configuration().members();
        members.all(|(id, _)| {
            let running = self.processes[&id].running.as_ref();
            running.is_some_and(|running| running.group.machine() == leader.group.machine())
        })
    }

    pub(super) fn into_report(mut self) -> SimulationReport {
        let serves = self.phase == Phase::Quiet;
        if !serves && !self.report.beyond_repair {
            let states = self.describe();
            self.observer.broken(Promise::ServesAgain, states);
        }
        if serves && !self.members_agree() {
            let states = self.describe();
            self.observer.broken(Promise::ReplicasAgree, states);
        }
        let list = self.leader().map(|leader| leader.group.machine().writes());
        let list = list.filter(|_| serves);
        self.report.writes_confirmed = self.observer.writes_confirmed();
        self.report.reads_answered = self.observer.reads_answered();
        self.report.terms_led = self.observer.terms_led();
        self.report.violations = self.observer.finish(list.as_deref());
        self.report
    }

    /// All replicas as they are, for people.
    fn describe(&self) -> String {
        let describe = |process: &Process| match &process.running {
            Some(running) => format!(
                "{:?} journal {}",
                running.group.status(),
                running.group.machine().len()
            ),
            None => format!("{} is down", process.address),
        };
        let states: Vec<String> = self.processes.values().map(describe).collect();
        states.join("\n")
    }
}
