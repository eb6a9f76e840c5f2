//! Takes what other nodes say and hands it to the role it is for.

use std::sync::Weak;

use courseshed_transport::{Handler, PeerIdentity, ReplySender};

use crate::{
    context::NodeContext,
    protocol::{NodeMessage, NodeProtocol, NodeReply, NodeRequest},
    shards::{PendingReply, ShardInput},
};

/// Hands messages to roles. Holds the context weakly, since the context holds the transport.
pub struct NodeHandler(pub Weak<NodeContext>);

impl Handler<NodeProtocol> for NodeHandler {
    fn on_message(&self, _from: PeerIdentity, message: NodeMessage) {
        let Some(context) = self.0.upgrade() else {
            return;
        };
        match message {
            NodeMessage::ShardLog(log) => context.shards.on_log(&context, log),
            NodeMessage::ControlLog(message) => context.control.on_log(message),
            NodeMessage::Dispatch(request) => context.dispatchers.on_request(&context, *request),
            NodeMessage::DispatchEvent(event) => {
                let shard = event.shard;
                context
                    .shards
                    .step(&context, shard, ShardInput::Dispatch(event));
            }
        }
    }

    fn on_request(
        &self,
        _from: PeerIdentity,
        request: NodeRequest,
        reply: ReplySender<NodeProtocol>,
    ) {
        let Some(context) = self.0.upgrade() else {
            return;
        };
        match request {
            NodeRequest::Shard(request) => {
                context
                    .shards
                    .request(&context, request, PendingReply::Remote(reply));
            }
            NodeRequest::Control(request) => context.control.on_request(*request, reply),
            NodeRequest::ControlLogState => {
                if let Some(controller) = context.control.controller() {
                    reply.send(NodeReply::ControlLogState(controller.log));
                }
            }
            NodeRequest::Explain { pool, call } => {
                let explanation = context.dispatchers.explain(&context, &pool, call);
                reply.send(NodeReply::Explanation(explanation));
            }
        }
    }
}
