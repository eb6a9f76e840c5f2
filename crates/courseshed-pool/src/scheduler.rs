//! The scheduler: processes messages of gateways and decides which calls run where.

use std::time::Duration;

use courseshed_types::{NodeId, ServerKey};

use crate::admission;
use crate::calls::{Calls, GrantedCall, PlannedWait, WaitingCall};
use crate::cost::{self, CostInputs};
use crate::engines::{Engine, Engines};
use crate::order::{self, QueueEntry};
use crate::programs::{ProgramProgress, Programs};
use crate::shares::TenantShares;
use crate::speed::{AnswerTiming, PoolSpeed};
use crate::{
    CallDemand, CallEnd, CallEndReport, Decision, DecisionInputs, EngineListing, RunningCall,
    Ticket, Verdict,
};

/// A waiting call expires if its gateway has not asked for this long; gateways ask every 150 ms.
const WAITING_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long after its deadline a granted call is kept while its end is not reported.
const END_REPORT_GRACE: Duration = Duration::from_secs(2);
/// A grant younger than this may be missing from a gateway's list of running calls.
const GRANT_DELIVERY_GRACE: Duration = Duration::from_millis(500);
/// Longest planned wait for a busy engine while another one has capacity. Predictions of longer
/// waits are unreliable and leave engines idle.
const MAX_PLANNED_WAIT: Duration = Duration::from_millis(30);
/// Allowance for the error of a predicted wait.
const PLANNED_WAIT_MARGIN: Duration = Duration::from_millis(10);
/// Waiting calls that are compared for a free slot. Large enough that some of them have their
/// prompt cached on the engine.
const MAX_COMPARED_CALLS: usize = 128;
/// How long after its start a scheduler uses the gateways' knowledge of cached prompts.
const WARM_UP_PERIOD: Duration = Duration::from_secs(30);
/// Interval at which expired programs are dropped.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// A call is refused if its time left is less than this fraction of its expected decode time, so
/// that callers hear early and engines don't run calls that nobody waits for.
const MIN_TIME_FRACTION: f64 = 0.5;
/// Relative jitter of retry times, which keeps callers refused together from returning together.
const RETRY_JITTER: f64 = 0.5;
/// Lower bound of the retry time.
const MIN_RETRY_AFTER_MS: f64 = 100.0;

/// Scheduler of one pool; see the crate documentation.
#[derive(Debug, Default)]
pub struct PoolScheduler {
    started_at: Option<Duration>,
    engines: Engines,
    calls: Calls,
    programs: Programs,
    shares: TenantShares,
    speed: PoolSpeed,
    /// Number of refusals, from which the retry jitter is derived.
    refusals: u64,
    programs_expired_at: Duration,
    decisions: Vec<Decision>,
}

impl PoolScheduler {
    /// Creates a scheduler without engines or calls.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the list of the pool's engines.
    pub fn set_engines(&mut self, now: Duration, engines: &[EngineListing]) {
        self.engines.replace(engines);
        self.assign_free_slots(now);
    }

    /// Handles a request for an engine. Repeating it keeps the call's position in the queue.
    pub fn request(&mut self, now: Duration, gateway: NodeId, demand: CallDemand) {
        let started_at = *self.started_at.get_or_insert(now);
        let ticket = Ticket {
            gateway,
            number: demand.number,
        };
        if let Some(granted) = self.calls.granted.get(&ticket) {
            // The grant was lost, or crossed the repeated request.
            let verdict = Verdict::Granted(granted.engine);
            self.decide(ticket, verdict, DecisionInputs::default());
            return;
        }
        if let Some(waiting) = self.calls.waiting.get_mut(&ticket) {
            waiting.last_asked_at = now;
            return;
        }
        if now.saturating_sub(started_at) < WARM_UP_PERIOD {
            for held in &demand.held {
                if let Some(engine) = self.engines.get_mut(held.server) {
                    engine.prompt_cache.record_use(&held.parts, 0);
                }
            }
        }
        let call = self.waiting_call(now, demand);
        self.schedule(now, ticket, call);
    }

    /// Handles reports on the ends of a gateway's calls, granted or waiting.
    pub fn report_ends(&mut self, now: Duration, gateway: NodeId, notes: &[CallEndReport]) {
        for note in notes {
            let ticket = Ticket {
                gateway,
                number: note.number,
            };
            if let Some(waiting) = self.calls.waiting.remove(&ticket) {
                self.cancel_planned_wait(&waiting);
            }
            if let Some(granted) = self.calls.granted.remove(&ticket) {
                self.finish_call(now, ticket, &granted, note.end);
            }
        }
        self.assign_free_slots(now);
    }

