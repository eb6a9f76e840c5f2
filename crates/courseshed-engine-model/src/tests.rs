//! Tests of the model as a whole: invariants under random use, and each rule by example.

use crate::*;
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

const BLOCK_TOKENS: u32 = 4;

fn small_config() -> EngineModelConfig {
    EngineModelConfig {
        max_batch: 3,
        kv_blocks: 24,
        block_tokens: BLOCK_TOKENS,
        step_tokens: 16,
        lease_share: 0.5,
        record_cache_changes: true,
        ..EngineModelConfig::default()
    }
}

fn engine() -> EngineModel {
    EngineModel::new(small_config()).expect("the configuration is sound")
}

/// The chain of a conversation: `shared` leading blocks are common to all of them.
fn chain(conversation: u64, shared: u64, blocks: u64) -> Arc<[BlockHash]> {
    let hash = |index| match index < shared {
        true => BlockHash(index),
        false => BlockHash(1_000 * (conversation + 1) + index),
    };
    (0..blocks).map(hash).collect()
}

fn request(key: u64, prompt_tokens: u32, output_tokens: u32) -> EngineRequest {
    let blocks = u64::from((prompt_tokens + output_tokens) / BLOCK_TOKENS);
    EngineRequest {
        key: RequestKey(key),
        priority: 0,
        owner: OwnerKey(key),
        blocks: chain(key, 0, blocks),
        prompt_tokens,
        output_tokens,
        hold: None,
    }
}

fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
}

/// Advances to `now` and returns what happened.
fn advance(engine: &mut EngineModel, now: Duration) -> Vec<EngineEvent> {
    let mut events = Vec::new();
    engine.advance(now, &mut events);
    engine.cache.check();
    events
}

fn finished(events: &[EngineEvent]) -> Vec<u64> {
    let key = |event: &EngineEvent| match event {
        EngineEvent::Finished { request, .. } => Some(request.0),
        _ => None,
    };
    events.iter().filter_map(key).collect()
}

#[test]
fn a_request_takes_the_time_of_its_steps() {
    let mut engine = engine();
    engine
        .submit(seconds(1), request(1, 20, 5))
        .expect("it fits");
    let config = small_config();
    let prefill = config.step_base * 2 + config.step_per_prefill_token * 20;
    let decode = (config.step_base + config.step_per_decode) * 4;
    assert_eq!(
        engine.next_event_at(),
        Some(seconds(1) + config.step_base + config.step_per_prefill_token * 16)
    );
    let events = advance(&mut engine, seconds(10));
    let expected = EngineEvent::Finished {
        request: RequestKey(1),
        cached_tokens: 0,
        at: seconds(1) + prefill + decode,
    };
    assert_eq!(events.last(), Some(&expected));
    assert_eq!(engine.next_event_at(), None);
    assert_eq!(engine.counters().output_tokens, 5);
}

#[test]
fn a_second_turn_reuses_the_first_ones_prefix() {
    let mut engine = engine();
    engine
        .submit(seconds(1), request(1, 16, 9))
        .expect("it fits");
    advance(&mut engine, seconds(2));
    let mut second = request(2, 32, 1);
    second.blocks = chain(1, 0, 8);
    engine.submit(seconds(3), second).expect("it fits");
    advance(&mut engine, seconds(4));
    assert_eq!(engine.counters().hit_tokens, 24);
    assert_eq!(engine.counters().miss_tokens, 16 + 8);
    assert_eq!(engine.unreused_tokens_by_owner().get(&OwnerKey(1)), None);
}

#[test]
fn eviction_before_reuse_is_charged_to_the_owner() {
    let mut engine = engine();
    engine
        .submit(seconds(1), request(1, 40, 1))
        .expect("it fits");
    advance(&mut engine, seconds(2));
    engine
        .submit(seconds(3), request(2, 80, 1))
        .expect("it fits");
    advance(&mut engine, seconds(4));
    let waste = engine.waste_by_owner();
    let evicted_blocks = 10 + 20 - 24;
    assert_eq!(
        waste[&OwnerKey(1)].evicted_tokens,
        u64::from(evicted_blocks * BLOCK_TOKENS)
    );
    let kept = engine.cached_prefix(&chain(1, 0, 10));
    assert_eq!(kept, 4, "the tail goes first");
    assert_eq!(engine.drop_prefix(seconds(5), &chain(1, 0, 10)), 4);
    assert_eq!(engine.waste_by_owner()[&OwnerKey(1)].dropped_tokens, 16);
}

