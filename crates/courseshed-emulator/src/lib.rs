//! Stand-ins for engines, tools, the weight store and the members list.
//!
//! They speak the usual protocols over HTTP, fail on demand, and keep an account of what truly
//! ran, so that tests and the lab can check promises from outside. The binary serves them one
//! process each; the library starts them inside another process.
//!
//! Nothing here is meant for production, and nothing of courseshed's own decisions is in here.

pub mod answer;
pub mod engine;
pub mod members;
mod server;
pub mod tools;
pub mod weights;

pub use engine::{EmulatedEngine, EngineHandle, EngineOptions};