    /// Handles a gateway's complete list of running calls: other calls of the gateway have ended.
    pub fn report_running(&mut self, now: Duration, gateway: NodeId, calls: &[RunningCall]) {
        for ticket in self.calls.granted_by(gateway) {
            let is_named = calls.iter().any(|call| call.number == ticket.number);
            let granted = &self.calls.granted[&ticket];
            let is_new = now.saturating_sub(granted.granted_at) < GRANT_DELIVERY_GRACE;
            if is_named || is_new {
                continue;
            }
            if let Some(granted) = self.calls.granted.remove(&ticket) {
                self.finish_call(now, ticket, &granted, CallEnd::Abandoned);
            }
        }
        for call in calls {
            self.adopt_running(now, gateway, call);
        }
        self.assign_free_slots(now);
    }

    /// Expires calls and makes the decisions that are due. Call it periodically.
    pub fn tick(&mut self, now: Duration) {
        self.shares.decay(now);
        self.expire_calls(now);
        self.refuse_unservable(now);
        self.assign_free_slots(now);
        if now.saturating_sub(self.programs_expired_at) >= EXPIRY_INTERVAL {
            self.programs_expired_at = now;
            self.programs.expire(now);
        }
    }

    /// Returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Number of waiting calls.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.calls.waiting.len()
    }

    /// Number of calls known to be running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.calls.granted.len()
    }

    fn waiting_call(&mut self, now: Duration, demand: CallDemand) -> WaitingCall {
        let progress = match &demand.program {
            Some(program) => self.programs.begin_turn(now, demand.route, program),
            None => ProgramProgress::single_call(),
        };
        let waited = Duration::from_millis(demand.waited_ms.into());
        let left = Duration::from_millis(demand.time_left_ms.into());
        WaitingCall {
            progress,
            arrived: now.saturating_sub(waited),
            asked_at: now,
            last_asked_at: now,
            deadline: now + left,
            expected_tokens: self
                .programs
                .expected_tokens(demand.route, demand.most_tokens),
            planned_wait: None,
            min_cost_ms: 0.0,
            demand,
        }
    }

    /// Grants an engine to a new call, or queues or refuses it.
    fn schedule(&mut self, now: Duration, ticket: Ticket, mut call: WaitingCall) {
        let candidates = self.candidates(now, &call);
        if candidates.is_empty() && !self.has_engine_for(&call) {
            self.decide(
                ticket,
                Verdict::NoEngine,
                self.decision_inputs(now, &call, None),
            );
            return;
        }
        let costs = candidates.iter().map(|candidate| candidate.cost_ms);
        call.min_cost_ms = costs.fold(f64::INFINITY, f64::min);
        let free = candidates
            .iter()
            .filter(|candidate| candidate.wait.is_zero());
        let best_free = free.min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms));
        let best = candidates
            .iter()
            .min_by(|left, right| left.total_ms().total_cmp(&right.total_ms()));
        if let (Some(free), Some(best)) = (best_free, best)
            && (best.wait.is_zero() || best.wait > MAX_PLANNED_WAIT)
        {
            let engine = free.engine;
            self.grant(now, ticket, call, engine);
            return;
        }
        if self.is_unservable(now, &call) || !self.admits(now, &call) {
            self.refuse(now, ticket, &call);
            return;
        }
        if let Some(best) = best.copied().filter(|best| best.wait <= MAX_PLANNED_WAIT) {
            self.plan_wait(now, &mut call, &best);
        }
        self.calls.waiting.insert(ticket, call);
    }

    /// Whether a call is admitted to the queue. Turns of programs in progress always are; of new
    /// programs, a share that falls with the load.
    fn admits(&self, now: Duration, call: &WaitingCall) -> bool {
        let program = call.demand.program.as_ref();
        let Some(program) = program.filter(|_| call.progress.is_new) else {
            return true;
        };
        let engines = self.engines.iter();
        let usable = engines.filter(|engine| engine.accepts_calls(now));
        let slots: u32 = usable.map(|engine| engine.listing.slots).sum();
        let calls = self.calls.granted.len() + self.calls.waiting.len();
        let load = calls as f64 / f64::from(slots.max(1));
        let tenant = call.demand.tenant;
        let usage = tenant.map_or(1.0, |tenant| self.shares.usage_ratio(tenant));
        admission::admits(load, usage, program.program)
    }

    fn has_engine_for(&self, call: &WaitingCall) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|engine| engine.listing.is_ready && call.can_run_on(engine))
    }

    /// Engines that may run a call, with the expected cost on each.
    fn candidates(&self, now: Duration, call: &WaitingCall) -> Vec<Candidate> {
        let engines = self.engines.iter();
        let allowed = engines.filter(|engine| engine.accepts_calls(now) && call.can_run_on(engine));
        let candidates = allowed.map(|engine| Candidate {
            engine: engine.listing.key,
            cost_ms: self.cost_ms(now, call, engine),
            wait: if engine.has_capacity(now) {
                Duration::ZERO
            } else {
                engine.expected_wait(now)
            },
            urgency: cost::urgency(call.progress.slack(now)),
        });
        candidates.collect()
    }

    fn cost_ms(&self, now: Duration, call: &WaitingCall, engine: &Engine) -> f64 {
        let base_decode_ms = call.expected_tokens * self.speed.token_ms();
        let base = Duration::from_secs_f64(base_decode_ms / 1000.0);
        let slowdown = engine.speed.slowdown(&self.speed) * engine.overdue_factor(now, base);
        let uncached = engine.prompt_cache.uncached_tokens(&call.demand.parts);
        let expected = cost::expected_cost_ms(&CostInputs {
            prefill_ms: self.speed.prefill_ms(uncached) * slowdown,
            decode_ms: base_decode_ms * slowdown,
            running: engine.running() as u32,
            is_same_zone: engine.listing.zone == call.demand.zone,
            failure_rate: engine.health.failure_rate(now),
            urgency: cost::urgency(call.progress.slack(now)),
        });
        let salt = call.demand.parts.first();
        let salt = salt.map_or(call.demand.number, |part| part.id);
        expected + cost::tie_break_ms(engine.listing.key, salt)
    }

    /// Grants free slots to waiting calls.
    fn assign_free_slots(&mut self, now: Duration) {
        if self.calls.waiting.is_empty() {
            return;
        }
        for key in self.engines.keys() {
            while self
                .engines
                .get(key)
                .is_some_and(|engine| engine.has_capacity(now))
            {
                let Some(ticket) = self.next_call_for(now, key) else {
                    break;
                };
                let Some(call) = self.calls.waiting.remove(&ticket) else {
                    break;
                };
                self.cancel_planned_wait(&call);
                self.grant(now, ticket, call, key);
            }
        }
    }

    /// Selects the waiting call for a free slot of an engine; none if all of them should wait for
    /// another engine.
    fn next_call_for(&self, now: Duration, key: ServerKey) -> Option<Ticket> {
        let engine = self.engines.get(key)?;
        let allowed = self
            .calls
            .waiting
            .iter()
            .filter(|(_, call)| call.can_run_on(engine));
        let mut ordered: Vec<(f64, Ticket, &WaitingCall)> = allowed
            .map(|(ticket, call)| {
                (
                    order::effective_arrival_ms(&self.queue_entry(call), now),
                    *ticket,
                    call,
                )
            })
            .collect();
        ordered.sort_by(|(left, ..), (right, ..)| left.total_cmp(right));
        let earliest_ms = ordered.first()?.0;
        let compared = ordered.iter().take(MAX_COMPARED_CALLS);
        let eligible = compared.filter_map(|(arrival_ms, ticket, call)| {
            let cost = self.cost_ms(now, call, engine);
            let should_wait = call.planned_wait.is_some_and(|plan| {
                plan.engine != key && now < plan.until && plan.total_ms(now, call) < cost
            });
            if should_wait {
                return None;
            }
            let regret = cost - call.min_cost_ms;
            Some((regret + arrival_ms - earliest_ms, *ticket))
        });
        let best = eligible.min_by(|(left, _), (right, _)| left.total_cmp(right));
        best.map(|(_, ticket)| ticket)
    }

    fn queue_entry<'a>(&self, call: &'a WaitingCall) -> QueueEntry<'a> {
        let tenant = call.demand.tenant;
        QueueEntry {
            arrived: call.arrived,
            rank: call.demand.rank,
            progress: &call.progress,
            share_delay_ms: tenant.map_or(0.0, |tenant| self.shares.delay_ms(tenant)),
        }
    }

    fn grant(&mut self, now: Duration, ticket: Ticket, call: WaitingCall, key: ServerKey) {
        let inputs = self.decision_inputs(now, &call, Some(key));
        let expected = self.expected_duration(&call, key, inputs.uncached_tokens);
        if let Some(program) = &call.demand.program {
            let waited = now.saturating_sub(call.asked_at);
            self.programs.record_grant(program.program, waited);
        }
        if let Some(tenant) = call.demand.tenant {
            let weight = f64::from(call.demand.tenant_weight);
            let cost_ms = expected.as_secs_f64() * 1000.0;
            self.shares.charge(now, tenant, weight, cost_ms);
        }
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.start_call(ticket, now + expected);
        engine.prompt_cache.record_use(&call.demand.parts, 0);
        let granted = GrantedCall {
            engine: key,
            granted_at: now,
            expires_at: call.deadline.max(now + expected) + END_REPORT_GRACE,
            uncached_tokens: inputs.uncached_tokens,
            demand: Some(call.demand),
        };
        self.calls.granted.insert(ticket, granted);
        self.decide(ticket, Verdict::Granted(key), inputs);
    }

    fn expected_duration(
        &self,
        call: &WaitingCall,
        key: ServerKey,
        uncached_tokens: u32,
    ) -> Duration {
        let Some(engine) = self.engines.get(key) else {
            return Duration::ZERO;
        };
        let slowdown = engine.speed.slowdown(&self.speed);
        let work =
            call.expected_tokens * self.speed.token_ms() + self.speed.prefill_ms(uncached_tokens);
        Duration::from_secs_f64(work * slowdown / 1000.0)
    }

    fn finish_call(&mut self, now: Duration, ticket: Ticket, granted: &GrantedCall, end: CallEnd) {
        let Some(engine) = self.engines.get_mut(granted.engine) else {
            return;
        };
        engine.end_call(&ticket);
        match end {
            CallEnd::Completed {
                generated,
                first_tokens,
                first_part_ms,
                took_ms,
            } => {
                engine.health.record_success(now);
                let timing = AnswerTiming {
                    uncached_tokens: granted.uncached_tokens,
                    generated,
                    first_chunk_tokens: first_tokens,
                    first_chunk_ms: f64::from(first_part_ms),
                    total_ms: f64::from(took_ms),
                };
                engine.speed.record(&mut self.speed, &timing);
                if let Some(demand) = &granted.demand {
                    engine.prompt_cache.record_use(&demand.parts, generated);
                    self.programs.record_answer(demand.route, generated);
                }
            }
            CallEnd::Failed => engine.health.record_failure(now),
            CallEnd::Refused => engine.health.record_full(now),
            CallEnd::Disconnected => engine.health.record_disconnect(now),
            CallEnd::Abandoned => {}
        }
    }

    fn adopt_running(&mut self, now: Duration, gateway: NodeId, call: &RunningCall) {
        let ticket = Ticket {
            gateway,
            number: call.number,
        };
        if let Some(known) = self.calls.granted.get_mut(&ticket) {
            known.expires_at = known.expires_at.max(now + ADOPTED_CALL_TIMEOUT);
            return;
        }
        let Some(engine) = self.engines.get_mut(call.engine) else {
            return;
        };
        let since = now.saturating_sub(Duration::from_millis(call.running_ms.into()));
        engine.start_call(ticket, since + DEFAULT_CALL_DURATION);
        let granted = GrantedCall {
            engine: call.engine,
            granted_at: since,
            expires_at: now + ADOPTED_CALL_TIMEOUT,
            demand: None,
            uncached_tokens: 0,
        };
        self.calls.granted.insert(ticket, granted);
    }

    fn expire_calls(&mut self, now: Duration) {
        let silent = self.calls.waiting.iter();
        let silent = silent
            .filter(|(_, call)| now.saturating_sub(call.last_asked_at) > WAITING_CALL_TIMEOUT);
        let silent: Vec<Ticket> = silent.map(|(ticket, _)| *ticket).collect();
        for ticket in silent {
            if let Some(call) = self.calls.waiting.remove(&ticket) {
                self.cancel_planned_wait(&call);
            }
        }
        let lost = self.calls.granted.iter();
        let lost = lost.filter(|(_, call)| call.expires_at <= now);
        let lost: Vec<Ticket> = lost.map(|(ticket, _)| *ticket).collect();
        for ticket in lost {
            if let Some(granted) = self.calls.granted.remove(&ticket) {
                self.finish_call(now, ticket, &granted, CallEnd::Abandoned);
            }
        }
    }

    /// Refuses calls that can no longer be served before their deadline.
    fn refuse_unservable(&mut self, now: Duration) {
        let waiting = self.calls.waiting.iter();
        let unservable = waiting.filter(|(_, call)| self.is_unservable(now, call));
        let unservable: Vec<Ticket> = unservable.map(|(ticket, _)| *ticket).collect();
        for ticket in unservable {
            if let Some(call) = self.calls.waiting.remove(&ticket) {
                self.cancel_planned_wait(&call);
                self.refuse(now, ticket, &call);
            }
        }
    }

    fn is_unservable(&self, now: Duration, call: &WaitingCall) -> bool {
        let left = call.deadline.saturating_sub(now).as_secs_f64() * 1000.0;
        let needed = call.expected_tokens * self.speed.token_ms();
        left < MIN_TIME_FRACTION * needed
    }

    fn refuse(&mut self, now: Duration, ticket: Ticket, call: &WaitingCall) {
        self.refusals += 1;
        // The longest current wait estimates the wait of calls that arrive now.
        let longest = self.calls.waiting.values();
        let longest = longest.map(|call| now.saturating_sub(call.asked_at)).max();
        let wait_ms = longest.unwrap_or_default().as_secs_f64() * 1000.0;
        let step = (self.refusals % 16) as f64 / 16.0;
        let min_ms = if call.progress.is_new {
            admission::MIN_RETRY_AFTER_MS
        } else {
            MIN_RETRY_AFTER_MS
        };
        let spread = 1.0 + RETRY_JITTER * (step - 0.5);
        let retry_after_ms = (wait_ms.max(min_ms) * spread) as u32;
        let inputs = self.decision_inputs(now, call, None);
        self.decide(ticket, Verdict::Refused { retry_after_ms }, inputs);
    }

    fn plan_wait(&mut self, now: Duration, call: &mut WaitingCall, best: &Candidate) {
        let until = now + best.wait.mul_f64(1.5) + PLANNED_WAIT_MARGIN;
        call.planned_wait = Some(best.planned_wait(now, until));
        if let Some(engine) = self.engines.get_mut(best.engine) {
            engine.planned_waiters += 1;
        }
    }

    fn cancel_planned_wait(&mut self, call: &WaitingCall) {
        let engine = call
            .planned_wait
            .and_then(|plan| self.engines.get_mut(plan.engine));
        if let Some(engine) = engine {
            engine.planned_waiters = engine.planned_waiters.saturating_sub(1);
        }
    }

    fn decision_inputs(
        &self,
        now: Duration,
        call: &WaitingCall,
        key: Option<ServerKey>,
    ) -> DecisionInputs {
        let engine = key.and_then(|key| self.engines.get(key));
        let slack = call.progress.slack(now).unwrap_or(0.0);
        DecisionInputs {
            calls: engine.map_or(0, |engine| engine.running() as u32),
            uncached_tokens: engine.map_or(0, |engine| {
                engine.prompt_cache.uncached_tokens(&call.demand.parts)
            }),
            waited_ms: now.saturating_sub(call.asked_at).as_millis() as u32,
            waiting: self.calls.waiting.len() as u32,
            slack_percent: (slack * 100.0) as u32,
        }
    }

    fn decide(&mut self, ticket: Ticket, verdict: Verdict, inputs: DecisionInputs) {
        self.decisions.push(Decision {
            ticket,
            verdict,
            inputs,
        });
    }
}

