//! Requests to record stores.

use std::time::Duration;

use courseshed_types::NodeId;

use crate::peers::Peers;
use crate::protocol::{
    PeerAddresses, PeerPort, PeerReply, PeerRequest, RecordReply, RecordRequest,
};

/// Sends a request to a store; `None` if it does not answer in time.
pub(super) async fn send_to_store(
    peers: &Peers,
    addresses: PeerAddresses,
    node: NodeId,
    request: RecordRequest,
    limit: Duration,
) -> Option<RecordReply> {
    let address = addresses.of(node, PeerPort::Store);
    peers.set_address(node, address);
    let request = PeerRequest::Records(request);
    match peers.request(node, request, limit).await {
        Ok(PeerReply::Records(reply)) => Some(reply),
        _ => None,
    }
}
