//! Reading and writing records on a quorum of stores.
//!
//! What belongs to a program is in the program's partition. A turn may go on from one of another
//! program: it is then kept where that one is, so that a chain is always whole in one partition.

use std::sync::Arc;
use std::time::Duration;

use courseshed_records::{
    ChainError, MissTally, PartitionId, PartitionMap, Record, RecordMember, RecordView,
    ReservationDecision, ReservationTally, Turn, WriteTally,
};
use courseshed_routing::HomeRegions;
use courseshed_types::{CachedPrompt, Distance, NodeId, ZoneMap};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use xxhash_rust::xxh3::xxh3_64;

use super::ask_order::AskOrder;
use super::outages::{Outages, Outlook};
use crate::follower::FleetFollower;
use crate::peers::Peers;
use crate::protocol::{
    PeerAddresses, PeerPort, PeerReply, PeerRequest, RecordOperation, RecordReply, RecordRequest,
};

/// How long one round over the stores may take.
const ROUND_LIMIT: Duration = Duration::from_millis(700);
/// Pause before another round, in which a newer view may arrive.
const ROUND_PAUSE: Duration = Duration::from_millis(40);
/// How long one store is waited for before all are asked for a chain: many times what an answer
/// takes (1 to 5 ms between zones), and little of the time that a turn has.
const NEAREST_LIMIT: Duration = Duration::from_millis(60);
/// How long the replicas of the own region are waited for before those of other regions are asked: many
/// times what a round among them takes (1 to 10 ms), and no longer than one round between regions
/// (60 ms), so that asking the others late costs a call no more than asking them costs anyway.
const NEAR_LIMIT: Duration = Duration::from_millis(50);

/// Why records could not be read or written. What was to be written may stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RecordsUnavailable {
    /// No quorum of stores answered in time.
    #[snafu(display("no quorum of the record stores answered in time"))]
    NoQuorum,
    /// So many stores have no room for more programs that no quorum is left.
    #[snafu(display("the record stores have no room for more programs"))]
    NoRoom,
}

/// What is known of a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainLookup {
    /// It and all that it goes on from.
    Kept(KeptChain),
    /// It was never kept, or is kept no longer.
    Unknown,
}

/// A turn with all that it goes on from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptChain {
    /// Where it is kept, and what goes on from it is to be kept.
    pub partition: PartitionId,
    /// The turns, oldest first.
    pub turns: Vec<Turn>,
}

/// A client of the stores in the views in force.
#[derive(Clone)]
pub struct RecordClient {
    peers: Arc<Peers>,
    follower: Arc<FleetFollower>,
    addresses: PeerAddresses,
    zone: String,
    zones: Arc<ZoneMap>,
    outages: Arc<Mutex<Outages>>,
}

/// How long stores without a quorum are waited for.
#[derive(Clone, Copy, Debug)]
enum Patience {
    /// To the end: what is written down is of work that was done.
    UntilDeadline(Instant),
    /// As long as the outage is likely to be over in time: nothing was done yet, and a caller who
    /// knows early may come back.
    WhileLikely(Instant),
}

impl Patience {
    fn deadline(self) -> Instant {
        match self {
            Self::UntilDeadline(deadline) | Self::WhileLikely(deadline) => deadline,
        }
    }
}

impl RecordClient {
    /// A client of a node in a zone.
    #[must_use]
    pub fn new(
        peers: Arc<Peers>,
        follower: Arc<FleetFollower>,
        addresses: PeerAddresses,
        zone: String,
        zones: Arc<ZoneMap>,
    ) -> Self {
        Self {
            peers,
            follower,
            addresses,
            zone,
            zones,
            outages: Arc::default(),
        }
    }

