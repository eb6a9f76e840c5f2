//! Tries to connect, begun beside each other until one succeeds.
//!
//! A machine without power swallows the first packet without a word, and the system sends the next one
//! only a second later. So a new try begins while the ones before hang, as callers with several
//! addresses do (RFC 8305). Whichever answers first decides: a refusal, too, shows that the machine is there.

use std::future::Future;
use std::io;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::{sleep, timeout};

/// The result of the first try that ends. Another one begins each `next_try` while none has ended.
///
/// # Errors
/// That of the first try that ended, if it failed; [`io::ErrorKind::TimedOut`] when none ended within `limit`.
pub async fn first_to_end<T, F>(
    mut begin: impl FnMut() -> F,
    next_try: Duration,
    limit: Duration,
) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let race = async {
        let mut tries = FuturesUnordered::new();
        loop {
            tries.push(begin());
            if let Ok(Some(result)) = timeout(next_try, tries.next()).await {
                return result;
            }
        }
    };
    tokio::select! {
        biased;
        result = race => result,
        () = sleep(limit) => Err(io::ErrorKind::TimedOut.into()),
    }
}