/// Assumed duration of a call granted by another scheduler.
const DEFAULT_CALL_DURATION: Duration = Duration::from_millis(500);
/// A call granted by another scheduler expires if it is not listed for this long; gateways list
/// theirs every 2 s.
const ADOPTED_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// An engine that a call may run on.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    engine: ServerKey,
    cost_ms: f64,
    wait: Duration,
    urgency: f64,
}

impl Candidate {
    fn total_ms(&self) -> f64 {
        self.cost_ms + self.urgency * self.wait.as_secs_f64() * 1000.0
    }

    fn planned_wait(&self, now: Duration, until: Duration) -> PlannedWait {
        PlannedWait {
            engine: self.engine,
            cost_ms: self.cost_ms,
            free_at: now + self.wait,
            until,
        }
    }
}

impl PlannedWait {
    /// Expected cost from now on of a call that waits as planned.
    fn total_ms(&self, now: Duration, call: &WaitingCall) -> f64 {
        let wait = self.free_at.saturating_sub(now).as_secs_f64() * 1000.0;
        self.cost_ms + cost::urgency(call.progress.slack(now)) * wait
    }
}

impl WaitingCall {
    fn can_run_on(&self, engine: &Engine) -> bool {
        let is_version =
            self.demand.version.is_none() || self.demand.version == engine.listing.version;
        is_version && !self.demand.excluded.contains(&engine.listing.key)
    }
}
