//! Request handling of the leader.

use std::sync::Arc;

use courseshed_types::{
    CallError, ErrorCode, SettingsVersion, Timestamp,
    control::{ControlPosition, ControlReply, ControlRequest, SettingsChange, SettingsRecord},
};

use super::{CommandBody, ControlLeader, LeaderOutput, RequestToken, TreeCompiler, reply};
use crate::state::{ControlState, version_after};

/// Maximum number of changes in one reply.
const HISTORY_LIMIT: u32 = 200;

impl<C: TreeCompiler> ControlLeader<C> {
    /// Handles a request; replies immediately or after the resulting proposal is applied.
    pub fn on_request(
        &mut self,
        now: Timestamp,
        token: RequestToken,
        request: ControlRequest,
        state: &ControlState,
    ) -> Vec<LeaderOutput> {
        if !self.has_read_lease(now) {
            let leader = self.known_leader();
            return vec![reply(token, ControlReply::NotLeader { leader })];
        }
        match request {
            ControlRequest::Heartbeat(heartbeat) => {
                let (answer, outputs) = self.on_heartbeat(now, &heartbeat, state);
                with_reply(outputs, token, answer)
            }
            ControlRequest::ZoneHeartbeats(heartbeats) => {
                self.on_zone_heartbeats(now, token, &heartbeats, state)
            }
            ControlRequest::ZoneReport(report) => {
                let (answer, outputs) = self.on_zone_report(now, &report, state);
                with_reply(outputs, token, answer)
            }
            ControlRequest::Pull(position) => vec![reply(token, self.pull(position, state))],
            ControlRequest::GetSettings(version) => {
                vec![reply(token, settings_reply(version, state))]
            }
            ControlRequest::SettingsHistory { limit } => {
                let limit = limit.min(HISTORY_LIMIT) as usize;
                let records = state.settings().latest(limit).cloned().collect();
                vec![reply(token, ControlReply::SettingsHistory(records))]
            }
            ControlRequest::Lagging(version) => {
                let answer = self.lagging_reply(now, version, state);
                vec![reply(token, answer)]
            }
            ControlRequest::HeardNodes => {
                vec![reply(token, ControlReply::HeardNodes(self.heard_nodes()))]
            }
            ControlRequest::ApplySettings(change) => {
                vec![self.apply_settings(now, token, change, state)]
            }
            change if is_no_op(&change, state) => vec![reply(token, ControlReply::Done)],
            change => vec![self.propose_change(now, token, change)],
        }
    }

    fn on_zone_heartbeats(
        &mut self,
        now: Timestamp,
        token: RequestToken,
        heartbeats: &[courseshed_types::control::NodeHeartbeat],
        state: &ControlState,
    ) -> Vec<LeaderOutput> {
        let mut outputs = Vec::new();
        let mut answer = ControlReply::Done;
        for heartbeat in heartbeats.iter().rev() {
            let (heard, proposals) = self.on_heartbeat(now, heartbeat, state);
            answer = heard;
            outputs.extend(proposals);
        }
        with_reply(outputs, token, answer)
    }

    /// A pull does not identify the node, so its reply grants no lease; the next heartbeat does.
    fn pull(&self, position: ControlPosition, state: &ControlState) -> ControlReply {
        let lease = std::time::Duration::ZERO;
        let update = state.published().update_since(position, lease);
        ControlReply::Update(Box::new(update))
    }

    fn lagging_reply(
        &self,
        now: Timestamp,
        version: SettingsVersion,
        state: &ControlState,
    ) -> ControlReply {
        if version > state.position().settings {
            let message = format!("settings version {version} has not been accepted");
            return ControlReply::Error(CallError::not_run(ErrorCode::NotFound, message));
        }
        ControlReply::Lagging(self.lagging(now, version, state))
    }

    fn apply_settings(
        &mut self,
        now: Timestamp,
        token: RequestToken,
        change: SettingsChange,
        state: &ControlState,
    ) -> LeaderOutput {
        match state.settings().previous_result(&change) {
            Ok(Some(record)) => return reply(token, ControlReply::Settings(record)),
            Err(error) => return self.reject_settings(token, error),
            Ok(None) => {}
        }
        let version = version_after(change.expected_version);
        match self.compiler.compile(&change.tree, version) {
            Ok(policy) => {
                self.counters.settings_proposed += 1;
                let policy = Arc::new(policy);
                let body = CommandBody::ApplySettings { change, policy };
                self.propose(now, Some(token), body)
            }
            Err(problems) => {
                let error = CallError::not_run(ErrorCode::InvalidRequest, problems.join("\n"));
                self.reject_settings(token, error)
            }
        }
    }

    fn reject_settings(&mut self, token: RequestToken, error: CallError) -> LeaderOutput {
        self.counters.settings_refused += 1;
        reply(token, ControlReply::Error(error))
    }

    fn propose_change(
        &mut self,
        now: Timestamp,
        token: RequestToken,
        request: ControlRequest,
    ) -> LeaderOutput {
        let body = match request {
            ControlRequest::Leave(node) => CommandBody::NodeLeaving(node),
            ControlRequest::SetEngines(engines) => CommandBody::SetEngines(engines),
            ControlRequest::ReportVoters(report) => CommandBody::ReportVoters(report),
            ControlRequest::TakeFence(engine) => CommandBody::TakeFence(engine),
            ControlRequest::SetEngineLeaving { engine, leaving } => {
                CommandBody::DrainEngine { engine, leaving }
            }
            ControlRequest::SetNodeLeaving { node, leaving } => {
                CommandBody::DrainNode { node, leaving }
            }
            ControlRequest::RequestGrant(request) => {
                self.counters.grants_proposed += 1;
                CommandBody::Grant(request)
            }
            ControlRequest::ReturnGrant(returned) => CommandBody::ReturnGrant(returned),
            _ => {
                let error =
                    CallError::not_run(ErrorCode::Internal, "the request is not a state change");
                return reply(token, ControlReply::Error(error));
            }
        };
        self.propose(now, Some(token), body)
    }
}

/// Whether the member map already contains the requested state. Such requests are repeated often, and a list of
/// engines is too large to append to the log every time.
fn is_no_op(request: &ControlRequest, state: &ControlState) -> bool {
    match request {
        ControlRequest::SetEngines(engines) => state.has_engines(engines),
        ControlRequest::ReportVoters(report) => {
            let placement = state.map().shards.get(&report.shard);
            placement.is_some_and(|placement| {
                placement.generation == report.generation && placement.voters == report.voters
            })
        }
        _ => false,
    }
}

fn with_reply(
    mut outputs: Vec<LeaderOutput>,
    token: RequestToken,
    answer: ControlReply,
) -> Vec<LeaderOutput> {
    outputs.push(reply(token, answer));
    outputs
}

fn settings_reply(version: Option<SettingsVersion>, state: &ControlState) -> ControlReply {
    let found = match version {
        None => state.settings().current(),
        Some(version) => state.settings().version(version),
    };
    match (found, version) {
        (Some(record), _) => ControlReply::Settings(record.clone()),
        (None, None | Some(SettingsVersion(0))) => ControlReply::Settings(initial_settings()),
        (None, Some(version)) => {
            let message = format!("the text of settings version {version} is no longer stored");
            ControlReply::Error(CallError::not_run(ErrorCode::NotFound, message))
        }
    }
}

/// The initial settings: an empty tree.
fn initial_settings() -> SettingsRecord {
    SettingsRecord {
        version: SettingsVersion(0),
        change_id: "none".into(),
        author: String::new(),
        accepted_at: Timestamp::ZERO,
        tree: Arc::from(""),
    }
}
