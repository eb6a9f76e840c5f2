//! Callers: plain calls and programs of turns, on connections that are used as long as they are open.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::http_text::{Message, TextConnection, event_data};
use crate::ledger::{CallKind, CallSeen, Outcome, ProgramBudget, Promise, TurnSeen};
use crate::routing::RETENTION;
use crate::server::{events_of, plain_answer};
use crate::world::World;
use crate::zones::{REGIONS, marker};

/// How long a caller waits for an answer.
pub(crate) const PATIENCE: Duration = Duration::from_secs(6);
/// What it tells the gateway of that, in milliseconds.
pub(crate) const TIME_TOLD_MS: u64 = 5_000;
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);
/// The most that a turn may generate, in tokens: five events and one more.
const MOST_OF_TURN: u64 = 60;
/// What most programs may spend, in tokens, and the few that go on until it is spent.
const AMPLE_BUDGET: u64 = 10_000;
const SMALL_BUDGET: u64 = 150;
/// Turns of a program at the most; one with a small budget asks for more than it has.
const MOST_TURNS: u32 = 5;
const TURNS_OF_SPENDER: u32 = 12;
/// Tries of a turn, each with an id of its own.
const TRIES_OF_TURN: u32 = 3;
/// What a conversation that lasts as long as the run may spend, in tokens.
const BUDGET_OF_LONG_CONVERSATION: u64 = 1_000_000;
/// Pause between two turns of such a conversation, in milliseconds.
const PAUSE_OF_LONG_CONVERSATION_MS: std::ops::Range<u64> = 50..400;
/// Pause before a turn of such a conversation is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between two calls, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 120;
/// Of ten calls or programs, those that are restricted to a region.
const RESTRICTED_OF_10: u32 = 4;

/// One caller. It uses one connection to each gateway for as long as that is open.
pub struct Caller {
    pub(crate) world: Rc<World>,
    name: String,
    random: ChaCha8Rng,
    calls: u64,
    connections: BTreeMap<usize, TextConnection>,
}

/// What a call needs.
pub(crate) struct Call<'a> {
    pub(crate) id: &'a str,
    pub(crate) kind: CallKind,
    /// The region to which it is restricted.
    pub(crate) region: Option<&'static str>,
    pub(crate) headers: String,
    pub(crate) body: &'a str,
}

/// How a call ended, with its answer if there was one.
pub(crate) struct Ended {
    outcome: Outcome,
    answer: Option<Message>,
}

/// A line of turns, as its caller knows it.
pub(crate) struct Conversation {
    program: String,
    budget: u64,
    region: Option<&'static str>,
    previous: Option<String>,
    history: String,
    /// When the last turn was answered whole.
    answered: Option<Instant>,
}

impl Conversation {
    /// The last turn that was answered whole, if the gateways must still know it.
    pub(crate) fn last_kept_turn(&self) -> Option<&str> {
        let is_kept = self.answered.is_some_and(|at| at.elapsed() < RETENTION);
        self.previous.as_deref().filter(|_| is_kept)
    }
}

