//! The scheduler: takes in what gateways say, and decides.

use std::time::Duration;

use courseshed_types::{NodeId, ServerKey};

use crate::calls::{Calls, GrantedCall, Plan, WaitingCall};
use crate::cost::{self, CostInputs};
use crate::engines::{Engine, Engines};
use crate::order::{self, QueueEntry};
use crate::programs::{Programs, Standing};
use crate::shares::TenantShares;
use crate::speed::{AnswerTiming, PoolSpeed};
use crate::{
    CallDemand, CallEnd, CallNote, Decision, DecisionInputs, EngineListing, RunningCall, Ticket,
    Verdict,
};

/// A gateway that has not asked again for so long has left the call: it asks every 150 ms.
const WAITING_LIFE: Duration = Duration::from_millis(500);
/// How long after a call's deadline an end that was never noted is waited for.
const END_MARGIN: Duration = Duration::from_secs(2);
/// A gateway's list of its calls may have been made before it heard of a grant that is younger than this.
const GRANT_ON_ITS_WAY: Duration = Duration::from_millis(500);
/// Longest wait for a place at one engine while another has room: about what reading a prompt of 14,000 tokens takes.
/// Longer waits are guesses, and leave engines idle.
const LONGEST_PLAN: Duration = Duration::from_millis(30);
/// Room for error of an expected wait.
const PLAN_MARGIN: Duration = Duration::from_millis(10);
/// Waiting calls that are weighed against each other for one free place: with fewer than there are engines, hardly one
/// would have its prompt at the engine whose place is free.
const WEIGHED: usize = 128;
/// How long a scheduler that has just started believes gateways about where prompts are held.
const LEARNS_FOR: Duration = Duration::from_secs(30);
/// How often programs are looked through.
const TIDY_INTERVAL: Duration = Duration::from_secs(1);
/// Part of the time that a call needs at least below which it is not begun any more: callers hear at once that it is in
/// vain, and engines are not kept busy with what nobody waits for.
const NEEDED_PART: f64 = 0.5;
/// Return times are spread by so much, so that callers who were refused together don't come back together.
const RETURN_SPREAD: f64 = 0.5;
/// Shortest time after which a refused caller may come back.
const LEAST_RETURN_MS: f64 = 100.0;

/// Decides for one pool. See the crate's documentation.
#[derive(Debug, Default)]
pub struct PoolScheduler {
    started_at: Option<Duration>,
    engines: Engines,
    calls: Calls,
    programs: Programs,
    shares: TenantShares,
    speed: PoolSpeed,
    /// Refusals so far, which spread the times to come back.
    refusals: u64,
    tidied_at: Duration,
    decisions: Vec<Decision>,
}

impl PoolScheduler {
    /// A scheduler that knows nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the whole list of the pool's engines.
    pub fn set_engines(&mut self, now: Duration, engines: &[EngineListing]) {
        self.engines.replace(engines);
        self.give_places(now);
    }

    /// A gateway asks for an engine for a call, or asks again, which keeps the call's place.
    pub fn ask(&mut self, now: Duration, gateway: NodeId, demand: CallDemand) {
        let started_at = *self.started_at.get_or_insert(now);
        let ticket = Ticket {
            gateway,
            number: demand.number,
        };
        if let Some(granted) = self.calls.granted.get(&ticket) {
            // The grant was lost on its way, or crossed this question.
            let verdict = Verdict::Granted(granted.engine);
            self.decide(ticket, verdict, DecisionInputs::default());
            return;
        }
        if let Some(waiting) = self.calls.waiting.get_mut(&ticket) {
            waiting.heard_at = now;
            return;
        }
        if now.saturating_sub(started_at) < LEARNS_FOR {
            for held in &demand.held {
                if let Some(engine) = self.engines.get_mut(held.server) {
                    engine.prompt_cache.record_use(&held.parts, 0);
                }
            }
        }
        let call = self.waiting_call(now, demand);
        self.place(now, ticket, call);
    }

