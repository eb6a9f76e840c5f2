//! Transfer of routing tables in parts: guards against followers that end up with another table
//! than the controllers have.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use courseshed_routing::{
    KeyDigest, MAX_PART_ITEMS, RecentTables, Route, RoutingTable, Service, TableAssembler, Tenant,
    TransferProgress, VersionedTable,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

fn route(number: u32, timeout_ms: u64) -> Arc<Route> {
    Arc::new(Route {
        host: format!("h-{}.example", number % 3),
        timeout_ms,
        ..support::route(&format!("r-{number}"), &format!("/p-{number}/"))
    })
}

fn tenant(number: u32, key: u64) -> Arc<Tenant> {
    Arc::new(Tenant {
        name: format!("t-{number}"),
        keys: vec![KeyDigest::of(&key.to_le_bytes())],
        priority: None,
        quota: None,
        allowed_regions: Vec::new(),
    })
}

/// Routes and tenants by number, from which tables are built.
#[derive(Clone, Default)]
struct TablePlan {
    version: u64,
    routes: BTreeMap<u32, Arc<Route>>,
    tenants: Option<BTreeMap<u32, Arc<Tenant>>>,
}

impl TablePlan {
    fn with_routes(version: u64, count: u32) -> Self {
        Self {
            version,
            routes: (0..count)
                .map(|number| (number, route(number, 1)))
                .collect(),
            tenants: None,
        }
    }

    fn table(&self) -> VersionedTable {
        let tenants = self.tenants.as_ref();
        VersionedTable {
            version: self.version,
            table: RoutingTable {
                routes: self.routes.values().cloned().collect(),
                services: vec![Service {
                    name: "s".to_owned(),
                    connection_limit: self.version as u32,
                    engine: None,
                    warm_up_rate_per_s: None,
                }],
                limits: Default::default(),
                tenants: tenants.map(|tenants| tenants.values().cloned().collect()),
            },
        }
    }

    /// Applies random changes, occasionally many.
    fn change(&mut self, random: &mut ChaCha8Rng) {
        self.version += 1 + u64::from(random.next_u32() % 3);
        let max_changes = if random.next_u32().is_multiple_of(8) {
            400
        } else {
            3
        };
        for _ in 0..random.next_u32() % max_changes {
            let number = random.next_u32() % 600;
            if random.next_u32().is_multiple_of(3) {
                self.routes.remove(&number);
            } else {
                let timeout = u64::from(random.next_u32() % 5);
                self.routes.insert(number, route(number, timeout));
            }
        }
        if random.next_u32().is_multiple_of(6) {
            self.tenants = match self.tenants {
                Some(_) => None,
                None => Some(BTreeMap::new()),
            };
        }
        if let Some(tenants) = &mut self.tenants {
            for _ in 0..random.next_u32() % 5 {
                let number = random.next_u32() % 40;
                if random.next_u32().is_multiple_of(3) {
                    tenants.remove(&number);
                } else {
                    tenants.insert(number, tenant(number, random.next_u64()));
                }
            }
        }
    }
}

/// Sorts routes and tenants, so that tables can be compared.
fn sorted(mut table: VersionedTable) -> VersionedTable {
    table
        .table
        .routes
        .sort_by(|left, right| left.name.cmp(&right.name));
    if let Some(tenants) = &mut table.table.tenants {
        tenants.sort_by(|left, right| left.name.cmp(&right.name));
    }
    table
}

/// A follower with its current table and the parts of the next one.
#[derive(Default)]
struct Follower {
    held: Option<VersionedTable>,
    assembler: TableAssembler,
}

impl Follower {
    /// Requests one part; returns false if nothing is newer.
    fn request_part(&mut self, controller: &mut RecentTables) -> bool {
        let held = self.held.as_ref().map(|held| held.version);
        let Some(part) = controller.part_for(held, self.assembler.progress()) else {
            return false;
        };
        assert!(part.items.len() <= MAX_PART_ITEMS);
        if let Some(whole) = self.assembler.add_part(self.held.as_ref(), part) {
            assert!(Some(whole.version) > held);
            self.held = Some(whole);
        }
        true
    }

    fn request_all(&mut self, controller: &mut RecentTables) -> usize {
        let mut requests = 0;
        while self.request_part(controller) {
            requests += 1;
            assert!(requests < 10_000, "the transfer does not end");
        }
        requests
    }
}

