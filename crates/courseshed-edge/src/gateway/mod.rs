//! The gateway: accepts client requests and proxies them, unmodified, to a server of the requested
//! service.

mod access;
mod admission;
mod assign;
mod assignment;
mod attempts;
mod body_end;
mod call;
mod call_log;
mod call_tracker;
mod choice;
mod core;
mod cost;
mod directory;
mod events;
mod freeze;
mod load;
mod outcome_change;
mod outcomes;
mod plain;
mod policy;
mod probe;
mod program;
mod prompt_cache_index;
mod quota;
mod refusal;
mod region_reach;
mod request_key;
mod response_times;
mod round_trip;
mod schedule;
mod selected_server;
mod send_ledger;
mod server;
mod server_fate;
mod servers;
mod short_codec;
mod stream;
mod suspect_client;
mod suspect_guard;
mod upstream;
mod version_requirement;
mod warmup;

pub use crate::client_memory::{
    BufferKind, ConnectionId, Disconnect, DisconnectReason, MemoryBudget, MemoryLimits,
};
pub use access::{AccessPolicy, Caller, Identity, TenantSettings};
pub use admission::{AdmissionControl, AdmissionDecision, AdmissionRequest, ServiceLoad};
pub use body_end::{
    BodyEnd, BodyProgress, BodyVerdict, Completeness, Content, Ending, Framing, Position, Reason,
    judge,
};
pub use call::{
    CallCodec, Credential, ForwardingContext, GatewayRequest, InvalidRequest, ProgramHeaders,
    ResponseMetadata,
};
pub use call_tracker::{CallTracker, UNRESPONSIVE_COOLDOWN};
pub use choice::{Demand, ServerChoice};
pub use cost::{CostInputs, LatencyEstimate, ServiceLatency, expected_cost_ms};
pub use events::{Event, EventSplitter};
pub use freeze::FreezeDetector;
pub use outcome_change::OutcomeChange;
pub use policy::{Mechanism, Policy, UnknownMechanism};
pub use probe::ProbeResult;
pub use prompt_cache_index::PromptCacheIndex;
pub use refusal::Refusal;
pub use region_reach::RegionReach;
pub use request_key::request_key;
pub use response_times::ResponseTimes;
pub use round_trip::RoundTrips;
pub use selected_server::SelectedServer;
pub use send_ledger::{SendEnd, SendLedger};
pub use server::{GatewayError, GatewaySettings, run};
pub use server_fate::ServerFate;
pub use servers::{CallReport, Listing, ServerTable, ServingConstraints};
pub use short_codec::ShortCodec;
pub use version_requirement::{StreamOrigin, VersionRequirement};
pub use warmup::PermitAccess;
