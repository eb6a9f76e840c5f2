//! The program shard: program records, order, call outcomes and the shard's part of budgets.
//!
//! Two layers, both free of I/O:
//! - [`ShardState`] is the replicated state machine. Every replica applies the same [`ShardCommand`]s in the
//!   order of the replicated log and holds the same state.
//! - [`ShardLeader`] is what only the leader does: it validates requests, proposes commands, speaks to gateways,
//!   dispatchers, engines and the controller, and recovers calls whose gateway or leader died. All it knows is
//!   soft and is rebuilt from the state by the next leader.
//!
//! [`Shard`] holds both for a driver (the daemon, the simulator or the model checker).

pub mod call;
pub mod command;
pub mod digest;
pub mod escrow;
pub mod history;
pub mod leader;
pub mod model;
pub mod program;
pub mod result;
pub mod shard;
pub mod state;
pub mod usage;
pub mod verdicts;

pub use command::{
    ApplyGrant, BudgetPeriod, CommandBody, ProposalId, ShardCommand, decode_command, encode_command,
};
pub use leader::{
    EngineQuery, LeaderConfig, ProposalLoss, RequestToken, ShardLeader, ShardOutput, ShardRole,
};
pub use result::{ApplyResult, Effect};
pub use shard::Shard;
pub use state::ShardState;
