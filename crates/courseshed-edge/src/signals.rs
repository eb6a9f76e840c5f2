//! Shutdown and reload signals.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Completes on SIGTERM or SIGINT; never completes if the handlers cannot be installed.
pub async fn shutdown_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::error!(event = "no_signals"; "cannot install signal handlers; SIGTERM and SIGINT will not shut down gracefully");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Calls `reload` on every SIGHUP.
pub async fn on_reload(reload: impl Fn()) {
    let hangup: Result<Signal, _> = signal(SignalKind::hangup());
    let Ok(mut hangup) = hangup else {
        return;
    };
    while hangup.recv().await.is_some() {
        reload();
    }
}
