//! Gateways, record stores and controllers for calls that are forwarded as they are.
//!
//! Three roles, one process each: a [`controller`] holds what the fleet agrees on, a store keeps
//! [`records`] of programs, and a [`gateway`] takes callers' requests and passes them on. The words
//! that callers, servers and operators use on the wire are left to a codec that the caller of this
//! crate brings. See `docs/design/platform.md`.

pub mod clock;
mod control_client;
pub mod controller;
mod followed_controllers;
pub mod follower;
pub mod follower_order;
pub mod gateway;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod peers;
pub mod protocol;
pub mod records;
pub mod signals;
pub mod sockets;
pub mod watched;
