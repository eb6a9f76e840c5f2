//! Validation of tables, route lookup, tenants and weighted splits.

mod support;

use std::sync::Arc;

use courseshed_routing::{
    AllowedRegions, KeyDigest, RequestQuota, Route, RoutingTable, Service, TableError, Tenant,
    WeightedRoundRobin,
};
use support::{route, target};
use yare::parameterized;

fn table(routes: Vec<Route>) -> RoutingTable {
    RoutingTable {
        routes: routes.into_iter().map(Arc::new).collect(),
        services: vec![Service {
            warm_up_rate_per_s: None,
            name: "s".to_owned(),
            connection_limit: 10,
            engine: None,
        }],
        limits: Default::default(),
        tenants: None,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(vec![route("short", "/a/"), route("long", "/a/b/")]);
    let found = |host, path| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(found("a.example", "/a/b/c"), Some("long"));
    assert_eq!(found("A.example:80", "/a/c"), Some("short"));
    assert_eq!(found("b.example", "/a/c"), None);
    assert_eq!(found("a.example", "/ab"), None);
}

#[parameterized(
    unknown_service = { |route: &mut Route| route.targets = vec![target("t", 1.0)], "unknown service" },
    no_weight = { |route: &mut Route| route.targets = vec![target("s", 0.0)], "with a positive sum" },
    no_target = { |route: &mut Route| route.targets.clear(), "with a positive sum" },
    negative_weight = { |route: &mut Route| route.targets = vec![target("s", 2.0), target("s", -1.0)], "with a positive sum" },
    no_timeout = { |route: &mut Route| route.timeout_ms = 0, "is 0 ms" },
    bad_prefix = { |route: &mut Route| route.path_prefix = "/a".to_owned(), "begin and end" },
)]
fn invalid_tables_are_rejected(invalidate: fn(&mut Route), expected: &str) {
    let mut invalid = route("r", "/a/");
    invalidate(&mut invalid);
    let error = table(vec![invalid]).check().expect_err("a table error");
    assert!(error.to_string().contains(expected), "{error}");
}

#[test]
fn two_routes_cannot_share_host_and_prefix() {
    let error = table(vec![route("a", "/a/"), route("b", "/a/")]).check();
    assert!(matches!(error, Err(TableError::DuplicateRoute { .. })));
}

#[test]
fn each_target_gets_its_weight_within_one_call() {
    let targets = [target("a", 90.0), target("b", 10.0)];
    for phase in [0.0, 0.5, 0.95] {
        let mut counter = WeightedRoundRobin::with_phase(&targets, phase);
        let mut counts = [0u32; 2];
        for _ in 0..200 {
            counts[counter.next(&targets).expect("a target")] += 1;
        }
        assert!(counts[1].abs_diff(20) <= 1, "{counts:?}");
    }
}

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: name.to_owned(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: None,
        quota: None,
        allowed_regions: Vec::new(),
    }
}

fn with_tenants(tenants: Vec<Tenant>) -> RoutingTable {
    RoutingTable {
        tenants: Some(tenants.into_iter().map(Arc::new).collect()),
        ..table(Vec::new())
    }
}

fn with_rate(rate_per_s: f64, burst: f64) -> Tenant {
    Tenant {
        quota: Some(RequestQuota { rate_per_s, burst }),
        ..tenant("a", &["k"])
    }
}

