//! The gate between a client's input and the HTTP library: one request at a time, bodies by turns.

use courseshed_edge::request_gate::{BodyFraming, Phase, RequestGate, TURN_BYTES};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const SEEDS: u64 = 2_000;
const MAX_REQUESTS: usize = 6;
const MAX_STEPS: usize = 200_000;
/// Lines of a request body that look like other parts of a message.
const CONFUSING_LINES: [&str; 6] = [
    "0\r\n\r\n",
    "GET / HTTP/1.1\r\n\r\n",
    "\r\n",
    "\n\n",
    "0",
    "x",
];

/// A request and how it is framed.
struct SentRequest {
    head: String,
    framing: Option<BodyFraming>,
    body: String,
}

fn draw_text(random: &mut ChaCha8Rng) -> String {
    let parts = random.random_range(1..6);
    let draw = |_| CONFUSING_LINES[random.random_range(0..CONFUSING_LINES.len())];
    (0..parts).map(draw).collect()
}

fn draw_request(random: &mut ChaCha8Rng) -> SentRequest {
    let empty_lines = "\r\n".repeat(random.random_range(0..3));
    let head = |framing: &str| format!("{empty_lines}POST / HTTP/1.1\r\nhost: a\r\n{framing}\r\n");
    match random.random_range(0..3) {
        0 => SentRequest {
            head: head(""),
            framing: None,
            body: String::new(),
        },
        1 => {
            let body = draw_text(random).repeat(random.random_range(1..2000));
            let length = body.len() as u64;
            SentRequest {
                head: head(&format!("content-length: {length}\r\n")),
                framing: Some(BodyFraming::Length(length)),
                body,
            }
        }
        _ => {
            let chunks = (0..random.random_range(0..40)).map(|_| {
                let text = draw_text(random);
                format!("{:x}\r\n{text}\r\n", text.len())
            });
            let chunks: String = chunks.collect();
            let trailer = "a: b\r\n".repeat(random.random_range(0..2));
            SentRequest {
                head: head("transfer-encoding: chunked\r\n"),
                framing: Some(BodyFraming::Chunked),
                body: format!("{chunks}0\r\n{trailer}\r\n"),
            }
        }
    }
}

/// What the HTTP library, the reader of bodies and the client do with one connection, in a drawn order.
struct Play {
    random: ChaCha8Rng,
    gate: RequestGate,
    input: Vec<u8>,
    /// Bytes of the input that have arrived.
    arrived: usize,
    /// Bytes of the input that the library got.
    passed: usize,
}

impl Play {
    /// Lets some input arrive, and the library read until the gate is closed or nothing is left.
    fn read(&mut self) {
        let more = self.random.random_range(0..3 * TURN_BYTES);
        self.arrived = self.input.len().min(self.arrived + more);
        let before = self.passed;
        while self.passed < self.arrived {
            let piece = self.random.random_range(1..2 * TURN_BYTES);
            let end = self.arrived.min(self.passed + piece);
            let taken = self.gate.take(&self.input[self.passed..end]);
            self.passed += taken;
            if taken == 0 {
                self.gate.end_turn();
                break;
            }
        }
        if self.passed == self.arrived {
            self.gate.begin_turn();
        }
        assert!(self.passed - before <= TURN_BYTES);
    }
}

/// Guards against requests that are decoded behind one that is not answered, and against a gate that
/// never opens again.
#[test]
fn requests_pass_one_at_a_time_and_all_of_them_do() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(1..=MAX_REQUESTS);
        let requests: Vec<_> = (0..count).map(|_| draw_request(&mut random)).collect();
        let text: String = requests
            .iter()
            .flat_map(|request| [request.head.as_str(), request.body.as_str()])
            .collect();
        let mut play = Play {
            random,
            gate: RequestGate::default(),
            input: text.into_bytes(),
            arrived: 0,
            passed: 0,
        };
        let mut start = 0;
        for request in &requests {
            let head_end = start + request.head.len();
            let body_end = head_end + request.body.len();
            let mut has_begun = false;
            for step in 0.. {
                assert!(step < MAX_STEPS, "seed {seed}: stuck at {}", play.passed);
                play.read();
                assert!(play.passed <= body_end, "seed {seed}");
                if !has_begun {
                    assert!(play.passed <= head_end, "seed {seed}");
                }
                if !has_begun && play.passed == head_end {
                    play.gate.begin_request(request.framing);
                    has_begun = true;
                }
                if has_begun && play.passed == body_end {
                    break;
                }
                if has_begun && play.random.random() {
                    play.gate.want_body();
                }
            }
            play.gate.end_body();
            assert_eq!(play.gate.phase(), Phase::Response, "seed {seed}");
            for _ in 0..play.random.random_range(0..4) {
                play.read();
                assert_eq!(play.passed, body_end, "seed {seed}");
            }
            play.gate.end_response();
            assert_eq!(play.gate.phase(), Phase::Idle, "seed {seed}");
            start = body_end;
        }
        assert_eq!(play.passed, play.input.len(), "seed {seed}");
    }
}

/// Guards against an entry of the HTTP library for each of very many small chunks.
#[test]
fn few_chunks_pass_in_one_turn() {
    let mut gate = RequestGate::default();
    let head = b"POST / HTTP/1.1\r\n\r\n";
    assert_eq!(gate.take(head), head.len());
    gate.end_turn();
    gate.begin_request(Some(BodyFraming::Chunked));
    gate.want_body();
    let chunks = "1\r\nx\r\n".repeat(TURN_BYTES);
    let taken = gate.take(chunks.as_bytes());
    assert!(taken > 0 && taken <= 128 * 6, "{taken}");
    assert_eq!(gate.take(&chunks.as_bytes()[taken..]), 0);
    gate.end_turn();
    assert!(!gate.is_open(), "its reader did not ask for more");
    assert!(gate.want_body());
    assert!(gate.is_open());
}

/// Guards against a closed connection that is taken for a request, and the other way round.
#[parameterized(
    nothing = { "", Phase::Idle },
    part_of_a_line = { "GE", Phase::Head },
    no_empty_line = { "GET / HTTP/1.1\r\nhost: a\r\n", Phase::Head },
    whole = { "GET / HTTP/1.1\r\nhost: a\r\n\r\n", Phase::Head },
)]
fn phase_before_a_request_follows_its_head(input: &str, phase: Phase) {
    let mut gate = RequestGate::default();
    assert_eq!(gate.take(input.as_bytes()), input.len());
    assert_eq!(gate.phase(), phase);
    assert_eq!(gate.head_bytes(), input.len());
}

/// The rest of a body whose reader has gone is passed on, so that the client can read the response.
#[test]
fn rest_of_an_unread_body_is_discarded() {
    let mut gate = RequestGate::default();
    gate.take(b"POST / HTTP/1.1\r\n\r\n");
    gate.end_turn();
    gate.begin_request(Some(BodyFraming::Length(100_000)));
    assert_eq!(gate.take(&[0; 10]), 0);
    gate.end_response();
    assert_eq!(gate.phase(), Phase::Discard);
    assert_eq!(gate.take(&[0; 10]), 10);
}
