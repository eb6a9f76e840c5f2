//! Callers: they follow the script of each program, start sub-agents and ask again for what was refused.

use std::{mem, time::Duration};

use courseshed_types::{Timestamp, dispatch::DispatchRequestBody};

use super::{
    event::{Event, ProgramIndex},
    program::{Ending, Program, program_id},
    run::Simulation,
};
use crate::workload::{Pause, ProgramScript};

/// Wait before asking again where the refusal names none.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Simulation<'_> {
    /// The next program of the list arrives.
    pub(super) fn arrive(&mut self) {
        let Some(arrival) = self.next_arrival.take() else {
            return;
        };
        let is_measured = arrival.at >= self.scenario.warm_up;
        let program = self.start(arrival.script, None, is_measured);
        self.issue(program);
        self.next_arrival = self.arrivals.next();
        if let Some(next) = &self.next_arrival {
            let at = Timestamp::ZERO + next.at;
            self.queue.add(at, Event::Arrive);
        }
    }

    fn start(
        &mut self,
        script: ProgramScript,
        parent: Option<ProgramIndex>,
        is_measured: bool,
    ) -> ProgramIndex {
        let index = self.programs.len();
        let kind = &self.scenario.workload.kinds[script.kind];
        let model = self.scenario.model_of(kind, &script.branch);
        let pool = model.and_then(|model| self.pool_of_model.get(&model).copied());
        let branch = self.scenario.policy.branches.get(&script.branch);
        let policy = branch.map(|branch| branch.kind(kind.settings_kind.as_deref()));
        let root = parent.map_or(index, |parent| self.programs[parent].root);
        self.programs.push(Program {
            pool: pool.unwrap_or(0),
            root,
            parent,
            is_measured,
            turn: 0,
            sequence: 0,
            attempts: 0,
            history: kind.system_tokens,
            system_tokens: kind.system_tokens,
            system: self.measures.system_prompt(script.kind, &script.branch),
            attained: 0,
            started_at: self.now(),
            aim: policy.and_then(|policy| policy.aim),
            worth: policy.map_or(1.0, |policy| policy.worth),
            last_engine: None,
            engines_used: Vec::new(),
            open: None,
            refusals: 0,
            waits_for: 0,
            child_refused: false,
            ending: None,
            script,
        });
        self.under_way += 1;
        index
    }

    /// A caller sends the program's next call.
    pub(super) fn issue(&mut self, index: ProgramIndex) {
        if self.programs[index].ending.is_some() {
            return;
        }
        let delays = &self.scenario.delays;
        let at = self.now() + delays.caller + delays.commit;
        self.queue.add(at, Event::Accept(index));
    }

    /// An answer reached the caller: the program pauses or is done.
    pub(super) fn go_on(&mut self, index: ProgramIndex) {
        let program = &mut self.programs[index];
        let turn = program.turn;
        program.turn += 1;
        program.refusals = 0;
        if program.turn == program.script.turns.len() {
            let refused = program.child_refused;
            let ending = if refused {
                Ending::Refused
            } else {
                Ending::Completed
            };
            self.end(index, ending);
            return;
        }
        let children = mem::take(&mut program.script.turns[turn].children);
        let pause = program.script.turns[turn].pause;
        let is_measured = program.is_measured;
        program.waits_for = 1 + children.len() as u32;
        self.begin_pause(index, pause);
        for script in children {
            let child = self.start(script, Some(index), is_measured);
            self.issue(child);
        }
    }

    fn begin_pause(&mut self, index: ProgramIndex, pause: Pause) {
        let branch = &self.programs[index].script.branch;
        let limit = self.scenario.policy.branches[branch].limits.tool_pause;
        let now = self.now();
        match pause {
            Pause::Lasts(time) if time < limit => {
                self.queue.add(now + time, Event::Resume(index));
            }
            _ => self.queue.add(now + limit, Event::PauseLimit(index)),
        }
    }

    /// The pause, or a sub-agent, is over.
    pub(super) fn resume(&mut self, index: ProgramIndex) {
        let program = &mut self.programs[index];
        program.waits_for = program.waits_for.saturating_sub(1);
        if program.waits_for == 0 {
            self.issue(index);
        }
    }

    /// The branch lets no pause last so long.
    pub(super) fn pause_limit(&mut self, index: ProgramIndex) {
        if self.programs[index].ending.is_none() {
            self.end(index, Ending::Limit);
        }
    }

    /// A call was refused: the caller asks again a few times, then gives the program up.
    pub(super) fn refused(&mut self, index: ProgramIndex, retry_after: Option<Duration>) {
        let program = &mut self.programs[index];
        program.refusals += 1;
        if program.refusals > self.scenario.delays.retries {
            self.end(index, Ending::Refused);
            return;
        }
        let at = self.now() + retry_after.unwrap_or(RETRY_AFTER);
        self.queue.add(at, Event::AskAgain(index));
    }

    /// The program is over; its parent goes on without it.
    pub(super) fn end(&mut self, index: ProgramIndex, ending: Ending) {
        let now = self.now();
        let program = &mut self.programs[index];
        program.ending = Some(ending);
        let (parent, pool) = (program.parent, program.pool);
        self.under_way -= 1;
        self.snapshot_waste(index);
        let body = DispatchRequestBody::ProgramEnded(program_id(index));
        self.tell_dispatcher(pool, body);
        match parent {
            None => self.measures.family_ended(&self.programs[index], now),
            Some(parent) => {
                self.programs[parent].child_refused |= ending == Ending::Refused;
                self.resume(parent);
            }
        }
    }
}