#[test]
fn a_lease_protects_until_it_expires() {
    let mut engine = engine();
    let mut first = request(1, 40, 1);
    let time_to_live = seconds(5);
    let program = ProgramKey(7);
    first.hold = Some(PrefixHold {
        program,
        time_to_live,
    });
    engine.submit(seconds(1), first).expect("it fits");
    advance(&mut engine, seconds(2));
    assert_eq!(engine.load().leased_blocks, 10);
    engine
        .submit(seconds(3), request(2, 80, 1))
        .expect("it fits");
    advance(&mut engine, seconds(4));
    // Only the lease's breaking lets the large request in: nothing else runs.
    assert_eq!(engine.counters().leases_broken, 1);

    let grant = engine.put_lease(seconds(5), program, chain(2, 0, 20), seconds(9));
    assert_eq!(
        grant,
        LeaseGrant {
            held_blocks: 12,
            asked_blocks: 20
        }
    );
    let renewed = engine.renew_lease(seconds(6), program, seconds(20));
    assert_eq!(renewed.map(|grant| grant.held_blocks), Some(12));
    assert!(advance(&mut engine, seconds(19)).is_empty());
    let events = advance(&mut engine, seconds(21));
    assert_eq!(
        events,
        [EngineEvent::LeaseExpired {
            program,
            at: seconds(20)
        }]
    );
    assert_eq!(engine.load().leased_blocks, 0);
}

#[test]
fn urgent_requests_preempt_and_the_preempted_finish_later() {
    let mut engine = engine();
    for key in 1..=3 {
        engine
            .submit(seconds(1), request(key, 8, 16))
            .expect("it fits");
    }
    let mut urgent = request(9, 8, 2);
    urgent.priority = 5;
    engine
        .submit(seconds(1) + Duration::from_millis(60), urgent)
        .expect("it fits");
    let events = advance(&mut engine, seconds(10));
    assert_eq!(finished(&events), [9, 1, 2, 3]);
    assert_eq!(engine.counters().preemptions, 1);
    let tokens_of_preempted: u32 = events
        .iter()
        .map(|event| match event {
            EngineEvent::Tokens {
                request: RequestKey(3),
                count,
                ..
            } => *count,
            _ => 0,
        })
        .sum();
    assert_eq!(tokens_of_preempted, 16);
}

#[test]
fn decode_growth_beyond_memory_preempts_the_last() {
    let mut engine = engine();
    for key in 1..=3 {
        engine
            .submit(seconds(1), request(key, 24, 24))
            .expect("it fits");
    }
    let events = advance(&mut engine, seconds(100));
    assert_eq!(finished(&events), [1, 2, 3]);
    assert!(engine.counters().preemptions > 0);
    assert_eq!(engine.counters().output_tokens, 72);
}

#[test]
fn transfers_share_the_link_and_imports_are_cached() {
    let mut engine = engine();
    engine
        .submit(seconds(1), request(1, 40, 1))
        .expect("it fits");
    advance(&mut engine, seconds(2));
    let exported = engine.export(seconds(3), chain(1, 0, 10));
    let imported = engine.import(seconds(3), chain(5, 0, 4), OwnerKey(5));
    assert_eq!(exported.blocks, 10);
    let per_block = small_config().transfer_per_block;
    assert_eq!(imported.ready_at, seconds(3) + per_block * 14);
    assert_eq!(engine.cached_prefix(&chain(5, 0, 4)), 0);
    assert_eq!(advance(&mut engine, seconds(4)).len(), 2);
    assert_eq!(engine.cached_prefix(&chain(5, 0, 4)), 4);
    engine.drop_prefix(seconds(5), &chain(1, 0, 10));
    assert!(
        engine.waste_by_owner().is_empty(),
        "exported blocks are not lost"
    );
}

#[test]
fn impossible_requests_and_settings_are_refused() {
    let mut engine = engine();
    let refused = engine.submit(seconds(1), request(1, 96, 1));
    assert_eq!(
        refused,
        Err(SubmitError::TooLarge {
            needed: 25,
            blocks: 24
        })
    );
    assert_eq!(
        engine.submit(seconds(1), request(1, 0, 1)),
        Err(SubmitError::Empty)
    );
    engine
        .submit(seconds(1), request(1, 4, 1))
        .expect("it fits");
    assert_eq!(
        engine.submit(seconds(1), request(1, 4, 1)),
        Err(SubmitError::KeyInUse)
    );
    let config = EngineModelConfig {
        lease_share: 1.0,
        ..small_config()
    };
    assert!(EngineModel::new(config).is_err());
}

