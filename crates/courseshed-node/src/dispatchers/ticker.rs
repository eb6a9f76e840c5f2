//! The actor that lets time pass for the dispatchers, and follows the map and the settings.

use std::{sync::Arc, time::Duration};

use actix::{Actor, AsyncContext, Context};
use courseshed_types::control::{ControlPosition, MemberMap};

use crate::{
    context::NodeContext,
    dispatchers::handover::{announce_to, new_owners, pools_of_region},
};

/// Time between two looks at the dispatchers' timers.
const TICK: Duration = Duration::from_millis(5);
/// Time between two askings of all shards for all their calls.
const CALLS_INTERVAL: Duration = Duration::from_secs(30);

/// Ticks dispatchers.
pub struct DispatcherTicker {
    context: Arc<NodeContext>,
    seen: ControlPosition,
    map: Arc<MemberMap>,
}

impl DispatcherTicker {
    /// A ticker for the node.
    pub fn new(context: Arc<NodeContext>) -> DispatcherTicker {
        DispatcherTicker {
            context,
            seen: ControlPosition::default(),
            map: Arc::default(),
        }
    }

    fn tick(&mut self) {
        let in_force = self.context.view.position();
        if in_force != self.seen {
            self.seen = in_force;
            self.context.dispatchers.reconcile(&self.context);
            self.follow_map();
        }
        self.context.dispatchers.tick(&self.context);
    }

    fn follow_map(&mut self) {
        let map = self.context.view.map();
        let policy = self.context.view.policy();
        let pools = pools_of_region(&self.context.settings.region, &map, &policy.snapshot);
        announce_to(&self.context, &new_owners(&pools, &self.map, &map));
        self.map = map;
    }
}

impl Actor for DispatcherTicker {
    type Context = Context<DispatcherTicker>;

    fn started(&mut self, context: &mut Context<DispatcherTicker>) {
        context.run_interval(TICK, |ticker, _| ticker.tick());
        context.run_interval(CALLS_INTERVAL, |ticker, _| {
            ticker.context.dispatchers.reconcile_calls(&ticker.context);
        });
    }
}