    /// Takes in what became of a gateway's calls; ends both granted and waiting ones.
    pub fn note(&mut self, now: Duration, gateway: NodeId, notes: &[CallNote]) {
        for note in notes {
            let ticket = Ticket {
                gateway,
                number: note.number,
            };
            if let Some(waiting) = self.calls.waiting.remove(&ticket) {
                self.leave_plan(&waiting);
            }
            if let Some(granted) = self.calls.granted.remove(&ticket) {
                self.end(now, ticket, &granted, note.end);
            }
        }
        self.give_places(now);
    }

    /// Takes in all calls that a gateway has at the pool's engines: what it does not name is over.
    pub fn set_running(&mut self, now: Duration, gateway: NodeId, calls: &[RunningCall]) {
        for ticket in self.calls.granted_of(gateway) {
            let is_named = calls.iter().any(|call| call.number == ticket.number);
            let granted = &self.calls.granted[&ticket];
            let is_new = now.saturating_sub(granted.granted_at) < GRANT_ON_ITS_WAY;
            if is_named || is_new {
                continue;
            }
            if let Some(granted) = self.calls.granted.remove(&ticket) {
                self.end(now, ticket, &granted, CallEnd::Given);
            }
        }
        for call in calls {
            self.learn_running(now, gateway, call);
        }
        self.give_places(now);
    }

    /// Forgets calls whose gateway fell silent, and decides what is due.
    pub fn tick(&mut self, now: Duration) {
        self.shares.decay(now);
        self.forget_silent(now);
        self.refuse_hopeless(now);
        self.give_places(now);
        if now.saturating_sub(self.tidied_at) >= TIDY_INTERVAL {
            self.tidied_at = now;
            self.programs.tidy(now);
        }
    }

