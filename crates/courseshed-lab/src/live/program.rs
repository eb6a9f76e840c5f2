//! Runs one program as its caller: create, calls, pauses, sub-agents, end.

use std::time::Duration;

use actix_rt::time::sleep;
use courseshed_types::ProgramId;
use futures_util::{FutureExt, future::LocalBoxFuture, future::join_all};
use rand::RngExt;

use super::{
    call::{CallEnd, CallRunner},
    client::{CallerClient, ProgramStatus, RequestError},
    driver::CallerContext,
    plan::{CallPlan, Ending, ProgramPlan, Step},
    record::{ProgramEnd, ProgramRecord},
    retry::wait_before,
    time::now,
};

/// Pauses longer than this are kept alive by heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Tries of a request about a program as a whole.
const PROGRAM_TRIES: u32 = 12;

/// Runs a program and its sub-agents; the records come with the program's own first.
pub fn run_program<'a>(
    context: &'a CallerContext,
    plan: &'a ProgramPlan,
    parent: Option<ProgramId>,
    name: String,
) -> LocalBoxFuture<'a, Vec<ProgramRecord>> {
    async move {
        let key = context.gateways.key_for(&plan.branch);
        let client = CallerClient::new(&context.gateways, key, context.patience.silence);
        let mut runner = ProgramRunner {
            context,
            client: &client,
            plan,
            name,
            gateway: context.gateways.take_turn(),
            record: new_record(plan, parent),
            children: Vec::new(),
        };
        runner.run().await;
        let mut records = vec![runner.record];
        records.append(&mut runner.children);
        records
    }
    .boxed_local()
}

struct ProgramRunner<'a> {
    context: &'a CallerContext,
    client: &'a CallerClient<'a>,
    plan: &'a ProgramPlan,
    name: String,
    gateway: usize,
    record: ProgramRecord,
    children: Vec<ProgramRecord>,
}

