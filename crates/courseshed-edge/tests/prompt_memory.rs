//! The gateway's record of prompts cached on servers.

use std::time::Duration;

use courseshed_edge::gateway::PromptCacheIndex;
use courseshed_types::{CachedPrompt, PromptPart, ServerKey};

const NOW: Duration = Duration::from_secs(10);
const SERVER: ServerKey = ServerKey(1);
const OTHER_SERVER: ServerKey = ServerKey(2);
const SHARED: PromptPart = PromptPart {
    id: 1,
    tokens: 12_000,
};

fn own(tokens: u32) -> PromptPart {
    PromptPart { id: 2, tokens }
}

#[test]
fn prompt_is_cached_up_to_its_first_unknown_part() {
    let mut memory = PromptCacheIndex::default();
    let prompt = [SHARED, own(1_000)];
    assert_eq!(memory.uncached_tokens(SERVER, &prompt, NOW), 13_000);
    memory.record(SERVER, &[SHARED], NOW);
    assert_eq!(memory.uncached_tokens(SERVER, &prompt, NOW), 1_000);
    let unknown = PromptPart { id: 9, tokens: 10 };
    let behind_unknown = [unknown, SHARED];
    assert_eq!(memory.uncached_tokens(SERVER, &behind_unknown, NOW), 12_010);
    assert_eq!(memory.uncached_tokens(OTHER_SERVER, &prompt, NOW), 13_000);
}

#[test]
fn generated_tokens_count_as_cached() {
    let mut memory = PromptCacheIndex::default();
    let cached = CachedPrompt::after_answer(SERVER, &[SHARED, own(1_000)], 300);
    memory.record_cached(&cached, NOW);
    let next_turn = [SHARED, own(1_800)];
    assert_eq!(memory.uncached_tokens(SERVER, &next_turn, NOW), 500);
}

#[test]
fn older_response_does_not_reduce_the_cached_length() {
    let mut memory = PromptCacheIndex::default();
    memory.record(SERVER, &[SHARED, own(2_000)], NOW);
    let older = CachedPrompt::after_answer(SERVER, &[SHARED, own(1_000)], 300);
    memory.record_cached(&older, NOW);
    let next_turn = [SHARED, own(2_100)];
    assert_eq!(memory.uncached_tokens(SERVER, &next_turn, NOW), 100);
}

#[test]
fn entries_expire() {
    let mut memory = PromptCacheIndex::default();
    memory.record(SERVER, &[SHARED], NOW);
    let later = NOW + Duration::from_secs(31);
    assert_eq!(memory.uncached_tokens(SERVER, &[SHARED], later), 12_000);
    memory.remove_expired(later);
    assert_eq!(memory.uncached_tokens(SERVER, &[SHARED], NOW), 12_000);
}

#[test]
fn token_counts_near_the_limit_do_not_wrap() {
    let mut memory = PromptCacheIndex::default();
    let huge = [
        own(u32::MAX),
        PromptPart {
            id: 3,
            ..own(u32::MAX)
        },
    ];
    assert_eq!(memory.uncached_tokens(SERVER, &huge, NOW), u32::MAX);
    let cached = CachedPrompt::after_answer(SERVER, &huge, u32::MAX);
    memory.record_cached(&cached, NOW);
    assert_eq!(memory.uncached_tokens(SERVER, &huge, NOW), 0);
}
