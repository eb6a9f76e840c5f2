//! Reads the stream of one attempt from its engine, over breaks.

use std::time::Duration;

use actix_rt::time::sleep;
use courseshed_engine::{
    EngineClient, EngineError, EngineStream, StreamFinish,
    protocol::{EngineErrorCode, RequestState},
};
use courseshed_transport::Backoff;
use courseshed_types::{
    CallAnswer, ChatMessage, ChatRole, EngineId, RequestId, Verdict, call::EngineCall,
    shard::AttemptResult,
};
use futures_util::StreamExt;

use crate::gateway::events::CallSink;

/// Resumes after breaks without a token between them.
const MAX_RESUMES: u32 = 6;
/// First wait before a resume.
const RESUME_BASE: Duration = Duration::from_millis(20);
/// Longest wait before a resume.
const RESUME_LIMIT: Duration = Duration::from_millis(500);

/// One attempt at its engine.
pub struct AttemptReader<'a> {
    /// The engine.
    pub client: EngineClient,
    /// The engine's id.
    pub engine: EngineId,
    /// The attempt.
    pub request: RequestId,
    /// Most bytes of an answer.
    pub max_bytes: usize,
    /// Where the text goes.
    pub sink: &'a mut CallSink,
}

/// How far the answer was read; its text is in the sink.
#[derive(Default)]
struct Reading {
    offset: u64,
    resumes: u32,
}

impl AttemptReader<'_> {
    /// Sends the attempt to its engine and reads the whole answer.
    pub async fn start(mut self, call: &EngineCall) -> AttemptResult {
        self.sink.begin_attempt(self.request.attempt);
        let mut reading = Reading::default();
        match self.client.start_stream(call).await {
            Ok(stream) => self.read(stream, &mut reading).await,
            Err(error) => match self.judge_start(&error) {
                Some(result) => result,
                None => self.resume(error, &mut reading).await,
            },
        }
    }

    /// Reads the whole answer of an attempt that was sent before; none if that can't be done from here.
    pub async fn follow(mut self) -> Option<AttemptResult> {
        self.sink.begin_attempt(self.request.attempt);
        let stream = self.client.resume(&self.request, 0).await.ok()?;
        let mut reading = Reading::default();
        match self.read(stream, &mut reading).await {
            answered @ AttemptResult::Answered(_) => Some(answered),
            _ => None,
        }
    }

    /// What a failed start proves; none if the engine may have the attempt.
    fn judge_start(&self, error: &EngineError) -> Option<AttemptResult> {
        let may_resume = !matches!(
            error.known_state(),
            None | Some(RequestState::NeverStarted | RequestState::Unknown)
        );
        if may_resume {
            return None;
        }
        match error {
            _ if error.verdict() == Verdict::NotRun => {
                Some(AttemptResult::NotStarted(error.to_string()))
            }
            EngineError::Refused { .. } => Some(AttemptResult::Failed(error.to_string())),
            _ => None,
        }
    }

    async fn resume(&mut self, error: EngineError, reading: &mut Reading) -> AttemptResult {
        let mut error = error;
        let seed = self.request.call.sequence.0;
        let mut backoff = Backoff::new(RESUME_BASE, RESUME_LIMIT, seed);
        while reading.resumes < MAX_RESUMES {
            reading.resumes += 1;
            sleep(backoff.next_wait()).await;
            match self.client.resume(&self.request, reading.offset).await {
                Ok(stream) => return Box::pin(self.read(stream, reading)).await,
                Err(refused) if is_forgotten(&refused) => {
                    return AttemptResult::Lost(format!("{error}; {refused}"));
                }
                Err(next) => error = next,
            }
        }
        AttemptResult::Lost(error.to_string())
    }

    async fn read(&mut self, mut stream: EngineStream, reading: &mut Reading) -> AttemptResult {
        while let Some(event) = stream.next().await {
            let event = match event {
                Ok(event) => event,
                Err(error @ EngineError::StreamFailed { .. }) => {
                    return AttemptResult::Failed(error.to_string());
                }
                Err(error) => return self.resume(error, reading).await,
            };
            if !event.delta.is_empty() {
                reading.resumes = 0;
                reading.offset = event.offset;
                self.sink.text(&event.delta);
            }
            if self.sink.attempt_bytes() > self.max_bytes {
                return self.give_up_too_large().await;
            }
            if let Some(finish) = event.finish {
                return self.answered(finish);
            }
        }
        AttemptResult::Lost("the stream ended without an end".to_owned())
    }

    async fn give_up_too_large(&self) -> AttemptResult {
        let _ = self.client.cancel(&self.request).await;
        let message = format!("the answer is larger than {} bytes", self.max_bytes);
        AttemptResult::Failed(message)
    }

    fn answered(&self, finish: StreamFinish) -> AttemptResult {
        let text = self.sink.attempt_text();
        AttemptResult::Answered(CallAnswer {
            message: ChatMessage::text(ChatRole::Assistant, text),
            finish_reason: finish.reason,
            usage: finish.usage,
            attempt: self.request.attempt,
            engine: self.engine.clone(),
        })
    }
}

fn is_forgotten(error: &EngineError) -> bool {
    match error {
        EngineError::Refused { status, body, .. } => {
            *status == 404 || body.error.code == EngineErrorCode::RequestUnknown
        }
        _ => false,
    }
}
