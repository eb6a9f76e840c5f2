//! Decides whether the next attempt may be made, and how a request is refused if not.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::super::admission::{AdmissionDecision, AdmissionRequest};
use super::super::policy::Mechanism;
use super::super::program::program_key;
use super::super::quota::Quotas;
use super::super::refusal::Refusal;
use super::super::selected_server::SelectedServer;
use super::super::server::MAX_ROUTING_WAIT;
use super::super::warmup::WarmupPermit;
use super::Attempts;
use crate::metrics::ServiceLabels;

/// Seed of the hash that decides which programs are admitted, so that it is independent of others.
const ADMISSION_SEED: u64 = 0xad31;

impl Attempts {
    /// After a freeze, checks that the call can still be served. Returns the number of freezes.
    pub(super) async fn recover_from_freeze(&self) -> Result<u64, Refusal> {
        let limit = MAX_ROUTING_WAIT.min(self.time_left() / 4);
        let recovered =
            self.core
                .recover_from_freeze(&self.memory, self.arrived, Some(self.deadline), limit);
        let refused = |refusal| self.final_refusal(refusal);
        recovered.await.map_err(refused)
    }

    /// Checks that the program is admitted, if the call begins one.
    pub(super) fn check_admission(&self) -> Result<(), Refusal> {
        // A stream that is resumed, by the gateway or by the client, was admitted before.
        let is_first_attempt = self.ledger.is_empty() && !self.version_requirement.is_restricted();
        let is_checked = is_first_attempt && self.core.policy.uses(Mechanism::Admission);
        let Some(claim) = self.call.program.as_ref().filter(|_| is_checked) else {
            return Ok(());
        };
        let most = self.call.most_tokens.filter(|most| *most > 0);
        let turns = claim.token_budget.zip(most);
        let request = AdmissionRequest {
            phase: self.phase,
            priority: self.priority(),
            time_left: claim
                .time_left
                .map(|left| left.saturating_sub(self.arrived.elapsed())),
            budgeted_turns: turns.map(|(budget, most)| saturate(budget / u64::from(most))),
        };
        let key = program_key(self.caller.tenant_name(), &claim.program);
        let draw = xxh3_64_with_seed(key.as_bytes(), ADMISSION_SEED) as f64 / u64::MAX as f64;
        let now = self.core.clock.now();
        let admission = self.core.admission.borrow();
        match admission.decide(&self.service, &request, now, draw) {
            AdmissionDecision::Admitted => Ok(()),
            AdmissionDecision::Refused { retry_after } => {
                let service = self.service.clone();
                let refused = &self.core.metrics.admission_refusals;
                refused.get_or_create(&ServiceLabels { service }).inc();
                Err(Refusal::Overloaded { retry_after })
            }
        }
    }

    /// The priority of the tenant, or else of the route; lower values come first.
    pub(in super::super) fn priority(&self) -> u32 {
        let own = self.caller.tenant().and_then(|tenant| tenant.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Takes a permit for the next attempt, if the tenant has a quota.
    pub(super) async fn take_permit(&mut self) -> Result<(), Refusal> {
        let Some(tenant) = self.caller.tenant() else {
            return Ok(());
        };
        if self.permit.is_some() || tenant.quota.is_none() {
            return Ok(());
        }
        let permit = Quotas::acquire(&self.core, &tenant.name, self.phase, self.deadline);
        self.permit = Some(permit.await?);
        Ok(())
    }

    /// Checks that the caller is still authorized.
    pub(super) fn check_access(&self) -> Result<(), Refusal> {
        let view = self.core.follower.view();
        let routing = view.routing.as_ref().ok_or(Refusal::NotStarted)?;
        let proof_age = self.core.follower.proof_age();
        if self.caller.identity.is_some() {
            self.core.metrics.observe_proof_age(proof_age);
        }
        self.core
            .access
            .recheck(&self.caller, self.version, routing, proof_age)
    }

    /// Applies the region restrictions of the routing table in force, in addition to those under
    /// which the call was accepted.
    pub(super) fn apply_restrictions(&mut self) -> Result<(), Refusal> {
        let view = self.core.follower.view();
        let Some(routing) = &view.routing else {
            return Ok(());
        };
        if routing.version != self.restrictions_version {
            self.restrictions_version = routing.version;
            let tenant = self.caller.tenant_name();
            let table = &routing.table;
            let in_force = table.allowed_regions(&self.call.host, &self.call.path, tenant);
            self.allowed_regions = self.allowed_regions.and(&in_force);
        }
        let records = &self.core.records;
        let may_store = self
            .partition
            .is_none_or(|partition| records.may_store_in(partition, &self.allowed_regions));
        if !may_store {
            log::info!(event = "no_home", request = self.call.request_id.as_str(), version = routing.version; "the turn's partition is no longer in an allowed region");
            return Err(Refusal::NoRecords);
        }
        Ok(())
    }

    pub(super) fn may_serve(&self, chosen: &SelectedServer) -> bool {
        let servers = self.core.servers.borrow();
        servers.is_allowed(&chosen.id, &self.allowed_regions)
            && servers.satisfies(&chosen.id, &self.version_requirement)
    }

    /// Whether the request may be sent to a server that may be warming up. The permit counts as
    /// used if so.
    pub(super) fn may_send_to(
        &self,
        chosen: &SelectedServer,
        warmup: Option<&mut WarmupPermit>,
    ) -> bool {
        let servers = self.core.servers.borrow();
        match warmup {
            Some(permit) => servers.accepts_calls(&chosen.id) && permit.send(),
            // The server may have started to warm up since it was chosen.
            None => !servers.needs_permit(&chosen.id, self.core.clock.now()),
        }
    }

    /// Gives the request up because too many servers ended under it.
    pub(super) fn give_up(&self) -> Refusal {
        let given_up = &self.core.metrics.requests_given_up;
        let service = self.service.clone();
        given_up.get_or_create(&ServiceLabels { service }).inc();
        let request = self.call.request_id.as_str();
        let request_key = self.log.request_key;
        log::warn!(event = "request_given_up", request, request_key:% = request_key, service = self.service.as_str(), sends = self.log.sends.as_str(); "too many servers ended under a request; it is sent to no other");
        Refusal::ServersEnded
    }

    pub(super) fn no_server_refusal(&self) -> Refusal {
        if self.ledger.may_have_run() {
            return Refusal::Broken;
        }
        if self.is_version_gone() {
            return Refusal::StreamVersionGone;
        }
        if self.warm_in.is_none() {
            return Refusal::NoServer;
        }
        let refusals = &self.core.metrics.warmup_refusals;
        let service = self.service.clone();
        refusals.get_or_create(&ServiceLabels { service }).inc();
        let retry_after = self.core.warmup.retry_after(self.warm_in, rand::random());
        Refusal::WarmingUp { retry_after }
    }

    pub(in super::super) fn deadline_refusal(&self) -> Refusal {
        if self.ledger.may_have_run() {
            Refusal::TimedOut
        } else {
            Refusal::TooLate
        }
    }

    /// The refusal returned if no further attempt is made.
    pub(in super::super) fn final_refusal(&self, refusal: Refusal) -> Refusal {
        if self.ledger.may_have_run() {
            Refusal::Broken
        } else {
            refusal
        }
    }
}

fn saturate(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
