//! Measures what a program weighs in the replicated state of its shard, and what a command costs to apply.
//!
//! Run it with `cargo run --release -p courseshed-programs --example program_memory`. Texts are sentences of this
//! project's own pages in random order; 4 bytes of text count as a token.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use courseshed_programs::{
    CommandBody, Effect, ProposalId, ShardCommand, ShardState,
    command::{AcceptCall, CallLimits, CreateProgram, DispatchCall},
    digest::BodyDigest,
    encode_command,
};
use courseshed_types::{
    Attempt, CallAnswer, CallId, ChatRole, FinishReason, NodeId, ProgramId, RequestId, Sequence,
    ShardId, Timestamp, Tokens, Usage, chat::ChatMessage,
};

/// Text to build histories from.
const SOURCES: [&str; 3] = [
    include_str!("../../../docs/design/overview.md"),
    include_str!("../../../docs/GLOSSARY.md"),
    include_str!("../../../CONTRIBUTING.md"),
];
/// Bytes of text in a token.
const TOKEN_BYTES: usize = 4;
/// Turns of the programs measured.
const TURNS: [u64; 3] = [10, 100, 320];
/// Tokens of history a turn adds; 750 make 240,000 in 320 turns.
const TOKENS_PER_TURN: [u64; 3] = [0, 250, 750];
/// Part of a turn's tokens that the answer makes, in percent.
const ANSWER_PERCENT: u64 = 25;
/// Text held by the programs of one size, so that their memory stands out.
const TARGET_BYTES: u64 = 96 * 1_024 * 1_024;
/// Bytes of a page, as `/proc/self/statm` counts.
const PAGE_BYTES: u64 = 4_096;
/// Programs under way, replicas of each, and nodes: the size to design for.
const FLEET: (f64, f64, f64) = (280_000.0, 3.0, 330.0);
/// Turns timed for each program.
const ROUNDS: u64 = 16;

/// One measured size.
struct Sample {
    turns: f64,
    kilotokens: f64,
    bytes: f64,
}

fn main() {
    let mut samples = Vec::new();
    println!("turns   tokens | bytes/program  text bytes  snapshot bytes  us to write");
    for per_turn in TOKENS_PER_TURN {
        for turns in TURNS {
            samples.push(measure_memory(turns, per_turn));
        }
    }
    print_fit(&samples);
    print_fleet(&samples);
    print_commands();
}

fn measure_memory(turns: u64, per_turn: u64) -> Sample {
    let text_bytes = turns * per_turn * TOKEN_BYTES as u64;
    let programs = (TARGET_BYTES / (text_bytes + turns * 300)).clamp(8, 20_000);
    let before = resident_bytes();
    let mut bench = Bench::new();
    for _ in 0..programs {
        let program = bench.create();
        (1..=turns).for_each(|sequence| bench.turn(program, sequence, per_turn));
    }
    let bytes = resident_bytes().saturating_sub(before) / programs;
    let started = Instant::now();
    let snapshot = black_box(bench.state.snapshot()).len() as u64 / programs;
    let micros = started.elapsed().as_micros() as u64 / programs;
    let tokens = turns * per_turn;
    println!("{turns:5} {tokens:8} | {bytes:13} {text_bytes:11} {snapshot:15} {micros:12}");
    // Kept, so that the memory of the next size is not this one's reused.
    std::mem::forget(bench);
    Sample {
        turns: turns as f64,
        kilotokens: tokens as f64 / 1_000.0,
        bytes: bytes as f64,
    }
}

/// Bytes = base + turns * per turn + kilotokens * per kilotoken, by least squares of the relative error.
fn fit(samples: &[Sample]) -> [f64; 3] {
    let mut matrix = [[0.0; 4]; 3];
    for sample in samples {
        let row = [1.0, sample.turns, sample.kilotokens].map(|cell| cell / sample.bytes);
        for (line, left) in matrix.iter_mut().zip(row) {
            for (cell, right) in line.iter_mut().zip(row) {
                *cell += left * right;
            }
            line[3] += left;
        }
    }
    solve(matrix)
}

