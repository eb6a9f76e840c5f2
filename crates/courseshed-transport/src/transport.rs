//! The transport of one node: its address book, its connections, and sending and asking.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener as StdTcpListener},
    sync::Arc,
    time::Duration,
};

use courseshed_types::NodeId;
use parking_lot::{Mutex, RwLock};
use snafu::ResultExt;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Handle,
    sync::{
        mpsc::{self, error::TrySendError},
        oneshot, watch,
    },
    time::timeout,
};

use crate::{
    backoff::Backoff,
    connection::{Connection, Handover, Outgoing, OutgoingRequest},
    counters::TrafficCounters,
    error::{ListenSnafu, NotHandedOver, RequestError, SendError, StartError},
    listener,
    protocol::{Handler, PeerIdentity, Protocol, ReplySender, TrafficClass},
};

/// First wait after a failed connection.
const RECONNECT_BASE: Duration = Duration::from_millis(20);

/// How a transport runs.
#[derive(Debug, Clone)]
pub struct TransportSettings {
    /// Who this node is.
    pub identity: PeerIdentity,
    /// Messages that may wait for one peer.
    pub queue_capacity: usize,
    /// Seed of the jitter of reconnects.
    pub seed: u64,
    /// How long peers are waited for.
    pub timing: TransportTiming,
}

/// How long a transport waits for its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransportTiming {
    /// How long a connection may take to come about.
    pub connect: Duration,
    /// How long the first try after a connection was lost may take; each further one may take twice
    /// as long, up to `connect`. A machine without power swallows the first packet without a word.
    pub first_connect: Duration,
    /// Longest wait between failed tries.
    pub reconnect: Duration,
    /// How long a write may make no progress.
    pub write: Duration,
    /// How often a connection with open requests looks for signs of life.
    pub ping: Duration,
    /// How long a peer with open requests may be silent.
    pub silence: Duration,
    /// How long written bytes may stay unacknowledged before the system gives the connection up;
    /// none leaves it to the system.
    pub unacknowledged: Option<Duration>,
}

impl TransportTiming {
    /// How long a try to connect may take after some that failed.
    #[must_use]
    pub fn connect_limit(&self, failed_tries: u32) -> Duration {
        let factor = 1_u32.checked_shl(failed_tries).unwrap_or(u32::MAX);
        self.first_connect.saturating_mul(factor).min(self.connect)
    }
}

