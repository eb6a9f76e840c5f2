//! The signals of a planned stop and of changed settings.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
pub async fn stop_asked() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::error!(event = "no_signals"; "signals can't be caught");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Calls `reload` at every SIGHUP.
pub async fn on_reload(reload: impl Fn()) {
    let hangup: Result<Signal, _> = signal(SignalKind::hangup());
    let Ok(mut hangup) = hangup else {
        return;
    };
    while hangup.recv().await.is_some() {
        reload();
    }
}
