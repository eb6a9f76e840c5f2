//! The servers of the soak: they note what they run, and misbehave now and then.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use courseshed_registry::{Registration, Server, ServerState};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::framing::FramedResponse;
use crate::http_text::{Head, Message, TextConnection, event_chunk, event_text};
use crate::ledger::Promise;
use crate::lethal::lethal_request;
use crate::routing::max_attempts;
use crate::silence::{SILENCE_MS, fill_backlog, listen_with_small_backlog};
use crate::streams::{STREAM_EVENTS, versioned_event};
use crate::world::World;
use crate::zones::{REGIONS, region_of};

/// The one service of the soak.
pub const SERVICE: &str = "service";
/// Requests that a server runs at once.
const SLOTS: u32 = 16;
/// Time between two announcements.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(1000);
const ANNOUNCEMENT_RETRY: Duration = Duration::from_millis(100);
/// How long a server that has just started warms up.
const WARM_UP_TIME: Duration = Duration::from_secs(4);
/// How long a server that ended is away.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// How long a server that drains goes on serving.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Of a hundred requests, those that the server refuses as not run.
const REFUSED_OF_100: u32 = 2;
/// Of a hundred requests, those whose connection it closes after it ran them.
const DROPPED_OF_100: u32 = 1;

/// A stream breaks off after the event that a draw below this names, if it has one of that number.
const BREAKS_OFF_OF: u64 = 24;

/// Events of the stream that answers a turn: 2 to 5, from its id alone, so that its caller knows too.
#[must_use]
pub fn events_of(id: &str) -> Vec<String> {
    let sum: u64 = id.bytes().map(u64::from).sum();
    (1..=2 + sum % 4)
        .map(|number| format!("{id}-{number}"))
        .collect()
}

