//! What every node runs to follow the controllers: reports, pulls, the settings lease, and the relay of its zone.
//!
//! Invariant: nothing is put in force before the first lease, that is before this start has read at least the
//! version that was committed when it asked.

use std::{path::PathBuf, sync::Arc, time::Duration};

use courseshed_control::{ControlTarget, NodeControlView, ViewOutput};
use courseshed_settings::SettingsTree;
use courseshed_types::{
    CallError, ErrorCode, SettingsVersion,
    control::{
        ControlPosition, ControlReply, ControlRequest, Member, NodeRole, NodeState, SettingsChange,
    },
};
use tokio::{sync::mpsc, time::timeout};

use crate::{
    context::NodeContext,
    control::{
        client::OPERATOR_PATIENCE,
        in_force, kept,
        options::{controller_seeds, view_options},
        tasks::FollowerTask,
    },
    protocol::{NodeReply, NodeRequest},
};

/// Longest wait for something to come before time is let pass.
const TICK: Duration = Duration::from_millis(25);
/// Shortest time between two writes of what is kept over a restart.
const KEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Name of the change by which a node puts the tree it was started with in force.
const INITIAL_CHANGE: &str = "initial-tree";

/// Where the node is reached.
#[derive(Debug, Clone)]
pub struct Reachable {
    /// By callers and operators, `ip:port`.
    pub http_address: String,
    /// By other nodes, `ip:port`.
    pub peer_address: String,
}

/// Follows the controllers.
pub struct Follower {
    context: Arc<NodeContext>,
    view: NodeControlView,
    tasks: mpsc::Receiver<FollowerTask>,
    initial_tree: Option<SettingsTree>,
    in_force: Option<ControlPosition>,
    kept_file: Option<PathBuf>,
    kept: ControlPosition,
    keep_after: Duration,
    told_refusal: bool,
}

impl Follower {
    /// A follower that has heard nothing yet; none if the node has one already.
    pub fn open(
        context: Arc<NodeContext>,
        reachable: Reachable,
        initial_tree: Option<SettingsTree>,
    ) -> Option<Follower> {
        let tasks = context.control.take_follower()?;
        let settings = &context.settings;
        let kept_file = settings.data_dir.as_deref().map(kept::file);
        let kept = kept_file.as_deref().and_then(kept::read);
        let seeds = controller_seeds(settings, &reachable.peer_address);
        let view = NodeControlView::new(
            member(&context, reachable),
            seeds,
            view_options(settings),
            kept.as_deref(),
        );
        Some(Follower {
            kept: view.position(),
            view,
            tasks,
            initial_tree,
            in_force: None,
            kept_file,
            keep_after: Duration::ZERO,
            told_refusal: false,
            context,
        })
    }

    /// Runs until the node ends.
    pub async fn run(mut self) {
        for seed in &self.context.settings.seeds {
            self.context
                .transport()
                .set_address(seed.node_id, seed.peer);
        }
        loop {
            match timeout(TICK, self.tasks.recv()).await {
                Ok(Some(task)) => self.take(task),
                Ok(None) => return,
                Err(_) => {}
            }
            self.tick();
        }
    }

    fn take(&mut self, task: FollowerTask) {
        let now = self.context.clock.now();
        match task {
            FollowerTask::Request(request, reply) => {
                let answer = self.view.on_request(now, &request);
                let leader = self.context.view.control_leader();
                let answer = answer.unwrap_or(ControlReply::NotLeader { leader });
                reply.send(NodeReply::Control(Box::new(answer)));
            }
            FollowerTask::Answered {
                number,
                reply: Some(reply),
            } => {
                self.note(&reply);
                let outputs = self.view.on_reply(now, number, *reply);
                self.execute(outputs);
            }
            FollowerTask::Answered {
                number,
                reply: None,
            } => self.view.on_failure(now, number),
            FollowerTask::ControllerRole => {
                self.view.set_leader(self.context.view.control_leader());
            }
        }
    }

    fn tick(&mut self) {
        let now = self.context.clock.now();
        self.view.set_leaving(self.context.drain.is_draining());
        let outputs = self.view.tick(now);
        self.execute(outputs);
        self.put_in_force();
        self.keep();
    }

