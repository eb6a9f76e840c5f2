//! Reads and writes records on a quorum of stores.
//!
//! The records of a program are in the program's partition. A turn that continues a turn of another
//! program is stored in the partition of that turn, so that a chain is always in a single partition.

use std::sync::Arc;
use std::time::Duration;

use courseshed_records::{
    MissTally, PartitionId, PartitionMap, Record, RecordMember, RecordView, ReservationDecision,
    ReservationTally, Reserved, Turn, WriteTally,
};
use courseshed_routing::AllowedRegions;
use courseshed_types::{CachedPrompt, NodeId, ZoneMap};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::outages::{OutageDecision, Outages};
use super::query_order::QueryOrder;
use super::requests::send_to_store;
use crate::follower::FleetFollower;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::protocol::{ChainReading, PeerAddresses, RecordOperation, RecordReply, RecordRequest};

/// Timeout of one round of queries.
const ROUND_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before another round, in which a newer view may arrive.
const ROUND_DELAY: Duration = Duration::from_millis(40);
/// How long replicas of the own region are waited for before those of other regions are queried: above the
/// round-trip time within a region (1 to 10 ms), and at most the one between regions (60 ms), so that querying
/// the others late costs a call no more than querying them costs anyway.
const LOCAL_REPLICAS_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum number of reservations written to one replica that lacks them, per reservation of the program.
const MAX_RESERVATIONS_REPAIRED: usize = 16;

/// Errors from reading or writing records. A failed write may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RecordsUnavailable {
    /// No quorum of stores answered in time.
    #[snafu(display("no quorum of the record stores answered in time"))]
    NoQuorum,
    /// Too many stores are full for a quorum to accept a new program.
    #[snafu(display("the record stores have no room for more programs"))]
    StoresFull,
}

/// Client of the stores of the current partition views.
#[derive(Clone)]
pub struct RecordClient {
    peers: Arc<Peers>,
    follower: Arc<FleetFollower>,
    addresses: PeerAddresses,
    pub(super) zone: String,
    pub(super) zones: Arc<ZoneMap>,
    outages: Arc<Mutex<Outages>>,
    pub(super) metrics: Arc<Metrics>,
}

/// What follows from a reply of a replica.
pub(super) enum Step<T> {
    /// The replies so far decide.
    Decided(T),
    /// More replies are needed.
    Wait,
    /// Some replicas must be asked further.
    Ask(Vec<NodeId>, Box<RecordOperation>),
}

impl<T> From<Option<T>> for Step<T> {
    fn from(decided: Option<T>) -> Self {
        decided.map_or(Self::Wait, Self::Decided)
    }
}

/// How long to wait for a partition without a quorum.
#[derive(Clone, Copy, Debug)]
pub(super) enum WaitPolicy {
    /// Until the deadline: the record describes completed work.
    UntilDeadline(Instant),
    /// While the outage is expected to end before the deadline: no work was done yet, and a client that
    /// is refused early can retry.
    WhileEndExpected(Instant),
    /// For a single round: nobody waits for the outcome, or a refusal is better than a wait.
    OneRound(Instant),
}

impl WaitPolicy {
    fn deadline(self) -> Instant {
        match self {
            Self::UntilDeadline(deadline)
            | Self::WhileEndExpected(deadline)
            | Self::OneRound(deadline) => deadline,
        }
    }
}

