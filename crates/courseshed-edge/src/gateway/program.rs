//! Prepares a turn of a program: reserves its tokens and loads the turns before it.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use courseshed_records::{PartitionId, ReservationDecision, Turn};
use courseshed_routing::{AllowedRegions, Route};
use courseshed_types::CachedPrompt;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::call::GatewayRequest;
use super::core::GatewayCore;
use super::policy::Mechanism;
use super::refusal::Refusal;
use crate::client_tracker::RequestMemory;
use crate::records::{ChainLookup, RecordClient, RecordsUnavailable, Reservation, Settlement};

/// Added to the retention of a route, for programs and turns.
const RETENTION_MARGIN_MS: u64 = 15_000;
/// Minimum retention of a program without stored turns.
const MIN_RETENTION_MS: u64 = 60_000;

/// Retention of the records of a program, in milliseconds.
pub(super) fn keep_ms(route: &Route) -> u64 {
    route.retention_ms.max(MIN_RETENTION_MS) + RETENTION_MARGIN_MS
}

/// The program's key in the record stores; qualified by the tenant, since tenants may use the same
/// IDs.
pub(super) fn program_key(tenant: Option<&str>, program: &str) -> String {
    tenant.map_or_else(
        || program.to_owned(),
        |tenant| format!("{tenant}/{program}"),
    )
}

/// Tokens reserved for a turn. Unused tokens are released on drop.
pub(super) struct TokenReservation {
    records: RecordClient,
    program: String,
    id: u64,
    most: u32,
    keep_ms: u64,
    tokens_per_event: u64,
    events: u64,
    /// Whether no tokens of the program had been used before.
    is_first: bool,
    /// Prompt segments that the server has cached after this turn, for the program's next call.
    cached: Option<CachedPrompt>,
    /// Prompt segments cached by servers for the program, according to the record stores.
    hints: Vec<CachedPrompt>,
}

impl TokenReservation {
    /// Sets the prompt segments that the server has cached after this turn.
    pub(super) fn set_cached(&mut self, cached: CachedPrompt) {
        self.cached = Some(cached);
    }

    /// Takes the prompt segments cached by servers for the program.
    pub(super) fn take_hints(&mut self) -> Vec<CachedPrompt> {
        std::mem::take(&mut self.hints)
    }

    /// Whether this is the program's first turn, judging by its token use.
    pub(super) fn is_first(&self) -> bool {
        self.is_first
    }

    /// Counts an event forwarded to the client.
    pub(super) fn count_event(&mut self) {
        self.events += 1;
    }
}

impl Drop for TokenReservation {
    fn drop(&mut self) {
        let given = u32::try_from(self.events * self.tokens_per_event).unwrap_or(u32::MAX);
        let cached = self.cached.take();
        if given < self.most || cached.is_some() {
            self.records.settle(Settlement {
                program: std::mem::take(&mut self.program),
                reservation: self.id,
                given: given.min(self.most),
                keep_ms: self.keep_ms,
                cached,
            });
        }
    }
}

/// Reserves the tokens of a turn; `None` if its program has no budget.
pub(super) async fn reserve(
    core: &Rc<GatewayCore>,
    call: &GatewayRequest,
    tenant: Option<&str>,
    route: &Route,
    tokens_per_event: u64,
    deadline: Instant,
) -> Result<Option<TokenReservation>, Refusal> {
    let Some(claim) = &call.program else {
        return Ok(None);
    };
    let (Some(budget), Some(most)) = (claim.token_budget, call.most_tokens) else {
        return Ok(None);
    };
    // Created before the stores are asked, so that the reservation is settled in every case.
    let mut guard = TokenReservation {
        records: core.records.clone(),
        program: program_key(tenant, &claim.program),
        id: xxh3_64(call.request_id.as_bytes()),
        most,
        keep_ms: keep_ms(route),
        tokens_per_event,
        events: 0,
        is_first: false,
        cached: None,
        hints: Vec::new(),
    };
    let reservation = Reservation {
        program: guard.program.clone(),
        id: guard.id,
        most,
    };
    let decision = core
        .records
        .reserve(reservation, budget, guard.keep_ms, deadline)
        .await;
    match decision {
        Ok((ReservationDecision::Granted { is_first }, hints)) => {
            guard.is_first = is_first;
            if core.policy.uses(Mechanism::ProgramHints) {
                record_hints(core, &hints);
                guard.hints = hints;
            }
            Ok(Some(guard))
        }
        Ok((
            ReservationDecision::Exceeded {
                used_by_others: by_others,
            },
            _,
        )) => {
            log::info!(event = "budget_spent", request = call.request_id.as_str(), program = claim.program.as_str(), budget, by_others, most; "turn exceeds the token budget of its program");
            Err(Refusal::BudgetSpent)
        }
        Err(unavailable) => Err(refusal_for(unavailable)),
    }
}

/// Records which servers have prompts cached from calls of other gateways.
fn record_hints(core: &GatewayCore, hints: &[CachedPrompt]) {
    let now = core.clock.now();
    let mut servers = core.servers.borrow_mut();
    for cached in hints {
        servers.record_cached(cached, now);
    }
}

