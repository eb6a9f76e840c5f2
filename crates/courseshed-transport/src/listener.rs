//! The accepting end of connections: hands messages to the handler and writes answers back as they come.

use std::{io, sync::Arc, time::Duration};

use futures_util::{SinkExt, StreamExt, stream::FuturesUnordered};
use tokio::{
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::{
    frame::{
        BackwardFrame, ForwardFrame, Hello, LENGTH_BYTES, MAX_FRAME_BYTES, MAX_HELLO_BYTES,
        PROTOCOL_VERSION, codec, decode, encode,
    },
    protocol::{Mechanism, PeerIdentity, Protocol, ReplySender},
    transport::Shared,
};

/// How long a new connection may take to say who speaks.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// An answer that is still to come.
struct OpenAnswer<P: Protocol> {
    id: u64,
    mechanism: Mechanism,
    answer: oneshot::Receiver<P::Reply>,
}

enum Answer<P: Protocol> {
    Open(OpenAnswer<P>),
    Pong,
}

/// Accepts connections until the transport stops.
pub(crate) async fn run<P: Protocol>(shared: Arc<Shared<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(shared.clone(), stream));
            }
            Err(error) => {
                log::warn!("cannot accept a peer: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<P: Protocol>(shared: Arc<Shared<P>>, stream: TcpStream) {
    let mut stopped = shared.stopped();
    tokio::select! {
        result = serve_stream(&shared, stream) => {
            if let Err(error) = result {
                log::debug!("a peer's connection ended: {error}");
            }
        }
        _ = stopped.wait_for(|stopped| *stopped) => {}
    }
}

async fn serve_stream<P: Protocol>(shared: &Arc<Shared<P>>, stream: TcpStream) -> io::Result<()> {
    shared.prepare(&stream)?;
    let (read_half, write_half) = stream.into_split();
    let mut reader = FramedRead::new(read_half, codec());
    reader.decoder_mut().set_max_frame_length(MAX_HELLO_BYTES);
    let mut writer = FramedWrite::new(write_half, codec());
    let hello = timeout(HELLO_TIMEOUT, reader.next()).await;
    let hello: Hello = match hello {
        Ok(Some(frame)) => decode(&frame?)?,
        _ => return Err(io::ErrorKind::TimedOut.into()),
    };
    reader.decoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
    let answer = Hello {
        version: PROTOCOL_VERSION,
        identity: shared.identity(),
    };
    writer.send(encode(&answer)?).await?;
    if hello.version != PROTOCOL_VERSION {
        return Err(io::Error::other("the peer speaks another version"));
    }
    let (answers, open_answers) = mpsc::unbounded_channel();
    tokio::select! {
        result = read_loop(shared, hello.identity, reader, answers) => result,
        result = write_loop(shared, writer, open_answers) => result,
    }
}

async fn read_loop<P: Protocol>(
    shared: &Arc<Shared<P>>,
    from: PeerIdentity,
    mut reader: Reader,
    answers: mpsc::UnboundedSender<Answer<P>>,
) -> io::Result<()> {
    while let Some(frame) = reader.next().await {
        let frame = frame?;
        let bytes = frame.len() + LENGTH_BYTES;
        match decode::<ForwardFrame<P>>(&frame)? {
            ForwardFrame::Message(message) => {
                let mechanism = P::message_mechanism(&message);
                shared.counters.count_received(mechanism, bytes);
                shared.handler().on_message(from, message);
            }
            ForwardFrame::Request { id, request } => {
                let mechanism = P::request_mechanism(&request);
                shared.counters.count_received(mechanism, bytes);
                let (sender, answer) = oneshot::channel();
                let open = OpenAnswer {
                    id,
                    mechanism,
                    answer,
                };
                let _ = answers.send(Answer::Open(open));
                shared
                    .handler()
                    .on_request(from, request, ReplySender(sender));
            }
            ForwardFrame::Ping => {
                shared.counters.count_received(Mechanism::KEEP_ALIVE, bytes);
                let _ = answers.send(Answer::Pong);
            }
        }
    }
    Ok(())
}

async fn write_loop<P: Protocol>(
    shared: &Arc<Shared<P>>,
    mut writer: Writer,
    mut answers: mpsc::UnboundedReceiver<Answer<P>>,
) -> io::Result<()> {
    let mut open = FuturesUnordered::new();
    loop {
        let (mechanism, frame) = tokio::select! {
            received = answers.recv() => match received {
                Some(Answer::Open(answer)) => {
                    open.push(wait_for(answer));
                    continue;
                }
                Some(Answer::Pong) => (Mechanism::KEEP_ALIVE, BackwardFrame::<P>::Pong),
                None => return Ok(()),
            },
            Some(answered) = open.next() => answered,
        };
        let frame = encode(&frame)?;
        shared
            .counters
            .count_sent(mechanism, frame.len() + LENGTH_BYTES);
        timeout(shared.timing().write, writer.send(frame))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    }
}

async fn wait_for<P: Protocol>(open: OpenAnswer<P>) -> (Mechanism, BackwardFrame<P>) {
    let id = open.id;
    match open.answer.await {
        Ok(reply) => (open.mechanism, BackwardFrame::Reply { id, reply }),
        Err(_) => (open.mechanism, BackwardFrame::NoReply { id }),
    }
}
