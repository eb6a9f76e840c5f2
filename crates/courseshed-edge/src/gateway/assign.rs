//! Selects the server for the next attempt of a call: the engine granted by the pool scheduler, or
//! a server chosen by this gateway.
//!
//! Invariants: the scheduler's grant is never a server that refused or already received the call;
//! the last server that received it is retried only if no other is available.

use courseshed_pool::{CallDemand, DecisionInputs, NameHash, ProgramContext};
use courseshed_routing::AllowedRegions;
use courseshed_types::ServerKey;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::assignment::Assignment;
use super::attempts::{Attempts, MIN_ATTEMPT_TIME, milliseconds};
use super::choice::{Demand, ServerChoice};
use super::policy::Mechanism;
use super::program::program_key;
use super::refusal::Refusal;
use super::schedule::EngineReply;
use super::selected_server::SelectedServer;
use super::warmup::{PermitAccess, WarmupPermits};
use crate::metrics::ChoiceLabels;

/// Maximum number of servers that refuse a call or are unreachable before the client gets an error.
const MAX_REFUSALS: usize = 4;
/// Maximum number of retries at the same server.
const MAX_SAME_SERVER_RETRIES: usize = 2;
/// Maximum number of grants of engines that this gateway doesn't know before it chooses a server
/// itself. Server lists of gateways and schedulers differ briefly after a change.
const MAX_UNKNOWN_ENGINES: usize = 2;
/// Values of the metric label that tells who selected a server.
const BY_SCHEDULER: &str = "scheduler";
const BY_GATEWAY: &str = "local";

impl Attempts {
    /// Selects the server for the next attempt; `None` if none is available.
    pub(super) async fn assign(&mut self) -> Result<Option<Assignment>, Refusal> {
        if let Some(reserved) = self.reserved.take()
            && self.available(&reserved.chosen.id).is_some()
        {
            return Ok(Some(reserved));
        }
        if self.ledger.refusals() > MAX_REFUSALS {
            return Ok(None);
        }
        if self.may_try_another_server() {
            let excluded = self.ledger.servers();
            let occupied = self.servers_of_other_suspects();
            if !occupied.is_empty() {
                let apart = [&excluded[..], &occupied[..]].concat();
                if let Some(other) = self.assign_other(&apart).await? {
                    return Ok(Some(other));
                }
            }
            if let Some(other) = self.assign_other(&excluded).await? {
                return Ok(Some(other));
            }
        }
        Ok(self.retry_last_server())
    }

    /// Selects a server that is not excluded.
    async fn assign_other(&mut self, excluded: &[String]) -> Result<Option<Assignment>, Refusal> {
        match self.schedule(excluded).await? {
            Some(assigned) => Ok(Some(assigned)),
            None => Ok(self.choose_locally(excluded).await),
        }
    }

    /// Servers that run other suspects, if this request is one: kept apart, none of them can end the servers of all.
    fn servers_of_other_suspects(&self) -> Vec<String> {
        let keys = self.guard.servers_to_avoid().into_iter();
        let servers = self.core.servers.borrow();
        let found = keys.filter_map(|key| servers.available_by_key(&self.service, key));
        found.map(|server| server.id).collect()
    }

