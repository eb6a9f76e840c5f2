//! Runs this node's controller on a thread of its own, since it waits for its disk.
//!
//! What came while it wrote is taken in together, so that one flush serves all of it. A controller whose disk fails
//! stops; the rest of the daemon goes on.

use std::{collections::BTreeMap, path::PathBuf, sync::Arc, time::Duration};

use courseshed_consensus::{DiskLog, GroupError, Message, StorageError};
use courseshed_control::LeaderRole;
use courseshed_transport::ReplySender;
use courseshed_types::{
    NodeId,
    control::{ControlReply, ControlRequest},
};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{sync::mpsc, time::timeout};

use crate::{
    context::NodeContext,
    control::{
        controller::Controller,
        founding::{self, ControlLogState, Decision},
        options::leader_options,
        tasks::{ControllerStatus, ControllerTask, FollowerTask},
    },
    protocol::{NodeMessage, NodeProtocol, NodeReply, NodeRequest},
};

/// Longest wait for something to come before time is let pass.
const TICK: Duration = Duration::from_millis(20);
/// Pieces of work that are taken in before one flush.
const BATCH: usize = 1_024;
/// Time between two rounds of asking the other controllers for their logs.
const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two tries to hand leadership over while the node drains.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(500);
/// Rounds between two log lines while controllers don't answer.
const ROUNDS_PER_LINE: u64 = 50;

/// Why a controller can't start.
#[derive(Debug, Snafu)]
pub enum ControllerError {
    /// The settings name no data folder.
    #[snafu(display("a controller needs a data folder (data_dir)"))]
    NoFolder,
    /// The folder can't be used.
    #[snafu(display("the controller's log can't be used: {source}"))]
    Folder {
        /// Why.
        source: StorageError,
    },
    /// The log can't be used.
    #[snafu(display("the controller can't start: {source}"))]
    Group {
        /// Why.
        source: GroupError,
    },
}

/// A controller with the queue of what comes for it.
pub struct ControllerWorker {
    context: Arc<NodeContext>,
    tasks: mpsc::Receiver<ControllerTask>,
    /// The controller, once its log is open.
    controller: Option<Controller<DiskLog>>,
    told_failure: bool,
    /// When leadership may be handed over, by the node's clock.
    hand_over_after: Duration,
}

impl ControllerWorker {
    /// Opens the log if the folder holds one; an empty folder waits for the other controllers' answers.
    ///
    /// # Errors
    /// When the folder or what it holds can't be used.
    pub fn open(context: Arc<NodeContext>) -> Result<Option<ControllerWorker>, ControllerError> {
        let Some(tasks) = context.control.take_controller() else {
            return Ok(None);
        };
        let mut worker = ControllerWorker {
            context,
            tasks,
            controller: None,
            told_failure: false,
            hand_over_after: Duration::ZERO,
        };
        let folder = worker.folder()?;
        if DiskLog::is_kept_in(&folder) {
            worker.open_log(Decision::Wait)?;
        } else {
            worker.context.control.set_controller(ControllerStatus {
                log: ControlLogState::Empty,
                leads: false,
                votes: false,
                failed: false,
            });
        }
        Ok(Some(worker))
    }

    /// Runs until the node ends.
    pub async fn run(mut self) {
        if self.controller.is_none() && !self.found_or_join().await {
            return;
        }
        loop {
            match timeout(TICK, self.tasks.recv()).await {
                Ok(Some(first)) => self.run_batch(first),
                Ok(None) => return,
                Err(_) => self.take_in(Vec::new(), Vec::new()),
            }
        }
    }

    fn folder(&self) -> Result<PathBuf, ControllerError> {
        founding::log_folder(&self.context.settings).context(NoFolderSnafu)
    }

    fn open_log(&mut self, decision: Decision) -> Result<(), ControllerError> {
        let settings = &self.context.settings;
        let start = self.context.identity.incarnation.0;
        let incarnation = founding::incarnation_for(decision, start);
        let opened = founding::open_log(settings, self.folder()?, incarnation);
        let (log, config) = opened.context(FolderSnafu)?;
        let node = self.context.identity.node;
        let options = leader_options(settings);
        let time = self.context.step_time();
        let controller = Controller::open(node, config, log, options, time).context(GroupSnafu)?;
        self.controller = Some(controller);
        self.note_status();
        Ok(())
    }