impl RecordClient {
    /// Creates a client for a node in a zone, which counts in the metrics of its process.
    #[must_use]
    pub fn new(
        peers: Arc<Peers>,
        follower: Arc<FleetFollower>,
        addresses: PeerAddresses,
        zone: String,
        zones: Arc<ZoneMap>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            peers,
            follower,
            addresses,
            zone,
            zones,
            outages: Arc::default(),
            metrics,
        }
    }

    /// Reserves tokens of a program's budget. Returns the decision, and which servers hold cached prompts of
    /// the program, as far as known to the stores.
    ///
    /// # Errors
    /// Returns [`RecordsUnavailable`] if no quorum answered. The reservation may have taken effect, and then
    /// counts in full until it is settled.
    pub async fn reserve(
        &self,
        reservation: Reservation,
        budget: u64,
        keep_ms: u64,
        deadline: Instant,
    ) -> Result<(ReservationDecision, Vec<CachedPrompt>), RecordsUnavailable> {
        let partition = PartitionId::of_program(&reservation.program);
        let program = reservation.program.clone();
        let record = Record::Reserve {
            program: reservation.program,
            reservation: reservation.id,
            most: reservation.most,
            keep_ms,
        };
        let operation = RecordOperation::Write {
            record,
            cached: None,
        };
        let own = (reservation.id, reservation.most);
        let policy = WaitPolicy::WhileEndExpected(deadline);
        let decided = self.run_rounds(partition, &operation, policy, |view| {
            let mut tally = ReservationTally::new(view, own.0, own.1, budget);
            // A view that has not been received yet has no members.
            let mut spare_replicas = view.members.len().saturating_sub(view.quorum());
            let mut cached_prompts: Vec<CachedPrompt> = Vec::new();
            move |node, reply| match reply {
                RecordReply::Written { reserved, cached } => {
                    if cached.len() >= cached_prompts.len() {
                        cached_prompts = cached;
                    }
                    let decision = tally.on_reserved(node, &reserved)?;
                    let missing = tally.missing_reservations();
                    Some(Ok((decision, std::mem::take(&mut cached_prompts), missing)))
                }
                RecordReply::Full if spare_replicas == 0 => {
                    Some(Err(RecordsUnavailable::StoresFull))
                }
                RecordReply::Full => {
                    spare_replicas -= 1;
                    None
                }
                _ => None,
            }
        });
        let (decision, cached_prompts, missing) = decided.await??;
        if !missing.is_empty() {
            let client = self.clone();
            let repair = async move {
                client
                    .write_missing(partition, program, missing, keep_ms)
                    .await;
            };
            tokio::spawn(repair);
        }
        Ok((decision, cached_prompts))
    }

    /// Writes reservations to replicas that lack them, a few at a time. The next reservation of the program finds those
    /// that still lack some.
    async fn write_missing(
        &self,
        partition: PartitionId,
        program: String,
        missing: Vec<(NodeId, Vec<Reserved>)>,
        keep_ms: u64,
    ) {
        let records = self.partitions();
        let view = records.view(partition);
        let (mut lacking, mut written) = (0, 0);
        for (node, reservations) in &missing {
            lacking += reservations.len();
            let Some(member) = view.member(*node) else {
                continue;
            };
            for reserved in reservations.iter().take(MAX_RESERVATIONS_REPAIRED) {
                let record = Record::Reserve {
                    program: program.clone(),
                    reservation: reserved.reservation,
                    most: reserved.tokens,
                    keep_ms,
                };
                let operation = RecordOperation::Write {
                    record,
                    cached: None,
                };
                let (_, reply) = self.query(partition, view, member, operation).await;
                written += usize::from(matches!(reply, Some(RecordReply::Written { .. })));
            }
        }
        self.metrics.reservations_repaired.inc_by(written as u64);
        log::info!(event = "reservations_repaired", program = program.as_str(), partition = partition.0, replicas = missing.len(), lacking, written; "replicas lacked reservations of a program that others have");
    }

    /// Records the tokens that a call used, in the background. If this is lost, the reservation counts in full.
    pub fn settle(&self, settlement: Settlement) {
        let partition = PartitionId::of_program(&settlement.program);
        let record = Record::Settle {
            program: settlement.program,
            reservation: settlement.reservation,
            given: settlement.given,
            keep_ms: settlement.keep_ms,
        };
        let cached = settlement.cached;
        let client = self.clone();
        let deadline = Instant::now() + ROUND_TIMEOUT;
        tokio::spawn(async move { client.write(partition, record, cached, deadline).await });
    }

    /// Stores a turn on a quorum of the replicas of a partition.
    ///
    /// # Errors
    /// Returns [`RecordsUnavailable`] if no quorum answered. The turn may have been stored.
    pub async fn keep(
        &self,
        partition: PartitionId,
        turn: Turn,
        keep_ms: u64,
        deadline: Instant,
    ) -> Result<(), RecordsUnavailable> {
        let record = Record::StoreTurn { turn, keep_ms };
        self.write(partition, record, None, deadline).await
    }

    /// The partition for the first turn of a program received by this node: the program's own partition if it is
    /// local, else a local one. Turns that continue it stay in that partition.
    #[must_use]
    pub(super) fn home_of(&self, program: &str) -> PartitionId {
        let records = self.follower.view().records;
        records.home_partition(program, |view| self.is_local(view))
    }

    fn is_local(&self, view: &RecordView) -> bool {
        QueryOrder::new(view, &self.zones, &self.zone).is_local(&self.zones, &self.zone)
    }

    /// The partition of a new program whose turns are restricted to some regions; prefers local
    /// partitions. None if no partition is guaranteed to stay in the allowed regions.
    #[must_use]
    pub fn partition_for_new_program(
        &self,
        program: &str,
        allowed_regions: &AllowedRegions,
    ) -> Option<PartitionId> {
        if !allowed_regions.is_restricted() {
            return Some(self.home_of(program));
        }
        let records = self.follower.view().records;
        let near = records.preferred_partition(program, |view| {
            self.is_within(view, allowed_regions) && self.is_local(view)
        });
        near.or_else(|| {
            records.preferred_partition(program, |view| self.is_within(view, allowed_regions))
        })
    }

    /// Whether all replicas of a partition, including joining and future ones, are in the allowed
    /// regions.
    #[must_use]
    pub fn may_store_in(&self, partition: PartitionId, allowed_regions: &AllowedRegions) -> bool {
        let records = self.follower.view().records;
        !allowed_regions.is_restricted() || self.is_within(records.view(partition), allowed_regions)
    }

    fn is_within(&self, view: &RecordView, allowed_regions: &AllowedRegions) -> bool {
        let is_allowed =
            |member: &RecordMember| allowed_regions.allows(self.zones.region_of(&member.zone));
        allowed_regions.allows(view.home_region.as_deref())
            && !view.members.is_empty()
            && view.members.iter().all(is_allowed)
    }

    /// Confirms that a quorum of a partition's replicas answers now. During a known outage the caller is refused
    /// at once, and the replicas are probed in the background.
    ///
    /// # Errors
    /// Returns [`RecordsUnavailable`] if no quorum answered.
    pub async fn confirm_quorum(
        &self,
        partition: PartitionId,
        deadline: Instant,
    ) -> Result<(), RecordsUnavailable> {
        let now = Instant::now();
        let decision = self.outages.lock().decide(partition, now, now);
        match decision {
            OutageDecision::Wait => self.query_quorum(partition, deadline).await,
            OutageDecision::Refuse => Err(RecordsUnavailable::NoQuorum),
            OutageDecision::Probe => {
                let client = self.clone();
                let deadline = now + 2 * ROUND_TIMEOUT;
                tokio::spawn(async move { client.query_quorum(partition, deadline).await });
                Err(RecordsUnavailable::NoQuorum)
            }
        }
    }

    /// Queries the replicas of a partition for a turn that doesn't exist, in one round.
    async fn query_quorum(
        &self,
        partition: PartitionId,
        deadline: Instant,
    ) -> Result<(), RecordsUnavailable> {
        let operation = RecordOperation::Chain {
            id: String::new(),
            reading: ChainReading::Whole,
        };
        let policy = WaitPolicy::OneRound(deadline);
        self.run_rounds(partition, &operation, policy, |view| {
            let mut answers = MissTally::new(view);
            move |node, reply| match reply {
                RecordReply::Chain(_) | RecordReply::IncompleteChain(_) => {
                    answers.on_missing(node).then_some(())
                }
                _ => None,
            }
        })
        .await
    }

    async fn write(
        &self,
        partition: PartitionId,
        record: Record,
        cached: Option<CachedPrompt>,
        deadline: Instant,
    ) -> Result<(), RecordsUnavailable> {
        let operation = RecordOperation::Write { record, cached };
        let policy = WaitPolicy::UntilDeadline(deadline);
        self.run_rounds(partition, &operation, policy, |view| {
            let mut tally = WriteTally::new(view);
            move |node, reply| match reply {
                RecordReply::Written { .. } => tally.on_stored(node).then_some(()),
                _ => None,
            }
        })
        .await
    }

    /// Queries the stores of a partition in rounds, each with its newest view, until their answers decide.
    pub(super) async fn run_rounds<T, D, S>(
        &self,
        partition: PartitionId,
        operation: &RecordOperation,
        policy: WaitPolicy,
        decide_for: impl Fn(&RecordView) -> D,
    ) -> Result<T, RecordsUnavailable>
    where
        D: FnMut(NodeId, RecordReply) -> S,
        S: Into<Step<T>>,
    {
        let deadline = policy.deadline();
        loop {
            let began = Instant::now();
            let decision = match policy {
                WaitPolicy::UntilDeadline(_) | WaitPolicy::OneRound(_) => OutageDecision::Wait,
                WaitPolicy::WhileEndExpected(_) => {
                    let mut outages = self.outages.lock();
                    outages.decide(partition, began, deadline)
                }
            };
            if decision == OutageDecision::Refuse {
                return Err(RecordsUnavailable::NoQuorum);
            }
            let records = self.follower.view().records;
            let limit = ROUND_TIMEOUT.min(deadline.saturating_duration_since(began));
            let view = records.view(partition);
            let answered = Mutex::new(WriteTally::new(view));
            let mut decide = decide_for(view);
            let round = self.round(&records, partition, operation, |node, reply| {
                if reply.tells_of_chain() {
                    answered.lock().on_stored(node);
                }
                decide(node, reply)
            });
            match timeout(limit, round).await {
                Ok(Some(decided)) => {
                    self.record_answer(partition);
                    return Ok(decided);
                }
                // A quorum is there, but lacks an ancestor that another replica may have.
                _ if answered.lock().is_decided() => self.record_answer(partition),
                // A round cut short by the call's deadline is no evidence of an outage.
                Err(_) if limit < ROUND_TIMEOUT => {}
                Ok(None) | Err(_) => self.record_failure(partition, began),
            }
            let is_only_round =
                decision == OutageDecision::Probe || matches!(policy, WaitPolicy::OneRound(_));
            if is_only_round || Instant::now() + ROUND_DELAY >= deadline {
                return Err(RecordsUnavailable::NoQuorum);
            }
            sleep(ROUND_DELAY).await;
        }
    }

    fn record_answer(&self, partition: PartitionId) {
        if self.outages.lock().record_answer(partition) {
            let records = self.follower.view().records;
            let view = records.view(partition);
            log::info!(event = "quorum_answered", partition = partition.0, epoch = view.epoch, members = view.members.len(), active = view.active().count(); "a quorum of the stores of a record partition answered, for the first time or after an outage");
        }
    }

    fn record_failure(&self, partition: PartitionId, began: Instant) {
        if self.outages.lock().record_failure(partition, began) {
            let records = self.follower.view().records;
            let view = records.view(partition);
            log::warn!(event = "no_quorum", partition = partition.0, epoch = view.epoch, members = view.members.len(), active = view.active().count(); "no quorum of the stores of a record partition answered");
        }
    }

    async fn round<T, S>(
        &self,
        records: &PartitionMap,
        partition: PartitionId,
        operation: &RecordOperation,
        mut decide: impl FnMut(NodeId, RecordReply) -> S,
    ) -> Option<T>
    where
        S: Into<Step<T>>,
    {
        let view = records.view(partition);
        let QueryOrder { first, mut later } = QueryOrder::new(view, &self.zones, &self.zone);
        let query = |member, operation: &RecordOperation| {
            self.query(partition, view, member, operation.clone())
        };
        let mut answers: FuturesUnordered<_> = first
            .into_iter()
            .map(|member| query(member, operation))
            .collect();
        let query_others_at = Instant::now() + LOCAL_REPLICAS_TIMEOUT;
        loop {
            let is_waiting = !later.is_empty();
            let answer = tokio::select! {
                answer = answers.next() => answer,
                () = sleep_until(query_others_at), if is_waiting => None,
            };
            match answer {
                Some((_, None)) => {}
                Some((node, Some(reply))) => match decide(node, reply).into() {
                    Step::Decided(decided) => return Some(decided),
                    Step::Wait => {}
                    Step::Ask(nodes, operation) => {
                        let members = nodes.iter().filter_map(|node| view.member(*node));
                        answers.extend(members.map(|member| query(member, &operation)));
                    }
                },
                None if is_waiting => {
                    answers.extend(later.drain(..).map(|member| query(member, operation)));
                }
                None => return None,
            }
        }
    }

    pub(super) async fn query(
        &self,
        partition: PartitionId,
        view: &RecordView,
        member: &RecordMember,
        operation: RecordOperation,
    ) -> (NodeId, Option<RecordReply>) {
        let request = RecordRequest::new(member, partition, view.epoch, operation);
        let reply = self.send(member.node, request, ROUND_TIMEOUT).await;
        (member.node, reply)
    }

    /// Sends a request to a store; `None` if it does not answer in time.
    pub(super) async fn send(
        &self,
        node: NodeId,
        request: RecordRequest,
        limit: Duration,
    ) -> Option<RecordReply> {
        send_to_store(&self.peers, self.addresses, node, request, limit).await
    }

    /// The current views of the partitions.
    pub(super) fn partitions(&self) -> Arc<PartitionMap> {
        self.follower.view().records
    }
}

/// A reservation of tokens for one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The program.
    pub program: String,
    /// Id of the reservation, unique within the program.
    pub id: u64,
    /// Maximum number of tokens that the call may generate.
    pub most: u32,
}

/// The settlement of a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// The program.
    pub program: String,
    /// Id of the reservation, unique within the program.
    pub reservation: u64,
    /// Number of tokens generated.
    pub given: u32,
    /// How long the program is retained from now on, in milliseconds.
    pub keep_ms: u64,
    /// The prompt of the program now cached by the server that answered.
    pub cached: Option<CachedPrompt>,
}
