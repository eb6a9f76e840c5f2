//! What a gateway does with the streams of attempts, by the rules of the daemon's reader.

use std::time::Duration;

use courseshed_types::{
    CallAnswer, ChatMessage, ChatRole, EngineCall, EngineId, FinishReason, RequestId, Timestamp,
    Usage,
    shard::{AttachOrder, AttemptResult, StartOrder},
};

use super::{
    gateway::{Gateway, Stage},
    node::engine_place,
    options::FleetVariant,
    wire::{CopyId, Party, Payload, StreamId, StreamItem},
};

/// Resumes after breaks without a token between them.
const MAX_RESUMES: u32 = 6;
const RESUME_BASE: Duration = Duration::from_millis(20);
const RESUME_LIMIT: Duration = Duration::from_millis(500);
/// A stream that is silent for so long counts as broken.
const STALL: Duration = Duration::from_secs(4);
/// Added to the number of an attempt that a broken gateway sends once more.
const DOUBLED: u32 = 1_000;

/// An attempt whose stream is read.
#[derive(Debug)]
pub(super) struct Streaming {
    pub stream: StreamId,
    pub request: RequestId,
    /// Whether another gateway was told to start it.
    pub follows: bool,
    engine: EngineId,
    engine_address: String,
    text: Vec<String>,
    resumes: u32,
    wait: Duration,
    resume_at: Option<Duration>,
    last_heard: Duration,
    has_broken: bool,
}

impl Gateway {
    /// Sends an attempt to its engine, unless the order has run out.
    pub(super) fn start_attempt(
        &mut self,
        now: Duration,
        wall: Timestamp,
        copy: CopyId,
        order: StartOrder,
    ) {
        let request = order.call.request;
        let follows_all = self.variant == FleetVariant::LateOrdersRun;
        if !follows_all && !order.is_valid_at(wall) {
            let reason = "the order to start came too late".to_owned();
            return self.report(now, copy, request, AttemptResult::NotStarted(reason));
        }
        let stream = self.begin(
            now,
            copy,
            request,
            order.engine,
            order.engine_address,
            false,
        );
        let engine = self.engine_of(copy);
        if self.variant == FleetVariant::GatewayDoublesAttempts {
            self.send_doubled(engine, order.call.clone());
        }
        let call = Box::new(order.call);
        self.outputs.push((engine, Payload::Start { stream, call }));
    }

    fn send_doubled(&mut self, engine: Party, mut call: EngineCall) {
        call.request.attempt.0 += DOUBLED;
        let stream = StreamId(self.next_number());
        let call = Box::new(call);
        self.outputs.push((engine, Payload::Start { stream, call }));
    }

    /// Reads along an attempt that was sent before.
    pub(super) fn follow_attempt(&mut self, now: Duration, copy: CopyId, order: &AttachOrder) {
        let engine = order.engine.clone();
        let address = order.engine_address.clone();
        self.begin(now, copy, order.request, engine, address, true);
        self.resume(now, copy);
    }

    fn begin(
        &mut self,
        now: Duration,
        copy: CopyId,
        request: RequestId,
        engine: EngineId,
        engine_address: String,
        follows: bool,
    ) -> StreamId {
        let stream = StreamId(self.next_number());
        let streaming = Streaming {
            stream,
            request,
            follows,
            engine,
            engine_address,
            text: Vec::new(),
            resumes: 0,
            wait: RESUME_BASE,
            resume_at: None,
            last_heard: now,
            has_broken: false,
        };
        if let Some(task) = self.tasks.get_mut(&copy) {
            task.stage = Stage::Streaming(streaming);
        }
        stream
    }

    fn streaming(&mut self, copy: CopyId) -> Option<&mut Streaming> {
        match &mut self.tasks.get_mut(&copy)?.stage {
            Stage::Streaming(streaming) => Some(streaming),
            _ => None,
        }
    }

    fn engine_of(&mut self, copy: CopyId) -> Party {
        let address = self
            .streaming(copy)
            .map(|streaming| &streaming.engine_address);
        Party::Engine(address.map_or(0, |address| engine_place(address)))
    }