/// The body that answers a plain call.
#[must_use]
pub fn plain_answer(id: &str) -> String {
    format!("answer to {id}")
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn listen(world: &World, address: SocketAddr) -> std::io::Result<TcpListener> {
    if world.has_silent_servers() {
        return listen_with_small_backlog(address);
    }
    TcpListener::bind(address).await
}

/// A server that is to start in place of one that ended.
struct NextLife {
    world: Rc<World>,
    id: String,
    version: u32,
    zone: &'static str,
    /// Where the last one listened.
    address: SocketAddr,
    seed: u64,
}

impl NextLife {
    async fn start(self) {
        sleep(RESTART_TIME).await;
        let is_elsewhere = self.seed.is_multiple_of(4);
        let same = listen(&self.world, self.address).await;
        let listener = match same {
            Ok(listener) if !is_elsewhere => Ok(listener),
            _ => listen(&self.world, any_port()).await,
        };
        let Self {
            world,
            id,
            version,
            zone,
            seed,
            ..
        } = self;
        let started = listener
            .and_then(|listener| SoakServer::start_on(listener, world, id, version, zone, seed));
        if let Err(error) = started {
            log::error!("a server did not start again: {error}");
        }
    }
}

/// A running server.
pub struct SoakServer {
    id: String,
    /// The software version that it runs.
    version: u32,
    zone: &'static str,
    address: SocketAddr,
    /// Until when it warms up.
    warm_at: Cell<Instant>,
    state: Cell<ServerState>,
    has_left: Cell<bool>,
    /// Whether its process has ended, as far as others can tell.
    has_ended: watch::Sender<bool>,
    /// Whether it accepts connections.
    is_accepting: watch::Sender<bool>,
    /// The calls that it runs.
    running: RefCell<BTreeSet<String>>,
    random: RefCell<ChaCha8Rng>,
    /// Decides framings and breaks; apart, so that the faults of a seed don't depend on them.
    framings: RefCell<ChaCha8Rng>,
    world: Rc<World>,
}

impl SoakServer {
    /// Starts a server, which announces itself until it leaves.
    ///
    /// # Errors
    /// What the system says when it can't listen.
    pub async fn start(
        world: Rc<World>,
        id: String,
        version: u32,
        zone: &'static str,
        seed: u64,
    ) -> std::io::Result<Rc<Self>> {
        let listener = listen(&world, any_port()).await?;
        Self::start_on(listener, world, id, version, zone, seed)
    }

    fn start_on(
        listener: TcpListener,
        world: Rc<World>,
        id: String,
        version: u32,
        zone: &'static str,
        seed: u64,
    ) -> std::io::Result<Rc<Self>> {
        let server = Rc::new(Self {
            id,
            version,
            zone,
            warm_at: Cell::new(Instant::now()),
            address: listener.local_addr()?,
            state: Cell::new(ServerState::Ready),
            has_left: Cell::new(false),
            has_ended: watch::channel(false).0,
            is_accepting: watch::channel(true).0,
            running: RefCell::default(),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            framings: RefCell::new(ChaCha8Rng::seed_from_u64(!seed)),
            world,
        });
        actix_rt::spawn(server.clone().accept(listener));
        actix_rt::spawn(server.clone().keep_announced());
        Ok(server)
    }

    /// The software version that it runs.
    #[must_use]
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Where it is.
    #[must_use]
    pub fn zone(&self) -> &'static str {
        self.zone
    }

    /// Lets it warm up from now on. Until its next announcement nobody else knows.
    pub fn cool(&self) {
        self.warm_at.set(Instant::now() + WARM_UP_TIME);
    }

    /// Drains and leaves, as a planned end.
    pub async fn leave(self: Rc<Self>) {
        self.state.set(ServerState::Draining);
        sleep(DRAIN_TIME).await;
        let id = serde_json::Value::String(self.id.clone()).to_string();
        while !self.world.operate("/leave", &id).await && !self.world.is_over() {
            sleep(ANNOUNCEMENT_RETRY).await;
        }
        self.has_left.set(true);
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut has_ended = self.has_ended.subscribe();
        let mut is_accepting = self.is_accepting.subscribe();
        while !self.has_left.get() {
            let accepts = *is_accepting.borrow_and_update();
            tokio::select! {
                _ = has_ended.wait_for(|has_ended| *has_ended) => return,
                _ = is_accepting.changed() => {}
                accepted = listener.accept(), if accepts => if let Ok((stream, _)) = accepted {
                    actix_rt::spawn(self.clone().serve(stream));
                }
            }
        }
    }

    /// Answers no connection attempts for a time, if the run has servers that do so.
    async fn fall_silent(&self) {
        if !self.world.has_silent_servers() || !self.is_accepting.send_replace(false) {
            return;
        }
        let milliseconds = self.framings.borrow_mut().random_range(SILENCE_MS);
        let connections = fill_backlog(self.address).await;
        let is_accepting = self.is_accepting.clone();
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(milliseconds)).await;
            drop(connections);
            is_accepting.send_replace(true);
        });
    }

    /// Ends as a process does that a request ends: everything that it has is cut off. It is back after a while,
    /// often at the same address.
    fn end(&self, request: &str) {
        if self.has_ended.send_replace(true) {
            return;
        }
        let mut ledger = self.world.ledger.borrow_mut();
        ledger.note_lethal_end(request, &self.id);
        for call in self.running.borrow().iter() {
            ledger.note_dropped(call);
        }
        let draw = self.random.borrow_mut().random();
        let next = NextLife {
            world: self.world.clone(),
            id: format!("{}+", self.id),
            version: self.version,
            zone: self.zone,
            address: self.address,
            seed: draw,
        };
        actix_rt::spawn(next.start());
    }

    async fn keep_announced(self: Rc<Self>) {
        let mut sequence = 0;
        while !self.has_left.get() && !*self.has_ended.borrow() && !self.world.is_over() {
            sequence += 1;
            let registration = Registration {
                server: Server {
                    id: self.id.clone(),
                    name: String::new(),
                    started_ms: None,
                    software_version: Some(self.world.reported_version(self.version)),
                    warmup_remaining_ms: self.warm_up_left_ms(),
                    service: SERVICE.to_owned(),
                    address: self.address,
                    zone: self.zone.to_owned(),
                    slots: SLOTS,
                    state: self.state.get(),
                },
                sequence,
            };
            let body = serde_json::to_string(&registration).unwrap_or_default();
            let is_heard = self.world.operate("/announce", &body).await;
            sleep(if is_heard {
                ANNOUNCEMENT_INTERVAL
            } else {
                ANNOUNCEMENT_RETRY
            })
            .await;
        }
    }

    fn warm_up_left_ms(&self) -> u32 {
        let left = self.warm_at.get().saturating_duration_since(Instant::now());
        u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let mut connection = TextConnection::new(stream);
        let mut has_ended = self.has_ended.subscribe();
        let served = async {
            while let Some(message) = connection.read().await {
                if !message.is_whole || !self.answer(&mut connection, &message).await {
                    return;
                }
            }
        };
        tokio::select! {
            _ = has_ended.wait_for(|has_ended| *has_ended) => {}
            () = served => {}
        }
    }

    /// Answers a request; false when the connection is to be closed.
    async fn answer(&self, connection: &mut TextConnection, message: &Message) -> bool {
        let id = message.head.header("x-call").unwrap_or("").to_owned();
        let goes_on = self.run(connection, message, &id).await;
        self.running.borrow_mut().remove(&id);
        goes_on
    }

    /// Runs a request that ends this server, at some place of its answer.
    async fn run_lethal(&self, connection: &mut TextConnection, id: &str, request: &str) {
        if self.random.borrow_mut().random() {
            let head = format!(
                "HTTP/1.1 200 OK\r\nx-call: {id}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n{}",
                event_chunk(1, "begun")
            );
            if let Err(error) = connection.write(&head).await {
                log::info!("{id} was left before its server ended: {error}");
            }
        }
        self.end(request);
    }

    /// Runs a request; false when the connection is to be closed.
    async fn run(&self, connection: &mut TextConnection, message: &Message, id: &str) -> bool {
        let is_meant = message.head.header("x-server") == Some(self.id.as_str());
        let draw = self.random.borrow_mut().random_range(0..100);
        if !is_meant {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected\r\nx-call: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            );
            return connection.write(&refusal).await.is_ok();
        }
        self.note_arrival(id, message.head.path());
        if draw < REFUSED_OF_100 {
            let refusal = format!(
                "HTTP/1.1 503 Full\r\nx-call: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            );
            return connection.write(&refusal).await.is_ok();
        }
        self.note_run(id, message.head.path());
        self.running.borrow_mut().insert(id.to_owned());
        let work = self.random.borrow_mut().random_range(2..40);
        sleep(Duration::from_millis(work)).await;
        if let Some(request) = lethal_request(&message.body) {
            self.run_lethal(connection, id, request).await;
            return false;
        }
        if draw < REFUSED_OF_100 + DROPPED_OF_100 {
            self.world.ledger.borrow_mut().note_dropped(id);
            self.fall_silent().await;
            return false;
        }
        if self.world.varies_framing() {
            return self.varied_answer(connection, id, message).await;
        }
        if message.head.path().contains("stream/") {
            return self.resumable_stream(connection, id, &message.head).await;
        }
        if message.head.path().contains("turn/") {
            self.check_history(id, &message.body);
            return self.stream(connection, id).await.is_ok();
        }
        let body = plain_answer(id);
        let length = body.len();
        let answer =
            format!("HTTP/1.1 200 OK\r\nx-call: {id}\r\ncontent-length: {length}\r\n\r\n{body}");
        connection.write(&answer).await.is_ok()
    }

    /// Answers a call with any framing, or breaks the answer off; false when the connection is to be
    /// closed.
    async fn varied_answer(
        &self,
        connection: &mut TextConnection,
        id: &str,
        message: &Message,
    ) -> bool {
        let path = message.head.path();
        let (media_type, parts) = if path.contains("stream/") {
            let last = message.head.header("x-last");
            let last = last.and_then(|last| last.parse().ok());
            self.check_stream_version(id, &message.head, last);
            let missing = last.unwrap_or(0) + 1..=STREAM_EVENTS;
            let event = |number| event_text(number, &versioned_event(self.version, number));
            ("text/event-stream", missing.map(event).collect())
        } else if path.contains("turn/") {
            self.check_history(id, &message.body);
            let events = (1..).zip(events_of(id));
            let event = |(number, data): (u64, String)| event_text(number, &data);
            ("text/event-stream", events.map(event).collect())
        } else {
            ("text/plain", vec![plain_answer(id)])
        };
        let response = self.draw_response(id, media_type, &parts);
        self.send(connection, id, &response).await
    }

    fn draw_response(&self, id: &str, media_type: &str, parts: &[String]) -> FramedResponse {
        let mut framings = self.framings.borrow_mut();
        FramedResponse::draw(&mut framings, id, media_type, parts)
    }

    /// Notes that a server breaks a response off on purpose.
    fn note_break(&self, id: &str) {
        let mut ledger = self.world.ledger.borrow_mut();
        ledger.note_dropped(id);
        ledger.note_broken_off();
    }

    /// Sends a response piece by piece, up to its break if there is one; false when the connection is
    /// to be closed.
    async fn send(
        &self,
        connection: &mut TextConnection,
        id: &str,
        response: &FramedResponse,
    ) -> bool {
        let mut left = response.breaks.map_or(usize::MAX, |breaks| breaks.after);
        if let Some(breaks) = response.breaks {
            self.note_break(id);
            if breaks.resets && connection.reset_on_close().is_err() {
                return false;
            }
        }
        for piece in &response.pieces {
            let kept = piece.len().min(left);
            left -= kept;
            if connection.write(&piece[..kept]).await.is_err() {
                return false;
            }
            let pause = self.random.borrow_mut().random_range(1..25);
            sleep(Duration::from_millis(pause)).await;
            if kept < piece.len() {
                return false;
            }
        }
        response.breaks.is_none() && !response.framing.ends_with_connection()
    }

    fn note_run(&self, id: &str, path: &str) {
        let mut ledger = self.world.ledger.borrow_mut();
        ledger.note_run(id);
        ledger.note_runner(id, &self.id, max_attempts(path));
    }

    /// Notes where and when a call came.
    fn note_arrival(&self, id: &str, path: &str) {
        let now = Instant::now();
        let mut ledger = self.world.ledger.borrow_mut();
        ledger.note_arrival(id, self.zone, now);
        if now < self.warm_at.get() {
            ledger.note_cold_arrival(&self.id, now);
        }
        let mut regions = REGIONS.into_iter();
        if let Some(region) = regions.find(|region| path[1..].starts_with(region)) {
            ledger.note_restricted_run(id, region, region_of(self.zone));
        }
    }

    fn check_history(&self, id: &str, body: &str) {
        let histories = self.world.histories.borrow();
        if histories.get(id).is_some_and(|expected| expected != body) {
            let detail = format!("{id} came with {} bytes that are not its turns", body.len());
            let mut ledger = self.world.ledger.borrow_mut();
            ledger.note_violation(Promise::History, detail);
        }
    }

    /// Sends the events of a stream that the caller lacks, or breaks off within it; false when the
    /// connection is to be closed.
    async fn resumable_stream(
        &self,
        connection: &mut TextConnection,
        id: &str,
        head: &Head,
    ) -> bool {
        let last = head.header("x-last").and_then(|last| last.parse().ok());
        self.check_stream_version(id, head, last);
        let breaks_after = self.random.borrow_mut().random_range(0..BREAKS_OFF_OF);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-call: {id}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        if connection.write(&answer).await.is_err() {
            return false;
        }
        for number in last.unwrap_or(0) + 1..=STREAM_EVENTS {
            if number > breaks_after && breaks_after > 0 && breaks_after < STREAM_EVENTS {
                self.world.ledger.borrow_mut().note_dropped(id);
                self.fall_silent().await;
                return false;
            }
            let event = event_chunk(number, &versioned_event(self.version, number));
            if connection.write(&event).await.is_err() {
                return false;
            }
            let pause = self.random.borrow_mut().random_range(1..25);
            sleep(Duration::from_millis(pause)).await;
        }
        connection.write("0\r\n\r\n").await.is_ok()
    }

    /// Checks that a stream which goes on here began at this server's software version.
    fn check_stream_version(&self, id: &str, head: &Head, last: Option<u64>) {
        let mut versions = self.world.stream_versions.borrow_mut();
        if last.is_none() {
            versions.insert(id.to_owned(), self.version);
            return;
        }
        let first = head.header("x-resumes").unwrap_or(id);
        let began = versions.get(first).copied();
        if began != Some(self.version) {
            let own = self.version;
            let detail = format!("{first} began at version {began:?} and goes on at {own} as {id}");
            let mut ledger = self.world.ledger.borrow_mut();
            ledger.note_violation(Promise::StreamVersion, detail);
        }
    }

    async fn stream(&self, connection: &mut TextConnection, id: &str) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-call: {id}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        connection.write(&head).await?;
        for (number, data) in (1..).zip(events_of(id)) {
            connection.write(&event_chunk(number, &data)).await?;
            let pause = self.random.borrow_mut().random_range(1..25);
            sleep(Duration::from_millis(pause)).await;
        }
        connection.write("0\r\n\r\n").await
    }
}
