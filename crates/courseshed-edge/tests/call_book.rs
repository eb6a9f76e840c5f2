//! What a gateway knows of its calls at the schedulers of pools.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_edge::gateway::{CallTracker, UNRESPONSIVE_COOLDOWN};
use courseshed_pool::{CallEnd, CallNote};
use courseshed_types::{NodeId, ServerKey};

const NOW: Duration = Duration::from_secs(10);
const CONTROLLERS: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];
const ENGINE: ServerKey = ServerKey(7);
const WHOLE: CallEnd = CallEnd::Whole {
    generated: 30,
    first_tokens: 3,
    first_part_ms: 5,
    took_ms: 50,
};

#[test]
fn all_gateways_choose_the_same_controller_whatever_the_order_of_their_lists() {
    let book = CallTracker::new(1);
    let reversed: Vec<NodeId> = CONTROLLERS.into_iter().rev().collect();
    let mut chosen = BTreeMap::new();
    for index in 0..64 {
        let service = format!("service-{index}");
        let here = book.scheduler_of(&service, &CONTROLLERS, NOW);
        assert_eq!(here, book.scheduler_of(&service, &reversed, NOW));
        *chosen.entry(here).or_insert(0) += 1;
    }
    assert_eq!(chosen.len(), CONTROLLERS.len(), "{chosen:?}");
    assert_eq!(book.scheduler_of("s", &[], NOW), None);
}

#[test]
fn a_silent_controller_is_passed_over_for_a_while_by_all_services() {
    let mut book = CallTracker::new(1);
    let first = book.scheduler_of("s", &CONTROLLERS, NOW).expect("one");
    book.start_cooldown(first, NOW);
    for index in 0..64 {
        let service = format!("service-{index}");
        assert_ne!(book.scheduler_of(&service, &CONTROLLERS, NOW), Some(first));
    }
    let later = NOW + UNRESPONSIVE_COOLDOWN;
    assert_eq!(book.scheduler_of("s", &CONTROLLERS, later), Some(first));
    for controller in CONTROLLERS {
        book.start_cooldown(controller, NOW);
    }
    assert_eq!(book.scheduler_of("s", &CONTROLLERS, NOW), None);
}

#[test]
fn a_later_life_of_a_gateway_uses_none_of_the_numbers_of_an_earlier_one() {
    let mut earlier = CallTracker::new(1_000);
    let mut later = CallTracker::new(1_001);
    let mut last = 0;
    for _ in 0..10_000 {
        let (number, _) = earlier.begin_queued("s", CONTROLLERS[0]);
        assert!(number > last);
        last = number;
        earlier.end(number, CallEnd::Given);
    }
    let (first, _) = later.begin_queued("s", CONTROLLERS[0]);
    assert!(first > last);
}

#[test]
fn each_controller_that_knows_a_number_is_told_its_end_once() {
    let mut book = CallTracker::new(1);
    let (number, _) = book.begin_queued("s", CONTROLLERS[0]);
    book.record_grant(number, ENGINE, NOW);
    book.report_running("s", CONTROLLERS[1], NOW);
    book.report_running("s", CONTROLLERS[1], NOW);
    book.end(number, WHOLE);
    book.end(number, CallEnd::Given);
    let notes = book.take_notes();
    let note = CallNote { number, end: WHOLE };
    for controller in &CONTROLLERS[..2] {
        let told = notes.get(&(*controller, "s".to_owned()));
        assert_eq!(told, Some(&vec![note]));
    }
    assert_eq!(notes.len(), 2);
    assert!(book.take_notes().is_empty());
    assert!(book.is_empty());
}

#[test]
fn a_scheduler_is_told_the_calls_at_engines_of_its_own_service_only() {
    let mut book = CallTracker::new(1);
    let (granted, _) = book.begin_queued("s", CONTROLLERS[0]);
    book.record_grant(granted, ENGINE, NOW);
    let local = book.begin_running("s", ENGINE, NOW);
    book.begin_queued("s", CONTROLLERS[0]);
    book.begin_running("t", ENGINE, NOW);
    let later = NOW + Duration::from_millis(40);
    let running = book.report_running("s", CONTROLLERS[0], later);
    let numbers: Vec<u64> = running.iter().map(|call| call.number).collect();
    assert_eq!(numbers, [granted, local]);
    assert!(
        running
            .iter()
            .all(|call| call.engine == ENGINE && call.for_ms == 40)
    );
}

#[test]
fn a_scheduler_that_is_another_one_is_noticed() {
    let mut book = CallTracker::new(1);
    let is_other = |book: &mut CallTracker, controller| book.begin_queued("s", controller).1;
    assert!(is_other(&mut book, CONTROLLERS[0]));
    assert!(!is_other(&mut book, CONTROLLERS[0]));
    assert!(!book.record_reply("s", CONTROLLERS[0], 100));
    assert!(!book.record_reply("s", CONTROLLERS[0], 100));
    assert!(book.record_reply("s", CONTROLLERS[0], 101));
    assert!(!book.record_reply("s", CONTROLLERS[0], 101));
    assert!(is_other(&mut book, CONTROLLERS[1]));
    // An answer that was under way when the calls moved changes nothing.
    assert!(!book.record_reply("s", CONTROLLERS[0], 102));
    assert!(is_other(&mut book, CONTROLLERS[0]));
}
