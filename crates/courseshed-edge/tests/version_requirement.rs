//! Which servers may continue a stream.

use courseshed_edge::gateway::{StreamOrigin, VersionRequirement};
use yare::parameterized;

fn began_at(server: Option<&str>, version: Option<&str>) -> VersionRequirement {
    VersionRequirement::SameAs(StreamOrigin {
        version: version.map(str::to_owned),
        server: server.map(str::to_owned),
    })
}

#[parameterized(
    other_server_of_the_version = { Some("a"), Some("v1"), "b", Some("v1"), true },
    only_the_version_known = { None, Some("v1"), "b", Some("v1"), true },
    other_version = { Some("a"), Some("v1"), "b", Some("v2"), false },
    longer_version = { Some("a"), Some("v1"), "b", Some("v1.1"), false },
    same_server = { Some("a"), Some("v1"), "a", Some("v1"), true },
    same_server_without_a_version = { Some("a"), None, "a", None, true },
    version_of_the_server_unknown = { Some("a"), Some("v1"), "b", None, false },
    version_of_the_stream_unknown = { Some("a"), None, "b", Some("v1"), false },
    both_versions_unknown = { Some("a"), None, "b", None, false },
    nothing_known = { None, None, "b", None, false },
)]
fn stream_continues_only_at_a_known_equal_version_or_the_same_incarnation(
    began_server: Option<&str>,
    began_version: Option<&str>,
    server: &str,
    version: Option<&str>,
    is_allowed: bool,
) {
    let requirement = began_at(began_server, began_version);
    assert_eq!(requirement.allows(server, version), is_allowed);
}

#[test]
fn stream_that_has_not_begun_may_use_any_server() {
    for version in [None, Some("v1"), Some("v2")] {
        assert!(VersionRequirement::Any.allows("a", version));
    }
}
