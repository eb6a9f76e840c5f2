//! `/v1/admin/nodes` and `/v1/admin/status`.

use std::collections::BTreeMap;

use actix_web::{HttpRequest, HttpResponse, web};
use courseshed_types::{
    ErrorCode, NodeId, SettingsVersion,
    admin::{ClusterStatus, DrainOrder, NodeSummary},
    control::{ControlReply, ControlRequest, Member, MemberMap, NodeState},
    dispatch::EngineState,
};

use crate::{
    admin::{
        access::operator,
        request::{Body, ask_control, body, part, unexpected},
    },
    context::SharedContext,
    gateway::ApiError,
};

/// `GET /v1/admin/status`
pub async fn status(
    context: web::Data<SharedContext>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    operator(&context, &request)?;
    Ok(HttpResponse::Ok().json(cluster_status(&context)))
}

/// `GET /v1/admin/nodes`
pub async fn list(
    context: web::Data<SharedContext>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    operator(&context, &request)?;
    let map = context.view.map();
    // The list is of use without the versions too, as when the controllers have no quorum.
    let versions = heard_versions(&context).await.unwrap_or_default();
    let members = map.members.values();
    let nodes: Vec<NodeSummary> = members
        .map(|member| summary(member, &map, versions.get(&member.node).copied()))
        .collect();
    Ok(HttpResponse::Ok().json(nodes))
}

/// `POST /v1/admin/nodes/{id}/drain`
pub async fn drain(
    context: web::Data<SharedContext>,
    request: HttpRequest,
    payload: Body,
) -> Result<HttpResponse, ApiError> {
    operator(&context, &request)?;
    let node: NodeId = part(&request, "node")?;
    let DrainOrder { leaving } = body(payload)?;
    match ask_control(&context, ControlRequest::SetNodeLeaving { node, leaving }).await? {
        ControlReply::Done => {}
        other => return Err(unexpected(&other)),
    }
    let map = context.view.map();
    let Some(mut member) = map.members.get(&node).cloned() else {
        let message = format!("no node has the id {node}");
        return Err(ApiError::not_run(ErrorCode::NotFound, message));
    };
    if member.state != NodeState::Down {
        member.state = if leaving {
            NodeState::Leaving
        } else {
            NodeState::Live
        };
    }
    let versions = heard_versions(&context).await.unwrap_or_default();
    let version = versions.get(&node).copied();
    Ok(HttpResponse::Ok().json(summary(&member, &map, version)))
}

async fn heard_versions(
    context: &SharedContext,
) -> Result<BTreeMap<NodeId, SettingsVersion>, ApiError> {
    match ask_control(context, ControlRequest::HeardNodes).await? {
        ControlReply::HeardNodes(heard) => Ok(heard
            .into_iter()
            .map(|heard| (heard.node, heard.position.settings))
            .collect()),
        other => Err(unexpected(&other)),
    }
}

fn summary(member: &Member, map: &MemberMap, version: Option<SettingsVersion>) -> NodeSummary {
    let placements = map.shards.values();
    let kept = placements.filter(|placement| placement.replicas.contains(&member.node));
    NodeSummary {
        node: member.node,
        region: member.region.clone(),
        zone: member.zone.clone(),
        roles: member.roles.clone(),
        state: member.state,
        http_address: member.http_address.clone(),
        settings_version: version,
        shards: kept.count() as u32,
    }
}

fn cluster_status(context: &SharedContext) -> ClusterStatus {
    let map = context.view.map();
    let members = map.members.values();
    let nodes_live = members.filter(|member| member.state == NodeState::Live);
    let engines = map.engines.engines.iter();
    let engines_live = engines.filter(|engine| engine.state == EngineState::Live);
    let shards = map.shards.keys();
    let led = shards.filter(|shard| context.shard_client.leader(context, **shard).is_some());
    let position = context.view.position();
    ClusterStatus {
        node: context.identity.node,
        control_leader: context.view.control_leader(),
        settings_version: position.settings,
        settings_lease_valid: context.view.lease_valid(context.clock.now()),
        map_epoch: position.map,
        nodes_live: nodes_live.count() as u32,
        nodes_known: map.members.len() as u32,
        engines_live: engines_live.count() as u32,
        engines_known: map.engines.engines.len() as u32,
        shards: map.shards.len() as u32,
        shards_with_leader: led.count() as u32,
    }
}
