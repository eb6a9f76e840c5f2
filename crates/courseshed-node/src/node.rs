//! One running node: its threads, its sockets and its handle.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::JoinHandle,
};

use actix::Actor;
use actix_rt::{Arbiter, System, SystemRunner};
use actix_web::{App, HttpServer, dev::ServerHandle, middleware::from_fn};
use courseshed_engine::EngineConnector;
use courseshed_settings::{NodeSettings, SettingsTree};
use courseshed_transport::{StartError, Transport, TransportSettings, TransportTiming};
use snafu::{ResultExt, Snafu};
use tokio::{runtime::Handle, sync::oneshot};

use crate::{
    admin,
    admission::require_settings,
    context::{NodeContext, SharedContext},
    control::{self, ControlThreads, ControllerError, Reachable},
    dispatchers::{DispatcherTicker, EngineWorker, engine_timeouts},
    drain,
    folder::{FolderError, LockedFolder},
    gateway::{self, GatewayWorker, StreamReporter},
    handler::NodeHandler,
    health,
    shards::ShardTicker,
};

/// Messages that may wait for one peer.
const PEER_QUEUE: usize = 16_384;
/// HTTP threads of a node unless told otherwise.
const DEFAULT_HTTP_WORKERS: usize = 2;

/// How a node is embedded.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    /// The node's settings.
    pub settings: NodeSettings,
    /// Threads that serve callers.
    pub http_workers: usize,
    /// The settings tree to start with where no controller has one.
    pub initial_tree: Option<SettingsTree>,
    /// Whether the embedder puts settings, lease and member map in force itself, in place of controllers.
    pub is_embedder_in_control: bool,
}

impl NodeOptions {
    /// The options of a daemon.
    pub fn new(settings: NodeSettings) -> NodeOptions {
        NodeOptions {
            settings,
            http_workers: DEFAULT_HTTP_WORKERS,
            initial_tree: None,
            is_embedder_in_control: false,
        }
    }
}

/// Why a node can't start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// An address can't be listened on.
    #[snafu(display("cannot listen on {address} ({key}): {source}"))]
    Listen {
        /// The key of the settings file.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// A thread can't be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// What the system says.
        source: io::Error,
    },
    /// The transport can't be started.
    #[snafu(display("{source}"))]
    Peers {
        /// Why.
        source: StartError,
    },
    /// The data folder can't be used.
    #[snafu(display("{source}"))]
    Folder {
        /// Why.
        source: FolderError,
    },
    /// The controller's folder can't be used.
    #[snafu(display("{source}"))]
    Controller {
        /// Why.
        source: ControllerError,
    },
    /// The node ended before it was ready.
    #[snafu(display("the node ended while it started; its log says why"))]
    EndedEarly,
}

/// A running node.
pub struct Node;

/// The handle of a running node. Dropping it stops the node at once.
pub struct NodeHandle {
    context: SharedContext,
    http_address: SocketAddr,
    peer_address: SocketAddr,
    system: System,
    server: ServerHandle,
    /// Threads that hold a port or the lock of the data folder until they have ended.
    threads: Vec<Arbiter>,
    _folder: Option<LockedFolder>,
    thread: Option<JoinHandle<()>>,
}

struct Started {
    system: System,
    server: ServerHandle,
    threads: Vec<Arbiter>,
}

/// The listening sockets of a node that has not started yet, so that its addresses are known before.
#[derive(Debug)]
pub struct NodeSockets {
    http: TcpListener,
    peer: TcpListener,
    http_address: SocketAddr,
    peer_address: SocketAddr,
}

impl NodeSockets {
    /// Listens on the addresses of the settings.
    ///
    /// # Errors
    /// When one can't be had.
    pub fn bind(settings: &NodeSettings) -> Result<NodeSockets, NodeError> {
        let (http_address, http) = listen("listen", settings.listen)?;
        let (peer_address, peer) = listen("peer_listen", settings.peer_listen)?;
        Ok(NodeSockets {
            http,
            peer,
            http_address,
            peer_address,
        })
    }

    /// Where callers and operators will reach the node.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Where other nodes will reach the node.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }
}

fn listen(key: &'static str, address: SocketAddr) -> Result<(SocketAddr, TcpListener), NodeError> {
    let bound = TcpListener::bind(address);
    let bound = bound.and_then(|listener| Ok((listener.local_addr()?, listener)));
    bound.context(ListenSnafu { key, address })
}

impl Node {
    /// Starts a node on threads of its own.
    ///
    /// # Errors
    /// When its addresses can't be had, or its data folder can't be used.
    pub fn start(options: NodeOptions) -> Result<NodeHandle, NodeError> {
        let sockets = NodeSockets::bind(&options.settings)?;
        Node::start_on(sockets, options)
    }

    /// Starts a node on sockets that listen already.
    ///
    /// # Errors
    /// When its data folder can't be used.
    pub fn start_on(sockets: NodeSockets, options: NodeOptions) -> Result<NodeHandle, NodeError> {
        let (http_address, peer_address) = (sockets.http_address, sockets.peer_address);
        let settings = options.settings.clone();
        // An embedder that stands in for control may stand in for folders too.
        let data_dir = options.settings.data_dir.as_deref();
        let starts = data_dir.filter(|_| !options.is_embedder_in_control);
        let folder = starts.map(LockedFolder::open).transpose();
        let folder = folder.context(FolderSnafu)?;
        let context = Arc::new(NodeContext::new(settings, starts));
        let (ready, started) = std::sync::mpsc::channel();
        let thread_context = context.clone();
        let thread = std::thread::Builder::new()
            .name(format!("node-{}", options.settings.node_id))
            .spawn(move || run_thread(thread_context, options, sockets, ready))
            .context(ThreadSnafu)?;
        let started: Result<Started, NodeError> =
            started.recv().unwrap_or(Err(NodeError::EndedEarly));
        let Started {
            system,
            server,
            threads,
        } = started?;
        Ok(NodeHandle {
            context,
            http_address,
            peer_address,
            system,
            server,
            threads,
            _folder: folder,
            thread: Some(thread),
        })
    }
}

