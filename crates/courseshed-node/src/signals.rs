//! Runs a daemon until it is told to stop: the first SIGTERM or SIGINT drains, the second ends at once.

use std::process::ExitCode;

use actix_rt::System;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::node::NodeHandle;

/// Exit code of a daemon that was told twice to stop.
const ENDED_AT_ONCE: u8 = 1;

impl NodeHandle {
    /// Runs until a signal asks to stop.
    pub fn run_until_signal(self) -> ExitCode {
        let runner = System::new();
        let signals = runner.block_on(async {
            let terminate = signal(SignalKind::terminate())?;
            let interrupt = signal(SignalKind::interrupt())?;
            std::io::Result::Ok(Signals {
                terminate,
                interrupt,
            })
        });
        let Ok(mut signals) = signals else {
            log::error!("signals can't be listened for");
            return ExitCode::FAILURE;
        };
        runner.block_on(async {
            signals.next().await;
            log::info!("asked to stop: draining");
            tokio::select! {
                () = self.drain() => {
                    log::info!("drained");
                    ExitCode::SUCCESS
                }
                () = signals.next() => {
                    log::warn!("asked again: ending at once");
                    ExitCode::from(ENDED_AT_ONCE)
                }
            }
        })
    }
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
