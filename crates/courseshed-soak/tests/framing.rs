//! The responses that the soak's servers send, against what they are meant to be.

use std::collections::BTreeSet;

use courseshed_soak::framing::{FRAMINGS, FramedResponse, Framing};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const STREAM: &str = "text/event-stream";

fn events() -> Vec<String> {
    let event = |number| format!("id: {number}\ndata: d{number}\n\n");
    (1..=3).map(event).collect()
}

#[test]
fn every_framing_comes_whole_and_broken_off_by_a_close_and_a_reset() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut seen = BTreeSet::new();
    for _ in 0..2_000 {
        let response = FramedResponse::draw(&mut random, "c", STREAM, &events());
        let framing = FRAMINGS
            .iter()
            .position(|framing| *framing == response.framing);
        seen.insert((framing, response.breaks.map(|breaks| breaks.resets)));
    }
    assert_eq!(seen.len(), FRAMINGS.len() * 3);
}

/// Guards against breaks that no gateway could tell from the end of a whole response.
#[test]
fn orderly_close_never_comes_where_it_looks_whole() {
    let mut random = ChaCha8Rng::seed_from_u64(2);
    for _ in 0..5_000 {
        let response = FramedResponse::draw(&mut random, "c", STREAM, &events());
        if let Some(breaks) = response.breaks {
            assert!(breaks.resets || !response.looks_whole_after(breaks.after));
        }
    }
}

#[test]
fn body_that_ends_with_its_connection_looks_whole_between_events_alone() {
    let response = FramedResponse::whole("c", STREAM, &events(), Framing::UntilClose);
    let [head, event] = [response.pieces[0].len(), response.pieces[1].len()];
    assert!(!response.looks_whole_after(head));
    assert!(!response.looks_whole_after(head + event - 1));
    assert!(response.looks_whole_after(head + event));
    let chunked = FramedResponse::whole("c", STREAM, &events(), Framing::Chunked);
    let before_the_last_chunk = chunked.pieces[..4].iter().map(String::len).sum();
    assert!(!chunked.looks_whole_after(before_the_last_chunk));
}
