//! Each fault that an emulated engine shows on demand, and the orders that change what it serves.

mod support;

use std::time::{Duration, Instant};

use courseshed_emulator::EngineOptions;
use courseshed_emulator::engine::{EventFaults, FaultOrder};
use courseshed_emulator::members::{EmulatedMembers, MemberOptions};
use courseshed_emulator::weights::{EmulatedWeights, WeightOptions};
use courseshed_engine::EngineError;
use courseshed_engine::protocol::{
    EngineErrorCode, EngineRole, FencedOrder, ModelStatus, RequestState,
};
use courseshed_types::dispatch::{EngineMember, EngineState};
use courseshed_types::engine::EngineDirectory;
use courseshed_types::{EngineId, ModelName, RegionName, Verdict, ZoneName};
use support::*;

fn base() -> ModelName {
    ModelName::from("base")
}

async fn model_when_ready(setup: &Setup) -> ModelStatus {
    loop {
        let models = setup.client.models().await.expect("a list").data;
        let found = models.into_iter().find(|model| model.id == base());
        match found {
            Some(model) if model.ready => return model,
            _ => actix_rt::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

/// A step of the slowed engine lasts at least so long, however fast the machine is.
#[test]
fn a_slow_engine_takes_its_time_and_ends_well() {
    with_engine(fast(), async |setup: Setup| {
        setup.engine.fault(&FaultOrder {
            slow_factor: Some(20.0),
            ..FaultOrder::default()
        });
        let started = Instant::now();
        let mut stream = setup
            .client
            .start_stream(&call(1, 10))
            .await
            .expect("it starts");
        read(&mut stream).await.1.expect("it finishes");
        assert!(started.elapsed() >= Duration::from_millis(20) * 9);
    });
}

#[test]
fn answers_come_late_on_demand() {
    with_engine(fast(), async |setup: Setup| {
        setup.engine.fault(&FaultOrder {
            answer_late_ms: Some(50),
            ..FaultOrder::default()
        });
        let started = Instant::now();
        setup.client.load().await.expect("a report");
        assert!(started.elapsed() >= Duration::from_millis(50));
        setup.engine.fault(&FaultOrder {
            answer_late_ms: Some(0),
            ..FaultOrder::default()
        });
        setup.client.load().await.expect("a report");
    });
}

#[test]
fn an_engine_crashes_amid_a_stream_after_so_many_tokens() {
    with_engine(fast(), async |setup: Setup| {
        let before = setup.client.load().await.expect("a report").start;
        setup.engine.fault(&FaultOrder {
            crash_after_tokens: Some(20),
            down_ms: Some(20),
            ..FaultOrder::default()
        });
        let call = call(1, 100);
        let mut stream = setup.client.start_stream(&call).await.expect("it starts");
        let (text, end) = read(&mut stream).await;
        assert!(text.len() <= 20 * 4, "{text}");
        let error = end.expect_err("cut off");
        assert!(matches!(error, EngineError::Broken { .. }), "{error}");
        assert_eq!(error.verdict(), Verdict::MayHaveRun);
        let status = loop {
            match setup.client.lookup(&call.request).await {
                Ok(status) => break status,
                Err(_) => actix_rt::time::sleep(Duration::from_millis(5)).await,
            }
        };
        assert_eq!(status.state, RequestState::Unknown);
        assert!(status.start > before);
        let ran = setup.engine.ran();
        assert_eq!((ran.requests[0].runs, ran.requests[0].finished), (1, 0));
    });
}

#[test]
fn cache_events_come_twice_out_of_order_and_late_on_demand() {
    with_engine(fast(), async |setup: Setup| {
        let numbers = async |after: u64| -> Vec<u64> {
            let batch = setup.client.cache_events(after).await.expect("a batch");
            batch.events.iter().map(|event| event.number).collect()
        };
        let run = async |number: u64| {
            let mut stream = setup
                .client
                .start_stream(&call(number, 100))
                .await
                .expect("it starts");
            read(&mut stream).await.1.expect("it finishes");
        };
        let put = |events: EventFaults| {
            setup.engine.fault(&FaultOrder {
                events: Some(events),
                ..FaultOrder::default()
            });
        };
        put(EventFaults {
            repeat: 1.0,
            ..EventFaults::default()
        });
        run(1).await;
        assert_eq!(numbers(0).await, [1, 1, 2, 2]);
        put(EventFaults {
            reorder: 1.0,
            ..EventFaults::default()
        });
        run(2).await;
        let reordered = numbers(0).await;
        assert_eq!(reordered.len(), 6);
        assert!(!reordered.is_sorted(), "{reordered:?}");
        put(EventFaults {
            delay_ms: 600_000,
            ..EventFaults::default()
        });
        run(3).await;
        assert_eq!(numbers(4).await, Vec::<u64>::new());
    });
}

#[test]
fn the_load_report_lags() {
    let options = EngineOptions {
        load_lag: Duration::from_secs(600),
        ..fast()
    };
    with_engine(options, async |setup: Setup| {
        let mut stream = setup
            .client
            .start_stream(&call(1, 100))
            .await
            .expect("it starts");
        read_some(&mut stream, 5).await;
        let load = setup.client.load().await.expect("a report");
        assert_eq!(load.running, 0, "the report is from before the call");
    });
}

#[test]
fn roles_adapters_and_versions_follow_orders() {
    with_engine(fast(), async |setup: Setup| {
        let client = &setup.client;
        let role = FencedOrder::SetRole {
            role: EngineRole::Decode,
        };
        let status = client.order(3, role).await.expect("obeyed");
        assert_eq!((status.role, status.fence), (EngineRole::Decode, 3));
        let deposed = FencedOrder::SetRole {
            role: EngineRole::Prefill,
        };
        let error = client.order(2, deposed).await.expect_err("refused");
        assert_eq!(refusal_code(&error), Some(EngineErrorCode::FenceTooLow));

        let adapter = |name: &str| FencedOrder::LoadAdapter {
            model: base(),
            adapter: name.to_owned(),
        };
        client.order(3, adapter("winter")).await.expect("obeyed");
        client.order(3, adapter("summer")).await.expect("obeyed");
        client
            .order(3, adapter("winter"))
            .await
            .expect("obeyed again");
        let drop = FencedOrder::DropAdapter {
            model: base(),
            adapter: "summer".to_owned(),
        };
        let status = client.order(4, drop).await.expect("obeyed");
        assert_eq!(status.models[0].adapters, ["winter"]);
        assert_eq!(status.role, EngineRole::Decode);

        let version = FencedOrder::SetVersion {
            model: base(),
            version: "2".to_owned(),
        };
        client.order(4, version).await.expect("obeyed");
        assert_eq!(model_when_ready(&setup).await.version, "2");
        let missing = FencedOrder::SetVersion {
            model: ModelName::from("absent"),
            version: "2".to_owned(),
        };
        let error = client.order(4, missing).await.expect_err("refused");
        assert_eq!(refusal_code(&error), Some(EngineErrorCode::ModelNotLoaded));
    });
}

#[test]
fn a_fence_outlives_a_crash() {
    with_engine(fast(), async |setup: Setup| {
        let leaving = |leaving| FencedOrder::SetLeaving { leaving };
        setup.client.order(7, leaving(false)).await.expect("obeyed");
        setup.engine.crash(Duration::ZERO);
        let error = loop {
            match setup.client.order(6, leaving(true)).await {
                Err(error) if refusal_code(&error).is_some() => break error,
                Err(_) => actix_rt::time::sleep(Duration::from_millis(5)).await,
                Ok(status) => panic!("a lower fence was obeyed: {status:?}"),
            }
        };
        assert_eq!(refusal_code(&error), Some(EngineErrorCode::FenceTooLow));
    });
}

#[test]
fn a_model_whose_weights_cannot_be_had_is_not_served() {
    let store = EmulatedWeights::start(WeightOptions::default()).expect("it starts");
    let address = store.address().to_string();
    store.stop();
    let options = EngineOptions {
        weight_store: Some(address),
        ..fast()
    };
    with_engine(options, async |setup: Setup| {
        let load = FencedOrder::LoadModel {
            model: ModelName::from("large"),
            version: None,
        };
        setup.client.order(1, load).await.expect("taken");
        loop {
            let models = setup.client.models().await.expect("a list").data;
            if models.iter().all(|model| model.id == base()) {
                break;
            }
            assert!(
                models
                    .iter()
                    .all(|model| model.id == base() || !model.ready)
            );
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

#[test]
fn the_members_list_lags_behind_its_changes() {
    actix_rt::System::new().block_on(async {
        let member = EngineMember {
            engine: EngineId::from("e1"),
            address: "127.0.0.1:9001".to_owned(),
            region: RegionName::from("south"),
            zone: ZoneName::from("south-1"),
            models: vec![base()],
            state: EngineState::Live,
        };
        let members = EmulatedMembers::start(MemberOptions {
            lag: Duration::from_secs(600),
            members: vec![member.clone()],
            ..MemberOptions::default()
        })
        .expect("it starts");
        assert!(members.set_state(&member.engine, EngineState::Leaving));
        let url = format!("http://{}/members", members.address());
        let mut answer = awc::Client::default()
            .get(url)
            .send()
            .await
            .expect("an answer");
        let directory: EngineDirectory = answer.json().await.expect("JSON");
        assert_eq!(directory.engines, [member]);
    });
}
