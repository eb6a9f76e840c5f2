//! Who is let in by which key, and for how long.

use std::sync::Arc;
use std::time::Duration;

use courseshed_edge::gateway::{AccessPolicy, Credential, Refusal};
use courseshed_routing::{
    CallKind, CallLimits, KeyDigest, Route, RoutingTable, Tenant, VersionedTable,
};
use yare::parameterized;

const NOT_PROVEN_HERE: Refusal = Refusal::NoProof {
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
        aim_ms: 100,
        priority: 0,
        targets: Vec::new(),
        max_attempts: 1,
        keeps_turns: false,
        retention_ms: 0,
        affinity: false,
        resumable: false,
        is_public,
        home_regions: Vec::new(),
    }
}

fn table(version: u64, tenants: Option<&[(&str, &str)]>) -> VersionedTable {
    let tenant = |(name, key): &(&str, &str)| {
        Arc::new(Tenant {
            name: (*name).to_owned(),
            keys: vec![KeyDigest::of(key.as_bytes())],
            priority: None,
            quota: None,
            home_regions: Vec::new(),
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
    known_until_the_proof_lapses = { key("k1"), aged(4599), Ok(Some("a")) },
    lapsed = { key("k1"), aged(4600), Err(NOT_PROVEN_HERE) },
    never_proven = { key("k1"), None, Err(NOT_PROVEN_HERE) },
    unknown = { key("k9"), aged(1600), Err(Refusal::UnknownKey) },
    unknown_but_perhaps_new = { key("k9"), aged(2600), Err(NOT_PROVEN_HERE) },
    none = { Credential::Missing, aged(0), Err(Refusal::UnknownKey) },
    unusable = { Credential::Unusable, aged(0), Err(Refusal::UnknownKey) },
)]
fn keys_let_in(
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
        assert!(caller.hides_key);
    }
}

#[test]
fn public_routes_need_no_key_and_show_none() {
    let terms = AccessPolicy::strict(REVOCATION);
    let table = table(1, Some(&[("a", "k1")])).table;
    let caller = terms
        .authenticate(key("k9"), &route(true), &table, None)
        .expect("let in");
    assert_eq!(caller.tenant_name(), None);
    assert!(caller.hides_key);
}

#[test]
fn without_tenants_everyone_is_let_in_as_before() {
    let terms = AccessPolicy::strict(REVOCATION);
    let caller = terms
        .authenticate(
            Credential::Missing,
            &route(false),
            &table(1, None).table,
            None,
        )
        .expect("let in");
    assert_eq!(caller.tenant_name(), None);
    assert!(!caller.hides_key);
}

#[test]
fn keys_are_used_without_proof_where_that_is_allowed() {
    let terms = AccessPolicy::default();
    let table = table(1, Some(&[("a", "k1")])).table;
    let caller = terms.authenticate(key("k1"), &route(false), &table, None);
    assert!(caller.is_ok());
}

#[parameterized(
    same_version = { table(1, Some(&[("a", "k1")])), aged(0), Ok(()) },
    still_held = { table(2, Some(&[("b", "k2"), ("a", "k1")])), aged(0), Ok(()) },
    taken_away = { table(2, Some(&[("a", "k2")])), aged(0), Err(Refusal::UnknownKey) },
    given_to_another = { table(2, Some(&[("b", "k1")])), aged(0), Err(Refusal::UnknownKey) },
    proof_lapsed_meanwhile = { table(1, Some(&[("a", "k1")])), aged(4700), Err(NOT_PROVEN_HERE) },
    no_tenants_any_more = { table(2, None), aged(0), Ok(()) },
)]
fn a_caller_is_checked_again_before_each_send(
    now: VersionedTable,
    proof_age: Option<Duration>,
    expected: Result<(), Refusal>,
) {
    let terms = AccessPolicy::strict(REVOCATION);
    let before = table(1, Some(&[("a", "k1")])).table;
    let caller = terms
        .authenticate(key("k1"), &route(false), &before, aged(0))
        .expect("let in");
    assert_eq!(terms.recheck(&caller, 1, &now, proof_age), expected);
}

#[parameterized(
    usual = { 5_000, 4_600 },
    short = { 1_000, 875 },
)]
fn a_proof_lapses_before_the_key_must_be_out_of_use(revocation_ms: u64, lasts_ms: u64) {
    let terms = AccessPolicy::strict(Duration::from_millis(revocation_ms));
    assert!(terms.is_proven(aged(lasts_ms - 1)));
    assert!(!terms.is_proven(aged(lasts_ms)));
}
