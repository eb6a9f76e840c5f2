//! The actor that lets time pass for all replicas of a node.

use std::{sync::Arc, time::Duration};

use actix::{Actor, AsyncContext, Context};

use crate::{
    context::NodeContext,
    shards::{input::ShardInput, reports::VoterReports},
};

/// Time between two looks at what the controllers must be told.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Ticks replicas, and hands them newer settings.
pub struct ShardTicker {
    context: Arc<NodeContext>,
    seen: (
        courseshed_types::SettingsVersion,
        courseshed_types::Timestamp,
    ),
    reports: VoterReports,
}

impl ShardTicker {
    /// A ticker for the node.
    pub fn new(context: Arc<NodeContext>) -> ShardTicker {
        ShardTicker {
            context,
            seen: Default::default(),
            reports: VoterReports::default(),
        }
    }

    fn tick(&mut self) {
        let view = &self.context.view;
        let in_force = (view.position().settings, view.lease_until());
        if in_force != self.seen {
            self.seen = in_force;
            let policy = view.policy();
            let lease_until = in_force.1;
            self.context.shards.step_all(&self.context, || {
                ShardInput::Policy(policy.clone(), lease_until)
            });
        }
        self.context.shards.tick(&self.context);
    }
}

impl Actor for ShardTicker {
    type Context = Context<ShardTicker>;

    fn started(&mut self, context: &mut Context<ShardTicker>) {
        let interval = self.context.settings.timeouts.tick;
        context.run_interval(interval, |ticker, _| ticker.tick());
        context.run_interval(REPORT_INTERVAL, |ticker, _| {
            ticker.reports.send_owed(&ticker.context);
        });
    }
}