#[test]
fn followers_receive_the_same_table_after_random_changes() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut plan = TablePlan::with_routes(1, 300);
        let mut tables = BTreeMap::new();
        let mut controllers = [RecentTables::default(), RecentTables::default()];
        let mut followers = [
            Follower::default(),
            Follower::default(),
            Follower::default(),
        ];
        for _ in 0..150 {
            let table = plan.table();
            tables.insert(table.version, table.clone());
            // The second controller skips some of the versions.
            controllers[0].push(&table);
            if random.next_u32().is_multiple_of(2) {
                controllers[1].push(&table);
            }
            for follower in &mut followers {
                for _ in 0..random.next_u32() % 4 {
                    let which = (random.next_u32() % 2) as usize;
                    follower.request_part(&mut controllers[which]);
                    if let Some(held) = follower.held.clone() {
                        let sent = tables[&held.version].clone();
                        assert_eq!(sorted(held), sorted(sent), "seed {seed}");
                    }
                }
            }
            plan.change(&mut random);
        }
        for mut follower in followers {
            follower.request_all(&mut controllers[0]);
            let newest = tables.values().next_back().expect("a table").clone();
            let held = follower.held.expect("a table");
            assert_eq!(sorted(held), sorted(newest), "seed {seed}");
        }
    }
}

#[test]
fn a_changed_route_is_sent_alone() {
    let mut controller = RecentTables::default();
    let mut plan = TablePlan::with_routes(1, 5_000);
    controller.push(&plan.table());
    let mut follower = Follower::default();
    assert_eq!(
        follower.request_all(&mut controller),
        5_000_usize.div_ceil(MAX_PART_ITEMS)
    );
    plan.version = 2;
    plan.routes.insert(7, route(7, 9));
    controller.push(&plan.table());
    let part = controller.part_for(Some(1), None).expect("a newer version");
    assert_eq!((part.base, part.items.len()), (Some(1), 1));
    assert!(part.globals.is_some());
    assert_eq!(follower.request_all(&mut controller), 1);
}

/// Guards against followers that never complete a version because changes arrive faster than a
/// table can be transferred.
#[test]
fn versions_complete_while_newer_ones_arrive() {
    let mut controller = RecentTables::default();
    let mut plan = TablePlan::with_routes(1, 5_000);
    let mut follower = Follower::default();
    let mut held = Vec::new();
    for _ in 0..100 {
        controller.push(&plan.table());
        follower.request_part(&mut controller);
        held.extend(follower.held.as_ref().map(|held| held.version));
        plan.version += 1;
        plan.routes.insert(1, route(1, plan.version));
    }
    let parts = 5_000_usize.div_ceil(MAX_PART_ITEMS);
    assert_eq!(held.len(), 100 - parts + 1);
    assert!(held.last() >= Some(&99));
}

#[test]
fn followers_of_forgotten_versions_receive_the_complete_table() {
    let mut controller = RecentTables::default();
    let mut plan = TablePlan::with_routes(1, 300);
    controller.push(&plan.table());
    let mut follower = Follower::default();
    follower.request_all(&mut controller);
    for _ in 0..1_000 {
        plan.version += 1;
        controller.push(&plan.table());
    }
    let part = controller.part_for(Some(1), None).expect("a newer version");
    assert_eq!(part.base, None);
    follower.request_all(&mut controller);
    let held = follower.held.expect("a table");
    assert_eq!(sorted(held), sorted(plan.table()));
}

/// Delayed, duplicated and unrelated parts must not be applied.
#[test]
fn parts_out_of_sequence_are_dropped() {
    let mut controller = RecentTables::default();
    let mut plan = TablePlan::with_routes(3, 300);
    controller.push(&plan.table());
    let first = controller.part_for(None, None).expect("a part");
    let taken = |items| TransferProgress {
        base: None,
        version: 3,
        items,
    };
    let second = controller
        .part_for(None, Some(taken(MAX_PART_ITEMS as u32)))
        .expect("a part");
    let mut assembler = TableAssembler::default();
    assert_eq!(assembler.add_part(None, second.clone()), None);
    assert_eq!(assembler.progress(), None);
    assert_eq!(assembler.add_part(None, first.clone()), None);
    assert_eq!(assembler.add_part(None, first), None, "duplicate part");
    assert_eq!(assembler.progress(), Some(taken(MAX_PART_ITEMS as u32)));
    assert_eq!(assembler.add_part(None, second.clone()), None);
    assert_eq!(assembler.add_part(None, second), None, "duplicate part");
    assert_eq!(assembler.progress(), None);
    plan.version = 4;
    controller.push(&plan.table());
    let of_three = controller.part_for(Some(3), None).expect("a part");
    let held = TablePlan::with_routes(2, 1).table();
    assert_eq!(assembler.add_part(Some(&held), of_three), None);
    let newer = TablePlan::with_routes(5, 1).table();
    let older = controller.part_for(None, None).expect("a part");
    assert_eq!(assembler.add_part(Some(&newer), older), None);
    assert_eq!(assembler.progress(), None);
}

/// A controller that no longer has the version of the received parts starts over with the newest.
#[test]
fn transfers_of_forgotten_versions_start_over() {
    let mut controller = RecentTables::default();
    controller.push(&TablePlan::with_routes(9, 300).table());
    let taken = TransferProgress {
        base: None,
        version: 8,
        items: 128,
    };
    let part = controller.part_for(None, Some(taken)).expect("a part");
    assert_eq!((part.version, part.offset), (9, 0));
}
