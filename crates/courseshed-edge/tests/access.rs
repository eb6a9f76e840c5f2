//! Authentication by API key, and how long a proof of the routing table allows its use.

use std::sync::Arc;
use std::time::Duration;

use courseshed_edge::gateway::{AccessPolicy, Credential, Refusal};
use courseshed_routing::{
    CallKind, CallLimits, KeyDigest, Route, RoutingTable, Tenant, VersionedTable,
};
use yare::parameterized;

const NO_LOCAL_PROOF: Refusal = Refusal::NoProof {
    is_everywhere: false,
};
const REVOCATION: Duration = Duration::from_secs(5);

fn route(is_public: bool) -> Route {
    Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        path_prefix: "/a/".to_owned(),
        kind: CallKind::Repeatable,
        timeout_ms: 1000,
        latency_target_ms: 100,
        priority: 0,
        targets: Vec::new(),
        max_attempts: 1,
        stores_turns: false,
        retention_ms: 0,
        affinity: false,
        resumable: false,
        is_public,
        allowed_regions: Vec::new(),
    }
}

fn table(version: u64, tenants: Option<&[(&str, &str)]>) -> VersionedTable {
    let tenant = |(name, key): &(&str, &str)| {
        Arc::new(Tenant {
            name: (*name).to_owned(),
            keys: vec![KeyDigest::of(key.as_bytes())],
            priority: None,
            quota: None,
            allowed_regions: Vec::new(),
        })
    };
    let table = RoutingTable {
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallLimits::default(),
        tenants: tenants.map(|tenants| tenants.iter().map(tenant).collect()),
    };
    VersionedTable { version, table }
}

fn key(key: &str) -> Credential {
    Credential::Key(KeyDigest::of(key.as_bytes()))
}

fn aged(milliseconds: u64) -> Option<Duration> {
    Some(Duration::from_millis(milliseconds))
}

#[parameterized(
    known = { key("k1"), aged(0), Ok(Some("a")) },
    known_until_the_proof_expires = { key("k1"), aged(4599), Ok(Some("a")) },
    expired = { key("k1"), aged(4600), Err(NO_LOCAL_PROOF) },
    never_proven = { key("k1"), None, Err(NO_LOCAL_PROOF) },
    unknown = { key("k9"), aged(1600), Err(Refusal::UnknownKey) },
    unknown_but_possibly_new = { key("k9"), aged(2600), Err(NO_LOCAL_PROOF) },
    missing = { Credential::Missing, aged(0), Err(Refusal::UnknownKey) },
    unusable = { Credential::Unusable, aged(0), Err(Refusal::UnknownKey) },
)]
fn keys_are_accepted_while_proven(
    credential: Credential,
    proof_age: Option<Duration>,
    expected: Result<Option<&str>, Refusal>,
) {
    let terms = AccessPolicy::strict(REVOCATION);
    let table = table(1, Some(&[("a", "k1"), ("b", "k2")])).table;
    let caller = terms.authenticate(credential, &route(false), &table, proof_age);
    let name = caller
        .as_ref()
        .map(|caller| caller.tenant_name())
        .map_err(|refusal| *refusal);
    assert_eq!(name, expected);
    if let Ok(caller) = &caller {
        assert!(caller.strips_key);
    }
}

#[test]
fn public_routes_need_no_key_and_hide_it() {
    let terms = AccessPolicy::strict(REVOCATION);
    let table = table(1, Some(&[("a", "k1")])).table;
    let caller = terms
        .authenticate(key("k9"), &route(true), &table, None)
        .expect("accepted");
    assert_eq!(caller.tenant_name(), None);
    assert!(caller.strips_key);
}

#[test]
fn everyone_is_accepted_without_tenants() {
    let terms = AccessPolicy::strict(REVOCATION);
    let caller = terms
        .authenticate(
            Credential::Missing,
            &route(false),
            &table(1, None).table,
            None,
        )
        .expect("accepted");
    assert_eq!(caller.tenant_name(), None);
    assert!(!caller.strips_key);
}

#[test]
fn keys_are_accepted_without_proof_by_default() {
    let terms = AccessPolicy::default();
    let table = table(1, Some(&[("a", "k1")])).table;
    let caller = terms.authenticate(key("k1"), &route(false), &table, None);
    assert!(caller.is_ok());
}

#[parameterized(
    same_version = { table(1, Some(&[("a", "k1")])), aged(0), Ok(()) },
    still_held = { table(2, Some(&[("b", "k2"), ("a", "k1")])), aged(0), Ok(()) },
    revoked = { table(2, Some(&[("a", "k2")])), aged(0), Err(Refusal::UnknownKey) },
    moved_to_another_tenant = { table(2, Some(&[("b", "k1")])), aged(0), Err(Refusal::UnknownKey) },
    proof_expired_meanwhile = { table(1, Some(&[("a", "k1")])), aged(4700), Err(NO_LOCAL_PROOF) },
    tenants_removed = { table(2, None), aged(0), Ok(()) },
)]
fn caller_is_checked_again_before_each_send(
    now: VersionedTable,
    proof_age: Option<Duration>,
    expected: Result<(), Refusal>,
) {
    let terms = AccessPolicy::strict(REVOCATION);
    let before = table(1, Some(&[("a", "k1")])).table;
    let caller = terms
        .authenticate(key("k1"), &route(false), &before, aged(0))
        .expect("accepted");
    assert_eq!(terms.recheck(&caller, 1, &now, proof_age), expected);
}

#[parameterized(
    default_period = { 5_000, 4_600 },
    short_period = { 1_000, 875 },
)]
fn proof_expires_before_the_revocation_deadline(revocation_ms: u64, valid_ms: u64) {
    let terms = AccessPolicy::strict(Duration::from_millis(revocation_ms));
    assert!(terms.is_proven(aged(valid_ms - 1)));
    assert!(!terms.is_proven(aged(valid_ms)));
}
