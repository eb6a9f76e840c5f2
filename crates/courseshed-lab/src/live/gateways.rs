//! The gateways a caller knows, and the keys it has.

use std::{cell::Cell, time::Duration};

use courseshed_types::BranchPath;

/// Largest answer read as one document.
pub(crate) const MAX_DOCUMENT_BYTES: usize = 64 << 20;
/// How long a connection may take.
const CONNECT: Duration = Duration::from_secs(2);

/// A bearer key and the branch it reaches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerKey {
    /// Programs on this branch and below use the key.
    pub branch: BranchPath,
    /// The key.
    pub key: String,
}

/// The gateways of a deployment, with the connections of one thread.
#[derive(Clone)]
pub struct Gateways {
    urls: Vec<String>,
    keys: Vec<CallerKey>,
    http: awc::Client,
    next: Cell<usize>,
}

impl Gateways {
    /// Gateways by URL, such as `http://127.0.0.1:7700`; at least one.
    pub fn new(urls: Vec<String>, keys: Vec<CallerKey>) -> Gateways {
        Gateways {
            urls,
            keys,
            http: http_client(),
            next: Cell::new(0),
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.urls.len()
    }

    /// The URL of a gateway.
    pub fn url(&self, gateway: usize) -> &str {
        &self.urls[gateway]
    }

    /// The connections.
    pub fn http(&self) -> &awc::Client {
        &self.http
    }

    /// The gateway of the next program: they take turns.
    pub fn take_turn(&self) -> usize {
        let gateway = self.next.get();
        self.next.set((gateway + 1) % self.count());
        gateway
    }

    /// Another gateway than this one, if there is one.
    pub fn other_than(&self, gateway: usize) -> usize {
        (gateway + 1) % self.count()
    }

    /// The key for programs of a branch: the one that reaches it from closest above.
    pub fn key_for(&self, branch: &BranchPath) -> Option<&str> {
        let reaching = self.keys.iter().filter(|key| branch.is_within(&key.branch));
        let closest = reaching.max_by_key(|key| key.branch.depth());
        closest.map(|key| key.key.as_str())
    }
}

/// A client without a timeout of its own over whole answers.
pub(crate) fn http_client() -> awc::Client {
    let connector = awc::Connector::new().limit(0).timeout(CONNECT);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .finish()
}