/// Gauss-Jordan elimination of three equations.
fn solve(mut matrix: [[f64; 4]; 3]) -> [f64; 3] {
    for pivot in 0..3 {
        let divisor = matrix[pivot][pivot];
        matrix[pivot].iter_mut().for_each(|cell| *cell /= divisor);
        let line = matrix[pivot];
        for (index, other) in matrix.iter_mut().enumerate() {
            let factor = if index == pivot { 0.0 } else { other[pivot] };
            for (cell, subtracted) in other.iter_mut().zip(line) {
                *cell -= factor * subtracted;
            }
        }
    }
    [matrix[0][3], matrix[1][3], matrix[2][3]]
}

fn print_fit(samples: &[Sample]) {
    let [base, per_turn, per_kilotoken] = fit(samples);
    println!("fit: {base:.0} + {per_turn:.0} a turn + {per_kilotoken:.0} a 1,000 tokens, in bytes");
    let error = |sample: &Sample| {
        let fitted = base + per_turn * sample.turns + per_kilotoken * sample.kilotokens;
        (fitted / sample.bytes - 1.0).abs()
    };
    let worst = samples.iter().map(error).fold(0.0, f64::max);
    println!("largest error of the fit: {:.0}%", worst * 100.0);
}

fn print_fleet(samples: &[Sample]) {
    let (programs, replicas, nodes) = FLEET;
    let per_node = programs * replicas / nodes;
    println!("{per_node:.0} replicas of programs a node; if all programs are of one size:");
    for sample in samples.iter().filter(|sample| sample.kilotokens > 0.0) {
        let megabytes = per_node * sample.bytes / 1e6;
        let gigabytes = programs * replicas * sample.bytes / 1e9;
        let (turns, tokens) = (sample.turns, sample.kilotokens);
        println!(
            "  {turns:3} turns, {tokens:5.1} thousand tokens: {megabytes:7.1} MB a node, {gigabytes:6.1} GB in all"
        );
    }
}

/// Microseconds to apply each command at several lengths of history.
fn print_commands() {
    println!("turns before | accept dispatch complete | encode all three | read history (us)");
    for turns in [1, 10, 100, 300] {
        let mut bench = Bench::new();
        let programs: Vec<ProgramId> = (0..64).map(|_| bench.create()).collect();
        for program in &programs {
            (1..=turns).for_each(|sequence| bench.turn(*program, sequence, 750));
        }
        let [accept, dispatch, complete, encode, read] = bench.time_turns(&programs, turns + 1);
        println!(
            "{turns:12} | {accept:6.1} {dispatch:8.1} {complete:8.1} | {encode:16.1} | {read:12.1}"
        );
    }
}

struct Bench {
    state: ShardState,
    texts: Texts,
    index: u64,
    now: Timestamp,
}

impl Bench {
    fn new() -> Bench {
        Bench {
            state: ShardState::new(ShardId(1)),
            texts: Texts::new(),
            index: 0,
            now: Timestamp::from_millis(1_000),
        }
    }

    fn apply(&mut self, command: &ShardCommand) -> Effect {
        self.index += 1;
        self.state.apply(self.index, command).effect
    }

    fn command(&mut self, body: CommandBody) -> ShardCommand {
        self.now += Duration::from_millis(1);
        let origin = ProposalId {
            node: NodeId(7),
            term: 1,
            number: self.index + 1,
        };
        ShardCommand {
            at: self.now,
            origin,
            body,
        }
    }

    fn create(&mut self) -> ProgramId {
        let create = CreateProgram {
            branch: "guild/quotes".parse().expect("a valid path"),
            kind: Some("quote".to_owned()),
            aim: Some(Duration::from_secs(60)),
            worth: 1.0,
            parent: None,
            idempotency_key: Some(format!("7f9c24e8-3b12-4fef-9159-{:012}", self.index)),
            digest: BodyDigest::default(),
            budget: Some(Tokens(1 << 40)),
            depth_limit: 4,
            programs_at_once: Vec::new(),
        };
        let command = self.command(CommandBody::CreateProgram(Box::new(create)));
        match self.apply(&command) {
            Effect::Program(program) => program,
            other => panic!("the program was not created: {other:?}"),
        }
    }

    fn turn(&mut self, program: ProgramId, sequence: u64, tokens: u64) {
        for command in self.commands_of(program, sequence, tokens) {
            self.apply(&command);
        }
    }