    /// Asks the other controllers until it is clear whether to found the group or to join it.
    async fn found_or_join(&mut self) -> bool {
        let own = self.context.identity.node;
        let mut others = founding::controllers(&self.context.settings);
        others.retain(|node| *node != own);
        let mut answers = BTreeMap::new();
        for round in 0_u64.. {
            for node in &others {
                if let Some(state) = self.ask_log_state(*node).await {
                    answers.insert(*node, state);
                }
            }
            self.refuse_waiting();
            let decision = founding::decide(&others, &answers);
            if decision != Decision::Wait {
                return self.carry_out(decision);
            }
            if round % ROUNDS_PER_LINE == 0 {
                log_missing(&others, &answers);
            }
            answers.clear();
            tokio::time::sleep(ASK_INTERVAL).await;
        }
        false
    }

    fn carry_out(&mut self, decision: Decision) -> bool {
        log::info!(decision:? = decision; "the controller's folder is empty");
        match self.open_log(decision) {
            Ok(()) => true,
            Err(error) => {
                log::error!("{error}; the node goes on without a controller");
                false
            }
        }
    }

    async fn ask_log_state(&self, node: NodeId) -> Option<ControlLogState> {
        let request = NodeRequest::ControlLogState;
        let asked = self
            .context
            .transport()
            .request(node, request, ASK_INTERVAL * 2);
        match asked.await {
            Ok(NodeReply::ControlLogState(state)) => Some(state),
            _ => None,
        }
    }

    /// Until the log is open, messages are lost and requests are for others.
    fn refuse_waiting(&mut self) {
        while let Ok(task) = self.tasks.try_recv() {
            if let ControllerTask::Request(_, reply) = task {
                let answer = ControlReply::NotLeader { leader: None };
                reply.send(NodeReply::Control(Box::new(answer)));
            }
        }
    }

    fn run_batch(&mut self, first: ControllerTask) {
        let mut messages = Vec::new();
        let mut requests = Vec::new();
        let mut next = Some(first);
        while let Some(task) = next {
            match task {
                ControllerTask::Log(message) => messages.push(*message),
                ControllerTask::Request(request, reply) => requests.push((*request, reply)),
            }
            let is_full = messages.len() + requests.len() >= BATCH;
            next = if is_full {
                None
            } else {
                self.tasks.try_recv().ok()
            };
        }
        self.take_in(messages, requests);
    }

    fn take_in(
        &mut self,
        messages: Vec<Message>,
        requests: Vec<(ControlRequest, ReplySender<NodeProtocol>)>,
    ) {
        let Some(controller) = &mut self.controller else {
            return;
        };
        let role = controller.role();
        let time = self.context.step_time();
        for message in messages {
            controller.handle(time, message);
        }
        controller.tick(time);
        if self.context.drain.is_draining() && time.elapsed >= self.hand_over_after {
            self.hand_over_after = time.elapsed + HAND_OVER_INTERVAL;
            controller.hand_over(time);
        }
        let mut outgoing = controller.settle(time);
        let time = self.context.step_time();
        for (request, reply) in requests {
            controller.request(time, request, reply);
        }
        outgoing.extend(controller.settle(time));
        let new_role = controller.role();
        for message in outgoing {
            let to = NodeId(message.to.0 as u32);
            self.context
                .tell(to, NodeMessage::ControlLog(Box::new(message)));
        }
        if new_role != role {
            self.tell_role(new_role);
        }
        self.note_status();
        self.note_failure();
    }

    fn tell_role(&self, role: LeaderRole) {
        let leader = match role {
            LeaderRole::Leading => Some(self.context.identity.node),
            LeaderRole::Following(leader) => leader,
        };
        self.context.view.set_control_leader(leader);
        self.context
            .control
            .tell_follower(FollowerTask::ControllerRole);
    }

    fn note_status(&self) {
        if let Some(controller) = &self.controller {
            self.context.control.set_controller(controller.status());
        }
    }

    fn note_failure(&mut self) {
        let failure = self.controller.as_ref().and_then(Controller::failure);
        if let Some(failure) = failure.filter(|_| !self.told_failure) {
            self.told_failure = true;
            log::error!(
                "the controller stopped: {failure}; the node goes on without it; mend the disk and restart the node"
            );
        }
    }
}

fn log_missing(others: &[NodeId], answers: &BTreeMap<NodeId, ControlLogState>) {
    let missing = others.iter().filter(|node| !answers.contains_key(node));
    let missing: Vec<String> = missing.map(ToString::to_string).collect();
    log::warn!(
        nodes:% = missing.join(",");
        "this controller has no log and waits for other controllers, one of which may know the group"
    );
}
