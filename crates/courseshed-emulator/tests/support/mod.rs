//! An emulated engine and its client, for tests.

#![allow(dead_code)]

use std::time::Duration;

use courseshed_emulator::{EmulatedEngine, EngineHandle, EngineOptions};
use courseshed_engine::protocol::EngineErrorCode;
use courseshed_engine::{
    EngineClient, EngineConnector, EngineError, EngineStream, EngineTimeouts, StreamFinish,
};
use courseshed_engine_model::EngineModelConfig;
use courseshed_types::{
    Attempt, CallId, ChatMessage, ChatRole, EngineCall, ModelName, ProgramId, RequestId, Sequence,
    ShardId, Tokens,
};
use futures_util::StreamExt;

/// A fast engine, so that tests end soon.
pub fn fast() -> EngineOptions {
    EngineOptions {
        config: EngineModelConfig {
            step_base: Duration::from_millis(1),
            step_per_decode: Duration::from_micros(10),
            step_per_prefill_token: Duration::from_micros(1),
            ..EngineModelConfig::default()
        },
        event_delay: Duration::ZERO,
        load_lag: Duration::ZERO,
        load_delay: Duration::from_millis(5),
        ..EngineOptions::default()
    }
}

pub struct Setup {
    pub engine: EngineHandle,
    pub client: EngineClient,
}

/// Runs a test against one engine.
pub fn with_engine<F: Future<Output = ()>>(options: EngineOptions, test: impl FnOnce(Setup) -> F) {
    actix_rt::System::new().block_on(async {
        let engine = EmulatedEngine::start(options).expect("it starts");
        let timeouts = EngineTimeouts {
            idle: Duration::from_secs(2),
            first_token: Duration::from_secs(3),
            ..EngineTimeouts::default()
        };
        let connector = EngineConnector::new(timeouts);
        let client = connector.engine(&engine.address().to_string());
        test(Setup { engine, client }).await;
    });
}

pub fn program(number: u64) -> ProgramId {
    ProgramId {
        shard: ShardId(1),
        number,
    }
}

pub fn call(number: u64, output_tokens: u32) -> EngineCall {
    let text = format!("A van {{\"emulator\":{{\"output_tokens\":{output_tokens}}}}}");
    EngineCall {
        request: RequestId {
            call: CallId {
                program: program(number),
                sequence: Sequence(1),
            },
            attempt: Attempt(1),
        },
        model: ModelName::from("base"),
        messages: vec![ChatMessage::text(ChatRole::User, text)],
        max_tokens: Tokens(2_000),
        priority: 0,
        branch: "guild/quotes".parse().expect("a path"),
        parameters: serde_json::Map::new(),
    }
}

/// Reads a stream to its end.
pub async fn read(stream: &mut EngineStream) -> (String, Result<StreamFinish, EngineError>) {
    let mut text = String::new();
    while let Some(event) = stream.next().await {
        match event {
            Ok(event) => {
                text.push_str(&event.delta);
                if let Some(finish) = event.finish {
                    return (text, Ok(finish));
                }
            }
            Err(error) => return (text, Err(error)),
        }
    }
    panic!("a stream ends with a finish or an error");
}

/// Reads so many chunks of a stream.
pub async fn read_some(stream: &mut EngineStream, chunks: usize) -> String {
    let mut text = String::new();
    for _ in 0..chunks {
        let event = stream.next().await.expect("more").expect("no error");
        text.push_str(&event.delta);
    }
    text
}

/// The code of a refusal.
pub fn refusal_code(error: &EngineError) -> Option<EngineErrorCode> {
    match error {
        EngineError::Refused { body, .. } => Some(body.error.code),
        _ => None,
    }
}