fn run_thread(
    context: SharedContext,
    options: NodeOptions,
    sockets: NodeSockets,
    ready: std::sync::mpsc::Sender<Result<Started, NodeError>>,
) {
    let runner: SystemRunner = System::new();
    let started = runner.block_on(start_parts(context, options, sockets));
    let failed = started.is_err();
    let _ = ready.send(started);
    if failed {
        return;
    }
    if let Err(error) = runner.run() {
        log::error!("the node's threads ended with an error: {error}");
    }
}

async fn start_parts(
    context: SharedContext,
    options: NodeOptions,
    sockets: NodeSockets,
) -> Result<Started, NodeError> {
    let peers = Arbiter::new();
    let runtime = runtime_of(&peers).await?;
    let transport = Transport::start(
        TransportSettings {
            identity: context.identity,
            queue_capacity: PEER_QUEUE,
            seed: context.identity.incarnation.0,
            timing: TransportTiming::default(),
        },
        sockets.peer,
        Arc::new(NodeHandler(Arc::downgrade(&context))),
        &runtime,
    );
    context.set_transport(transport.context(PeersSnafu)?);
    let (controller, follower) = (Arbiter::new(), Arbiter::new());
    if !options.is_embedder_in_control {
        let threads = ControlThreads {
            controller: controller.handle(),
            follower: follower.handle(),
        };
        let reachable = Reachable {
            http_address: sockets.http_address.to_string(),
            peer_address: sockets.peer_address.to_string(),
        };
        control::start(&context, &threads, reachable, options.initial_tree)
            .context(ControllerSnafu)?;
    }
    start_actors(&context);
    let server = serve(&context, options.http_workers, sockets.http)?;
    log::info!(
        node = context.identity.node.0,
        http:% = sockets.http_address,
        peers:% = sockets.peer_address;
        "node started"
    );
    Ok(Started {
        system: System::current(),
        server,
        threads: vec![peers, controller, follower],
    })
}

async fn runtime_of(arbiter: &Arbiter) -> Result<Handle, NodeError> {
    let (sender, handle) = oneshot::channel();
    arbiter.spawn(async move {
        let _ = sender.send(Handle::current());
    });
    handle.await.map_err(|_| NodeError::EndedEarly)
}

fn start_actors(context: &SharedContext) {
    let roles = Arbiter::new().handle();
    let shard_context = context.clone();
    ShardTicker::start_in_arbiter(&roles, |_| ShardTicker::new(shard_context));
    let dispatcher_context = context.clone();
    DispatcherTicker::start_in_arbiter(&roles, |_| DispatcherTicker::new(dispatcher_context));
    let engines = Arbiter::new().handle();
    let engine_context = context.clone();
    EngineWorker::start_in_arbiter(&engines, |_| EngineWorker::new(engine_context));
    let stream_context = context.clone();
    StreamReporter::start_in_arbiter(&engines, |_| StreamReporter(stream_context));
}

fn serve(
    context: &SharedContext,
    workers: usize,
    listener: TcpListener,
) -> Result<ServerHandle, NodeError> {
    let limits = context.settings.limits;
    let address = context.settings.listen;
    let connections = (limits.connections as usize).div_ceil(workers.max(1));
    let app_context = context.clone();
    let server = HttpServer::new(move || {
        let worker = GatewayWorker {
            context: app_context.clone(),
            connector: EngineConnector::new(engine_timeouts(&app_context)),
        };
        App::new()
            .wrap(from_fn(require_settings))
            .configure(health::configure)
            .configure(admin::configure)
            .configure(|config| gateway::configure(config, worker))
    })
    .workers(workers.max(1))
    .max_connections(connections)
    .disable_signals()
    .client_request_timeout(context.settings.timeouts.request_read)
    .shutdown_timeout(1)
    .listen(listener)
    .context(ListenSnafu {
        key: "listen",
        address,
    })?
    .run();
    let handle = server.handle();
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("the HTTP server ended with an error: {error}");
        }
    });
    Ok(handle)
}

impl NodeHandle {
    /// Where callers and operators reach the node.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Where other nodes reach the node.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// What the node's parts share.
    pub fn context(&self) -> &SharedContext {
        &self.context
    }

    /// The HTTP server, to be paused or stopped apart.
    pub fn server(&self) -> &ServerHandle {
        &self.server
    }

    /// Takes no new work, lets calls under way end, and returns when they did or the limit has passed.
    pub async fn drain(&self) {
        let deadline = tokio::time::Instant::now() + self.context.settings.timeouts.drain;
        let finish = drain::drain(&self.context, deadline);
        futures_util::join!(finish, control::leave(&self.context));
        drain::close(&self.context, deadline).await;
        self.server.stop(true).await;
    }

    /// Ends the node at once, as a crash would: nothing is handed over.
    pub fn stop(mut self) {
        self.stop_now();
    }

    fn stop_now(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        self.context.transport().stop();
        self.system.stop();
        for arbiter in self.threads.drain(..) {
            arbiter.stop();
            if arbiter.join().is_err() {
                log::error!("a thread of the node panicked");
            }
        }
        if thread.join().is_err() {
            log::error!("a thread of the node panicked");
        }
    }
}

impl Drop for NodeHandle {
    fn drop(&mut self) {
        self.stop_now();
    }
}
