//! The gateway's tracking of calls at the pool schedulers.

use std::collections::BTreeMap;
use std::time::Duration;

use courseshed_edge::gateway::{CallTracker, UNRESPONSIVE_COOLDOWN};
use courseshed_pool::{CallEnd, CallEndReport};
use courseshed_types::{NodeId, ServerKey};

const NOW: Duration = Duration::from_secs(10);
const CONTROLLERS: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];
const ENGINE: ServerKey = ServerKey(7);
const COMPLETED: CallEnd = CallEnd::Completed {
    generated: 30,
    first_tokens: 3,
    first_part_ms: 5,
    took_ms: 50,
};

#[test]
fn controller_choice_is_independent_of_list_order() {
    let tracker = CallTracker::new(1);
    let reversed: Vec<NodeId> = CONTROLLERS.into_iter().rev().collect();
    let mut chosen = BTreeMap::new();
    for index in 0..64 {
        let service = format!("service-{index}");
        let scheduler = tracker.scheduler_of(&service, &CONTROLLERS, NOW);
        assert_eq!(scheduler, tracker.scheduler_of(&service, &reversed, NOW));
        *chosen.entry(scheduler).or_insert(0) += 1;
    }
    assert_eq!(chosen.len(), CONTROLLERS.len(), "{chosen:?}");
    assert_eq!(tracker.scheduler_of("s", &[], NOW), None);
}

#[test]
fn controller_in_cooldown_is_skipped_by_all_services() {
    let mut tracker = CallTracker::new(1);
    let first = tracker.scheduler_of("s", &CONTROLLERS, NOW).expect("one");
    tracker.start_cooldown(first, NOW);
    for index in 0..64 {
        let service = format!("service-{index}");
        assert_ne!(
            tracker.scheduler_of(&service, &CONTROLLERS, NOW),
            Some(first)
        );
    }
    let later = NOW + UNRESPONSIVE_COOLDOWN;
    assert_eq!(tracker.scheduler_of("s", &CONTROLLERS, later), Some(first));
    for controller in CONTROLLERS {
        tracker.start_cooldown(controller, NOW);
    }
    assert_eq!(tracker.scheduler_of("s", &CONTROLLERS, NOW), None);
}

#[test]
fn restarted_gateway_does_not_reuse_call_numbers() {
    let mut earlier = CallTracker::new(1_000);
    let mut later = CallTracker::new(1_001);
    let mut last = 0;
    for _ in 0..10_000 {
        let (number, _) = earlier.begin_queued("s", CONTROLLERS[0]);
        assert!(number > last);
        last = number;
        earlier.end(number, CallEnd::Abandoned);
    }
    let (first, _) = later.begin_queued("s", CONTROLLERS[0]);
    assert!(first > last);
}

#[test]
fn end_of_a_call_is_reported_once_to_each_controller_that_knows_it() {
    let mut tracker = CallTracker::new(1);
    let (number, _) = tracker.begin_queued("s", CONTROLLERS[0]);
    tracker.record_grant(number, ENGINE, NOW);
    tracker.report_running("s", CONTROLLERS[1], NOW);
    tracker.report_running("s", CONTROLLERS[1], NOW);
    tracker.end(number, COMPLETED);
    tracker.end(number, CallEnd::Abandoned);
    let notes = tracker.take_notes();
    let note = CallEndReport {
        number,
        end: COMPLETED,
    };
    for controller in &CONTROLLERS[..2] {
        let reported = notes.get(&(*controller, "s".to_owned()));
        assert_eq!(reported, Some(&vec![note]));
    }
    assert_eq!(notes.len(), 2);
    assert!(tracker.take_notes().is_empty());
    assert!(tracker.is_empty());
}

#[test]
fn running_calls_are_reported_per_service() {
    let mut tracker = CallTracker::new(1);
    let (granted, _) = tracker.begin_queued("s", CONTROLLERS[0]);
    tracker.record_grant(granted, ENGINE, NOW);
    let local = tracker.begin_running("s", ENGINE, NOW);
    tracker.begin_queued("s", CONTROLLERS[0]);
    tracker.begin_running("t", ENGINE, NOW);
    let later = NOW + Duration::from_millis(40);
    let running = tracker.report_running("s", CONTROLLERS[0], later);
    let numbers: Vec<u64> = running.iter().map(|call| call.number).collect();
    assert_eq!(numbers, [granted, local]);
    assert!(
        running
            .iter()
            .all(|call| call.engine == ENGINE && call.running_ms == 40)
    );
}

#[test]
fn scheduler_change_is_detected() {
    let mut tracker = CallTracker::new(1);
    let is_new_scheduler =
        |tracker: &mut CallTracker, controller| tracker.begin_queued("s", controller).1;
    assert!(is_new_scheduler(&mut tracker, CONTROLLERS[0]));
    assert!(!is_new_scheduler(&mut tracker, CONTROLLERS[0]));
    assert!(!tracker.record_reply("s", CONTROLLERS[0], 100));
    assert!(!tracker.record_reply("s", CONTROLLERS[0], 100));
    assert!(tracker.record_reply("s", CONTROLLERS[0], 101));
    assert!(!tracker.record_reply("s", CONTROLLERS[0], 101));
    assert!(is_new_scheduler(&mut tracker, CONTROLLERS[1]));
    // A delayed reply from the previous scheduler is ignored.
    assert!(!tracker.record_reply("s", CONTROLLERS[0], 102));
    assert!(is_new_scheduler(&mut tracker, CONTROLLERS[0]));
}