    /// Sets tokens of a program aside, until a deadline. Tells with the decision what servers hold of
    /// the program's prompts, as far as the stores remember.
    ///
    /// # Errors
    /// [`RecordsUnavailable`]: the reservation may stand, and counts at its most until it is settled.
    pub async fn reserve(
        &self,
        reservation: Reservation,
        budget: u64,
        keep_ms: u64,
        deadline: Instant,
    ) -> Result<(ReservationDecision, Vec<CachedPrompt>), RecordsUnavailable> {
        let partition = PartitionId::of_program(&reservation.program);
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
        let patience = Patience::WhileLikely(deadline);
        self.in_rounds(partition, &operation, patience, |view| {
            let mut tally = ReservationTally::new(view, own.0, own.1, budget);
            let mut replicas_to_spare = view.members.len() - view.quorum();
            let mut hints: Vec<CachedPrompt> = Vec::new();
            move |node, reply| match reply {
                RecordReply::Written { reserved, cached } => {
                    if cached.len() >= hints.len() {
                        hints = cached;
                    }
                    let decision = tally.on_reserved(node, &reserved)?;
                    Some(Ok((decision, std::mem::take(&mut hints))))
                }
                RecordReply::Full if replicas_to_spare == 0 => {
                    Some(Err(RecordsUnavailable::NoRoom))
                }
                RecordReply::Full => {
                    replicas_to_spare -= 1;
                    None
                }
                _ => None,
            }
        })
        .await?
    }

