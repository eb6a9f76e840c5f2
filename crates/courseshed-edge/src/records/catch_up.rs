//! A store that joins reads all that is kept from enough of the others before it counts.

use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use courseshed_records::{ExportCursor, RecordMember, RecordView};
use courseshed_types::NodeId;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::disk::DiskRequest;
use super::store::export_of;
use crate::control_client::ControlClient;
use crate::follower::FleetFollower;
use crate::peers::Peers;
use crate::protocol::{
    PeerAddresses, PeerPort, PeerReply, PeerRequest, RecordReply, RecordRequest,
};

const PAUSE: Duration = Duration::from_millis(200);
const PAGE_LIMIT: Duration = Duration::from_secs(2);

pub(super) struct CatchUp {
    pub node: NodeId,
    pub incarnation: u64,
    pub peers: Arc<Peers>,
    pub addresses: PeerAddresses,
    pub follower: Arc<FleetFollower>,
    pub control: ControlClient,
    pub disk: Sender<DiskRequest>,
}

/// Catches up whenever the view says that this store is joining.
pub(super) async fn run(catch_up: CatchUp) {
    let mut watch = catch_up.follower.watch();
    loop {
        let view = watch.borrow_and_update().records.clone();
        if catch_up.is_joining(&view) {
            if catch_up.read_from_enough(&view).await {
                log::info!(event = "caught_up", epoch = view.epoch; "the store has read from enough others");
                catch_up.control.tell_caught_up(catch_up.incarnation).await;
            }
            let _ = timeout(PAUSE, watch.changed()).await;
        } else if watch.changed().await.is_err() {
            sleep(PAUSE).await;
        }
    }
}

impl CatchUp {
    fn is_joining(&self, view: &RecordView) -> bool {
        view.member(self.node)
            .is_some_and(|member| !member.active && member.incarnation == self.incarnation)
    }

    async fn read_from_enough(&self, view: &RecordView) -> bool {
        let mut missing = view.sources_needed();
        for source in view.sources() {
            if missing > 0 && self.read_from(view.epoch, source).await {
                missing -= 1;
            }
        }
        // With a newer view others may be needed: the store begins again.
        missing == 0 && self.follower.view().records.epoch == view.epoch
    }

    async fn read_from(&self, epoch: u64, source: &RecordMember) -> bool {
        let address = self.addresses.of(source.node, PeerPort::Store);
        self.peers.set_address(source.node, address);
        let mut cursor = ExportCursor::default();
        loop {
            let request = RecordRequest {
                incarnation: source.incarnation,
                epoch,
                operation: export_of(cursor),
            };
            let request = PeerRequest::Records(request);
            let reply = self.peers.request(source.node, request, PAGE_LIMIT).await;
            let Ok(PeerReply::Records(RecordReply::Page(page))) = reply else {
                return false;
            };
            let (done, written) = oneshot::channel();
            let _ = self.disk.send(DiskRequest::Import(page.records, done));
            if !written.await.unwrap_or(false) {
                return false;
            }
            match page.next {
                Some(next) => cursor = next,
                None => return true,
            }
        }
    }
}
