//! The program shard, as far as a dispatcher can tell: it commits after a constant time, keeps limits, and starts an
//! attempt only once the assignment is committed.

use courseshed_engine_model::RequestKey;
use courseshed_types::{
    Attempt, CallId, RequestId, Tokens, Usage,
    dispatch::{DispatchEventBody, DispatchRequestBody, WaitingCall},
};

use super::{
    event::{Event, PoolIndex, ProgramIndex},
    program::{Ending, OpenCall, program_id, program_index, request_key, sequence},
    run::Simulation,
};

impl Simulation<'_> {
    /// A call is committed as accepted, unless a limit of its branch forbids it.
    pub(super) fn accept(&mut self, index: ProgramIndex) {
        let program = &self.programs[index];
        if program.ending.is_some() {
            return;
        }
        let limits = &self.scenario.policy.branches[&program.script.branch].limits;
        let too_many = program.turn as u32 >= limits.turns;
        let too_long = program.prompt_tokens() > limits.history_tokens.0;
        if too_many || too_long {
            self.end(index, Ending::Limit);
            return;
        }
        self.open_call(index);
        self.enqueue(index);
    }

    fn open_call(&mut self, index: ProgramIndex) {
        let now = self.now();
        let scenario = self.scenario;
        let root = self.programs[index].root;
        let (root_started_at, aim, worth, attained) = {
            let root = &self.programs[root];
            (root.started_at, root.aim, root.worth, root.attained)
        };
        let program = &mut self.programs[index];
        program.sequence += 1;
        program.attempts += 1;
        let kind = &scenario.workload.kinds[program.script.kind];
        let branch = &scenario.policy.branches[&program.script.branch];
        let priority = branch.priority + branch.kind(kind.settings_kind.as_deref()).priority;
        let max_output = kind.max_output_tokens.min(branch.limits.output_tokens.0);
        let waiting = WaitingCall {
            call: CallId {
                program: program_id(index),
                sequence: sequence(program),
            },
            attempt: Attempt(1),
            root: program_id(root),
            branch: program.script.branch.clone(),
            model: self.pools[program.pool].model.clone(),
            priority,
            prompt_tokens: Tokens(program.prompt_tokens()),
            max_output: Tokens(max_output),
            attained: Tokens(attained),
            turn: program.turn as u32,
            root_started_at,
            aim_at: aim.map(|aim| root_started_at + aim),
            worth,
            accepted_at: now,
            give_up_at: now + branch.limits.queue_wait,
            last_engine: program.last_engine.clone(),
            avoid: Vec::new(),
            repeatable: true,
        };
        program.open = Some(OpenCall {
            waiting,
            key: request_key(index, program.attempts),
            engine: None,
            issued_at: now.saturating_sub(scenario.delays.caller + scenario.delays.commit),
            first_token_at: None,
            priority,
        });
        self.measures.calls.issued += 1;
    }

    fn enqueue(&mut self, index: ProgramIndex) {
        let program = &self.programs[index];
        let Some(open) = &program.open else {
            return;
        };
        let pool = program.pool;
        let turn = program.current_turn();
        self.pools[pool].begin_wait(&open.waiting, turn);
        let body = DispatchRequestBody::Enqueue(Box::new(open.waiting.clone()));
        self.tell_dispatcher(pool, body);
    }

    /// Sends a message to the dispatcher of a pool.
    pub(super) fn tell_dispatcher(&mut self, pool: PoolIndex, body: DispatchRequestBody) {
        let at = self.now() + self.scenario.delays.message;
        self.queue
            .add(at, Event::DispatcherHears(pool, Box::new(body)));
    }

    /// A dispatcher has decided.
    pub(super) fn shard_hears(&mut self, body: DispatchEventBody) {
        match body {
            DispatchEventBody::Assigned {
                call,
                attempt,
                engine,
                priority,
                ..
            } => {
                let index = program_index(call.program);
                if let Some(engine) = self.scenario.engine_position(&engine) {
                    self.assigned(index, call, attempt, engine, priority);
                }
            }
            DispatchEventBody::Shed { call, error } => {
                let index = program_index(call.program);
                if self.waits(index, call).is_none() {
                    return;
                }
                self.programs[index].open = None;
                self.measures.calls.refused += 1;
                self.pools[self.programs[index].pool].end_wait(call);
                self.refused(index, error.retry_after);
            }
            DispatchEventBody::AnnounceAll => {
                for pool in 0..self.pools.len() {
                    self.tell_dispatcher(pool, DispatchRequestBody::AnnounceComplete);
                }
            }
            // The word of a program's end is never lost here.
            DispatchEventBody::CheckPrograms(_) => {}
        }
    }

    /// The attempt of a call that is open and has no engine yet.
    fn waits(&self, index: ProgramIndex, call: CallId) -> Option<Attempt> {
        let open = self.programs[index].open.as_ref()?;
        let waits = open.waiting.call == call && open.engine.is_none();
        waits.then_some(open.waiting.attempt)
    }

    fn assigned(
        &mut self,
        index: ProgramIndex,
        call: CallId,
        attempt: Attempt,
        engine: usize,
        priority: i32,
    ) {
        if self.waits(index, call) != Some(attempt) {
            return;
        }
        let now = self.now();
        let delays = &self.scenario.delays;
        let program = &mut self.programs[index];
        let Some(open) = program.open.as_mut() else {
            return;
        };
        open.engine = Some(engine);
        open.priority = priority;
        let key = open.key;
        let body = DispatchRequestBody::Started {
            call: Box::new(open.waiting.clone()),
            engine: self.scenario.engines[engine].engine.clone(),
        };
        let pool = program.pool;
        self.measures.waited(
            pool,
            program.is_measured,
            now.since(open.waiting.accepted_at),
        );
        self.pools[pool].end_wait(call);
        self.queue.add(
            now + delays.commit + delays.message,
            Event::DispatcherHears(pool, Box::new(body)),
        );
        self.queue.add(
            now + delays.commit + delays.message + delays.engine,
            Event::Submit(index, key),
        );
    }

    /// The open call, if `key` is its current attempt.
    pub(super) fn is_current(&self, index: ProgramIndex, key: RequestKey) -> bool {
        let open = self.programs[index].open.as_ref();
        open.is_some_and(|open| open.key == key)
    }

    /// The answer is committed: the dispatcher and the caller hear of it.
    pub(super) fn answered(&mut self, index: ProgramIndex, key: RequestKey, cached: u32) {
        if !self.is_current(index, key) {
            return;
        }
        let root = self.programs[index].root;
        let program = &mut self.programs[index];
        let Some(open) = program.open.take() else {
            return;
        };
        let output = program.current_turn().output_tokens;
        let usage = Usage {
            prompt_tokens: open.waiting.prompt_tokens,
            cached_tokens: Tokens(u64::from(cached)),
            completion_tokens: Tokens(output),
        };
        program.history = usage.total().0;
        program.last_engine = open
            .engine
            .map(|engine| self.scenario.engines[engine].engine.clone());
        let pool = program.pool;
        self.measures.answered(program, &open, &usage);
        self.measures.calls.answered += 1;
        let uncached = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        self.programs[root].attained += uncached.0 + output;
        let request = RequestId {
            call: open.waiting.call,
            attempt: open.waiting.attempt,
        };
        self.tell_dispatcher(pool, DispatchRequestBody::Finished { request, usage });
        self.go_on(index);
    }

    /// An attempt failed by its engine's fault: the call waits again.
    pub(super) fn attempt_failed(&mut self, index: ProgramIndex, key: RequestKey) {
        if !self.is_current(index, key) {
            return;
        }
        let program = &mut self.programs[index];
        program.attempts += 1;
        let pool = program.pool;
        let next_key = request_key(index, program.attempts);
        let Some(open) = program.open.as_mut() else {
            return;
        };
        let request = RequestId {
            call: open.waiting.call,
            attempt: open.waiting.attempt,
        };
        if let Some(engine) = open.engine.take() {
            let engine = self.scenario.engines[engine].engine.clone();
            open.waiting.avoid.push(engine);
        }
        open.waiting.attempt = Attempt(open.waiting.attempt.0 + 1);
        open.key = next_key;
        open.first_token_at = None;
        self.measures.calls.failed_attempts += 1;
        let engine_fault = true;
        self.tell_dispatcher(
            pool,
            DispatchRequestBody::Failed {
                request,
                engine_fault,
            },
        );
        self.enqueue(index);
    }
}
