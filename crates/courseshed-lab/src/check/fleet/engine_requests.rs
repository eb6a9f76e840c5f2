//! What an engine knows of requests by their ids.

use std::time::Duration;

use courseshed_engine_model::{EngineRequest, RequestKey};
use courseshed_programs::EngineQuery;
use courseshed_types::{
    CallAnswer, ChatMessage, ChatRole, EngineCall, FinishReason, NodeId, RequestId, Tokens, Usage,
    shard::EngineFinding, tokens::estimate_messages,
};

use super::{
    engine::{Engine, RunRecord, StreamOutput, chain_of, owner_key},
    options::FleetVariant,
    wire::{StreamId, StreamItem},
};

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Queued,
    Running,
    Finished,
    /// Buried before it came: it never runs.
    NeverStarted,
}

/// Somebody who reads a stream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Watcher {
    pub gateway: NodeId,
    pub stream: StreamId,
    pub offset: u32,
}

/// One request.
#[derive(Debug)]
pub(super) struct EngineRecord {
    pub call: EngineCall,
    pub phase: Phase,
    pub prompt_tokens: u32,
    pub cached: u32,
    pub produced: u32,
    pub answer: Vec<String>,
    pub watchers: Vec<Watcher>,
    /// Where its run stands in the engine's log.
    pub run: usize,
}

impl EngineRecord {
    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: Tokens(u64::from(self.prompt_tokens)),
            cached_tokens: Tokens(u64::from(self.cached.min(self.prompt_tokens))),
            completion_tokens: Tokens(u64::from(self.produced)),
        }
    }

    /// What those who watch have not been sent yet.
    pub fn feed_watchers(&mut self) -> Vec<StreamOutput> {
        let mut outputs = Vec::new();
        let usage = self.usage();
        for watcher in &mut self.watchers {
            let mut send = |item| {
                outputs.push(StreamOutput {
                    to: watcher.gateway,
                    stream: watcher.stream,
                    item,
                });
            };
            if watcher.offset < self.produced {
                let range = watcher.offset as usize..self.produced as usize;
                send(StreamItem::Tokens {
                    offset: watcher.offset,
                    tokens: self.answer[range].to_vec(),
                });
                watcher.offset = self.produced;
            }
            if self.phase == Phase::Finished {
                send(StreamItem::Finished { usage });
            }
        }
        if self.phase == Phase::Finished {
            self.watchers.clear();
        }
        outputs
    }
}

impl Engine {
    /// Takes a request in, unless its id is known.
    pub fn start(&mut self, now: Duration, gateway: NodeId, stream: StreamId, call: EngineCall) {
        let watcher = Watcher {
            gateway,
            stream,
            offset: 0,
        };
        match self.records.get(&call.request).map(|record| record.phase) {
            Some(Phase::NeverStarted) => self.tell(watcher, StreamItem::NeverStarted),
            Some(_) => self.tell(watcher, StreamItem::Known),
            None => self.take_in(now, watcher, call),
        }
    }

    fn take_in(&mut self, now: Duration, watcher: Watcher, call: EngineCall) {
        let request = call.request;
        let prompt_tokens = estimate_messages(&call.messages).0 as u32;
        let answer = answer_to(&call);
        self.next_key += 1;
        let key = RequestKey(self.next_key);
        let program = call.program();
        let total = u64::from(prompt_tokens) + answer.len() as u64;
        let submitted = self.model.submit(
            now,
            EngineRequest {
                key,
                priority: call.priority,
                owner: owner_key(),
                blocks: chain_of(program, total),
                prompt_tokens,
                output_tokens: answer.len() as u32,
                hold: None,
            },
        );
        if submitted.is_err() {
            return self.tell(watcher, StreamItem::NeverStarted);
        }
        self.runs.push(RunRecord {
            request,
            engine: self.place,
            arrived_at: self.arrived_at.unwrap_or(now),
            taken_at: now,
            repeatable: is_repeatable(&call),
            program,
            prompt_tokens: 0,
            output_tokens: 0,
            finished: false,
        });
        self.by_key.insert(key, request);
        let record = EngineRecord {
            call,
            phase: Phase::Queued,
            prompt_tokens,
            cached: 0,
            produced: 0,
            answer,
            watchers: vec![watcher],
            run: self.runs.len() - 1,
        };
        self.records.insert(request, record);
    }

