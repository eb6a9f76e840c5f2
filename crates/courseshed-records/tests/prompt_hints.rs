//! What stores remember of where programs' prompts were read.

use courseshed_records::PromptHints;
use courseshed_types::{CachedPrompt, PromptPart, ServerKey};

fn cached(server: u32, line: u64, tokens: u32) -> CachedPrompt {
    CachedPrompt {
        server: ServerKey(server),
        parts: vec![
            PromptPart {
                id: 1,
                tokens: 12_000,
            },
            PromptPart { id: line, tokens },
        ],
    }
}

#[test]
fn the_newest_of_each_line_is_told() {
    let mut hints = PromptHints::default();
    hints.note(0, "p", cached(1, 10, 500));
    hints.note(5, "p", cached(2, 11, 300));
    hints.note(9, "p", cached(3, 10, 900));
    assert_eq!(hints.of("p"), [cached(2, 11, 300), cached(3, 10, 900)]);
    assert_eq!(hints.of("q"), []);
}

#[test]
fn a_program_with_many_helpers_keeps_its_newest_lines() {
    let mut hints = PromptHints::default();
    for line in 0..100 {
        hints.note(line, "p", cached(1, line, 500));
    }
    let lines: Vec<u64> = hints.of("p").iter().map(|hint| hint.parts[1].id).collect();
    assert_eq!(lines, [96, 97, 98, 99]);
}

#[test]
fn old_hints_and_too_many_are_forgotten() {
    let mut hints = PromptHints::default();
    hints.note(0, "old", cached(1, 1, 1));
    hints.note(20_000, "new", cached(1, 1, 1));
    hints.expire(31_000);
    assert_eq!(hints.of("old"), []);
    assert_eq!(hints.of("new").len(), 1);
    for number in 0..50_000_u64 {
        hints.note(31_000 + number / 5, &number.to_string(), cached(1, 1, 1));
    }
    hints.expire(41_000);
    assert!(hints.len() <= 20_000, "{}", hints.len());
    assert_eq!(hints.of("49999").len(), 1);
}
