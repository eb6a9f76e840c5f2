//! The controller role and what every node does to follow the controllers.

mod standalone;
mod tasks;

pub use standalone::Standalone;
pub use tasks::{ControlTask, ControlTasks};