impl Caller {
    /// A caller of a run.
    #[must_use]
    pub fn new(world: Rc<World>, number: usize, seed: u64) -> Self {
        Self {
            world,
            name: format!("s{seed}-{number}"),
            random: ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1009).wrapping_add(number as u64)),
            calls: 0,
            connections: BTreeMap::new(),
        }
    }

    /// Calls until the run is over.
    pub async fn run(mut self) {
        while !self.world.is_over() {
            let pause = self.random.random_range(0..LONGEST_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
            self.maybe_lethal().await;
            match self.random.random_range(0..10) {
                0..3 => self.plain(CallKind::Once).await,
                3..6 => self.plain(CallKind::Repeatable).await,
                _ if self.world.has_releases() && self.random.random_range(0..2) == 0 => {
                    self.resumable_stream().await;
                }
                _ => self.program().await,
            }
        }
    }

    /// Whether a gateway answers a plain call and a turn, for the end of a run.
    pub async fn is_served_by(&mut self, gateway: usize) -> bool {
        let id = self.next_id();
        let call = Call {
            id: &id,
            kind: CallKind::Repeatable,
            region: None,
            headers: String::new(),
            body: "",
        };
        let plain = self.call_at(gateway, &call).await;
        let mut conversation = self.conversation(AMPLE_BUDGET, None);
        let plain_served = plain.outcome == Outcome::Answered { status: 200 };
        plain_served && self.turn(&mut conversation, Some(gateway)).await == Some(200)
    }

    /// Holds one conversation until the run is over, whatever happens meanwhile, and returns it.
    pub(crate) async fn converse(mut self) -> (Self, Conversation) {
        let mut conversation = self.conversation(BUDGET_OF_LONG_CONVERSATION, None);
        while !self.world.is_over() {
            let pause = self.random.random_range(PAUSE_OF_LONG_CONVERSATION_MS);
            sleep(Duration::from_millis(pause)).await;
            if self.turn(&mut conversation, None).await != Some(200) {
                sleep(RETRY_PAUSE).await;
            }
        }
        (self, conversation)
    }

    /// Whether a conversation goes on within a time, at whatever gateway.
    pub(crate) async fn goes_on(
        &mut self,
        conversation: &mut Conversation,
        limit: Duration,
    ) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if self.turn(conversation, None).await == Some(200) {
                return true;
            }
            sleep(RETRY_PAUSE).await;
        }
        false
    }

    async fn plain(&mut self, kind: CallKind) {
        let id = self.next_id();
        let region = self.draw_region().filter(|_| kind == CallKind::Repeatable);
        let body = region.map_or_else(|| "a question".to_owned(), marker);
        let call = Call {
            id: &id,
            kind,
            region,
            headers: String::new(),
            body: &body,
        };
        let gateway = self.choose_gateway();
        let ended = self.call_at(gateway, &call).await;
        let is_answered = ended.outcome == Outcome::Answered { status: 200 };
        let body = ended.answer.map(|answer| answer.body);
        if is_answered && body.as_deref() != Some(plain_answer(&id).as_str()) {
            self.violation(Promise::WholeAnswer, format!("{id} was answered {body:?}"));
        }
    }

    async fn program(&mut self) {
        let is_spender = self.random.random_range(0..10) == 0;
        let (budget, turns) = if is_spender {
            (SMALL_BUDGET, TURNS_OF_SPENDER)
        } else {
            (AMPLE_BUDGET, self.random.random_range(1..=MOST_TURNS))
        };
        let region = self.draw_region();
        let mut conversation = self.conversation(budget, region);
        for _ in 0..turns {
            let mut served = false;
            for _ in 0..TRIES_OF_TURN {
                let status = self.turn(&mut conversation, None).await;
                if status == Some(402) || self.world.is_over() {
                    return;
                }
                served = status == Some(200);
                if served {
                    break;
                }
            }
            if !served {
                return;
            }
        }
    }

    /// The region to which the next call is restricted.
    fn draw_region(&mut self) -> Option<&'static str> {
        let is_restricted = self.random.random_range(0..10) < RESTRICTED_OF_10;
        let region = REGIONS.choose(&mut self.random).copied();
        region.filter(|_| is_restricted && self.world.has_regions())
    }

    fn conversation(&mut self, budget: u64, region: Option<&'static str>) -> Conversation {
        let program = format!("p-{}", self.next_id());
        let allowed = ProgramBudget {
            tokens: budget,
            most_of_turn: MOST_OF_TURN,
        };
        let mut ledger = self.world.ledger.borrow_mut();
        ledger.note_budget(&program, allowed);
        Conversation {
            program,
            budget,
            region,
            previous: None,
            history: String::new(),
            answered: None,
        }
    }

    /// One turn of a conversation, which goes on from it if it was answered whole. Its status, if any.
    async fn turn(
        &mut self,
        conversation: &mut Conversation,
        gateway: Option<usize>,
    ) -> Option<u16> {
        let id = self.next_id();
        let marker = conversation.region.map(marker).unwrap_or_default();
        let input = format!("input of {id} {marker}\n");
        let whole = format!("{}{input}", conversation.history);
        self.world.expect_history(&id, &whole);
        let Conversation {
            program, budget, ..
        } = conversation;
        let mut headers =
            format!("x-program: {program}\r\nx-budget: {budget}\r\nx-most: {MOST_OF_TURN}\r\n");
        if let Some(previous) = &conversation.previous {
            headers.push_str(&format!("x-previous: {previous}\r\n"));
        }
        let call = Call {
            id: &id,
            kind: CallKind::Turn,
            region: conversation.region,
            headers,
            body: &input,
        };
        let gateway = gateway.unwrap_or_else(|| self.choose_gateway());
        let ended = self.call_at(gateway, &call).await;
        let Outcome::Answered { status } = ended.outcome else {
            return None;
        };
        if status == 404 && conversation.previous.is_some() {
            let previous = &conversation.previous;
            self.violation(
                Promise::KeptTurn,
                format!("{id}: {previous:?} is not known at gateway {gateway}"),
            );
        }
        if status == 200 {
            let data = event_data(&ended.answer.map(|answer| answer.body).unwrap_or_default());
            if data != events_of(&id) {
                self.violation(Promise::WholeAnswer, format!("{id} was given {data:?}"));
            }
            conversation.history = whole;
            for event in data {
                conversation.history.push_str(&event);
                conversation.history.push('\n');
            }
            conversation.previous = Some(id);
            conversation.answered = Some(Instant::now());
        }
        Some(status)
    }

    /// Makes a call at a gateway, on the open connection if there is one, and notes how it ended.
    pub(crate) async fn call_at(&mut self, gateway: usize, call: &Call<'_>) -> Ended {
        let sent = Instant::now();
        let ended = self.exchange(gateway, call).await;
        let over = Instant::now();
        let turn = call.headers.lines().find_map(|line| {
            let program = line.strip_prefix("x-program: ")?;
            let body = ended.answer.as_ref().map(|answer| answer.body.as_str());
            Some(TurnSeen {
                program: program.to_owned(),
                events: event_data(body.unwrap_or("")).len() as u64,
            })
        });
        let seen = CallSeen {
            kind: call.kind,
            gateway,
            sent,
            over,
            outcome: ended.outcome.clone(),
            turn,
        };
        let id = call.id.to_owned();
        self.world.ledger.borrow_mut().note_call(id, seen);
        ended
    }

    /// A connection to a gateway: the open one, if there is one.
    pub(crate) async fn take_connection(&mut self, gateway: usize) -> Option<TextConnection> {
        match self.connections.remove(&gateway) {
            Some(connection) => Some(connection),
            None => self.connect(gateway).await,
        }
    }

    /// Keeps a connection for the next call.
    pub(crate) fn keep_connection(&mut self, gateway: usize, connection: TextConnection) {
        self.connections.insert(gateway, connection);
    }

    /// Draws a number below a bound.
    pub(crate) fn draw(&mut self, bound: u64) -> u64 {
        self.random.random_range(0..bound)
    }

    async fn exchange(&mut self, gateway: usize, call: &Call<'_>) -> Ended {
        let nothing = |outcome| Ended {
            outcome,
            answer: None,
        };
        let Some(mut connection) = self.take_connection(gateway).await else {
            return nothing(Outcome::NotConnected);
        };
        let name = match call.kind {
            CallKind::Once => "once",
            CallKind::Repeatable => "safe",
            CallKind::Turn => "turn",
            CallKind::Stream => "stream",
        };
        let path = match call.region {
            Some(region) => format!("/{region}-{name}/x"),
            None => format!("/{name}/x"),
        };
        let Call {
            id, headers, body, ..
        } = call;
        let length = body.len();
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: soak.example\r\nx-call: {id}\r\nx-time: {TIME_TOLD_MS}\r\n{headers}content-length: {length}\r\n\r\n{body}"
        );
        let answered = async {
            connection.write(&request).await.ok()?;
            connection.read().await
        };
        let Ok(answer) = timeout(PATIENCE, answered).await else {
            return nothing(Outcome::GaveUp);
        };
        let Some(answer) = answer else {
            return nothing(Outcome::NoAnswer);
        };
        if !answer.is_whole {
            return Ended {
                outcome: Outcome::BrokenOff,
                answer: Some(answer),
            };
        }
        // A connection is used again whatever the gateway says of it, until it is gone.
        self.connections.insert(gateway, connection);
        let status = answer.head.status().unwrap_or(0);
        Ended {
            outcome: Outcome::Answered { status },
            answer: Some(answer),
        }
    }

    async fn connect(&self, gateway: usize) -> Option<TextConnection> {
        let address = self.world.callers_address(gateway);
        let connected = timeout(CONNECT_PATIENCE, TcpStream::connect(address)).await;
        let stream = connected.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(TextConnection::new(stream))
    }

    pub(crate) fn choose_gateway(&mut self) -> usize {
        let gateways = self.world.gateways();
        gateways.choose(&mut self.random).copied().unwrap_or(0)
    }

    pub(crate) fn next_id(&mut self) -> String {
        self.calls += 1;
        format!("{}-{}", self.name, self.calls)
    }

    pub(crate) fn violation(&self, promise: Promise, detail: String) {
        let mut ledger = self.world.ledger.borrow_mut();
        ledger.note_violation(promise, detail);
    }
}
