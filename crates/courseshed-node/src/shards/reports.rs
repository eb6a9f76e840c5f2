//! Tells the controllers who votes in the shards led here; they found a shard again only when all of them are gone.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use courseshed_types::control::ControlRequest;

use crate::context::NodeContext;

/// How long the controllers may take to answer before a report is left for later.
const PATIENCE: Duration = Duration::from_secs(4);

/// Sends reports, one round at a time.
#[derive(Default)]
pub struct VoterReports {
    under_way: Arc<AtomicBool>,
}

impl VoterReports {
    /// Starts a round with what leaders here owe, unless one is under way.
    pub fn send_owed(&self, context: &Arc<NodeContext>) {
        let owed = context.shards.owed_reports();
        if owed.is_empty() || self.under_way.swap(true, Ordering::AcqRel) {
            return;
        }
        let under_way = self.under_way.clone();
        let context = context.clone();
        actix_rt::spawn(async move {
            for report in owed {
                let shard = report.shard;
                let request = ControlRequest::ReportVoters(report);
                let client = &context.control_client;
                // What is not taken is owed on, and sent with a later round.
                if let Err(error) = client.ask(&context, request, PATIENCE).await {
                    log::debug!(shard = shard.0; "voters not reported: {error}");
                }
            }
            under_way.store(false, Ordering::Release);
        });
    }
}
