//! Orders to start, followed and not.

use std::sync::Arc;

use courseshed_emulator::{EmulatedEngine, EngineHandle, EngineOptions};
use courseshed_engine::EngineTimeouts;
use courseshed_settings::{NodeSettings, Overrides};
use courseshed_types::{
    BranchPath, ChatMessage, ChatRole, EngineCall, ModelName, ProgramId, RequestId, Sequence,
    ShardId, Timestamp, Tokens,
};

use super::*;
use crate::{
    context::NodeContext,
    gateway::events::{StallBounds, call_text},
};

const SETTINGS: &str = r#"
node_id = 1
region = "south"
zone = "south-a"
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
data_dir = "unused"
roles = ["gateway", "controller"]
"#;

fn start_order(engine: &EngineHandle, valid_until: Timestamp) -> StartOrder {
    let program = ProgramId {
        shard: ShardId(0),
        number: 1,
    };
    let call = CallId {
        program,
        sequence: Sequence(1),
    };
    StartOrder {
        engine: engine.id().clone(),
        engine_address: engine.address().to_string(),
        call: EngineCall {
            request: RequestId {
                call,
                attempt: Attempt(1),
            },
            model: ModelName::from("base"),
            messages: vec![ChatMessage::text(ChatRole::User, "a van")],
            max_tokens: Tokens(2),
            priority: 0,
            branch: BranchPath::root(),
            parameters: serde_json::Map::new(),
        },
        valid_until,
    }
}

/// Runs an order at a node that knows no shard, so that the end of the attempt can't be reported.
async fn requests_after(valid_until: Timestamp) -> usize {
    let engine = EmulatedEngine::start(EngineOptions::default()).expect("it starts");
    let settings = NodeSettings::parse(SETTINGS, "node.toml", Overrides::default());
    let bounds = StallBounds {
        buffer_bytes: 1 << 16,
        patience: Duration::from_secs(1),
    };
    let (sink, _reader) = call_text(bounds, true, 0);
    let driver = CallDriver {
        context: Arc::new(NodeContext::new(settings.expect("valid settings"), None)),
        connector: EngineConnector::new(EngineTimeouts::default()),
        patience: ShardPatience::PROMPT,
        sink,
        resumed_attempt: None,
        only_follows: false,
    };
    let order = start_order(&engine, valid_until);
    driver.drive(Ok(ShardReply::Start(Box::new(order)))).await;
    engine.ran().requests.len()
}

#[actix_web::test]
async fn an_order_to_start_is_followed_while_it_is_valid_and_not_after() {
    assert_eq!(requests_after(Timestamp::MAX).await, 1);
    assert_eq!(requests_after(Timestamp(1)).await, 0);
}