    /// Asks the pool scheduler, if the service is a pool. `None` if no engine was granted, so that
    /// the gateway chooses a server itself; its server list may be more recent than the scheduler's.
    async fn schedule(&mut self, excluded: &[String]) -> Result<Option<Assignment>, Refusal> {
        // Pool schedulers don't support region restrictions.
        let is_scheduled = self.is_pool && !self.allowed_regions.is_restricted();
        if !is_scheduled || !self.core.policy.uses(Mechanism::PoolScheduler) {
            return Ok(None);
        }
        let mut excluded: Vec<ServerKey> = excluded.iter().map(|id| ServerKey::of(id)).collect();
        let give_up = self.deadline - MIN_ATTEMPT_TIME;
        for _ in 0..MAX_UNKNOWN_ENGINES {
            let demand = self.demand(excluded.clone());
            let refreshed = |number| self.refreshed(&demand, number);
            let schedulers = self.core.schedulers.clone();
            let asked = schedulers
                .request_engine(&self.service, give_up, refreshed)
                .await;
            let (call, key, inputs) = match asked {
                EngineReply::Granted(call, key, inputs) => (call, key, inputs),
                EngineReply::Refused(retry_after, inputs) => {
                    self.log.schedule = inputs;
                    return Err(self.final_refusal(Refusal::Overloaded { retry_after }));
                }
                EngineReply::NoEngine(inputs) => {
                    self.log.schedule = inputs;
                    return Ok(None);
                }
                EngineReply::Unknown => return Ok(None),
                EngineReply::TooLate => return Err(self.deadline_refusal()),
            };
            let found = self
                .core
                .servers
                .borrow()
                .available_by_key(&self.service, key);
            let may_run = |chosen: &SelectedServer| {
                !excluded.contains(&key) && self.satisfies_version(&chosen.id)
            };
            match found.filter(may_run) {
                Some(chosen) => {
                    self.record_choice(BY_SCHEDULER, inputs);
                    let assigned = Assignment::new(chosen, Some(call));
                    return Ok(Some(assigned));
                }
                None => excluded.push(key),
            }
        }
        Ok(None)
    }

    /// Chooses a server by this gateway's own statistics. In a pool, the call is later reported to
    /// the scheduler as running.
    async fn choose_locally(&mut self, excluded: &[String]) -> Option<Assignment> {
        let reachable = self.reachable_regions();
        let mut warmup = None;
        let mut wait_until = None;
        let chosen = loop {
            let choice = self.choose_server(excluded, &reachable, wait_until);
            let Some(server) = choice.server else {
                self.warm_in = choice.warm_in;
                return None;
            };
            if !choice.needs_permit {
                break server;
            }
            let limit = *wait_until.get_or_insert_with(|| {
                let permits = &self.core.warmup;
                permits.wait_limit(self.deadline, choice.has_warm)
            });
            let acquired = WarmupPermits::acquire(&self.core, &server.name, &self.service, limit);
            warmup = acquired.await;
            // Other calls may have taken the server's connections, and the server may have been
            // withdrawn, while this one waited.
            if warmup.is_some() && self.may_begin(&server.id) {
                break server;
            }
            warmup = None;
        };
        self.record_choice(BY_GATEWAY, DecisionInputs::default());
        let is_scheduled = self.is_pool && self.core.policy.uses(Mechanism::PoolScheduler);
        let key = ServerKey::of(&chosen.id);
        let call = is_scheduled.then(|| self.core.schedulers.begin_local(&self.service, key));
        Some(Assignment {
            warmup,
            ..Assignment::new(chosen, call)
        })
    }

    /// The allowed regions, without those that can't be reached.
    fn reachable_regions(&self) -> AllowedRegions {
        let now = self.core.clock.now();
        let mut servers = self.core.servers.borrow_mut();
        servers.reachable(&self.allowed_regions, now)
    }

    fn may_begin(&self, server: &str) -> bool {
        let servers = self.core.servers.borrow();
        let max_in_flight = servers.share_of_limit(self.connection_limit);
        servers.may_begin(server, max_in_flight, self.core.clock.now())
    }

    /// Chooses a server by this gateway's own statistics. Once `wait_until` has passed, servers
    /// whose permits would have to be requested are not considered.
    fn choose_server(
        &self,
        excluded: &[String],
        allowed_regions: &AllowedRegions,
        wait_until: Option<Instant>,
    ) -> ServerChoice {
        let permits = &self.core.warmup;
        let may_wait = wait_until.is_none_or(|until| Instant::now() < until);
        let access = |server: &str| match permits.access(server) {
            PermitAccess::Requestable if !may_wait => PermitAccess::Denied,
            access => access,
        };
        let table = self.core.servers.borrow();
        let demand = Demand {
            service: &self.service,
            zone: &self.core.zone,
            parts: &self.parts,
            max_in_flight: table.share_of_limit(self.connection_limit),
            allowed_regions,
            version: &self.version_requirement,
        };
        let now = self.core.clock.now();
        table.choose_with_permits(&demand, excluded, now, rand::random(), access)
    }