pub(super) fn refusal_for(unavailable: RecordsUnavailable) -> Refusal {
    match unavailable {
        RecordsUnavailable::NoQuorum => Refusal::NoRecords,
        RecordsUnavailable::StoresFull => Refusal::StoresFull,
    }
}

/// The body sent to a server.
pub(super) struct ComposedBody {
    /// The previous turns of the program, followed by the new input.
    pub body: Bytes,
    /// The partition that stores the turn.
    pub partition: PartitionId,
    /// Prompt segments cached by the server of the previous turn, if known.
    pub hint: Option<CachedPrompt>,
    /// The regions that the previous turns must not leave.
    pub allowed_regions: AllowedRegions,
}

/// Loads the turns that a request continues, and records which server generated the last one.
pub(super) async fn compose_body(
    core: &Rc<GatewayCore>,
    call: &GatewayRequest,
    tenant: Option<&str>,
    allowed_regions: &AllowedRegions,
    deadline: Instant,
    memory: &RequestMemory,
) -> Result<ComposedBody, Refusal> {
    // Turns without a program are stored under the empty program ID.
    let program = call.program.as_ref().map_or("", |claim| &claim.program);
    let program = program_key(tenant, program);
    let Some(previous) = &call.previous_turn else {
        let partition = core
            .records
            .partition_for_new_program(&program, allowed_regions);
        let partition = partition.ok_or_else(|| no_partition(call))?;
        confirm_storage(core, partition, allowed_regions, deadline).await?;
        return Ok(ComposedBody {
            body: call.body.clone(),
            partition,
            hint: None,
            allowed_regions: AllowedRegions::ANY,
        });
    };
    let chain = core
        .records
        .chain(&program, previous, allowed_regions, deadline);
    let chain = match chain.await {
        Ok(ChainLookup::Kept(chain)) => chain,
        Ok(ChainLookup::Unknown) => {
            log::info!(event = "unknown_turn", request = call.request_id.as_str(), previous = previous.as_str(); "previous turn not found");
            return Err(Refusal::UnknownTurn);
        }
        Err(unavailable) => return Err(refusal_for(unavailable)),
    };
    let partition = chain.partition;
    let chain_regions = chain
        .turns
        .iter()
        .map(|turn| AllowedRegions::of_list(&turn.allowed_regions))
        .fold(AllowedRegions::ANY, |all, of_turn| all.and(&of_turn));
    let both = allowed_regions.and(&chain_regions);
    if !core.records.may_store_in(partition, &both) {
        return Err(no_partition(call));
    }
    confirm_storage(core, partition, allowed_regions, deadline).await?;
    let chain = chain.turns;
    let is_own = chain.iter().all(|turn| turn.tenant.as_deref() == tenant);
    if !is_own {
        log::warn!(event = "turn_of_another", request = call.request_id.as_str(), previous = previous.as_str(), tenant; "previous turn belongs to another tenant");
        return Err(Refusal::UnknownTurn);
    }
    let hint = chain.last().and_then(|turn| turn.cached.clone());
    let hint = hint.filter(|_| core.policy.uses(Mechanism::KeptTurnHints));
    if let Some(cached) = &hint {
        let now = core.clock.now();
        core.servers.borrow_mut().record_cached(cached, now);
    }
    let size: usize = chain.iter().map(Turn::content_bytes).sum();
    memory.reserve(size + 2 * call.body.len()).await?;
    let mut body = BytesMut::with_capacity(size + call.body.len());
    for turn in &chain {
        body.extend_from_slice(&turn.input);
        body.extend_from_slice(&turn.output);
    }
    body.extend_from_slice(&call.body);
    Ok(ComposedBody {
        body: body.freeze(),
        partition,
        hint,
        allowed_regions: chain_regions,
    })
}

/// Refuses a restricted turn that its partition can't store, before it runs. An unrestricted turn has
/// other partitions, and restricted ones are more often without a quorum: their replicas lie in a
/// single region.
async fn confirm_storage(
    core: &GatewayCore,
    partition: PartitionId,
    allowed_regions: &AllowedRegions,
    deadline: Instant,
) -> Result<(), Refusal> {
    if !allowed_regions.is_restricted() {
        return Ok(());
    }
    let confirmed = core.records.confirm_quorum(partition, deadline).await;
    confirmed.map_err(refusal_for)
}

/// No partition is allowed to store the turn, so it is not started.
fn no_partition(call: &GatewayRequest) -> Refusal {
    log::info!(event = "no_home", request = call.request_id.as_str(); "no partition is guaranteed to stay in the allowed regions");
    Refusal::NoRecords
}

/// Builds the record of a completed turn.
pub(super) fn build_turn(
    call: &GatewayRequest,
    tenant: Option<&str>,
    allowed_regions: &AllowedRegions,
    output: Bytes,
    cached: Option<CachedPrompt>,
) -> Turn {
    Turn {
        id: call.request_id.clone(),
        previous: call.previous_turn.clone(),
        tenant: tenant.map(str::to_owned),
        input: call.body.clone(),
        output,
        cached,
        allowed_regions: allowed_regions.to_list(),
    }
}
