//! Traffic between nodes, by the mechanism that causes it.

use courseshed_transport::{TrafficCounters, TrafficSnapshot};
use prometheus_client::{encoding::EncodeLabelSet, metrics::family::Family, registry::Registry};

use crate::metrics::WholeGauge;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrafficLabels {
    class: &'static str,
    mechanism: &'static str,
    direction: &'static str,
}

/// Traffic between nodes.
#[derive(Default)]
pub(super) struct TrafficMetrics {
    bytes: Family<TrafficLabels, WholeGauge>,
    messages: Family<TrafficLabels, WholeGauge>,
    dropped: Family<TrafficLabels, WholeGauge>,
}

impl TrafficMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "peer_bytes",
            "Bytes of frames exchanged with peers",
            self.bytes.clone(),
        );
        registry.register(
            "peer_messages",
            "Frames exchanged with peers",
            self.messages.clone(),
        );
        registry.register(
            "peer_dropped_messages",
            "Messages to peers dropped before they were sent",
            self.dropped.clone(),
        );
    }

    pub(super) fn refresh(&self, counters: &TrafficCounters) {
        for (mechanism, counts) in counters.by_mechanism() {
            let labels = |direction| TrafficLabels {
                class: mechanism.class.as_str(),
                mechanism: mechanism.name,
                direction,
            };
            self.set("sent", &labels, counts);
            self.set("received", &labels, counts);
            let dropped = self.dropped.get_or_create(&labels("sent"));
            dropped.set(counts.dropped_messages as i64);
        }
    }

    fn set(
        &self,
        direction: &'static str,
        labels: &impl Fn(&'static str) -> TrafficLabels,
        counts: TrafficSnapshot,
    ) {
        let (messages, bytes) = match direction {
            "sent" => (counts.sent_messages, counts.sent_bytes),
            _ => (counts.received_messages, counts.received_bytes),
        };
        let labels = labels(direction);
        self.messages.get_or_create(&labels).set(messages as i64);
        self.bytes.get_or_create(&labels).set(bytes as i64);
    }
}