    /// What was decided since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.calls.waiting.len()
    }

    /// Calls at engines, as far as known.
    #[must_use]
    pub fn running(&self) -> usize {
        self.calls.granted.len()
    }

    fn waiting_call(&mut self, now: Duration, demand: CallDemand) -> WaitingCall {
        let standing = match &demand.program {
            Some(claim) => self.programs.begin_turn(now, demand.route, claim),
            None => Standing::of_single_call(),
        };
        let waited = Duration::from_millis(demand.waited_ms.into());
        let left = Duration::from_millis(demand.time_left_ms.into());
        WaitingCall {
            standing,
            arrived: now.saturating_sub(waited),
            asked_at: now,
            heard_at: now,
            deadline: now + left,
            expected_tokens: self
                .programs
                .expected_tokens(demand.route, demand.most_tokens),
            plan: None,
            least_cost_ms: 0.0,
            demand,
        }
    }

    /// Gives a new call a place, or lets it wait.
    fn place(&mut self, now: Duration, ticket: Ticket, mut call: WaitingCall) {
        let options = self.options(now, &call);
        if options.is_empty() && !self.has_engine_for(&call) {
            self.decide(ticket, Verdict::NoEngine, self.inputs(now, &call, None));
            return;
        }
        let costs = options.iter().map(|option| option.cost_ms);
        call.least_cost_ms = costs.fold(f64::INFINITY, f64::min);
        let free = options.iter().filter(|option| option.wait.is_zero());
        let best_free = free.min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms));
        let best = options
            .iter()
            .min_by(|left, right| left.total_ms().total_cmp(&right.total_ms()));
        if let (Some(free), Some(best)) = (best_free, best)
            && (best.wait.is_zero() || best.wait > LONGEST_PLAN)
        {
            let engine = free.engine;
            self.grant(now, ticket, call, engine);
            return;
        }
        if self.is_hopeless(now, &call) {
            self.refuse(now, ticket, &call);
            return;
        }
        if let Some(best) = best.copied().filter(|best| best.wait <= LONGEST_PLAN) {
            self.make_plan(now, &mut call, &best);
        }
        self.calls.waiting.insert(ticket, call);
    }

    fn has_engine_for(&self, call: &WaitingCall) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|engine| engine.listing.is_ready && call.may_go_to(engine))
    }

    /// The engines that a call may go to, with what it is expected to cost there.
    fn options(&self, now: Duration, call: &WaitingCall) -> Vec<PlaceOption> {
        let engines = self.engines.iter();
        let open = engines.filter(|engine| engine.takes_calls(now) && call.may_go_to(engine));
        let options = open.map(|engine| PlaceOption {
            engine: engine.listing.key,
            cost_ms: self.cost_ms(now, call, engine),
            wait: if engine.has_place(now) {
                Duration::ZERO
            } else {
                engine.expected_wait(now)
            },
            urgency: cost::urgency(call.standing.slack(now)),
        });
        options.collect()
    }

    fn cost_ms(&self, now: Duration, call: &WaitingCall, engine: &Engine) -> f64 {
        let usual_decode_ms = call.expected_tokens * self.speed.token_ms();
        let usual = Duration::from_secs_f64(usual_decode_ms / 1000.0);
        let slowdown = engine.speed.slowdown(&self.speed) * engine.overdue(now, usual);
        let uncached = engine.prompt_cache.uncached_tokens(&call.demand.parts);
        let expected = cost::expected_cost_ms(&CostInputs {
            prefill_ms: self.speed.prefill_ms(uncached) * slowdown,
            decode_ms: usual_decode_ms * slowdown,
            running: engine.running() as u32,
            is_same_zone: engine.listing.zone == call.demand.zone,
            failure_rate: engine.health.failure_rate(now),
            urgency: cost::urgency(call.standing.slack(now)),
        });
        let salt = call.demand.parts.first();
        let salt = salt.map_or(call.demand.number, |part| part.id);
        expected + cost::tie_break_ms(engine.listing.key, salt)
    }

    /// Gives free places to the calls that wait.
    fn give_places(&mut self, now: Duration) {
        if self.calls.waiting.is_empty() {
            return;
        }
        for key in self.engines.keys() {
            while self
                .engines
                .get(key)
                .is_some_and(|engine| engine.has_place(now))
            {
                let Some(ticket) = self.next_for(now, key) else {
                    break;
                };
                let Some(call) = self.calls.waiting.remove(&ticket) else {
                    break;
                };
                self.leave_plan(&call);
                self.grant(now, ticket, call, key);
            }
        }
    }

    /// The waiting call that a free place of an engine goes to; none if all do better to wait for another.
    fn next_for(&self, now: Duration, key: ServerKey) -> Option<Ticket> {
        let engine = self.engines.get(key)?;
        let open = self
            .calls
            .waiting
            .iter()
            .filter(|(_, call)| call.may_go_to(engine));
        let mut ordered: Vec<(f64, Ticket, &WaitingCall)> = open
            .map(|(ticket, call)| {
                (
                    order::effective_arrival_ms(&self.queue_entry(call), now),
                    *ticket,
                    call,
                )
            })
            .collect();
        ordered.sort_by(|(left, ..), (right, ..)| left.total_cmp(right));
        let first_ms = ordered.first()?.0;
        let weighed = ordered.iter().take(WEIGHED);
        let fitting = weighed.filter_map(|(place_ms, ticket, call)| {
            let cost = self.cost_ms(now, call, engine);
            let is_better_elsewhere = call.plan.is_some_and(|plan| {
                plan.engine != key && now < plan.until && plan.total_ms(now, call) < cost
            });
            if is_better_elsewhere {
                return None;
            }
            let regret = cost - call.least_cost_ms;
            Some((regret + place_ms - first_ms, *ticket))
        });
        let best = fitting.min_by(|(left, _), (right, _)| left.total_cmp(right));
        best.map(|(_, ticket)| ticket)
    }

    fn queue_entry<'a>(&self, call: &'a WaitingCall) -> QueueEntry<'a> {
        let tenant = call.demand.tenant;
        QueueEntry {
            arrived: call.arrived,
            rank: call.demand.rank,
            standing: &call.standing,
            share_delay_ms: tenant.map_or(0.0, |tenant| self.shares.delay_ms(tenant)),
        }
    }

    fn grant(&mut self, now: Duration, ticket: Ticket, call: WaitingCall, key: ServerKey) {
        let inputs = self.inputs(now, &call, Some(key));
        let expected = self.expected_time(&call, key, inputs.unread_tokens);
        if let Some(claim) = &call.demand.program {
            let waited = now.saturating_sub(call.asked_at);
            self.programs.note_granted(claim.program, waited);
        }
        if let Some(tenant) = call.demand.tenant {
            let weight = f64::from(call.demand.tenant_weight);
            let cost_ms = expected.as_secs_f64() * 1000.0;
            self.shares.charge(now, tenant, weight, cost_ms);
        }
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.begin(ticket, now + expected);
        engine.prompt_cache.record_use(&call.demand.parts, 0);
        let granted = GrantedCall {
            engine: key,
            granted_at: now,
            forgotten_at: call.deadline.max(now + expected) + END_MARGIN,
            unread_tokens: inputs.unread_tokens,
            demand: Some(call.demand),
        };
        self.calls.granted.insert(ticket, granted);
        self.decide(ticket, Verdict::Granted(key), inputs);
    }

    fn expected_time(&self, call: &WaitingCall, key: ServerKey, unread_tokens: u32) -> Duration {
        let Some(engine) = self.engines.get(key) else {
            return Duration::ZERO;
        };
        let slowdown = engine.speed.slowdown(&self.speed);
        let work =
            call.expected_tokens * self.speed.token_ms() + self.speed.prefill_ms(unread_tokens);
        Duration::from_secs_f64(work * slowdown / 1000.0)
    }

    fn end(&mut self, now: Duration, ticket: Ticket, granted: &GrantedCall, end: CallEnd) {
        let Some(engine) = self.engines.get_mut(granted.engine) else {
            return;
        };
        engine.end(&ticket);
        match end {
            CallEnd::Whole {
                generated,
                first_tokens,
                first_part_ms,
                took_ms,
            } => {
                engine.health.record_success(now);
                let timing = AnswerTiming {
                    uncached_tokens: granted.unread_tokens,
                    generated,
                    first_chunk_tokens: first_tokens,
                    first_chunk_ms: f64::from(first_part_ms),
                    total_ms: f64::from(took_ms),
                };
                engine.speed.record(&mut self.speed, &timing);
                if let Some(demand) = &granted.demand {
                    engine.prompt_cache.record_use(&demand.parts, generated);
                    self.programs.note_answer(demand.route, generated);
                }
            }
            CallEnd::Failed => engine.health.record_failure(now),
            CallEnd::Refused => engine.health.record_full(now),
            CallEnd::Broken => engine.health.record_disconnect(now),
            CallEnd::Given => {}
        }
    }

    fn learn_running(&mut self, now: Duration, gateway: NodeId, call: &RunningCall) {
        let ticket = Ticket {
            gateway,
            number: call.number,
        };
        if let Some(known) = self.calls.granted.get_mut(&ticket) {
            known.forgotten_at = known.forgotten_at.max(now + FOREIGN_LIFE);
            return;
        }
        let Some(engine) = self.engines.get_mut(call.engine) else {
            return;
        };
        let since = now.saturating_sub(Duration::from_millis(call.for_ms.into()));
        engine.begin(ticket, since + USUAL_CALL);
        let granted = GrantedCall {
            engine: call.engine,
            granted_at: since,
            forgotten_at: now + FOREIGN_LIFE,
            demand: None,
            unread_tokens: 0,
        };
        self.calls.granted.insert(ticket, granted);
    }

    fn forget_silent(&mut self, now: Duration) {
        let silent = self.calls.waiting.iter();
        let silent = silent.filter(|(_, call)| now.saturating_sub(call.heard_at) > WAITING_LIFE);
        let silent: Vec<Ticket> = silent.map(|(ticket, _)| *ticket).collect();
        for ticket in silent {
            if let Some(call) = self.calls.waiting.remove(&ticket) {
                self.leave_plan(&call);
            }
        }
        let lost = self.calls.granted.iter();
        let lost = lost.filter(|(_, call)| call.forgotten_at <= now);
        let lost: Vec<Ticket> = lost.map(|(ticket, _)| *ticket).collect();
        for ticket in lost {
            if let Some(granted) = self.calls.granted.remove(&ticket) {
                self.end(now, ticket, &granted, CallEnd::Given);
            }
        }
    }

    /// Refuses the calls that can't be served any more in the time that they have, and those that no engine may take.
    fn refuse_hopeless(&mut self, now: Duration) {
        let waiting = self.calls.waiting.iter();
        let hopeless = waiting.filter(|(_, call)| self.is_hopeless(now, call));
        let hopeless: Vec<Ticket> = hopeless.map(|(ticket, _)| *ticket).collect();
        for ticket in hopeless {
            if let Some(call) = self.calls.waiting.remove(&ticket) {
                self.leave_plan(&call);
                self.refuse(now, ticket, &call);
            }
        }
    }

    fn is_hopeless(&self, now: Duration, call: &WaitingCall) -> bool {
        let left = call.deadline.saturating_sub(now).as_secs_f64() * 1000.0;
        let needed = call.expected_tokens * self.speed.token_ms();
        left < NEEDED_PART * needed
    }

    fn refuse(&mut self, now: Duration, ticket: Ticket, call: &WaitingCall) {
        self.refusals += 1;
        // The longest that a call has waited is about how long those who come now will.
        let longest = self.calls.waiting.values();
        let longest = longest.map(|call| now.saturating_sub(call.asked_at)).max();
        let wait_ms = longest.unwrap_or_default().as_secs_f64() * 1000.0;
        let place = (self.refusals % 16) as f64 / 16.0;
        let spread = 1.0 + RETURN_SPREAD * (place - 0.5);
        let retry_after_ms = (wait_ms.max(LEAST_RETURN_MS) * spread) as u32;
        let inputs = self.inputs(now, call, None);
        self.decide(ticket, Verdict::Refused { retry_after_ms }, inputs);
    }

    fn make_plan(&mut self, now: Duration, call: &mut WaitingCall, best: &PlaceOption) {
        let until = now + best.wait.mul_f64(1.5) + PLAN_MARGIN;
        call.plan = Some(best.plan(now, until));
        if let Some(engine) = self.engines.get_mut(best.engine) {
            engine.awaited += 1;
        }
    }

    fn leave_plan(&mut self, call: &WaitingCall) {
        let engine = call.plan.and_then(|plan| self.engines.get_mut(plan.engine));
        if let Some(engine) = engine {
            engine.awaited = engine.awaited.saturating_sub(1);
        }
    }

    fn inputs(&self, now: Duration, call: &WaitingCall, key: Option<ServerKey>) -> DecisionInputs {
        let engine = key.and_then(|key| self.engines.get(key));
        let slack = call.standing.slack(now).unwrap_or(0.0);
        DecisionInputs {
            calls: engine.map_or(0, |engine| engine.running() as u32),
            unread_tokens: engine.map_or(0, |engine| {
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

/// Time that a call of another scheduler is taken to need at its engine.
const USUAL_CALL: Duration = Duration::from_millis(500);
/// How long a call of another scheduler counts without being named again: gateways name theirs every 2 s.
const FOREIGN_LIFE: Duration = Duration::from_secs(5);

/// A place that a call may get.
#[derive(Clone, Copy, Debug)]
struct PlaceOption {
    engine: ServerKey,
    cost_ms: f64,
    wait: Duration,
    urgency: f64,
}

impl PlaceOption {
    fn total_ms(&self) -> f64 {
        self.cost_ms + self.urgency * self.wait.as_secs_f64() * 1000.0
    }

    fn plan(&self, now: Duration, until: Duration) -> Plan {
        Plan {
            engine: self.engine,
            cost_ms: self.cost_ms,
            free_at: now + self.wait,
            until,
        }
    }
}

impl Plan {
    /// What a call that waits for its place is expected to cost from now on.
    fn total_ms(&self, now: Duration, call: &WaitingCall) -> f64 {
        let wait = self.free_at.saturating_sub(now).as_secs_f64() * 1000.0;
        self.cost_ms + cost::urgency(call.standing.slack(now)) * wait
    }
}

impl WaitingCall {
    fn may_go_to(&self, engine: &Engine) -> bool {
        !self.demand.excluded.contains(&engine.listing.key)
    }
}