#[parameterized(
    usual = { vec![tenant("a", &["k1", "k2"]), tenant("b", &["k3"])], None },
    no_keys = { vec![tenant("a", &[])], None },
    limited = { vec![with_rate(5.0, 0.0)], None },
    shared = { vec![tenant("a", &["k1"]), tenant("b", &["k2", "k1"])], Some("tenant \"b\" has a key that is already assigned to tenant \"a\"") },
    repeated_key = { vec![tenant("a", &["k1", "k1"])], Some("tenant \"a\" has a key that is already assigned to tenant \"a\"") },
    empty_key = { vec![tenant("a", &[""])], Some("tenant \"a\" has an empty key") },
    same_name = { vec![tenant("a", &["k1"]), tenant("a", &["k2"])], Some("two tenants are named \"a\"") },
    no_name = { vec![tenant("", &["k1"])], Some("a tenant has an empty name") },
    invalid_name = { vec![tenant("a\r\nx: y", &["k1"])], Some("the name of tenant \"a\\r\\nx: y\" may only contain visible ASCII characters") },
    negative = { vec![with_rate(-1.0, 0.0)], Some("the rate and the burst of tenant \"a\" must be finite and non-negative") },
    no_number = { vec![with_rate(1.0, f64::NAN)], Some("the rate and the burst of tenant \"a\" must be finite and non-negative") },
)]
fn tenants_are_checked(tenants: Vec<Tenant>, expected: Option<&str>) {
    let fault = with_tenants(tenants).check().err();
    let text = fault.as_ref().map(ToString::to_string);
    assert_eq!(text.as_deref(), expected);
}

#[test]
fn a_key_finds_only_its_tenant() {
    let table = with_tenants(vec![tenant("a", &["k1", "k2"]), tenant("b", &["k3"])]);
    let tenant_name = |key: &str| {
        let tenant = table.tenant_of(&KeyDigest::of(key.as_bytes()));
        tenant.map(|tenant| tenant.name.as_str())
    };
    assert_eq!(tenant_name("k2"), Some("a"));
    assert_eq!(tenant_name("k3"), Some("b"));
    assert_eq!(tenant_name("k"), None);
    assert_eq!(tenant_name(""), None);
}

#[parameterized(
    nobody_restricts = { &[], &[], &["north", "south"], true },
    route_alone = { &["north"], &[], &["north"], false },
    tenant_alone = { &[], &["south", "north"], &["north", "south"], false },
    both_restrict = { &["north", "south"], &["south", "east"], &["south"], false },
    no_common_region = { &["north"], &["south"], &[], false },
)]
fn calls_are_restricted_to_regions_of_route_and_tenant(
    of_route: &[&str],
    of_tenant: &[&str],
    allowed: &[&str],
    allows_unknown: bool,
) {
    let names = |regions: &[&str]| regions.iter().map(|region| (*region).to_owned()).collect();
    let route = Route {
        allowed_regions: names(of_route),
        ..route("r", "/a/")
    };
    let tenant = Tenant {
        allowed_regions: names(of_tenant),
        ..tenant("t", &["k"])
    };
    let allowed_regions = AllowedRegions::of(&route, Some(&tenant));
    for region in ["north", "south", "east"] {
        let expected = allowed.contains(&region) || allows_unknown;
        assert_eq!(allowed_regions.allows(Some(region)), expected, "{region}");
    }
    assert_eq!(allowed_regions.allows(None), allows_unknown);
    assert_eq!(allowed_regions.is_restricted(), !allows_unknown);
}

/// Guards against a call in flight that escapes the restriction of either table.
#[test]
fn call_is_bound_by_the_restrictions_of_two_tables() {
    let regions = ["north", "south", "east"];
    let allowed = |regions: &[&str]| {
        let regions: Vec<String> = regions.iter().map(|region| (*region).to_owned()).collect();
        AllowedRegions::of_list(&regions)
    };
    let outcome = |before: &[&str], after: &[&str]| {
        let both = allowed(before).and(&allowed(after));
        let kept = regions
            .into_iter()
            .filter(|region| both.allows(Some(region)));
        (both.is_restricted(), kept.collect::<Vec<_>>())
    };
    assert_eq!(outcome(&[], &[]), (false, regions.to_vec()));
    assert_eq!(outcome(&["north"], &[]), (true, vec!["north"]));
    assert_eq!(outcome(&[], &["south"]), (true, vec!["south"]));
    let overlapping = outcome(&["north", "south"], &["south", "east"]);
    assert_eq!(overlapping, (true, vec!["south"]));
    assert_eq!(outcome(&["north"], &["south"]), (true, vec![]));
}
