//! Metrics of the listeners of a process: connections, memory held for their clients, and refusals.

use std::sync::atomic::AtomicI64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The listener label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ListenerLabels {
    /// The listener.
    pub listener: &'static str,
}

/// Labels of connections that were closed for the sake of a limit, and of bodies that were refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ListenerReasonLabels {
    /// The listener.
    pub listener: &'static str,
    /// Why.
    pub reason: &'static str,
}

type GaugeFamily = Family<ListenerLabels, Gauge<i64, AtomicI64>>;

/// Metrics of all listeners.
#[derive(Clone, Debug, Default)]
pub struct ListenerMetrics {
    connections: GaugeFamily,
    connections_limit: GaugeFamily,
    held_bytes: GaugeFamily,
    held_limit: GaugeFamily,
    refused: Family<ListenerLabels, Counter>,
    /// Connections closed for the sake of a limit.
    pub closed: Family<ListenerReasonLabels, Counter>,
    /// Request bodies that were not read whole.
    pub body_refusals: Family<ListenerReasonLabels, Counter>,
}

/// Metrics of one listener.
#[derive(Clone, Debug)]
pub struct ListenerGauges {
    /// Open connections.
    pub connections: Gauge<i64, AtomicI64>,
    /// Limit of `connections`.
    pub connections_limit: Gauge<i64, AtomicI64>,
    /// Bytes held for clients.
    pub held_bytes: Gauge<i64, AtomicI64>,
    /// Limit of `held_bytes`.
    pub held_limit: Gauge<i64, AtomicI64>,
    /// Connections for which there was no place.
    pub refused: Counter,
}

impl ListenerMetrics {
    /// Metrics of one listener.
    #[must_use]
    pub fn of(&self, listener: &'static str) -> ListenerGauges {
        let labels = ListenerLabels { listener };
        ListenerGauges {
            connections: self.connections.get_or_create(&labels).clone(),
            connections_limit: self.connections_limit.get_or_create(&labels).clone(),
            held_bytes: self.held_bytes.get_or_create(&labels).clone(),
            held_limit: self.held_limit.get_or_create(&labels).clone(),
            refused: self.refused.get_or_create(&labels).clone(),
        }
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        let gauges = [
            (
                "listener_connections",
                "Open connections of clients",
                &self.connections,
            ),
            (
                "listener_connections_limit",
                "Limit of listener_connections",
                &self.connections_limit,
            ),
            (
                "listener_held_bytes",
                "Bytes held for clients of a listener",
                &self.held_bytes,
            ),
            (
                "listener_held_limit_bytes",
                "Limit of listener_held_bytes",
                &self.held_limit,
            ),
        ];
        for (name, help, gauges) in gauges {
            registry.register(name, help, gauges.clone());
        }
        registry.register(
            "listener_connections_refused",
            "Connections closed at once because a listener was full and none was idle",
            self.refused.clone(),
        );
        registry.register(
            "listener_connections_closed",
            "Connections of clients closed for the sake of a limit",
            self.closed.clone(),
        );
        registry.register(
            "listener_body_refusals",
            "Request bodies that were not read whole",
            self.body_refusals.clone(),
        );
    }
}
