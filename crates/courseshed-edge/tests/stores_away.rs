//! Conversations under way while stores are away, and afterwards.

mod support;

use std::time::Duration;

use bytes::Bytes;
use courseshed_edge::records::{ChainLookup, RecordsUnavailable, Reservation};
use courseshed_records::{PartitionId, Turn};
use courseshed_routing::AllowedRegions;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use support::stores::{Client, STORES, StoreFleet};
use support::wait_until;
use tokio::time::{Instant, sleep};

/// Time that a turn has.
const TURN_TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than the tests take.
const LONG: Duration = Duration::from_secs(600);
const CONVERSATIONS: usize = 8;
/// How long a store is away: longer than requests to it are queued.
const AWAY: Duration = Duration::from_millis(1_200);

struct Conversation {
    program: String,
    partition: PartitionId,
    turns: Vec<String>,
    keep: Duration,
}

impl Conversation {
    fn start(number: usize, client: &Client, keep: Duration) -> Self {
        let program = format!("program-{number}");
        let partition = client
            .records
            .partition_for_new_program(&program, &AllowedRegions::ANY);
        Self {
            program,
            partition: partition.expect("a partition"),
            turns: Vec::new(),
            keep,
        }
    }

    fn last(&self) -> &str {
        self.turns.last().expect("a turn")
    }

    /// Stores another turn, once its predecessors were read as a gateway does.
    async fn go_on(&mut self, client: &Client) {
        if !self.turns.is_empty() {
            self.read(client).await;
        }
        self.append(client).await;
    }

    /// Stores another turn.
    async fn append(&mut self, client: &Client) {
        let id = format!("{}-{}", self.program, self.turns.len());
        let turn = Turn {
            id: id.clone(),
            previous: self.turns.last().cloned(),
            tenant: None,
            input: Bytes::from(format!("input of {id}")),
            output: Bytes::from_static(b"output"),
            cached: None,
            allowed_regions: Vec::new(),
        };
        let keep_ms = self.keep.as_millis() as u64;
        let deadline = Instant::now() + TURN_TIMEOUT;
        let stored = client.records.keep(self.partition, turn, keep_ms, deadline);
        stored.await.expect("a quorum stores the turn");
        self.turns.push(id);
    }

    /// Reads the last turn and checks that all turns before it are there, in order.
    async fn read(&self, client: &Client) {
        let deadline = Instant::now() + TURN_TIMEOUT;
        let lookup =
            client
                .records
                .chain(&self.program, self.last(), &AllowedRegions::ANY, deadline);
        let lookup = lookup.await;
        let Ok(ChainLookup::Kept(chain)) = lookup else {
            panic!("{} is not found: {lookup:?}", self.last());
        };
        let ids: Vec<String> = chain.turns.into_iter().map(|turn| turn.id).collect();
        assert_eq!(ids, self.turns);
    }
}

async fn go_on_with_all(conversations: &mut [Conversation], client: &Client) {
    for conversation in conversations {
        conversation.go_on(client).await;
    }
}

/// Stops and starts each store in turn while the conversations go on.
async fn roll_stores(fleet: &mut StoreFleet, client: &Client, conversations: &mut [Conversation]) {
    for store in 0..STORES {
        fleet.stop(store).await;
        go_on_with_all(conversations, client).await;
        sleep(AWAY).await;
        fleet.restart(store, client).await;
        go_on_with_all(conversations, client).await;
    }
}

/// Guards against conversations that can't go on because each store lacks another of their turns.
#[actix_rt::test]
async fn conversations_go_on_after_each_store_was_away_in_turn() {
    let mut fleet = StoreFleet::start().await;
    let clients = [fleet.add_client(0).await, fleet.add_client(1).await];
    let mut conversations: Vec<Conversation> = (0..CONVERSATIONS)
        .map(|number| Conversation::start(number, &clients[0], LONG))
        .collect();
    go_on_with_all(&mut conversations, &clients[0]).await;
    roll_stores(&mut fleet, &clients[0], &mut conversations).await;
    for client in &clients {
        for conversation in &conversations {
            conversation.read(client).await;
        }
    }
    for store in 0..STORES {
        fleet.stop(store).await;
        for conversation in &conversations {
            conversation.read(&clients[1]).await;
        }
        fleet.restart(store, &clients[1]).await;
    }
}