impl Default for TransportTiming {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            first_connect: Duration::from_secs(1),
            reconnect: Duration::from_secs(1),
            write: Duration::from_secs(5),
            ping: Duration::from_secs(1),
            silence: Duration::from_secs(5),
            unacknowledged: None,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Lane {
    Ordinary,
    Bulk,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LaneKey {
    peer: NodeId,
    lane: Lane,
}

/// What the tasks of a transport share.
pub(crate) struct Shared<P: Protocol> {
    settings: TransportSettings,
    handler: Arc<dyn Handler<P>>,
    addresses: RwLock<BTreeMap<NodeId, SocketAddr>>,
    pub(crate) counters: TrafficCounters,
    stop: watch::Sender<bool>,
}

impl<P: Protocol> Shared<P> {
    pub(crate) fn identity(&self) -> PeerIdentity {
        self.settings.identity
    }

    pub(crate) fn handler(&self) -> &dyn Handler<P> {
        self.handler.as_ref()
    }

    pub(crate) fn timing(&self) -> TransportTiming {
        self.settings.timing
    }

    /// Sets a fresh connection up.
    pub(crate) fn prepare(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        if let Some(limit) = self.settings.timing.unacknowledged {
            SockRef::from(stream).set_tcp_user_timeout(Some(limit))?;
        }
        Ok(())
    }

    pub(crate) fn address(&self, peer: NodeId) -> Option<SocketAddr> {
        self.addresses.read().get(&peer).copied()
    }

    pub(crate) fn stopped(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }
}

/// The transport of one node.
pub struct Transport<P: Protocol> {
    shared: Arc<Shared<P>>,
    lanes: RwLock<BTreeMap<LaneKey, mpsc::Sender<Outgoing<P>>>>,
    local: mpsc::Sender<Outgoing<P>>,
    runtime: Handle,
    lane_count: Mutex<u64>,
}

impl<P: Protocol> Transport<P> {
    /// Starts a transport whose tasks run on `runtime`. It listens until [`Transport::stop`] is called.
    ///
    /// # Errors
    /// When the listening socket can't be made ready.
    pub fn start(
        settings: TransportSettings,
        listener: StdTcpListener,
        handler: Arc<dyn Handler<P>>,
        runtime: &Handle,
    ) -> Result<Transport<P>, StartError> {
        listener.set_nonblocking(true).context(ListenSnafu)?;
        let entered = runtime.enter();
        let listener = TcpListener::from_std(listener).context(ListenSnafu)?;
        drop(entered);
        let capacity = settings.queue_capacity;
        let shared = Arc::new(Shared {
            settings,
            handler,
            addresses: RwLock::new(BTreeMap::new()),
            counters: TrafficCounters::default(),
            stop: watch::channel(false).0,
        });
        let (local, local_queue) = mpsc::channel(capacity);
        runtime.spawn(until_stopped(
            shared.stopped(),
            listener::run(shared.clone(), listener),
        ));
        runtime.spawn(until_stopped(
            shared.stopped(),
            run_local(shared.clone(), local_queue),
        ));
        Ok(Transport {
            shared,
            lanes: RwLock::new(BTreeMap::new()),
            local,
            runtime: runtime.clone(),
            lane_count: Mutex::new(0),
        })
    }

    /// Replaces the address book. Connections that stand are kept.
    pub fn set_addresses(&self, addresses: BTreeMap<NodeId, SocketAddr>) {
        *self.shared.addresses.write() = addresses;
    }

    /// Adds or changes the address of one peer.
    pub fn set_address(&self, peer: NodeId, address: SocketAddr) {
        self.shared.addresses.write().insert(peer, address);
    }

    /// Who this node is.
    pub fn identity(&self) -> PeerIdentity {
        self.shared.identity()
    }

    /// Counters of messages and bytes.
    pub fn counters(&self) -> &TrafficCounters {
        &self.shared.counters
    }

    /// Tells a peer. The message may be lost without notice.
    ///
    /// # Errors
    /// When the message was not even queued.
    pub fn send(&self, to: NodeId, message: P::Message) -> Result<(), SendError> {
        let mechanism = P::message_mechanism(&message);
        let Some(queue) = self.queue(to, mechanism.class) else {
            self.shared.counters.count_dropped(mechanism);
            return Err(SendError::UnknownPeer { node: to });
        };
        queue.try_send(Outgoing::Message(message)).map_err(|_| {
            self.shared.counters.count_dropped(mechanism);
            SendError::QueueFull { node: to }
        })
    }

    /// Asks a peer and waits for its answer, at most `limit`.
    ///
    /// # Errors
    /// When no answer came; [`RequestError::verdict`] says whether the peer may have acted.
    pub async fn request(
        &self,
        to: NodeId,
        request: P::Request,
        limit: Duration,
    ) -> Result<P::Reply, RequestError> {
        let class = P::request_class(&request);
        let not_handed_over = |reason| RequestError::NotHandedOver { node: to, reason };
        let Some(queue) = self.queue(to, class) else {
            return Err(not_handed_over(NotHandedOver::UnknownPeer));
        };
        let handover = Arc::new(Handover::default());
        let (answer, answered) = oneshot::channel();
        let outgoing = OutgoingRequest {
            request,
            handover: handover.clone(),
            answer,
        };
        match queue.try_send(Outgoing::Request(Box::new(outgoing))) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return Err(not_handed_over(NotHandedOver::QueueFull)),
            Err(TrySendError::Closed(_)) => {
                return Err(not_handed_over(NotHandedOver::NotConnected));
            }
        }
        match timeout(limit, answered).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) if handover.abandon() => Err(not_handed_over(NotHandedOver::NotConnected)),
            Ok(Err(_)) => Err(RequestError::ConnectionLost { node: to }),
            Err(_) if handover.abandon() => Err(not_handed_over(NotHandedOver::NotConnected)),
            Err(_) => Err(RequestError::TimedOut { node: to }),
        }
    }

    /// Closes all connections and stops listening. Requests under way fail.
    pub fn stop(&self) {
        self.shared.stop.send_replace(true);
        self.lanes.write().clear();
    }

    fn queue(&self, to: NodeId, class: TrafficClass) -> Option<mpsc::Sender<Outgoing<P>>> {
        if to == self.shared.identity().node {
            return Some(self.local.clone());
        }
        let lane = match class {
            TrafficClass::Control | TrafficClass::Data => Lane::Ordinary,
            TrafficClass::Bulk => Lane::Bulk,
        };
        let key = LaneKey { peer: to, lane };
        if let Some(queue) = self.lanes.read().get(&key) {
            return Some(queue.clone());
        }
        self.shared.address(to)?;
        Some(self.open_lane(key))
    }

    fn open_lane(&self, key: LaneKey) -> mpsc::Sender<Outgoing<P>> {
        let mut lanes = self.lanes.write();
        if let Some(queue) = lanes.get(&key) {
            return queue.clone();
        }
        let (sender, queue) = mpsc::channel(self.shared.settings.queue_capacity);
        let connection = Connection {
            shared: self.shared.clone(),
            peer: key.peer,
            queue,
            backoff: Backoff::new(
                RECONNECT_BASE,
                self.shared.timing().reconnect,
                self.next_seed(),
            ),
            failed_tries: 0,
        };
        self.runtime
            .spawn(until_stopped(self.shared.stopped(), connection.run()));
        lanes.insert(key, sender.clone());
        sender
    }

    fn next_seed(&self) -> u64 {
        let mut count = self.lane_count.lock();
        *count += 1;
        self.shared.settings.seed.wrapping_add(*count)
    }
}

impl<P: Protocol> Drop for Transport<P> {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn until_stopped(mut stopped: watch::Receiver<bool>, task: impl Future<Output = ()>) {
    tokio::select! {
        () = task => {}
        _ = stopped.wait_for(|stopped| *stopped) => {}
    }
}

/// Hands messages of the node to itself to the handler, off the sender's stack and locks.
async fn run_local<P: Protocol>(shared: Arc<Shared<P>>, mut queue: mpsc::Receiver<Outgoing<P>>) {
    let own = shared.identity();
    while let Some(outgoing) = queue.recv().await {
        match outgoing {
            Outgoing::Message(message) => shared.handler().on_message(own, message),
            Outgoing::Request(outgoing) => {
                if !outgoing.handover.take() {
                    continue;
                }
                let (sender, answered) = oneshot::channel();
                shared
                    .handler()
                    .on_request(own, outgoing.request, ReplySender(sender));
                let answer = outgoing.answer;
                tokio::spawn(async move {
                    if let Ok(reply) = answered.await {
                        let _ = answer.send(Ok(reply));
                    }
                });
            }
        }
    }
}
