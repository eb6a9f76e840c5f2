//! Gateways, record stores and controllers that forward calls unmodified.
//!
//! There are three roles, each running in its own process: a [`controller`] replicates the fleet's
//! state, a store keeps [`records`] of programs, and a [`gateway`] forwards clients' requests to
//! servers. Header names and message formats are supplied by the embedding program through a codec.
//! See `docs/design/platform.md`.

pub mod client_memory;
pub mod client_tracker;
pub mod clock;
mod close_delimited;
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
pub mod request_gate;
pub mod signals;
pub mod sockets;
pub mod watched;
