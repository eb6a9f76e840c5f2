//! Requests that end the servers that run them, and the callers that try them again and again.

use std::time::Duration;

use tokio::time::sleep;

use crate::caller::{Call, Caller};
use crate::ledger::CallKind;

/// What the bodies of such requests begin with; a name follows, up to the end of the line.
const MARK: &str = "lethal ";
/// Of so many calls, one is such a request.
const ONE_OF: u64 = 40;
/// Attempts that a caller makes, and how often it then sends the request anew.
const ATTEMPTS: u32 = 3;
const RESENDS: u32 = 2;
/// Pauses before an attempt, and before the request is sent anew, in milliseconds.
const RETRY_PAUSE_MS: (u64, u64) = (10, 30);
const RESEND_PAUSE_MS: (u64, u64) = (100, 300);

/// The name of the request that a body contains, if it ends the server that runs it.
#[must_use]
pub fn lethal_request(body: &str) -> Option<&str> {
    let (_, after) = body.split_once(MARK)?;
    after.lines().next()
}

impl Caller {
    /// Makes such a request now and then.
    pub(crate) async fn maybe_lethal(&mut self) {
        if self.world.has_lethal_requests() && self.draw(ONE_OF) == 0 {
            self.lethal().await;
        }
    }

    async fn lethal(&mut self) {
        let name = self.next_id();
        let body = format!("{MARK}{name}\n");
        let kind = match self.draw(2) {
            0 => CallKind::Repeatable,
            _ => CallKind::Turn,
        };
        let headers = format!("x-program: p-{name}\r\nx-budget: 10000\r\nx-most: 60\r\n");
        for resend in 0..=RESENDS {
            if resend > 0 {
                self.pause(RESEND_PAUSE_MS).await;
            }
            for _ in 0..ATTEMPTS {
                self.pause(RETRY_PAUSE_MS).await;
                if self.world.is_over() {
                    return;
                }
                let id = self.next_id();
                let call = Call {
                    id: &id,
                    kind,
                    region: None,
                    headers: headers.clone(),
                    body: &body,
                };
                let gateway = self.choose_gateway();
                self.call_at(gateway, &call).await;
            }
        }
    }

    async fn pause(&mut self, (least, spread): (u64, u64)) {
        let milliseconds = least + self.draw(spread);
        sleep(Duration::from_millis(milliseconds)).await;
    }
}
