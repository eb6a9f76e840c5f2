//! The controller role and what every node does to follow the controllers.
//!
//! The controller runs on a thread of its own, because it waits for its disk; following, shards' requests to the
//! controllers and the list of engines share another.

mod client;
mod controller;
mod engine_list;
mod follower;
mod founding;
mod in_force;
mod kept;
mod leaving;
mod machine;
mod options;
mod tasks;
mod wishes;
mod worker;

use std::sync::Arc;

use actix_rt::ArbiterHandle;
use courseshed_settings::SettingsTree;

pub use client::{ControlClient, OPERATOR_PATIENCE};
pub use controller::{Controller, SettingsCompiler};
pub use follower::Reachable;
pub use founding::{ControlLogState, Decision, controllers, decide};
pub use leaving::leave;
pub use machine::ControlMachine;
pub use tasks::{ControlTasks, ControllerStatus, ControllerTask, FollowerTask, ShardWish};
pub use worker::ControllerError;

use crate::context::NodeContext;
use engine_list::EngineList;
use follower::{Follower, is_controller};
use worker::ControllerWorker;

/// The threads of control.
pub struct ControlThreads {
    /// For the controller.
    pub controller: ArbiterHandle,
    /// For all else.
    pub follower: ArbiterHandle,
}

/// Starts the controller, if the node is one, and following.
///
/// # Errors
/// When the controller's folder can't be used.
pub fn start(
    context: &Arc<NodeContext>,
    threads: &ControlThreads,
    reachable: Reachable,
    initial_tree: Option<SettingsTree>,
) -> Result<(), ControllerError> {
    if is_controller(context) {
        if let Some(worker) = ControllerWorker::open(context.clone())? {
            threads.controller.spawn(worker.run());
        }
        let engines = context.clone();
        threads.follower.spawn_fn(|| {
            actix_rt::spawn(EngineList::run(engines));
        });
    }
    if let Some(wishes) = context.control.take_wishes() {
        threads.follower.spawn(wishes::run(context.clone(), wishes));
    }
    if let Some(follower) = Follower::open(context.clone(), reachable, initial_tree) {
        threads.follower.spawn(follower.run());
    }
    Ok(())
}

#[cfg(test)]
mod tests;
