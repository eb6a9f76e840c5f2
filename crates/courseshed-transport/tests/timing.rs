//! How connections come about with machines that say nothing.

use std::future::pending;
use std::io;
use std::time::Duration;

use courseshed_transport::first_to_end;
use tokio::time::{Instant, sleep};

const NEXT_TRY: Duration = Duration::from_millis(60);
const LIMIT: Duration = Duration::from_millis(500);
const WAY: Duration = Duration::from_millis(3);

/// A try with a machine that has power from some time on: one begun before is never answered.
async fn open(began: Instant, powered_after: Duration) -> io::Result<Duration> {
    if began.elapsed() < powered_after {
        return pending().await;
    }
    sleep(WAY).await;
    Ok(began.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_machine_is_reached_within_one_pause_of_its_return() {
    for powered_after_ms in (0..450).step_by(10) {
        let powered_after = Duration::from_millis(powered_after_ms);
        let began = Instant::now();
        let opened = first_to_end(|| open(began, powered_after), NEXT_TRY, LIMIT).await;
        let reached = opened.expect("reached");
        let waited = reached.saturating_sub(powered_after);
        assert!(waited <= NEXT_TRY + WAY, "{powered_after_ms}: {waited:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_try_that_takes_longer_than_the_pause_succeeds() {
    let slow = || async {
        sleep(4 * NEXT_TRY).await;
        Ok(())
    };
    let began = Instant::now();
    first_to_end(slow, NEXT_TRY, LIMIT).await.expect("opened");
    assert_eq!(began.elapsed(), 4 * NEXT_TRY);
}

#[tokio::test(start_paused = true)]
async fn a_refusal_is_told_at_once() {
    let mut tries = 0;
    let refused_later = || {
        tries += 1;
        let is_first = tries == 1;
        async move {
            if is_first {
                return pending().await;
            }
            Err::<(), _>(io::ErrorKind::ConnectionRefused.into())
        }
    };
    let began = Instant::now();
    let error = first_to_end(refused_later, NEXT_TRY, LIMIT).await;
    let kind = error.expect_err("refused").kind();
    assert_eq!(kind, io::ErrorKind::ConnectionRefused);
    assert_eq!(began.elapsed(), NEXT_TRY);
}

#[tokio::test(start_paused = true)]
async fn silence_ends_at_the_limit() {
    let began = Instant::now();
    let silent = || pending::<io::Result<()>>();
    let error = first_to_end(silent, NEXT_TRY, LIMIT).await;
    let kind = error.expect_err("silence").kind();
    assert_eq!(kind, io::ErrorKind::TimedOut);
    assert_eq!(began.elapsed(), LIMIT);
}
