//! The tools, the weight store and the members list over HTTP.

use courseshed_emulator::members::{EmulatedMembers, MemberOptions};
use courseshed_emulator::tools::{EmulatedTools, ToolAnswer, ToolBehaviour, ToolOptions};
use courseshed_emulator::weights::{EmulatedWeights, WeightOptions};
use courseshed_emulator::{EmulatedEngine, EngineOptions};
use courseshed_engine::protocol::FencedOrder;
use courseshed_engine::{EngineConnector, EngineTimeouts};
use courseshed_types::dispatch::{EngineMember, EngineState};
use courseshed_types::engine::EngineDirectory;
use courseshed_types::{EngineId, ModelName, RegionName, ZoneName};
use std::time::Duration;

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

#[test]
fn tools_answer_fail_and_hang() {
    run(async {
        let options = ToolOptions {
            behaviour: ToolBehaviour {
                median_ms: 1.0,
                ..ToolBehaviour::default()
            },
            ..ToolOptions::default()
        };
        let tools = EmulatedTools::start(options).expect("it starts");
        let url = |name: &str| format!("http://{}/tools/{name}", tools.address());
        let client = awc::Client::default();
        let mut answer = client
            .post(url("rates"))
            .send_body("van")
            .await
            .expect("an answer");
        let first: ToolAnswer = answer.json().await.expect("JSON");
        let mut answer = client
            .post(url("rates"))
            .send_body("car")
            .await
            .expect("an answer");
        let second: ToolAnswer = answer.json().await.expect("JSON");
        assert_ne!(first.result, second.result);

        let failing = ToolBehaviour {
            fail: 1.0,
            ..ToolBehaviour::default()
        };
        tools.set_behaviour("rates", failing);
        let answer = client
            .post(url("rates"))
            .send_body("van")
            .await
            .expect("an answer");
        assert_eq!(answer.status(), 500);

        let hanging = ToolBehaviour {
            hang: 1.0,
            ..ToolBehaviour::default()
        };
        tools.set_behaviour("rates", hanging);
        let call = client.post(url("rates")).timeout(Duration::from_millis(50));
        assert!(call.send_body("van").await.is_err());
    });
}

#[test]
fn the_members_list_is_changed_over_http() {
    run(async {
        let options = MemberOptions {
            lag: Duration::ZERO,
            ..MemberOptions::default()
        };
        let members = EmulatedMembers::start(options).expect("it starts");
        let url = |path: &str| format!("http://{}{path}", members.address());
        let client = awc::Client::default();
        let member = EngineMember {
            engine: EngineId::from("e1"),
            address: "127.0.0.1:9001".to_owned(),
            region: RegionName::from("south"),
            zone: ZoneName::from("south-1"),
            models: vec![ModelName::from("base")],
            state: EngineState::Live,
        };
        let put = client.post(url("/admin/members")).send_json(&member);
        assert_eq!(put.await.expect("an answer").status(), 204);
        let state = serde_json::json!({"state": "leaving"});
        let put = client.put(url("/admin/members/e1/state")).send_json(&state);
        assert_eq!(put.await.expect("an answer").status(), 204);
        let mut answer = client.get(url("/members")).send().await.expect("an answer");
        let directory: EngineDirectory = answer.json().await.expect("JSON");
        assert_eq!(directory.engines[0].state, EngineState::Leaving);
    });
}

/// Two loads share the store's rate, so that they end one download's time apart at least.
#[test]
fn engines_load_models_through_the_weight_store() {
    run(async {
        let store = EmulatedWeights::start(WeightOptions {
            model_bytes: 256 * 1024,
            bytes_per_second: 4 * 1024 * 1024,
            ..WeightOptions::default()
        })
        .expect("it starts");
        let engine = EmulatedEngine::start(EngineOptions {
            weight_store: Some(store.address().to_string()),
            ..EngineOptions::default()
        })
        .expect("it starts");
        let connector = EngineConnector::new(EngineTimeouts::default());
        let client = connector.engine(&engine.address().to_string());
        for name in ["a", "b"] {
            let model = ModelName::from(name);
            let order = FencedOrder::LoadModel {
                model,
                version: None,
            };
            client.order(1, order).await.expect("obeyed");
        }
        let ready = async |name: &str| {
            let models = client.models().await.expect("a list").data;
            models
                .iter()
                .any(|model| &*model.id.0 == name && model.ready)
        };
        assert!(!ready("a").await && !ready("b").await);
        while !(ready("a").await && ready("b").await) {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        store.stop();
        let model = ModelName::from("c");
        let order = FencedOrder::LoadModel {
            model,
            version: None,
        };
        client.order(1, order).await.expect("obeyed");
        while client.models().await.expect("a list").data.len() > 3 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(
            !ready("c").await,
            "a model that can't be fetched is not served"
        );
    });
}
