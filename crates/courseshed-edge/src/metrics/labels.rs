//! Labels of the metrics of a process.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of finished calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// The service called.
    pub service: String,
    /// The outcome, as in the log.
    pub outcome: &'static str,
}

/// The tenant label. Its cardinality is the number of tenants in routing tables so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TenantLabels {
    /// The tenant.
    pub tenant: String,
}

/// The pool label. Its cardinality is the number of pools in routing tables so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PoolLabels {
    /// The service that the pool serves.
    pub service: String,
}

/// Labels of scheduler decisions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DecisionLabels {
    /// The service that the pool serves.
    pub service: String,
    /// The verdict.
    pub verdict: &'static str,
}

/// Labels of server choices.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ChoiceLabels {
    /// Who chose: the pool's scheduler or the gateway.
    pub by: &'static str,
}

/// Labels of resumed streams.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResumptionLabels {
    /// The service.
    pub service: String,
    /// Who resumed the stream: the client, with another request, or the gateway, within one response.
    pub by: &'static str,
    /// What came of it.
    pub outcome: &'static str,
}

/// Labels of the ends of response bodies.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResponseEndLabels {
    /// The service.
    pub service: String,
    /// How the response delimits its body.
    pub framing: &'static str,
    /// What ended it.
    pub ending: &'static str,
    /// Whether it is complete.
    pub verdict: &'static str,
}

/// Labels of records written to stores.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WriteLabels {
    /// Whether any store took it.
    pub outcome: &'static str,
}

/// The service label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// The service.
    pub service: String,
}

/// Labels of aborted client connections.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DisconnectLabels {
    /// The reason.
    pub reason: &'static str,
}
