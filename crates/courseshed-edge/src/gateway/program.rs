//! What a turn of a program needs before it is sent: its tokens set aside, and the turns before it.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use courseshed_records::{PartitionId, ReservationDecision, Turn};
use courseshed_routing::{HomeRegions, Route};
use courseshed_types::CachedPrompt;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::call::CallEnvelope;
use super::core::GatewayCore;
use super::held::Holding;
use super::held_memory::HeldKind;
use super::policy::Mechanism;
use super::refusal::Refusal;
use crate::records::{ChainLookup, RecordClient, RecordsUnavailable, Reservation, Settlement};

/// How much longer than a route says its programs and turns are kept.
const RETENTION_MARGIN_MS: u64 = 15_000;
/// How long a program without kept turns is remembered at least.
const LEAST_RETENTION_MS: u64 = 60_000;

/// How long what belongs to a program of a route is kept, in milliseconds.
pub(super) fn keep_ms(route: &Route) -> u64 {
    route.retention_ms.max(LEAST_RETENTION_MS) + RETENTION_MARGIN_MS
}

/// The name under which the stores know a program: tenants may use the same names.
pub(super) fn program_key(tenant: Option<&str>, program: &str) -> String {
    tenant.map_or_else(
        || program.to_owned(),
        |tenant| format!("{tenant}/{program}"),
    )
}

/// Tokens set aside for a turn. When it is dropped, what was not given is given back.
pub(super) struct TokenReservation {
    records: RecordClient,
    program: String,
    id: u64,
    most: u32,
    keep_ms: u64,
    tokens_per_event: u64,
    events: u64,
    /// Whether the program was given no tokens before.
    is_first: bool,
    /// What the server that answered holds of the prompt now, for the program's next call.
    cached: Option<CachedPrompt>,
    /// What servers held of the program's prompts, as far as the stores know.
    hints: Vec<CachedPrompt>,
}

impl TokenReservation {
    /// Notes what the server that answered holds of the prompt now.
    pub(super) fn note_cached(&mut self, cached: CachedPrompt) {
        self.cached = Some(cached);
    }

    /// What servers held of the program's prompts, as far as the stores know.
    pub(super) fn take_hints(&mut self) -> Vec<CachedPrompt> {
        std::mem::take(&mut self.hints)
    }

    /// Whether the turn begins its program, as far as its tokens tell.
    pub(super) fn is_first(&self) -> bool {
        self.is_first
    }

    /// Counts an event that the caller is given.
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

/// Sets the tokens of a turn aside; none if its program has no budget.
pub(super) async fn reserve(
    core: &Rc<GatewayCore>,
    call: &CallEnvelope,
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
    // Made before the stores are asked: whatever comes of it, it is settled in the end.
    let mut held = TokenReservation {
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
        program: held.program.clone(),
        id: held.id,
        most,
    };
    let decision = core
        .records
        .reserve(reservation, budget, held.keep_ms, deadline)
        .await;
    match decision {
        Ok((ReservationDecision::Granted { is_first }, hints)) => {
            held.is_first = is_first;
            if core.policy.uses(Mechanism::ProgramHints) {
                note_hints(core, &hints);
                held.hints = hints;
            }
            Ok(Some(held))
        }
        Ok((ReservationDecision::Spent { by_others }, _)) => {
            log::info!(event = "budget_spent", request = call.request_id.as_str(), program = claim.program.as_str(), budget, by_others, most; "the turn does not fit into the program's budget");
            Err(Refusal::BudgetSpent)
        }
        Err(unavailable) => Err(refusal_for(unavailable)),
    }
}

/// Learns which servers hold prompts that other gateways' calls had read.
fn note_hints(core: &GatewayCore, hints: &[CachedPrompt]) {
    let now = core.clock.now();
    let mut servers = core.servers.borrow_mut();
    for cached in hints {
        servers.note_cached(cached, now);
    }
}

fn refusal_for(unavailable: RecordsUnavailable) -> Refusal {
    match unavailable {
        RecordsUnavailable::NoQuorum => Refusal::NoRecords,
        RecordsUnavailable::NoRoom => Refusal::NoRoom,
    }
}

/// What a server is to get.
pub(super) struct ComposedBody {
    /// All that the turn goes on from, and its new input.
    pub body: Bytes,
    /// Where the turn is to be kept.
    pub partition: PartitionId,
    /// What the server that made the turn before holds of the prompt, if that is known.
    pub hint: Option<CachedPrompt>,
}

/// Reads what a turn goes on from. Learns on the way which server made the turn before.
pub(super) async fn compose_body(
    core: &Rc<GatewayCore>,
    call: &CallEnvelope,
    tenant: Option<&str>,
    homes: &HomeRegions,
    deadline: Instant,
    holding: &Holding,
) -> Result<ComposedBody, Refusal> {
    // A kept turn of no program is kept with those of the program without a name.
    let program = call.program.as_ref().map_or("", |claim| &claim.program);
    let program = program_key(tenant, program);
    let Some(previous) = &call.previous_turn else {
        let partition = core.records.home_within(&program, homes);
        return Ok(ComposedBody {
            body: call.body.clone(),
            partition: partition.ok_or_else(|| no_home(call))?,
            hint: None,
        });
    };
    let chain = match core.records.chain(&program, previous, deadline).await {
        Ok(ChainLookup::Kept(chain)) => chain,
        Ok(ChainLookup::Unknown) => {
            log::info!(event = "unknown_turn", request = call.request_id.as_str(), previous = previous.as_str(); "the turn that it goes on from is not kept");
            return Err(Refusal::UnknownTurn);
        }
        Err(unavailable) => return Err(refusal_for(unavailable)),
    };
    let partition = chain.partition;
    if !core.records.may_keep(partition, homes) {
        return Err(no_home(call));
    }
    let chain = chain.turns;
    let is_own = chain.iter().all(|turn| turn.tenant.as_deref() == tenant);
    if !is_own {
        log::warn!(event = "turn_of_another", request = call.request_id.as_str(), previous = previous.as_str(), tenant; "the turn that it goes on from is another tenant's");
        return Err(Refusal::UnknownTurn);
    }
    let hint = chain.last().and_then(|turn| turn.cached.clone());
    let hint = hint.filter(|_| core.policy.uses(Mechanism::KeptTurnHints));
    if let Some(cached) = &hint {
        let now = core.clock.now();
        core.servers.borrow_mut().note_cached(cached, now);
    }
    let size = chain
        .iter()
        .map(|turn| turn.input.len() + turn.output.len())
        .sum::<usize>();
    holding.check_room(size + call.body.len())?;
    holding.set(HeldKind::Request, size + 2 * call.body.len());
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
    })
}

/// The turn can't be kept where it may be kept, and so isn't begun.
fn no_home(call: &CallEnvelope) -> Refusal {
    log::info!(event = "no_home", request = call.request_id.as_str(); "no partition has all its replicas in the regions where the turn may be kept");
    Refusal::NoRecords
}

/// The record of a turn that was answered whole.
pub(super) fn turn_of(
    call: &CallEnvelope,
    tenant: Option<&str>,
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
    }
}