    /// Notes what a call was given. Nobody waits for it: a lost note leaves the call counted at its most.
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
        let deadline = Instant::now() + ROUND_LIMIT;
        tokio::spawn(async move { client.write(partition, record, cached, deadline).await });
    }

    /// Keeps a turn on a quorum of disks of a partition.
    ///
    /// # Errors
    /// [`RecordsUnavailable`]: it may be kept or not.
    pub async fn keep(
        &self,
        partition: PartitionId,
        turn: Turn,
        keep_ms: u64,
        deadline: Instant,
    ) -> Result<(), RecordsUnavailable> {
        let record = Record::Keep { turn, keep_ms };
        self.write(partition, record, None, deadline).await
    }

    /// Where the first kept turn of a program goes when it comes in here: the program's partition, or another
    /// one whose replicas are in this region. What goes on from it stays there.
    #[must_use]
    fn home_of(&self, program: &str) -> PartitionId {
        let records = self.follower.view().records;
        records.home_of(program, |view| self.is_local(view))
    }

    fn is_local(&self, view: &RecordView) -> bool {
        AskOrder::new(view, &self.zones, &self.zone).is_local(&self.zones, &self.zone)
    }

    /// Where the first kept turn of a program goes that may be kept in some regions only: near, if that is one
    /// of them. None if no partition has all its replicas there.
    #[must_use]
    pub fn home_within(&self, program: &str, homes: &HomeRegions) -> Option<PartitionId> {
        if !homes.is_restricted() {
            return Some(self.home_of(program));
        }
        let records = self.follower.view().records;
        let near = records.preferred(program, |view| {
            self.is_within(view, homes) && self.is_local(view)
        });
        near.or_else(|| records.preferred(program, |view| self.is_within(view, homes)))
    }

    /// Whether all replicas of a partition, those that join too, are where a call's turns may be kept.
    #[must_use]
    pub fn may_keep(&self, partition: PartitionId, homes: &HomeRegions) -> bool {
        let records = self.follower.view().records;
        !homes.is_restricted() || self.is_within(records.view(partition), homes)
    }

    fn is_within(&self, view: &RecordView, homes: &HomeRegions) -> bool {
        let is_allowed = |member: &RecordMember| homes.allows(self.zones.region_of(&member.zone));
        !view.members.is_empty() && view.members.iter().all(is_allowed)
    }

    /// Reads a turn with its chain for a program. It is where the program's first turn went, unless it is
    /// a turn of another program or came in elsewhere: if it isn't there, all partitions are asked.
    ///
    /// # Errors
    /// [`RecordsUnavailable`] when it was found nowhere, and too few stores say that they lack it.
    pub async fn chain(
        &self,
        program: &str,
        id: &str,
        deadline: Instant,
    ) -> Result<ChainLookup, RecordsUnavailable> {
        let home = self.home_of(program);
        let at_home = self.chain_in(home, id, deadline).await?;
        if matches!(at_home, ChainLookup::Kept(_)) {
            return Ok(at_home);
        }
        let others = PartitionId::all().filter(|partition| *partition != home);
        let mut lookups: FuturesUnordered<_> = others
            .map(|partition| self.chain_in(partition, id, deadline))
            .collect();
        let mut result = Ok(ChainLookup::Unknown);
        while let Some(lookup) = lookups.next().await {
            match lookup {
                Ok(ChainLookup::Kept(chain)) => return Ok(ChainLookup::Kept(chain)),
                Ok(ChainLookup::Unknown) => {}
                Err(unavailable) => result = Err(unavailable),
            }
        }
        result
    }

    /// Reads a chain of a partition: from one near store, and from all if it isn't whole there.
    async fn chain_in(
        &self,
        partition: PartitionId,
        id: &str,
        deadline: Instant,
    ) -> Result<ChainLookup, RecordsUnavailable> {
        let operation = RecordOperation::Chain { id: id.to_owned() };
        let kept = |turns| ChainLookup::Kept(KeptChain { partition, turns });
        let records = self.follower.view().records;
        let view = records.view(partition);
        if let Some(nearest) = self.nearest(view, id) {
            let asked = self.ask(partition, view, nearest, operation.clone());
            if let Ok((_, Some(RecordReply::Chain(turns)))) = timeout(NEAREST_LIMIT, asked).await {
                return Ok(kept(turns));
            }
        }
        let patience = Patience::WhileLikely(deadline);
        self.in_rounds(partition, &operation, patience, |view| {
            let mut misses = MissTally::new(view);
            move |node, reply| match reply {
                RecordReply::Chain(turns) => Some(kept(turns)),
                RecordReply::IncompleteChain(ChainError::Missing { .. }) => {
                    misses.on_missing(node).then_some(ChainLookup::Unknown)
                }
                _ => None,
            }
        })
        .await
    }

    /// A replica of the own zone, else of the own region, else any that counts: which one depends on the
    /// turn alone, so that reads are spread.
    fn nearest<'a>(&self, view: &'a RecordView, id: &str) -> Option<&'a RecordMember> {
        let distance = |member: &RecordMember| self.zones.distance(&self.zone, &member.zone);
        let nearest = view.active().map(distance).min()?;
        if nearest == Distance::SameZone {
            return view.active().find(|member| member.zone == self.zone);
        }
        let near: Vec<_> = view
            .active()
            .filter(|member| distance(member) == nearest)
            .collect();
        let index = xxh3_64(id.as_bytes()) as usize % near.len();
        near.get(index).copied()
    }

    async fn write(
        &self,
        partition: PartitionId,
        record: Record,
        cached: Option<CachedPrompt>,
        deadline: Instant,
    ) -> Result<(), RecordsUnavailable> {
        let operation = RecordOperation::Write { record, cached };
        let patience = Patience::UntilDeadline(deadline);
        self.in_rounds(partition, &operation, patience, |view| {
            let mut tally = WriteTally::new(view);
            move |node, reply| match reply {
                RecordReply::Written { .. } => tally.on_stored(node).then_some(()),
                _ => None,
            }
        })
        .await
    }

    /// Asks all stores of a partition, again and again with its newest view, until their answers
    /// decide.
    async fn in_rounds<T, D>(
        &self,
        partition: PartitionId,
        operation: &RecordOperation,
        patience: Patience,
        decide_for: impl Fn(&RecordView) -> D,
    ) -> Result<T, RecordsUnavailable>
    where
        D: FnMut(NodeId, RecordReply) -> Option<T>,
    {
        let deadline = patience.deadline();
        loop {
            let began = Instant::now();
            let outlook = match patience {
                Patience::UntilDeadline(_) => Outlook::Wait,
                Patience::WhileLikely(_) => {
                    let mut outages = self.outages.lock();
                    outages.outlook(partition, began, deadline)
                }
            };
            if outlook == Outlook::Refuse {
                return Err(RecordsUnavailable::NoQuorum);
            }
            let records = self.follower.view().records;
            let limit = ROUND_LIMIT.min(deadline.saturating_duration_since(began));
            let decide = decide_for(records.view(partition));
            let round = self.round(&records, partition, operation, decide);
            match timeout(limit, round).await {
                Ok(Some(decided)) => {
                    self.outages.lock().note_answered(partition);
                    return Ok(decided);
                }
                // A round that was cut short by the call's own time says nothing of the stores.
                Err(_) if limit < ROUND_LIMIT => {}
                Ok(None) | Err(_) => self.note_failed(partition, began),
            }
            if outlook == Outlook::AskOnce || Instant::now() + ROUND_PAUSE >= deadline {
                return Err(RecordsUnavailable::NoQuorum);
            }
            sleep(ROUND_PAUSE).await;
        }
    }

    fn note_failed(&self, partition: PartitionId, began: Instant) {
        if self.outages.lock().note_failed(partition, began) {
            let records = self.follower.view().records;
            let view = records.view(partition);
            log::warn!(event = "no_quorum", partition = partition.0, epoch = view.epoch, members = view.members.len(), active = view.active().count(); "no quorum of a partition's stores answered");
        }
    }

    async fn round<T>(
        &self,
        records: &PartitionMap,
        partition: PartitionId,
        operation: &RecordOperation,
        mut decide: impl FnMut(NodeId, RecordReply) -> Option<T>,
    ) -> Option<T> {
        let view = records.view(partition);
        let AskOrder { first, mut later } = AskOrder::new(view, &self.zones, &self.zone);
        let ask = |member| self.ask(partition, view, member, operation.clone());
        let mut answers: FuturesUnordered<_> = first.into_iter().map(ask).collect();
        let ask_others_at = Instant::now() + NEAR_LIMIT;
        loop {
            let is_waiting = !later.is_empty();
            let answer = tokio::select! {
                answer = answers.next() => answer,
                () = sleep_until(ask_others_at), if is_waiting => None,
            };
            match answer {
                Some((node, reply)) => {
                    if let Some(decided) = reply.and_then(|reply| decide(node, reply)) {
                        return Some(decided);
                    }
                }
                None if is_waiting => answers.extend(later.drain(..).map(ask)),
                None => return None,
            }
        }
    }

    async fn ask(
        &self,
        partition: PartitionId,
        view: &RecordView,
        member: &RecordMember,
        operation: RecordOperation,
    ) -> (NodeId, Option<RecordReply>) {
        let address = self.addresses.of(member.node, PeerPort::Store);
        self.peers.set_address(member.node, address);
        let request = RecordRequest {
            incarnation: member.incarnation,
            partition,
            epoch: view.epoch,
            operation,
        };
        let request = PeerRequest::Records(request);
        let reply = self.peers.request(member.node, request, ROUND_LIMIT).await;
        match reply {
            Ok(PeerReply::Records(reply)) => (member.node, Some(reply)),
            _ => (member.node, None),
        }
    }
}

/// Tokens to be set aside for one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The program.
    pub program: String,
    /// Names the reservation among those of the program.
    pub id: u64,
    /// The most that the call may generate.
    pub most: u32,
}

/// What a call was given of the tokens that were set aside for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// The program.
    pub program: String,
    /// Names the reservation among those of the program.
    pub reservation: u64,
    /// Tokens that it was given.
    pub given: u32,
    /// How long the program is kept from now on, in milliseconds.
    pub keep_ms: u64,
    /// What the server that answered holds of the program's prompt now.
    pub cached: Option<CachedPrompt>,
}