    /// Selects the last server again; this does not count towards the maximum number of servers.
    fn retry_last_server(&mut self) -> Option<Assignment> {
        if self.same_server_retries >= MAX_SAME_SERVER_RETRIES {
            return None;
        }
        self.same_server_retries += 1;
        let chosen = self.available(self.ledger.retryable_server()?)?;
        self.record_choice(BY_GATEWAY, DecisionInputs::default());
        Some(Assignment::new(chosen, None))
    }

    /// A server, if it is listed, accepts calls, lies in an allowed region and runs a software version
    /// that may serve the request.
    fn available(&self, id: &str) -> Option<SelectedServer> {
        let servers = self.core.servers.borrow();
        let chosen = servers.available(id)?;
        let is_allowed = servers.is_allowed(id, &self.allowed_regions)
            && servers.satisfies(id, &self.version_requirement);
        is_allowed.then_some(chosen)
    }

    fn satisfies_version(&self, id: &str) -> bool {
        let servers = self.core.servers.borrow();
        servers.satisfies(id, &self.version_requirement)
    }

    fn record_choice(&mut self, by: &'static str, inputs: DecisionInputs) {
        self.log.chosen_by = by;
        self.log.schedule = inputs;
        let choices = &self.core.metrics.choices;
        choices.get_or_create(&ChoiceLabels { by }).inc();
    }

    /// The scheduling demand of the call. Time-dependent fields are set by [`Self::refreshed`].
    fn demand(&self, excluded: Vec<ServerKey>) -> CallDemand {
        let tenant = self.caller.tenant();
        let quota = tenant.and_then(|tenant| tenant.quota.as_ref());
        let rate = quota.map(|quota| quota.rate_per_s);
        CallDemand {
            number: 0,
            route: name_key(&self.route.name),
            rank: self.priority(),
            tenant: tenant.map(|tenant| name_key(&tenant.name)),
            tenant_weight: rate.map_or(1.0, |rate| rate as f32),
            program: self.program_standing(),
            zone: name_key(&self.core.zone),
            parts: self.parts.clone(),
            most_tokens: self.call.most_tokens.unwrap_or(0),
            waited_ms: 0,
            time_left_ms: 0,
            excluded,
            version: self.version_requirement.required_version().map(name_key),
            held: self.cached_prompts.clone(),
        }
    }

    /// The demand with up-to-date times and the given call number.
    fn refreshed(&self, demand: &CallDemand, number: u64) -> CallDemand {
        let program = demand.program.map(|context| ProgramContext {
            time_left_ms: self.program_left_ms(),
            ..context
        });
        CallDemand {
            number,
            program,
            waited_ms: milliseconds(self.arrived.elapsed()),
            time_left_ms: milliseconds(self.time_left()),
            ..demand.clone()
        }
    }

    fn program_standing(&self) -> Option<ProgramContext> {
        let claim = self.call.program.as_ref()?;
        let name = program_key(self.caller.tenant_name(), &claim.program);
        let most = self.call.most_tokens.filter(|most| *most > 0);
        let turns = claim.token_budget.zip(most);
        Some(ProgramContext {
            program: name_key(&name),
            time_left_ms: self.program_left_ms(),
            budgeted_turns: turns.map(|(budget, most)| budget as f32 / most as f32),
        })
    }

    /// Time left until the program should finish.
    fn program_left_ms(&self) -> Option<u32> {
        let left = self.call.program.as_ref()?.time_left?;
        let passed = Instant::now().saturating_duration_since(self.arrived);
        Some(milliseconds(left.saturating_sub(passed)))
    }
}

fn name_key(name: &str) -> NameHash {
    NameHash(xxh3_64(name.as_bytes()))
}
