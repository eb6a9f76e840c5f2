//! An HTTP server on a thread of its own that can be stopped, killed and started again.

use actix_web::dev::ServerHandle;
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};
use parking_lot::Mutex;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Time between attempts to take the address again after a restart.
const BIND_RETRY: Duration = Duration::from_millis(20);
/// How long an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// What to do when the server has ended.
#[derive(Clone, Copy, Debug)]
enum Next {
    Stop,
    Restart { down: Duration },
}

struct Lifecycle {
    server: Option<ServerHandle>,
    next: Next,
}

/// Controls a server from any thread.
#[derive(Clone)]
pub(crate) struct ServerControl {
    lifecycle: Arc<Mutex<Lifecycle>>,
}

impl ServerControl {
    pub(crate) fn new() -> Self {
        let lifecycle = Lifecycle {
            server: None,
            next: Next::Restart {
                down: Duration::ZERO,
            },
        };
        ServerControl {
            lifecycle: Arc::new(Mutex::new(lifecycle)),
        }
    }

    /// Drops all connections, and takes new ones again after `down`.
    pub(crate) fn crash(&self, down: Duration) {
        self.end(Next::Restart { down });
    }

    pub(crate) fn stop(&self) {
        self.end(Next::Stop);
    }

    /// Notes a server that began; ends it at once if a stop came before.
    fn begin(&self, server: ServerHandle) {
        let mut lifecycle = self.lifecycle.lock();
        if matches!(lifecycle.next, Next::Stop) {
            drop(server.stop(false));
            return;
        }
        lifecycle.server = Some(server);
    }

    fn down_time(&self) -> Option<Duration> {
        match self.lifecycle.lock().next {
            Next::Stop => None,
            Next::Restart { down } => Some(down),
        }
    }

    fn is_stopped(&self) -> bool {
        matches!(self.lifecycle.lock().next, Next::Stop)
    }

    fn end(&self, next: Next) {
        let mut lifecycle = self.lifecycle.lock();
        lifecycle.next = next;
        if let Some(server) = lifecycle.server.take() {
            // The command is sent here; the future would only wait for its execution.
            drop(server.stop(false));
        }
    }
}

/// How often a server that is away looks whether it is stopped.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// A running server; dropping it stops it.
pub(crate) struct EmbeddedServer {
    address: SocketAddr,
    control: ServerControl,
    thread: Option<JoinHandle<()>>,
}

impl EmbeddedServer {
    /// Binds and serves. `configure` sets up the routes on the worker's thread, at each start.
    pub(crate) fn start(
        name: &str,
        listen: SocketAddr,
        control: ServerControl,
        configure: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (started, on_start) = channel();
        let run_control = control.clone();
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let lives = live(address, listener, run_control, configure, started);
                actix_rt::System::new().block_on(lives);
            })?;
        on_start
            .recv()
            .unwrap_or_else(|_| Err(io::Error::other("the server thread ended")))?;
        Ok(EmbeddedServer {
            address,
            control,
            thread: Some(thread),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic of the server thread was reported by its own hook.
            let _ = thread.join();
        }
    }
}

impl Drop for EmbeddedServer {
    fn drop(&mut self) {
        self.control.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn live(
    address: SocketAddr,
    first: TcpListener,
    control: ServerControl,
    configure: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
    started: Sender<io::Result<()>>,
) {
    let mut started = Some(started);
    let mut first = Some(first);
    loop {
        let configure = configure.clone();
        let server = HttpServer::new(move || App::new().configure(configure.clone()))
            .workers(1)
            .backlog(BACKLOG)
            .keep_alive(KEEP_ALIVE)
            .disable_signals();
        let bound = match first.take() {
            Some(listener) => server.listen(listener),
            None => server.bind(address),
        };
        match bound {
            Ok(server) => {
                let server = server.run();
                control.begin(server.handle());
                report(&mut started, Ok(()));
                if let Err(error) = server.await {
                    log::warn!("server on {address} ended: {error}");
                }
            }
            Err(error) if started.is_some() => {
                report(&mut started, Err(error));
                return;
            }
            Err(_) => actix_rt::time::sleep(BIND_RETRY).await,
        }
        stay_away(&control).await;
        if control.is_stopped() {
            return;
        }
    }
}

/// Waits out the time a crashed server stays away, unless it is stopped meanwhile.
async fn stay_away(control: &ServerControl) {
    let since = Instant::now();
    while let Some(down) = control.down_time()
        && let Some(left) = down.checked_sub(since.elapsed())
        && !left.is_zero()
    {
        actix_rt::time::sleep(left.min(STOP_LOOK)).await;
    }
}

fn report(started: &mut Option<Sender<io::Result<()>>>, result: io::Result<()>) {
    if let Some(started) = started.take() {
        // The starter waits for this message and nothing else.
        let _ = started.send(result);
    }
}