    fn execute(&mut self, outputs: Vec<ViewOutput>) {
        for output in outputs {
            match output {
                ViewOutput::Send {
                    number,
                    target,
                    request,
                } => self.send(number, target, request),
                // Both are put in force together, once there is a lease.
                ViewOutput::PolicyChanged(_) | ViewOutput::MapChanged(_) => {}
            }
        }
    }

    fn send(&self, number: u64, target: ControlTarget, request: ControlRequest) {
        if let Ok(address) = target.peer_address.parse() {
            self.context.transport().set_address(target.node, address);
        }
        let limit = view_options(&self.context.settings).request_timeout;
        let context = self.context.clone();
        actix_rt::spawn(async move {
            let request = NodeRequest::Control(Box::new(request));
            let reply = match context
                .transport()
                .request(target.node, request, limit)
                .await
            {
                Ok(NodeReply::Control(reply)) => Some(reply),
                _ => None,
            };
            context
                .control
                .tell_follower(FollowerTask::Answered { number, reply });
        });
    }

    /// Remembers who leads, and tells the operator once that this start is refused: another process has taken the
    /// node's number since, and the node can't mend that.
    fn note(&mut self, reply: &ControlReply) {
        match reply {
            ControlReply::NotLeader { leader } => self.context.view.set_control_leader(*leader),
            ControlReply::Error(error) if error.code == ErrorCode::Forbidden => {
                self.tell_refusal(error);
            }
            ControlReply::Heard { .. } => self.told_refusal = false,
            _ => {}
        }
    }

    fn tell_refusal(&mut self, error: &CallError) {
        if !std::mem::replace(&mut self.told_refusal, true) {
            log::error!("the controllers refuse this node: {error}");
        }
    }

    fn put_in_force(&mut self) {
        let Some(until) = self.view.lease_until() else {
            return;
        };
        let position = self.view.position();
        if self.in_force != Some(position) {
            in_force::put_policy(&self.context, self.view.policy().clone());
            in_force::put_map(&self.context, self.view.map().clone());
            if self.in_force.is_none() {
                self.propose_initial_tree(position.settings);
            }
            self.in_force = Some(position);
        }
        self.context.view.extend_lease(until);
    }

    /// The tree that the node was started with, where the fleet has none.
    fn propose_initial_tree(&mut self, version: SettingsVersion) {
        let Some(tree) = self.initial_tree.take() else {
            return;
        };
        if version != SettingsVersion(0) {
            return;
        }
        let change = SettingsChange {
            expected_version: version,
            change_id: INITIAL_CHANGE.into(),
            author: format!("node {}", self.context.identity.node),
            tree: tree.text().to_owned(),
        };
        let context = self.context.clone();
        actix_rt::spawn(async move {
            let request = ControlRequest::ApplySettings(change);
            let asked = context
                .control_client
                .ask(&context, request, OPERATOR_PATIENCE);
            if let Err(error) = asked.await {
                log::warn!("the initial settings were not accepted: {error}");
            }
        });
    }

    /// Writes what spares the next start a download. Failing does no harm.
    fn keep(&mut self) {
        let elapsed = self.context.clock.elapsed();
        let position = self.view.position();
        let Some(file) = self.kept_file.clone() else {
            return;
        };
        if position == self.kept || elapsed < self.keep_after {
            return;
        }
        self.kept = position;
        self.keep_after = elapsed + KEEP_INTERVAL;
        let bytes = self.view.to_save();
        actix_rt::task::spawn_blocking(move || kept::write(&file, &bytes));
    }
}

fn member(context: &NodeContext, reachable: Reachable) -> Member {
    let settings = &context.settings;
    Member {
        node: settings.node_id,
        incarnation: context.identity.incarnation,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        peer_address: reachable.peer_address,
        http_address: reachable.http_address,
        roles: settings.roles.clone(),
        state: NodeState::Live,
    }
}

/// Whether the settings make the node a controller.
pub fn is_controller(context: &NodeContext) -> bool {
    context.settings.roles.contains(&NodeRole::Controller)
}
