//! Log lines of the daemons, reduced to what a timeline needs.

use serde::Deserialize;
use serde::de::DeserializeOwned;

/// A log line that matters to a timeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LogLine {
    /// Time of the line by the clock of its node, in Unix ms.
    pub(crate) at_ms: u64,
    pub(crate) node: String,
    pub(crate) role: String,
    pub(crate) event: Event,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    ProcessStarted,
    StoreOpened,
    ReplicaOpened,
    /// A controller's role changed; `leader` is 0 if none is known.
    RoleChanged {
        leads: bool,
        term: u64,
        leader: u64,
    },
    RoutingInForce,
    PermitsOwned,
    PermitsGranted,
    /// A quorum of a partition's stores answered a gateway.
    QuorumAnswered {
        partition: u64,
    },
    CallSent,
    CallOver {
        outcome: String,
        status: u16,
    },
    /// Any other event: the node is known to have run.
    Other,
}

/// What a line of text is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Parsed {
    Line(LogLine),
    /// The daemon reports that it dropped lines.
    Dropped {
        count: u64,
    },
    /// Valid, but without an event or empty.
    Ignored,
}

#[derive(Deserialize)]
struct Head {
    at_ms: u64,
    node: Option<String>,
    #[serde(default)]
    role: String,
    event: Option<String>,
}

#[derive(Deserialize)]
struct DroppedFields {
    count: u64,
}

#[derive(Deserialize)]
struct RoleFields {
    role: String,
    term: u64,
    leader: u64,
}

#[derive(Deserialize)]
struct PartitionFields {
    partition: u64,
}

#[derive(Deserialize)]
struct CallFields {
    outcome: String,
    status: u16,
}

/// Reads one line.
///
/// # Errors
/// Why the line is invalid.
pub(crate) fn parse(text: &str) -> Result<Parsed, String> {
    if text.trim().is_empty() {
        return Ok(Parsed::Ignored);
    }
    // The decoder would also take an array with as many elements as there are fields.
    if !text.trim_start().starts_with('{') {
        return Err("not a JSON object".to_owned());
    }
    let head: Head = fields(text)?;
    let Some(name) = head.event else {
        return Ok(Parsed::Ignored);
    };
    // The writer of the log adds this line itself and knows no node.
    if name == "lines_left_out" {
        let DroppedFields { count } = fields(text)?;
        return Ok(Parsed::Dropped { count });
    }
    let node = head.node.ok_or("missing field `node`")?;
    Ok(Parsed::Line(LogLine {
        at_ms: head.at_ms,
        node,
        role: head.role,
        event: event(&name, text)?,
    }))
}

fn event(name: &str, text: &str) -> Result<Event, String> {
    Ok(match name {
        "start" => Event::ProcessStarted,
        "store_opened" => Event::StoreOpened,
        "replica_opened" => Event::ReplicaOpened,
        "role_changed" => {
            let fields: RoleFields = fields(text)?;
            Event::RoleChanged {
                leads: fields.role == "Leader",
                term: fields.term,
                leader: fields.leader,
            }
        }
        "routing_in_force" => Event::RoutingInForce,
        "quota_owner" => Event::PermitsOwned,
        "quota_first_grant" => Event::PermitsGranted,
        "quorum_answered" => {
            let PartitionFields { partition } = fields(text)?;
            Event::QuorumAnswered { partition }
        }
        "first_call_sent" => Event::CallSent,
        "call_over" => {
            let fields: CallFields = fields(text)?;
            Event::CallOver {
                outcome: fields.outcome,
                status: fields.status,
            }
        }
        _ => Event::Other,
    })
}

fn fields<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    serde_json::from_str(text).map_err(|error| error.to_string())
}