    /// Accept, dispatch, complete.
    fn commands_of(&mut self, program: ProgramId, sequence: u64, tokens: u64) -> [ShardCommand; 3] {
        let call = CallId {
            program,
            sequence: Sequence(sequence),
        };
        let request = RequestId {
            call,
            attempt: Attempt(1),
        };
        let answer_tokens = tokens * ANSWER_PERCENT / 100;
        let question = self.texts.take(tokens - answer_tokens);
        let prompt_tokens = Tokens(sequence * tokens - answer_tokens);
        let accept = self.accept(call, question);
        let dispatch = DispatchCall {
            request,
            engine: "engine-001".into(),
            engine_address: "10.0.0.1:9000".to_owned(),
            priority: 0,
            gateway: NodeId(9),
        };
        let answer = CallAnswer {
            message: ChatMessage::text(ChatRole::Assistant, self.texts.take(answer_tokens)),
            finish_reason: FinishReason::Stop,
            usage: Usage {
                prompt_tokens,
                cached_tokens: Tokens(0),
                completion_tokens: Tokens(answer_tokens),
            },
            attempt: Attempt(1),
            engine: "engine-001".into(),
        };
        let complete = CommandBody::CompleteCall {
            request,
            answer: Box::new(answer),
        };
        [
            self.command(CommandBody::AcceptCall(Box::new(accept))),
            self.command(CommandBody::DispatchCall(dispatch)),
            self.command(complete),
        ]
    }

    fn accept(&self, call: CallId, question: String) -> AcceptCall {
        AcceptCall {
            call,
            idempotency_key: None,
            digest: BodyDigest::default(),
            model: "m1".into(),
            messages: vec![ChatMessage::text(ChatRole::User, question)],
            max_output: Tokens(1_000),
            repeatable: true,
            parameters: Default::default(),
            gateway: NodeId(9),
            priority: 0,
            give_up_at: self.now + Duration::from_secs(60),
            limits: CallLimits {
                turns: u32::MAX,
                history_tokens: Tokens(u64::MAX),
                calls_at_once: Vec::new(),
                budgets: Vec::new(),
            },
        }
    }

    /// Microseconds to accept, to dispatch and to complete a call, to encode those three, and to read the whole
    /// history.
    fn time_turns(&mut self, programs: &[ProgramId], from: u64) -> [f64; 5] {
        let mut spent = [Duration::ZERO; 5];
        for sequence in from..from + ROUNDS {
            for program in programs {
                let commands = self.commands_of(*program, sequence, 750);
                for (command, spent) in commands.iter().zip(&mut spent) {
                    let start = Instant::now();
                    self.apply(command);
                    *spent += start.elapsed();
                }
                let start = Instant::now();
                for command in &commands {
                    black_box(encode_command(command).expect("it can be encoded"));
                }
                spent[3] += start.elapsed();
                let record = self.state.program(*program).expect("it was created");
                let start = Instant::now();
                black_box(record.history.messages());
                spent[4] += start.elapsed();
            }
        }
        let count = ROUNDS * programs.len() as u64;
        spent.map(|time| time.as_secs_f64() * 1e6 / count as f64)
    }
}

/// Sentences in random order.
struct Texts {
    sentences: Vec<&'static str>,
    random: u64,
}

impl Texts {
    fn new() -> Texts {
        let sentences = SOURCES
            .iter()
            .flat_map(|source| source.split_inclusive(['.', '|']));
        Texts {
            sentences: sentences.filter(|sentence| sentence.len() > 8).collect(),
            random: 0x2545_f491_4f6c_dd1d,
        }
    }

    /// Text of so many tokens.
    fn take(&mut self, tokens: u64) -> String {
        let wanted = tokens as usize * TOKEN_BYTES;
        let mut text = String::with_capacity(wanted + 256);
        while text.len() < wanted {
            let choice = self.draw() as usize % self.sentences.len();
            text.push_str(self.sentences[choice]);
        }
        let end = (0..=wanted).rev().find(|end| text.is_char_boundary(*end));
        text.truncate(end.unwrap_or(0));
        text
    }

    /// xorshift64* (Vigna, 2016).
    fn draw(&mut self) -> u64 {
        self.random ^= self.random >> 12;
        self.random ^= self.random << 25;
        self.random ^= self.random >> 27;
        self.random.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 33
    }
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).unwrap_or("0");
    pages.parse::<u64>().unwrap_or(0) * PAGE_BYTES
}
