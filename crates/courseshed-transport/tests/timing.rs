//! How long tries to connect may take.

use std::time::Duration;

use courseshed_transport::TransportTiming;

#[test]
fn tries_to_connect_may_take_longer_each_time_up_to_the_limit() {
    let timing = TransportTiming {
        connect: Duration::from_millis(500),
        first_connect: Duration::from_millis(60),
        ..TransportTiming::default()
    };
    let limits: Vec<u128> = (0..5)
        .map(|failed_tries| timing.connect_limit(failed_tries).as_millis())
        .collect();
    assert_eq!(limits, [60, 120, 240, 480, 500]);
    assert_eq!(timing.connect_limit(u32::MAX), timing.connect);
}
