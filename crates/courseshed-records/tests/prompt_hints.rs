//! Retention of prompt cache hints.

use courseshed_records::PromptHints;
use courseshed_types::{CachedPrompt, PromptPart, ServerKey};

fn cached(server: u32, conversation: u64, tokens: u32) -> CachedPrompt {
    CachedPrompt {
        server: ServerKey(server),
        parts: vec![
            PromptPart {
                id: 1,
                tokens: 12_000,
            },
            PromptPart {
                id: conversation,
                tokens,
            },
        ],
    }
}

#[test]
fn newest_hint_of_each_conversation_is_returned() {
    let mut hints = PromptHints::default();
    hints.record(0, "p", cached(1, 10, 500));
    hints.record(5, "p", cached(2, 11, 300));
    hints.record(9, "p", cached(3, 10, 900));
    assert_eq!(hints.of("p"), [cached(2, 11, 300), cached(3, 10, 900)]);
    assert_eq!(hints.of("q"), []);
}

#[test]
fn conversations_per_program_are_bounded() {
    let mut hints = PromptHints::default();
    for conversation in 0..100 {
        hints.record(conversation, "p", cached(1, conversation, 500));
    }
    let conversations: Vec<u64> = hints.of("p").iter().map(|hint| hint.parts[1].id).collect();
    assert_eq!(conversations, [96, 97, 98, 99]);
}

#[test]
fn expired_and_excess_hints_are_removed() {
    let mut hints = PromptHints::default();
    hints.record(0, "old", cached(1, 1, 1));
    hints.record(20_000, "new", cached(1, 1, 1));
    hints.expire(31_000);
    assert_eq!(hints.of("old"), []);
    assert_eq!(hints.of("new").len(), 1);
    for number in 0..50_000_u64 {
        hints.record(31_000 + number / 5, &number.to_string(), cached(1, 1, 1));
    }
    hints.expire(41_000);
    assert!(hints.len() <= 20_000, "{}", hints.len());
    assert_eq!(hints.of("49999").len(), 1);
}
