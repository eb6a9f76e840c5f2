//! Watches nodes over their own HTTP interface: whether they serve, and which settings they have in force.

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use courseshed_types::{Timestamp, admin::ClusterStatus};
use serde::Deserialize;

use super::{
    gateways::{MAX_DOCUMENT_BYTES, http_client},
    time::now,
};

/// Time between two looks at a node.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a node may take to answer a look.
const LOOK_PATIENCE: Duration = Duration::from_secs(1);
/// Looks at readiness for each look at the settings.
const LOOKS_PER_STATUS: u32 = 3;

/// Whether a node serves, as it says itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeReadiness {
    /// It serves.
    Ready,
    /// It is stopping in a planned way.
    Draining,
    /// It lives but can't serve.
    NotReady,
    /// It does not answer.
    Silent,
}

/// A time over which a node said the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadinessSpan {
    /// What it said.
    pub readiness: NodeReadiness,
    /// When it was seen first.
    pub from: Timestamp,
    /// When it was seen last.
    pub until: Timestamp,
}

/// A time over which a node had a version of the settings in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionSpan {
    /// The version.
    pub version: u64,
    /// When it was seen first.
    pub from: Timestamp,
    /// When it was seen last.
    pub until: Timestamp,
}

/// What one node showed.
#[derive(Debug, Clone, Default)]
pub struct NodeEvidence {
    /// Its URL.
    pub url: String,
    /// Whether it served.
    pub readiness: Vec<ReadinessSpan>,
    /// The settings it had in force, while its lease on them held.
    pub versions: Vec<VersionSpan>,
}

#[derive(Deserialize)]
struct Health {
    status: String,
}

/// Looks at nodes while callers run.
pub struct NodeObserver {
    seen: Vec<Rc<RefCell<NodeEvidence>>>,
    looks: Vec<JoinHandle<()>>,
}

impl NodeObserver {
    /// Starts looking.
    pub fn start(urls: &[String], operator_key: Option<String>) -> NodeObserver {
        let http = http_client();
        let mut seen = Vec::new();
        let mut looks = Vec::new();
        for url in urls {
            let evidence = Rc::new(RefCell::new(NodeEvidence {
                url: url.clone(),
                ..NodeEvidence::default()
            }));
            let look = look_on(evidence.clone(), http.clone(), operator_key.clone());
            looks.push(actix_rt::spawn(look));
            seen.push(evidence);
        }
        NodeObserver { seen, looks }
    }

    /// Ends the looking.
    pub fn finish(self) -> Vec<NodeEvidence> {
        self.looks.iter().for_each(JoinHandle::abort);
        let seen = self.seen.iter();
        seen.map(|evidence| evidence.borrow().clone()).collect()
    }
}

async fn look_on(seen: Rc<RefCell<NodeEvidence>>, http: awc::Client, key: Option<String>) {
    let url = seen.borrow().url.clone();
    let mut looks = 0;
    loop {
        let readiness = ask_readiness(&http, &url).await;
        seen.borrow_mut().note_readiness(readiness, now());
        if looks % LOOKS_PER_STATUS == 0
            && let Some(status) = ask_status(&http, &url, key.as_deref()).await
            && status.settings_lease_valid
        {
            let version = status.settings_version.0;
            seen.borrow_mut().note_version(version, now());
        }
        looks += 1;
        sleep(LOOK_INTERVAL).await;
    }
}

impl NodeEvidence {
    fn note_readiness(&mut self, readiness: NodeReadiness, at: Timestamp) {
        match self.readiness.last_mut() {
            Some(span) if span.readiness == readiness => span.until = at,
            _ => self.readiness.push(ReadinessSpan {
                readiness,
                from: at,
                until: at,
            }),
        }
    }

    fn note_version(&mut self, version: u64, at: Timestamp) {
        match self.versions.last_mut() {
            Some(span) if span.version == version => span.until = at,
            _ => self.versions.push(VersionSpan {
                version,
                from: at,
                until: at,
            }),
        }
    }
}

async fn ask_readiness(http: &awc::Client, url: &str) -> NodeReadiness {
    let request = http.get(format!("{url}/readyz")).timeout(LOOK_PATIENCE);
    let Ok(mut answer) = request.send().await else {
        return NodeReadiness::Silent;
    };
    if answer.status().is_success() {
        return NodeReadiness::Ready;
    }
    match answer.json::<Health>().await {
        Ok(health) if health.status == "draining" => NodeReadiness::Draining,
        _ => NodeReadiness::NotReady,
    }
}

async fn ask_status(http: &awc::Client, url: &str, key: Option<&str>) -> Option<ClusterStatus> {
    let request = http.get(format!("{url}/v1/admin/status"));
    let request = request.timeout(LOOK_PATIENCE);
    let request = match key {
        Some(key) => request.bearer_auth(key),
        None => request,
    };
    let mut answer = request.send().await.ok()?;
    let body = answer.body().limit(MAX_DOCUMENT_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
