//! The opening end of a connection: connects when there is something to say, writes what is queued, and matches
//! answers with requests.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use courseshed_types::NodeId;
use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use tokio::{
    net::TcpStream,
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::{mpsc, oneshot},
    time::{Instant, MissedTickBehavior, interval_at, sleep, timeout},
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::{
    backoff::Backoff,
    error::{NotHandedOver, RequestError},
    frame::{
        BackwardFrame, ForwardFrame, Hello, LENGTH_BYTES, PROTOCOL_VERSION, codec, decode, encode,
    },
    protocol::{Mechanism, Protocol},
    transport::Shared,
};

/// Messages written before one flush.
const BATCH_LIMIT: usize = 64;

type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;
type Waiting<P> = Mutex<BTreeMap<u64, PendingReply<P>>>;

/// Where a request stands between the asker and the writer.
#[derive(Debug, Default)]
pub(crate) struct Handover(AtomicU8);

const QUEUED: u8 = 0;
const HANDED_OVER: u8 = 1;
const ABANDONED: u8 = 2;

impl Handover {
    /// The writer takes the request; false if the asker gave up before.
    pub(crate) fn take(&self) -> bool {
        self.change(HANDED_OVER)
    }

    /// The asker gives up; false if the writer took the request before.
    pub(crate) fn abandon(&self) -> bool {
        self.change(ABANDONED)
    }

    fn change(&self, to: u8) -> bool {
        self.0
            .compare_exchange(QUEUED, to, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }
}

/// Something queued for a peer.
pub(crate) enum Outgoing<P: Protocol> {
    Message(P::Message),
    Request(Box<OutgoingRequest<P>>),
}

/// A request queued for a peer.
pub(crate) struct OutgoingRequest<P: Protocol> {
    pub request: P::Request,
    pub handover: Arc<Handover>,
    pub answer: oneshot::Sender<Result<P::Reply, RequestError>>,
}

struct PendingReply<P: Protocol> {
    answer: oneshot::Sender<Result<P::Reply, RequestError>>,
    mechanism: Mechanism,
}

/// The task that owns one connection to a peer.
pub(crate) struct Connection<P: Protocol> {
    pub shared: Arc<Shared<P>>,
    pub peer: NodeId,
    pub queue: mpsc::Receiver<Outgoing<P>>,
    pub backoff: Backoff,
    /// Tries that failed since the last connection.
    pub failed_tries: u32,
}

impl<P: Protocol> Connection<P> {
    /// Runs until the transport is dropped.
    pub(crate) async fn run(mut self) {
        while let Some(first) = self.queue.recv().await {
            match self.connect().await {
                Ok((reader, writer)) => {
                    self.backoff.reset();
                    self.failed_tries = 0;
                    self.serve(reader, writer, first).await;
                }
                Err(error) => {
                    log::debug!(peer = self.peer.0; "cannot connect: {error}");
                    self.failed_tries += 1;
                    self.refuse(first);
                    self.refuse_queued();
                    sleep(self.backoff.next_wait()).await;
                }
            }
        }
    }

    async fn connect(&self) -> io::Result<(Reader, Writer)> {
        let address = self
            .shared
            .address(self.peer)
            .ok_or_else(|| io::Error::other("no address is known"))?;
        let limit = self.shared.timing().connect_limit(self.failed_tries);
        timeout(limit, self.open(address))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    async fn open(&self, address: SocketAddr) -> io::Result<(Reader, Writer)> {
        let stream = TcpStream::connect(address).await?;
        self.shared.prepare(&stream)?;
        let (read_half, write_half) = stream.into_split();
        let mut reader = FramedRead::new(read_half, codec());
        let mut writer = FramedWrite::new(write_half, codec());
        let hello = Hello {
            version: PROTOCOL_VERSION,
            identity: self.shared.identity(),
        };
        writer.send(encode(&hello)?).await?;
        let answer: Hello = match reader.next().await {
            Some(frame) => decode(&frame?)?,
            None => return Err(io::ErrorKind::UnexpectedEof.into()),
        };
        if answer.version != PROTOCOL_VERSION {
            return Err(io::Error::other("the peer speaks another version"));
        }
        if answer.identity.node != self.peer {
            let message = format!("node {} answers at that address", answer.identity.node);
            return Err(io::Error::other(message));
        }
        Ok((reader, writer))
    }

    async fn serve(&mut self, reader: Reader, writer: Writer, first: Outgoing<P>) {
        let waiting: Waiting<P> = Mutex::new(BTreeMap::new());
        let heard = Mutex::new(Instant::now());
        let shared = self.shared.clone();
        let result = tokio::select! {
            result = write_loop(&shared, &mut self.queue, writer, first, &waiting, &heard) => result,
            result = read_loop(&shared, reader, &waiting, &heard) => result,
        };
        if let Err(error) = result {
            log::debug!(peer = self.peer.0; "connection lost: {error}");
        }
        for pending in std::mem::take(&mut *waiting.lock()).into_values() {
            let lost = RequestError::ConnectionLost { node: self.peer };
            let _ = pending.answer.send(Err(lost));
        }
    }

    fn refuse_queued(&mut self) {
        while let Ok(outgoing) = self.queue.try_recv() {
            self.refuse(outgoing);
        }
    }

    fn refuse(&self, outgoing: Outgoing<P>) {
        match outgoing {
            Outgoing::Message(message) => {
                let mechanism = P::message_mechanism(&message);
                self.shared.counters.count_dropped(mechanism);
            }
            Outgoing::Request(request) => {
                let error = RequestError::NotHandedOver {
                    node: self.peer,
                    reason: NotHandedOver::NotConnected,
                };
                let _ = request.answer.send(Err(error));
            }
        }
    }
}

async fn write_loop<P: Protocol>(
    shared: &Shared<P>,
    queue: &mut mpsc::Receiver<Outgoing<P>>,
    mut writer: Writer,
    first: Outgoing<P>,
    waiting: &Waiting<P>,
    heard: &Mutex<Instant>,
) -> io::Result<()> {
    let mut next_id = 0;
    let timing = shared.timing();
    let mut ping = interval_at(Instant::now() + timing.ping, timing.ping);
    ping.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut next = Some(first);
    loop {
        let mut batch = 0;
        // The peer's silence counts only from when it owes an answer.
        if waiting.lock().is_empty() {
            *heard.lock() = Instant::now();
            ping.reset();
        }
        while let Some(outgoing) = next.take() {
            next_id += 1;
            if let Some((mechanism, frame)) = encode_outgoing(outgoing, next_id, waiting)? {
                shared
                    .counters
                    .count_sent(mechanism, frame.len() + LENGTH_BYTES);
                within(timing.write, writer.feed(frame)).await?;
            }
            batch += 1;
            if batch < BATCH_LIMIT {
                next = queue.try_recv().ok();
            }
        }
        within(timing.write, SinkExt::<Bytes>::flush(&mut writer)).await?;
        // A connection that rests wakes nobody: a gateway of a large fleet has one to each of a hundred stores,
        // and woke 200 times a second for nothing.
        let is_owed = !waiting.lock().is_empty();
        tokio::select! {
            received = queue.recv() => match received {
                Some(outgoing) => next = Some(outgoing),
                None => return Ok(()),
            },
            _ = ping.tick(), if is_owed => {
                if !waiting.lock().is_empty() {
                    check_silence(*heard.lock(), timing.silence)?;
                    let frame = encode(&ForwardFrame::<P>::Ping)?;
                    shared.counters.count_sent(Mechanism::KEEP_ALIVE, frame.len() + LENGTH_BYTES);
                    within(timing.write, writer.feed(frame)).await?;
                }
            }
        }
    }
}

fn check_silence(heard: Instant, limit: Duration) -> io::Result<()> {
    if heard.elapsed() > limit {
        return Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the peer is silent",
        ));
    }
    Ok(())
}

type EncodedFrame = Option<(Mechanism, Bytes)>;

fn encode_outgoing<P: Protocol>(
    outgoing: Outgoing<P>,
    id: u64,
    waiting: &Waiting<P>,
) -> io::Result<EncodedFrame> {
    match outgoing {
        Outgoing::Message(message) => {
            let mechanism = P::message_mechanism(&message);
            let frame = encode(&ForwardFrame::<P>::Message(message))?;
            Ok(Some((mechanism, frame)))
        }
        Outgoing::Request(outgoing) => {
            let outgoing = *outgoing;
            if !outgoing.handover.take() {
                return Ok(None);
            }
            let mechanism = P::request_mechanism(&outgoing.request);
            let pending = PendingReply {
                answer: outgoing.answer,
                mechanism,
            };
            waiting.lock().insert(id, pending);
            let request = outgoing.request;
            let frame = encode(&ForwardFrame::<P>::Request { id, request })?;
            Ok(Some((mechanism, frame)))
        }
    }
}

async fn read_loop<P: Protocol>(
    shared: &Shared<P>,
    mut reader: Reader,
    waiting: &Waiting<P>,
    heard: &Mutex<Instant>,
) -> io::Result<()> {
    while let Some(frame) = reader.next().await {
        let frame = frame?;
        *heard.lock() = Instant::now();
        let bytes = frame.len() + LENGTH_BYTES;
        match decode::<BackwardFrame<P>>(&frame)? {
            BackwardFrame::Reply { id, reply } => {
                if let Some(pending) = waiting.lock().remove(&id) {
                    shared.counters.count_received(pending.mechanism, bytes);
                    let _ = pending.answer.send(Ok(reply));
                }
            }
            BackwardFrame::NoReply { id } => {
                // Dropping the sender tells the asker that no answer will come.
                waiting.lock().remove(&id);
            }
            BackwardFrame::Pong => shared.counters.count_received(Mechanism::KEEP_ALIVE, bytes),
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

async fn within<T>(limit: Duration, action: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    timeout(limit, action)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