/// Guards against ancestors that expire while their conversation goes on, since a replica with a gap extends only
/// what is newer than the gap.
#[actix_rt::test]
async fn conversation_outlives_the_retention_time_after_each_store_was_away() {
    const KEEP: Duration = Duration::from_secs(6);
    const PAUSE: Duration = Duration::from_millis(500);
    let mut fleet = StoreFleet::start().await;
    let client = fleet.add_client(0).await;
    let mut conversations: Vec<Conversation> = (0..CONVERSATIONS)
        .map(|number| Conversation::start(number, &client, KEEP))
        .collect();
    go_on_with_all(&mut conversations, &client).await;
    roll_stores(&mut fleet, &client, &mut conversations).await;
    let rolled = Instant::now();
    while rolled.elapsed() < 2 * KEEP {
        sleep(PAUSE).await;
        go_on_with_all(&mut conversations, &client).await;
    }
    for store in 0..STORES {
        fleet.stop(store).await;
        for conversation in &conversations {
            conversation.read(&client).await;
        }
        fleet.restart(store, &client).await;
    }
}

/// Guards against calls that are refused for want of a quorum because another call's chain can't be read while a
/// replica is silent.
#[actix_rt::test]
async fn undecided_chain_is_no_outage_of_its_partition() {
    const SHORT: Duration = Duration::from_millis(500);
    const PAUSE: Duration = Duration::from_millis(10);
    const CONCURRENT: u64 = 8;
    let mut fleet = StoreFleet::start().await;
    let client = fleet.add_client(0).await;
    let mut sound = Conversation::start(0, &client, LONG);
    sound.go_on(&client).await;
    let mut broken = Conversation::start(0, &client, LONG);
    broken.turns.push("never-stored".to_owned());
    broken.append(&client).await;
    let _silent = fleet.silence(0).await;
    let deadline = Instant::now() + TURN_TIMEOUT;
    let lookup = client.records.chain(
        &broken.program,
        broken.last(),
        &AllowedRegions::ANY,
        deadline,
    );
    let others = async {
        let mut next_id = 0;
        while Instant::now() + PAUSE < deadline {
            let reservations = (next_id..next_id + CONCURRENT).map(|id| {
                let reservation = Reservation {
                    program: sound.program.clone(),
                    id,
                    most: 1,
                };
                let deadline = Instant::now() + SHORT;
                client
                    .records
                    .reserve(reservation, 1_000_000, 60_000, deadline)
            });
            let began = Instant::now();
            let mut reservations: FuturesUnordered<_> = reservations.collect();
            while let Some(reserved) = reservations.next().await {
                let is_refused_at_once = reserved.is_err() && began.elapsed() < SHORT / 2;
                assert!(
                    !is_refused_at_once,
                    "{reserved:?} although a quorum answers"
                );
            }
            next_id += CONCURRENT;
            sleep(PAUSE).await;
        }
    };
    let (lookup, ()) = tokio::join!(lookup, others);
    assert_eq!(lookup, Err(RecordsUnavailable::NoQuorum));
}

/// Guards against turns that stay on two of three disks after a store was away, whether or not their conversation
/// goes on.
#[actix_rt::test]
async fn store_gets_back_the_turns_that_it_missed() {
    let mut fleet = StoreFleet::start().await;
    let client = fleet.add_client(0).await;
    let mut conversations: Vec<Conversation> = (0..CONVERSATIONS)
        .map(|number| Conversation::start(number, &client, LONG))
        .collect();
    go_on_with_all(&mut conversations, &client).await;
    for store in 0..STORES {
        fleet.stop(store).await;
        go_on_with_all(&mut conversations, &client).await;
        sleep(AWAY).await;
        fleet.restart(store, &client).await;
        for conversation in &conversations {
            let Conversation { partition, .. } = *conversation;
            let last = conversation.last();
            wait_until(async || fleet.has_whole_chain(&client, store, partition, last).await).await;
        }
    }
}