    /// Sends the rest of a stream.
    pub fn resume(&mut self, gateway: NodeId, stream: StreamId, request: RequestId, offset: u32) {
        let watcher = Watcher {
            gateway,
            stream,
            offset,
        };
        let Some(record) = self.records.get_mut(&request) else {
            return self.tell(watcher, StreamItem::Unknown);
        };
        if record.phase == Phase::NeverStarted {
            return self.tell(watcher, StreamItem::Unknown);
        }
        record.watchers.push(watcher);
        let outputs = record.feed_watchers();
        self.outputs.extend(outputs);
    }

    /// Says what became of an attempt. One that is not known is buried, so that it never starts here.
    pub fn find(&mut self, query: &EngineQuery) -> EngineFinding {
        let Some(record) = self.records.get(&query.request) else {
            if self.variant == FleetVariant::LateOrdersRun {
                return EngineFinding::NeverStarted;
            }
            self.bury(query.request);
            return EngineFinding::Forgotten;
        };
        match record.phase {
            Phase::Queued | Phase::Running => EngineFinding::Running,
            Phase::Finished => EngineFinding::Answered(CallAnswer {
                message: ChatMessage::text(ChatRole::Assistant, record.answer.concat()),
                finish_reason: FinishReason::Stop,
                usage: record.usage(),
                attempt: query.request.attempt,
                engine: query.engine.clone(),
            }),
            Phase::NeverStarted => EngineFinding::Forgotten,
        }
    }

    /// Breaks all streams. Returns who read them.
    pub fn drop_watchers(&mut self) -> Vec<(NodeId, StreamId)> {
        let open = self.records.values_mut();
        let watchers = open.flat_map(|record| std::mem::take(&mut record.watchers));
        let name = |watcher: Watcher| (watcher.gateway, watcher.stream);
        watchers.map(name).collect()
    }

    fn bury(&mut self, request: RequestId) {
        let call = EngineCall {
            request,
            model: super::node::MODEL.into(),
            messages: Vec::new(),
            max_tokens: Tokens::ZERO,
            priority: 0,
            branch: courseshed_types::BranchPath::root(),
            parameters: Default::default(),
        };
        let record = EngineRecord {
            call,
            phase: Phase::NeverStarted,
            prompt_tokens: 0,
            cached: 0,
            produced: 0,
            answer: Vec::new(),
            watchers: Vec::new(),
            run: 0,
        };
        self.records.insert(request, record);
    }

    fn tell(&mut self, watcher: Watcher, item: StreamItem) {
        self.outputs.push(StreamOutput {
            to: watcher.gateway,
            stream: watcher.stream,
            item,
        });
    }
}

/// Callers of the simulation name calls that are not repeatable to engines too, for the observer.
pub const NOT_REPEATABLE: &str = "not_repeatable";

fn is_repeatable(call: &EngineCall) -> bool {
    !call.parameters.contains_key(NOT_REPEATABLE)
}

/// The answer to a prompt: it names the whole prompt by a digest, and how many tokens follow.
fn answer_to(call: &EngineCall) -> Vec<String> {
    let digest = digest_of(&call.messages);
    let longest = call.max_tokens.0.max(1);
    let length = 3 + digest % 40;
    let length = length.min(longest);
    let head = format!("{digest:016x}/{length}");
    let token = |place: u64| match place {
        0 => head.clone(),
        place => format!(" {place}"),
    };
    (0..length).map(token).collect()
}

/// Whether a text is the whole answer to a prompt.
pub fn is_whole_answer(text: &str, prompt: &[ChatMessage]) -> bool {
    let mut parts = text.split(' ');
    let head = parts.next().unwrap_or_default();
    let Some((digest, length)) = head.split_once('/') else {
        return false;
    };
    let rest = parts.filter(|part| !part.is_empty()).count() as u64;
    let is_own = digest == format!("{:016x}", digest_of(prompt));
    is_own && length.parse() == Ok(rest + 1)
}

/// A digest of a list of messages (FNV-1a).
fn digest_of(messages: &[ChatMessage]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let mut digest = OFFSET;
    for message in messages {
        let role = format!("{:?}", message.role);
        for byte in role.bytes().chain(message.canonical_text().bytes()) {
            digest = (digest ^ u64::from(byte)).wrapping_mul(PRIME);
        }
    }
    digest
}
