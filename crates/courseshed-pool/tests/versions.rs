//! Calls that resume a stream and may run only on engines of one software version.

use std::time::Duration;

use courseshed_pool::{
    CallDemand, CallEnd, CallEndReport, EngineListing, NameHash, PoolScheduler, Verdict,
};
use courseshed_types::{NodeId, ServerKey};

const GATEWAY: NodeId = NodeId(1);
const ZONE: NameHash = NameHash(1);
const OLD: NameHash = NameHash(10);
const NEW: NameHash = NameHash(11);
const SLOTS: u32 = 4;
const NOW: Duration = Duration::from_secs(1);

fn engine(key: u32, version: Option<NameHash>) -> EngineListing {
    EngineListing {
        key: ServerKey(key),
        zone: ZONE,
        slots: SLOTS,
        memory_tokens: None,
        is_ready: true,
        version,
    }
}

fn demand(number: u64, version: Option<NameHash>) -> CallDemand {
    CallDemand {
        number,
        route: NameHash(5),
        rank: 0,
        tenant: None,
        tenant_weight: 1.0,
        program: None,
        zone: ZONE,
        parts: Vec::new(),
        most_tokens: 100,
        waited_ms: 0,
        time_left_ms: 3_000,
        excluded: Vec::new(),
        version,
        held: Vec::new(),
    }
}

fn scheduler(engines: &[EngineListing]) -> PoolScheduler {
    let mut scheduler = PoolScheduler::new();
    scheduler.set_engines(NOW, engines);
    scheduler
}

fn granted(scheduler: &mut PoolScheduler) -> Vec<ServerKey> {
    let decisions = scheduler.take_decisions().into_iter();
    let engines = decisions.filter_map(|decision| match decision.verdict {
        Verdict::Granted(engine) => Some(engine),
        _ => None,
    });
    engines.collect()
}

#[test]
fn call_bound_to_a_version_is_granted_only_its_engines() {
    let mut scheduler = scheduler(&[
        engine(1, Some(OLD)),
        engine(2, Some(NEW)),
        engine(3, None),
        engine(4, Some(NEW)),
    ]);
    for number in 0..u64::from(SLOTS) {
        scheduler.request(NOW, GATEWAY, demand(number, Some(OLD)));
    }
    assert_eq!(granted(&mut scheduler), [ServerKey(1); SLOTS as usize]);
}

/// Guards against a call that takes an engine of another version because its own are busy.
#[test]
fn call_bound_to_a_version_waits_for_its_busy_engine() {
    let mut scheduler = scheduler(&[engine(1, Some(OLD)), engine(2, Some(NEW))]);
    let mut number = 0;
    let mut running = Vec::new();
    loop {
        scheduler.request(NOW, GATEWAY, demand(number, Some(OLD)));
        let engines = granted(&mut scheduler);
        assert!(engines.iter().all(|engine| *engine == ServerKey(1)));
        if engines.is_empty() {
            break;
        }
        running.push(number);
        number += 1;
    }
    assert_eq!(scheduler.waiting(), 1);
    let ended = CallEndReport {
        number: running[0],
        end: CallEnd::Abandoned,
    };
    scheduler.report_ends(NOW, GATEWAY, &[ended]);
    assert_eq!(granted(&mut scheduler), [ServerKey(1)]);
}

#[test]
fn call_bound_to_a_version_without_engines_is_answered_at_once() {
    let mut scheduler = scheduler(&[engine(1, Some(NEW)), engine(2, None)]);
    scheduler.request(NOW, GATEWAY, demand(0, Some(OLD)));
    let decisions = scheduler.take_decisions();
    assert_eq!(decisions.len(), 1);
    assert_eq!(decisions[0].verdict, Verdict::NoEngine);
}
