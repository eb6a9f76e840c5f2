//! The daemon `courseshedd`: gateway, program shards, dispatchers and controllers of one node, behind real sockets.
//!
//! The roles' logic lives in crates of its own, free of I/O. This crate gives it time, messages and threads: it
//! can be embedded ([`Node::start`]), and many nodes may share a process.

pub mod admin;
mod admission;
pub mod clock;
mod compact;
pub mod context;
pub mod control;
pub mod dispatchers;
pub mod drain;
mod folder;
pub mod gateway;
mod handler;
pub mod health;
mod incarnation;
pub mod logging;
pub mod metrics;
mod node;
pub mod protocol;
pub mod shards;
mod signals;
pub mod view;

pub use folder::FolderError;
pub use node::{Node, NodeError, NodeHandle, NodeOptions, NodeSockets};
