//! Which servers may continue a stream, by the version of their software. Pure.
//!
//! What two versions write doesn't fit together, and servers don't check it. Invariant: a server of an
//! unknown version is never taken for one of the required version.

use courseshed_registry::Server;

/// Where the first event of a stream came from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The software version; `None` if the server reported none.
    pub version: Option<String>,
    /// The incarnation of the server; `None` if only the version is known.
    pub server: Option<String>,
}

/// Which servers may receive the next attempt of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionRequirement {
    /// Any server: no event of the stream has reached the client.
    #[default]
    Any,
    /// Only servers that can continue the stream that began there.
    SameAs(StreamOrigin),
}

impl VersionRequirement {
    /// The requirement for a stream that began at a version.
    #[must_use]
    pub fn version(version: String) -> Self {
        Self::SameAs(StreamOrigin {
            version: Some(version),
            server: None,
        })
    }

    /// Whether a server may receive the next attempt. An incarnation runs one version, so that the one
    /// at which the stream began may continue it even if its version is unknown.
    #[must_use]
    pub fn allows(&self, id: &str, software_version: Option<&str>) -> bool {
        let Self::SameAs(origin) = self else {
            return true;
        };
        let is_same_server = origin.server.as_deref() == Some(id);
        let is_same_version =
            origin.version.is_some() && origin.version.as_deref() == software_version;
        is_same_server || is_same_version
    }

    /// Whether a listed server may receive the next attempt.
    #[must_use]
    pub fn allows_server(&self, server: &Server) -> bool {
        self.allows(&server.id, server.software_version.as_deref())
    }

    /// Whether some servers are ruled out.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        *self != Self::Any
    }

    /// The required version, if there is one and it is known.
    #[must_use]
    pub fn required_version(&self) -> Option<&str> {
        match self {
            Self::Any => None,
            Self::SameAs(origin) => origin.version.as_deref(),
        }
    }
}