impl ProgramRunner<'_> {
    async fn run(&mut self) {
        let status = match self.create().await {
            Ok(status) => status,
            Err(error) => return self.fail(format!("the program could not be created: {error:?}")),
        };
        let program = status.id;
        self.record.id = Some(program);
        self.record.budget_tokens = status.budget_tokens;
        self.record.aim = status.aim_ms.map(Duration::from_millis);
        self.record.worth = status.worth;
        let mut sequence = status.next_sequence;
        for (place, step) in self.plan.steps.iter().enumerate() {
            match step {
                Step::Pause(pause) => self.pause(program, *pause).await,
                Step::SubAgents(agents) => {
                    if let Err(reason) = self.run_agents(program, place, agents).await {
                        return self.end_failed(program, reason).await;
                    }
                }
                Step::Call(call) => match self.call(program, sequence, call).await {
                    Ok(next) => sequence = next,
                    Err(reason) => return self.end_failed(program, reason).await,
                },
            }
        }
        self.finish(program).await;
    }

    async fn create(&mut self) -> Result<ProgramStatus, RequestError> {
        let mut tries = 0;
        loop {
            let created =
                self.client
                    .create(self.gateway, self.plan, self.record.parent, &self.name);
            match created.await {
                Err(error) if may_ask_again(&error) && tries < PROGRAM_TRIES => {
                    tries += 1;
                    self.step_aside(tries, &error).await;
                }
                result => return result,
            }
        }
    }

    /// Waits, and turns to another gateway.
    async fn step_aside(&mut self, tries: u32, error: &RequestError) {
        let asked = match error {
            RequestError::Refused(refusal) => refusal.retry_after,
            _ => None,
        };
        self.gateway = self.context.gateways.other_than(self.gateway);
        let jitter = self.context.random.borrow_mut().random::<f64>();
        sleep(wait_before(tries, jitter, asked)).await;
    }

    /// Makes a call; the place of the next one.
    async fn call(
        &mut self,
        program: ProgramId,
        sequence: u64,
        plan: &CallPlan,
    ) -> Result<u64, String> {
        self.record.first_call_at.get_or_insert_with(now);
        let (client, gateway) = (self.client, self.gateway);
        let model = self.plan.model.clone();
        let mut runner = CallRunner::new(
            self.context,
            client,
            program,
            gateway,
            sequence,
            plan,
            model,
        );
        let end = runner.run().await;
        self.gateway = runner.gateway;
        let next = runner.sequence + 1;
        self.record.calls.push(runner.record);
        match end {
            CallEnd::Answered => {
                self.record.last_answer_at = Some(now());
                Ok(next)
            }
            CallEnd::Failed(reason) => Err(reason),
        }
    }

    async fn pause(&self, program: ProgramId, pause: Duration) {
        let mut left = pause;
        while left > HEARTBEAT_INTERVAL {
            sleep(HEARTBEAT_INTERVAL).await;
            left -= HEARTBEAT_INTERVAL;
            // A heartbeat that is lost is made good by the next one.
            let _ = self.client.heartbeat(self.gateway, program).await;
        }
        sleep(left).await;
    }

    /// Runs sub-agents side by side; the reason if one failed.
    async fn run_agents(
        &mut self,
        program: ProgramId,
        step: usize,
        agents: &[ProgramPlan],
    ) -> Result<(), String> {
        let runs = agents.iter().enumerate().map(|(index, agent)| {
            let name = format!("{}-{step}-agent-{index}", self.name);
            // What another branch pays for, such as a lookup beside a quote, is a program of its own.
            let is_below = agent.branch.is_within(&self.plan.branch);
            let parent = is_below.then_some(program);
            run_program(self.context, agent, parent, name)
        });
        let records: Vec<ProgramRecord> = join_all(runs).await.into_iter().flatten().collect();
        let failure = records.iter().find_map(|record| match &record.end {
            ProgramEnd::Failed(reason) => Some(format!("sub-agent: {reason}")),
            _ => None,
        });
        self.children.extend(records);
        failure.map_or(Ok(()), Err)
    }

    async fn finish(&mut self, program: ProgramId) {
        if self.plan.ending == Ending::Abandoned {
            self.record.end = ProgramEnd::Abandoned;
            self.record.ended_at = Some(now());
            return;
        }
        self.read_history(program).await;
        match self.end(program).await {
            Ok(()) => self.record.end = ProgramEnd::Completed,
            Err(error) => self.fail(format!("its end was not acknowledged: {error:?}")),
        }
    }

    async fn end_failed(&mut self, program: ProgramId, reason: String) {
        if self.end(program).await.is_err() {
            log::debug!("the end of failed program {program} was not acknowledged");
        }
        self.fail(reason);
    }

    async fn end(&mut self, program: ProgramId) -> Result<(), RequestError> {
        let mut tries = 0;
        loop {
            match self.client.end(self.gateway, program).await {
                Ok(_) => {
                    self.record.ended_at = Some(now());
                    return Ok(());
                }
                Err(error) if may_ask_again(&error) && tries < PROGRAM_TRIES => {
                    tries += 1;
                    self.step_aside(tries, &error).await;
                }
                Err(error) => return Err(error),
            }
        }
    }

    async fn read_history(&mut self, program: ProgramId) {
        let mut tries = 0;
        loop {
            match self.client.history(self.gateway, program).await {
                Ok(history) => {
                    self.record.history = Some(history);
                    return;
                }
                Err(error) if may_ask_again(&error) && tries < PROGRAM_TRIES => {
                    tries += 1;
                    self.step_aside(tries, &error).await;
                }
                Err(error) => {
                    log::debug!("the history of {program} could not be read: {error:?}");
                    return;
                }
            }
        }
    }

    fn fail(&mut self, reason: String) {
        self.record.end = ProgramEnd::Failed(reason);
    }
}

/// Whether a request about a program as a whole may be sent again; all of them are harmless to repeat.
fn may_ask_again(error: &RequestError) -> bool {
    match error {
        RequestError::Refused(refusal) => matches!(refusal.status, 429 | 500 | 502 | 503 | 504),
        RequestError::Cut | RequestError::NoWord | RequestError::NotSent => true,
    }
}

fn new_record(plan: &ProgramPlan, parent: Option<ProgramId>) -> ProgramRecord {
    ProgramRecord {
        kind: plan.kind.clone(),
        branch: plan.branch.clone(),
        aim: None,
        worth: 0.0,
        parent,
        id: None,
        first_call_at: None,
        last_answer_at: None,
        calls: Vec::new(),
        history: None,
        budget_tokens: None,
        end: ProgramEnd::Open,
        ended_at: None,
    }
}
