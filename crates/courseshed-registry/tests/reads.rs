//! What gateways learn of the prompts that others saw being read.

use std::time::Duration;

use courseshed_registry::{MOST_READS_A_MESSAGE, PartRead, ReadBoard, TOLD_AGAIN_AFTER};
use courseshed_types::ServerKey;

const NOW: Duration = Duration::from_secs(100);

fn read(part: u64, server: u32) -> PartRead {
    PartRead {
        part,
        tokens: 12_000,
        server: ServerKey(server),
    }
}

#[test]
fn a_gateway_is_told_once_of_what_others_saw() {
    let mut board = ReadBoard::default();
    board.note_gateway(NOW, vec![read(1, 1), read(1, 2)]);
    let first = board.news_since(0);
    assert_eq!(first.reads, [read(1, 1), read(1, 2)]);
    assert!(board.news_since(first.told).reads.is_empty());
    board.note_gateway(NOW, vec![read(1, 1), read(2, 1)]);
    assert_eq!(board.news_since(first.told).reads, [read(2, 1)]);
    let later = NOW + TOLD_AGAIN_AFTER;
    let told = board.news_since(first.told).told;
    board.note_gateway(later, vec![read(1, 1)]);
    assert_eq!(board.news_since(told).reads, [read(1, 1)]);
}

#[test]
fn other_controllers_are_told_only_of_the_own_gateways_reads() {
    let mut board = ReadBoard::default();
    board.note_controller(NOW, vec![read(1, 1)]);
    assert!(board.take_for_controllers().is_empty());
    board.note_gateway(NOW, vec![read(1, 1), read(1, 2)]);
    assert_eq!(board.take_for_controllers(), [read(1, 2)]);
    assert!(board.take_for_controllers().is_empty());
    assert_eq!(board.news_since(0).reads.len(), 2);
}

#[test]
fn much_is_told_in_pieces() {
    let mut board = ReadBoard::default();
    let count = MOST_READS_A_MESSAGE as u32 * 2 + 1;
    board.note_gateway(NOW, (0..count).map(|server| read(1, server)).collect());
    let mut told = 0;
    let mut seen = 0;
    for _ in 0..3 {
        let news = board.news_since(told);
        assert!(news.reads.len() <= MOST_READS_A_MESSAGE);
        seen += news.reads.len();
        told = news.told;
    }
    assert_eq!(seen, count as usize);
}

#[test]
fn old_reads_are_forgotten() {
    let mut board = ReadBoard::default();
    board.note_gateway(NOW, vec![read(1, 1)]);
    board.note_gateway(NOW + Duration::from_secs(20), vec![read(1, 2)]);
    board.forget_old(NOW + Duration::from_secs(31));
    assert_eq!(board.news_since(0).reads, [read(1, 2)]);
}

#[test]
fn a_controller_that_started_anew_tells_all() {
    let mut board = ReadBoard::default();
    board.note_gateway(NOW, vec![read(1, 1)]);
    assert_eq!(board.news_since(4_000).reads, [read(1, 1)]);
}
