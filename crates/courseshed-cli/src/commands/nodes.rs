//! `courseshed nodes` and `courseshed status`.

use courseshed_types::admin::{ClusterStatus, DrainOrder, NodeSummary};

use crate::arguments::NodesAction;
use crate::client::{AdminClient, Request};
use crate::error::{CliError, Exit};
use crate::output::{Printer, Readable, fields, joined, or_dash, table, variant_name};
use crate::retry::Repeat;

/// Carries out `courseshed nodes`.
pub(crate) async fn run(
    action: NodesAction,
    client: &AdminClient,
    printer: &mut Printer<'_>,
) -> Result<Exit, CliError> {
    match action {
        NodesAction::List(_) => {
            let nodes: Vec<NodeSummary> = client.send(Request::get("/v1/admin/nodes")).await?;
            printer.print(&nodes)?;
        }
        NodesAction::Drain(drain) => {
            let path = format!("/v1/admin/nodes/{}/drain", drain.node);
            let order = DrainOrder {
                leaving: !drain.undo,
            };
            let request = Request::post(path, &order, Repeat::Harmless);
            let node: NodeSummary = client.send(request).await?;
            printer.print(&vec![node])?;
        }
    }
    Ok(Exit::Done)
}

/// Carries out `courseshed status`.
pub(crate) async fn status(
    client: &AdminClient,
    printer: &mut Printer<'_>,
) -> Result<Exit, CliError> {
    let status: ClusterStatus = client.send(Request::get("/v1/admin/status")).await?;
    printer.print(&status)?;
    Ok(Exit::Done)
}

impl Readable for Vec<NodeSummary> {
    fn readable(&self) -> String {
        let header = [
            "node", "region", "zone", "state", "roles", "address", "settings", "shards",
        ];
        let rows = self.iter().map(|node| {
            let roles: Vec<_> = node.roles.iter().map(variant_name).collect();
            [
                node.node.to_string(),
                node.region.to_string(),
                node.zone.to_string(),
                variant_name(&node.state),
                joined(&roles),
                node.http_address.clone(),
                or_dash(node.settings_version),
                node.shards.to_string(),
            ]
        });
        table(header, rows)
    }
}

impl Readable for ClusterStatus {
    fn readable(&self) -> String {
        let lease = if self.settings_lease_valid {
            "valid"
        } else {
            "run out"
        };
        fields([
            ("answering node", self.node.to_string()),
            ("control leader", or_dash(self.control_leader)),
            ("settings version", self.settings_version.to_string()),
            ("settings lease", lease.to_owned()),
            ("member map", self.map_epoch.to_string()),
            (
                "nodes live",
                format!("{} of {}", self.nodes_live, self.nodes_known),
            ),
            (
                "engines live",
                format!("{} of {}", self.engines_live, self.engines_known),
            ),
            (
                "shards led",
                format!("{} of {}", self.shards_with_leader, self.shards),
            ),
        ])
    }
}