#[derive(Clone, Debug)]
enum Operation {
    Submit {
        conversation: u64,
        prompt: u32,
        output: u32,
        priority: i32,
        hold: bool,
    },
    Cancel(u64),
    Lease {
        conversation: u64,
        blocks: u64,
    },
    Unlease(u64),
    Import {
        conversation: u64,
        blocks: u64,
    },
    Drop(u64),
    Wait(u64),
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let submit = (0..4_u64, 1..60_u32, 1..36_u32, 0..3, any::<bool>()).prop_map(
        |(conversation, prompt, output, priority, hold)| Operation::Submit {
            conversation,
            prompt,
            output,
            priority,
            hold,
        },
    );
    let lease = (0..4_u64, 1..24_u64).prop_map(|(conversation, blocks)| Operation::Lease {
        conversation,
        blocks,
    });
    let import = (0..4_u64, 1..24_u64).prop_map(|(conversation, blocks)| Operation::Import {
        conversation,
        blocks,
    });
    let operation = prop_oneof![
        4 => submit,
        1 => (0..40_u64).prop_map(Operation::Cancel),
        1 => lease,
        1 => (0..4_u64).prop_map(Operation::Unlease),
        1 => import,
        1 => (0..4_u64).prop_map(Operation::Drop),
        4 => (0..400_u64).prop_map(Operation::Wait),
    ];
    prop::collection::vec(operation, 1..40)
}

/// The chain of one turn: the conversation's prompt, then an output of its own.
fn turn(conversation: u64, key: u64, prompt: u32, output: u32) -> Arc<[BlockHash]> {
    let prompt_blocks = u64::from(prompt / BLOCK_TOKENS);
    let all_blocks = u64::from((prompt + output) / BLOCK_TOKENS);
    let output_hash = |index| BlockHash(1_000_000 * (key + 1) + index);
    let prompt_chain = chain(conversation, 3, prompt_blocks);
    let output_chain = (prompt_blocks..all_blocks).map(output_hash);
    prompt_chain.iter().copied().chain(output_chain).collect()
}

/// Runs operations, advancing in `slices` parts of each wait; the tokens generated by request.
fn run(operations: &[Operation], slices: u32) -> (Vec<EngineEvent>, EngineCounters) {
    let mut engine = engine();
    let mut events = Vec::new();
    let mut now = Duration::ZERO;
    let mut key = 0;
    for operation in operations {
        match *operation {
            Operation::Submit {
                conversation,
                prompt,
                output,
                priority,
                hold,
            } => {
                let program = ProgramKey(conversation);
                let time_to_live = Duration::from_millis(300);
                let submitted = EngineRequest {
                    priority,
                    blocks: turn(conversation, key, prompt, output),
                    hold: hold.then_some(PrefixHold {
                        program,
                        time_to_live,
                    }),
                    ..request(key, prompt, output)
                };
                engine.submit(now, submitted).expect("it fits");
                key += 1;
            }
            Operation::Cancel(key) => drop(engine.cancel(now, RequestKey(key))),
            Operation::Lease {
                conversation,
                blocks,
            } => {
                let chain = chain(conversation, 3, blocks);
                let expires_at = now + Duration::from_millis(250);
                engine.put_lease(now, ProgramKey(conversation), chain, expires_at);
            }
            Operation::Unlease(program) => drop(engine.remove_lease(now, ProgramKey(program))),
            Operation::Import {
                conversation,
                blocks,
            } => {
                engine.import(now, chain(conversation, 3, blocks), OwnerKey(0));
            }
            Operation::Drop(conversation) => {
                engine.drop_prefix(now, &chain(conversation, 3, 24));
            }
            Operation::Wait(millis) => {
                let end = now + Duration::from_millis(millis);
                for slice in 1..=slices {
                    let part = Duration::from_millis(millis) * slice / slices;
                    engine.advance(now + part, &mut events);
                    engine.cache.check();
                }
                now = end;
            }
        }
        engine.cache.check();
    }
    engine.advance(now + seconds(1_000), &mut events);
    engine.cache.check();
    let load = engine.load();
    assert_eq!((load.running, load.waiting, load.leased_blocks), (0, 0, 0));
    assert_eq!(load.free_blocks + load.cached_blocks, load.total_blocks);
    assert_eq!(load.evictable_blocks, load.cached_blocks);
    (events, *engine.counters())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Whatever is asked, all requests end, memory is bounded and given back, and the outcome
    /// does not depend on how often the caller looks.
    #[test]
    fn outcomes_do_not_depend_on_how_often_time_is_advanced(operations in operations()) {
        let (coarse_events, coarse) = run(&operations, 1);
        let (fine_events, fine) = run(&operations, 7);
        prop_assert_eq!(coarse, fine);
        prop_assert_eq!(finished(&coarse_events), finished(&fine_events));
        let ended = coarse.finished + coarse.cancelled;
        prop_assert_eq!(ended, coarse.submitted);
    }
}