    fn resume(&mut self, now: Duration, copy: CopyId) {
        let stream = StreamId(self.next_number());
        let engine = self.engine_of(copy);
        let Some(streaming) = self.streaming(copy) else {
            return;
        };
        streaming.stream = stream;
        streaming.resume_at = None;
        streaming.last_heard = now;
        let payload = Payload::Resume {
            stream,
            request: streaming.request,
            offset: streaming.text.len() as u32,
        };
        self.outputs.push((engine, payload));
    }

    /// Takes a part of a stream.
    pub fn on_stream(&mut self, now: Duration, stream: StreamId, item: StreamItem) {
        let Some(copy) = self.copy_of_stream(stream) else {
            return;
        };
        let Some(streaming) = self.streaming(copy) else {
            return;
        };
        streaming.last_heard = now;
        match item {
            StreamItem::Tokens { offset, tokens } => streaming.take(offset, tokens),
            StreamItem::Finished { usage } => self.answered(now, copy, usage),
            StreamItem::Known => self.resume(now, copy),
            StreamItem::Broken => self.broke(now, copy),
            StreamItem::NotConnected if streaming.has_broken || streaming.follows => {
                self.broke(now, copy);
            }
            StreamItem::NotConnected | StreamItem::NeverStarted => {
                let reason = "the engine did not take it".to_owned();
                self.ended(now, copy, AttemptResult::NotStarted(reason));
            }
            StreamItem::Unknown => {
                let reason = "the engine knows it no more".to_owned();
                self.ended(now, copy, AttemptResult::Lost(reason));
            }
        }
    }

    fn broke(&mut self, now: Duration, copy: CopyId) {
        let Some(streaming) = self.streaming(copy) else {
            return;
        };
        streaming.has_broken = true;
        if streaming.resumes >= MAX_RESUMES {
            let reason = "the stream broke too often".to_owned();
            return self.ended(now, copy, AttemptResult::Lost(reason));
        }
        streaming.resumes += 1;
        streaming.resume_at = Some(now + streaming.wait);
        streaming.wait = (streaming.wait * 2).min(RESUME_LIMIT);
        // What still comes along the broken connection is not read any more.
        streaming.stream = StreamId(0);
    }

    pub(super) fn tick_stream(&mut self, now: Duration, copy: CopyId) {
        let Some(streaming) = self.streaming(copy) else {
            return;
        };
        match streaming.resume_at {
            Some(at) if now >= at => self.resume(now, copy),
            Some(_) => {}
            None if now >= streaming.last_heard + STALL => self.broke(now, copy),
            None => {}
        }
    }

    fn answered(&mut self, now: Duration, copy: CopyId, usage: Usage) {
        let cuts = self.variant == FleetVariant::GatewayCutsAnswers;
        let Some(streaming) = self.streaming(copy) else {
            return;
        };
        if cuts && streaming.has_broken {
            streaming.text.pop();
        }
        let answer = CallAnswer {
            message: ChatMessage::text(ChatRole::Assistant, streaming.text.concat()),
            finish_reason: FinishReason::Stop,
            usage,
            attempt: streaming.request.attempt,
            engine: streaming.engine.clone(),
        };
        self.ended(now, copy, AttemptResult::Answered(answer));
    }

    /// Reports how an attempt ended; one that another gateway runs only if it was answered.
    fn ended(&mut self, now: Duration, copy: CopyId, result: AttemptResult) {
        let Some(streaming) = self.streaming(copy) else {
            return;
        };
        let request = streaming.request;
        let is_answered = matches!(result, AttemptResult::Answered(_));
        if streaming.follows && !is_answered {
            return self.look_later(now, copy, request.call);
        }
        self.report(now, copy, request, result);
    }
}

impl Streaming {
    fn take(&mut self, offset: u32, tokens: Vec<String>) {
        let known = self.text.len().saturating_sub(offset as usize);
        self.text.extend(tokens.into_iter().skip(known));
        self.resumes = 0;
        self.wait = RESUME_BASE;
    }
}
