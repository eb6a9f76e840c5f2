//! The actor that lets time pass for the dispatchers, and follows the map and the settings.

use std::{sync::Arc, time::Duration};

use actix::{Actor, AsyncContext, Context};
use courseshed_types::control::ControlPosition;

use crate::context::NodeContext;

/// Time between two looks at the dispatchers' timers.
const TICK: Duration = Duration::from_millis(5);

/// Ticks dispatchers.
pub struct DispatcherTicker {
    context: Arc<NodeContext>,
    seen: ControlPosition,
}

impl DispatcherTicker {
    /// A ticker for the node.
    pub fn new(context: Arc<NodeContext>) -> DispatcherTicker {
        DispatcherTicker {
            context,
            seen: ControlPosition::default(),
        }
    }

    fn tick(&mut self) {
        let in_force = self.context.view.position();
        if in_force != self.seen {
            self.seen = in_force;
            self.context.dispatchers.reconcile(&self.context);
        }
        self.context.dispatchers.tick(&self.context);
    }
}

impl Actor for DispatcherTicker {
    type Context = Context<DispatcherTicker>;

    fn started(&mut self, context: &mut Context<DispatcherTicker>) {
        context.run_interval(TICK, |ticker, _| ticker.tick());
    }
}
