//! Reading and writing records on a quorum of stores.

use std::sync::Arc;
use std::time::Duration;

use courseshed_records::{
    ChainError, MissTally, Record, RecordMember, RecordView, ReservationDecision, ReservationTally,
    Turn, WriteTally,
};
use courseshed_types::NodeId;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use snafu::Snafu;
use tokio::time::{Instant, sleep, timeout};

use crate::follower::FleetFollower;
use crate::peers::Peers;
use crate::protocol::{
    PeerAddresses, PeerPort, PeerReply, PeerRequest, RecordOperation, RecordReply, RecordRequest,
};

/// How long one round over the stores may take.
const ROUND_LIMIT: Duration = Duration::from_millis(700);
/// Pause before another round, in which a newer view may arrive.
const ROUND_PAUSE: Duration = Duration::from_millis(40);

/// No quorum of stores answered in time. What was written may stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no quorum of the record stores answered in time"))]
pub struct RecordsUnavailable;

/// What is known of a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainLookup {
    /// It and all that it goes on from, oldest first.
    Kept(Vec<Turn>),
    /// It was never kept, or is kept no longer.
    Unknown,
}

/// A client of the stores in the view in force.
#[derive(Clone)]
pub struct RecordClient {
    peers: Arc<Peers>,
    follower: Arc<FleetFollower>,
    addresses: PeerAddresses,
    zone: String,
}

impl RecordClient {
    /// A client of a node in a zone.
    #[must_use]
    pub fn new(
        peers: Arc<Peers>,
        follower: Arc<FleetFollower>,
        addresses: PeerAddresses,
        zone: String,
    ) -> Self {
        Self {
            peers,
            follower,
            addresses,
            zone,
        }
    }

    /// Sets tokens of a program aside, until a deadline.
    ///
    /// # Errors
    /// [`RecordsUnavailable`]: the reservation may stand, and counts at its most until it is settled.
    pub async fn reserve(
        &self,
        reservation: Reservation,
        budget: u64,
        keep_ms: u64,
        deadline: Instant,
    ) -> Result<ReservationDecision, RecordsUnavailable> {
        let record = Record::Reserve {
            program: reservation.program,
            reservation: reservation.id,
            most: reservation.most,
            keep_ms,
        };
        let operation = RecordOperation::Write(record);
        let own = (reservation.id, reservation.most);
        self.in_rounds(&operation, deadline, |view| {
            let mut tally = ReservationTally::new(view, own.0, own.1, budget);
            move |node, reply| match reply {
                RecordReply::Written(reserved) => tally.on_reserved(node, &reserved),
                _ => None,
            }
        })
        .await
    }

    /// Notes what a call was given. Nobody waits for it: a lost note leaves the call counted at its most.
    pub fn settle(&self, program: String, reservation: u64, given: u32) {
        let record = Record::Settle {
            program,
            reservation,
            given,
        };
        let client = self.clone();
        let deadline = Instant::now() + ROUND_LIMIT;
        tokio::spawn(async move { client.write(record, deadline).await });
    }

    /// Keeps a turn on a quorum of disks.
    ///
    /// # Errors
    /// [`RecordsUnavailable`]: it may be kept or not.
    pub async fn keep(
        &self,
        turn: Turn,
        keep_ms: u64,
        deadline: Instant,
    ) -> Result<(), RecordsUnavailable> {
        self.write(Record::Keep { turn, keep_ms }, deadline).await
    }

    /// Reads a turn with its chain: from the nearest store, and from all if it isn't whole there.
    ///
    /// # Errors
    /// [`RecordsUnavailable`] when it was found nowhere, and too few stores say that they lack it.
    pub async fn chain(
        &self,
        id: &str,
        deadline: Instant,
    ) -> Result<ChainLookup, RecordsUnavailable> {
        let operation = RecordOperation::Chain { id: id.to_owned() };
        let view = self.follower.view().records;
        let nearest = view.active().find(|member| member.zone == self.zone);
        if let Some(nearest) = nearest {
            let (_, reply) = self.ask(&view, nearest, operation.clone()).await;
            if let Some(RecordReply::Chain(chain)) = reply {
                return Ok(ChainLookup::Kept(chain));
            }
        }
        self.in_rounds(&operation, deadline, |view| {
            let mut misses = MissTally::new(view);
            move |node, reply| match reply {
                RecordReply::Chain(chain) => Some(ChainLookup::Kept(chain)),
                RecordReply::NoChain(ChainError::Missing { .. }) => {
                    misses.on_missing(node).then_some(ChainLookup::Unknown)
                }
                _ => None,
            }
        })
        .await
    }

    async fn write(&self, record: Record, deadline: Instant) -> Result<(), RecordsUnavailable> {
        let operation = RecordOperation::Write(record);
        self.in_rounds(&operation, deadline, |view| {
            let mut tally = WriteTally::new(view);
            move |node, reply| match reply {
                RecordReply::Written(_) => tally.on_stored(node).then_some(()),
                _ => None,
            }
        })
        .await
    }

    /// Asks all stores of the view, again and again with the newest view, until their answers decide.
    async fn in_rounds<T, D>(
        &self,
        operation: &RecordOperation,
        deadline: Instant,
        decide_for: impl Fn(&RecordView) -> D,
    ) -> Result<T, RecordsUnavailable>
    where
        D: FnMut(NodeId, RecordReply) -> Option<T>,
    {
        loop {
            let view = self.follower.view().records;
            let limit = ROUND_LIMIT.min(deadline.saturating_duration_since(Instant::now()));
            let decide = decide_for(&view);
            let round = self.round(&view, operation, decide);
            if let Ok(Some(decided)) = timeout(limit, round).await {
                return Ok(decided);
            }
            if Instant::now() + ROUND_PAUSE >= deadline {
                return Err(RecordsUnavailable);
            }
            sleep(ROUND_PAUSE).await;
        }
    }

    async fn round<T>(
        &self,
        view: &RecordView,
        operation: &RecordOperation,
        mut decide: impl FnMut(NodeId, RecordReply) -> Option<T>,
    ) -> Option<T> {
        let mut answers: FuturesUnordered<_> = view
            .members
            .iter()
            .map(|member| self.ask(view, member, operation.clone()))
            .collect();
        while let Some((node, reply)) = answers.next().await {
            if let Some(decided) = reply.and_then(|reply| decide(node, reply)) {
                return Some(decided);
            }
        }
        None
    }

    async fn ask(
        &self,
        view: &RecordView,
        member: &RecordMember,
        operation: RecordOperation,
    ) -> (NodeId, Option<RecordReply>) {
        let address = self.addresses.of(member.node, PeerPort::Store);
        self.peers.set_address(member.node, address);
        let request = RecordRequest {
            incarnation: member.incarnation,
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
