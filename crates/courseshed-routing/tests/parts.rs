//! A table that is told in parts is the table that was told, whatever changed and whoever tells.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use courseshed_routing::{
    KeyDigest, MOST_ITEMS, PartsTaken, RecentTables, Route, RoutingTable, Service, TableAssembler,
    Tenant, VersionedTable,
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
        home_regions: Vec::new(),
    })
}

/// What an operator has in mind: routes and tenants by number.
#[derive(Clone, Default)]
struct Plan {
    version: u64,
    routes: BTreeMap<u32, Arc<Route>>,
    tenants: Option<BTreeMap<u32, Arc<Tenant>>>,
}

impl Plan {
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
                    cold_per_s: None,
                }],
                limits: Default::default(),
                tenants: tenants.map(|tenants| tenants.values().cloned().collect()),
            },
        }
    }

    /// Changes a few things at random, now and then many.
    fn change(&mut self, random: &mut ChaCha8Rng) {
        self.version += 1 + u64::from(random.next_u32() % 3);
        let steps = if random.next_u32().is_multiple_of(8) {
            400
        } else {
            3
        };
        for _ in 0..random.next_u32() % steps {
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

/// The same table with routes and tenants in one order.
fn in_order(mut table: VersionedTable) -> VersionedTable {
    table
        .table
        .routes
        .sort_by(|left, right| left.name.cmp(&right.name));
    if let Some(tenants) = &mut table.table.tenants {
        tenants.sort_by(|left, right| left.name.cmp(&right.name));
    }
    table
}

/// A follower: what it holds, and the parts of what comes next.
#[derive(Default)]
struct Follower {
    held: Option<VersionedTable>,
    assembler: TableAssembler,
}

impl Follower {
    /// Asks once; false if nothing was newer.
    fn ask(&mut self, controller: &mut RecentTables) -> bool {
        let held = self.held.as_ref().map(|held| held.version);
        let Some(part) = controller.part_for(held, self.assembler.taken()) else {
            return false;
        };
        assert!(part.items.len() <= MOST_ITEMS);
        if let Some(whole) = self.assembler.take(self.held.as_ref(), part) {
            assert!(Some(whole.version) > held);
            self.held = Some(whole);
        }
        true
    }

    fn ask_all(&mut self, controller: &mut RecentTables) -> usize {
        let mut asked = 0;
        while self.ask(controller) {
            asked += 1;
            assert!(asked < 10_000, "it never ends");
        }
        asked
    }
}

#[test]
fn a_follower_holds_what_was_told_after_any_changes() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut plan = Plan::with_routes(1, 300);
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
            // One controller may lag behind, and skips what it was never shown.
            controllers[0].push(&table);
            if random.next_u32().is_multiple_of(2) {
                controllers[1].push(&table);
            }
            for follower in &mut followers {
                for _ in 0..random.next_u32() % 4 {
                    let which = (random.next_u32() % 2) as usize;
                    follower.ask(&mut controllers[which]);
                    if let Some(held) = follower.held.clone() {
                        let told = tables[&held.version].clone();
                        assert_eq!(in_order(held), in_order(told), "seed {seed}");
                    }
                }
            }
            plan.change(&mut random);
        }
        for mut follower in followers {
            follower.ask_all(&mut controllers[0]);
            let newest = tables.values().next_back().expect("a table").clone();
            let held = follower.held.expect("a table");
            assert_eq!(in_order(held), in_order(newest), "seed {seed}");
        }
    }
}

#[test]
fn one_route_of_many_is_told_alone() {
    let mut controller = RecentTables::default();
    let mut plan = Plan::with_routes(1, 5_000);
    controller.push(&plan.table());
    let mut follower = Follower::default();
    assert_eq!(
        follower.ask_all(&mut controller),
        5_000_usize.div_ceil(MOST_ITEMS)
    );
    plan.version = 2;
    plan.routes.insert(7, route(7, 9));
    controller.push(&plan.table());
    let part = controller.part_for(Some(1), None).expect("news");
    assert_eq!((part.base, part.items.len()), (Some(1), 1));
    assert!(part.frame.is_some());
    assert_eq!(follower.ask_all(&mut controller), 1);
}

/// A series of changes that is quicker than a table arrives doesn't keep a follower from any version.
#[test]
fn versions_become_whole_while_newer_ones_come_with_each_part() {
    let mut controller = RecentTables::default();
    let mut plan = Plan::with_routes(1, 5_000);
    let mut follower = Follower::default();
    let mut held = Vec::new();
    for _ in 0..100 {
        controller.push(&plan.table());
        follower.ask(&mut controller);
        held.extend(follower.held.as_ref().map(|held| held.version));
        plan.version += 1;
        plan.routes.insert(1, route(1, plan.version));
    }
    let parts = 5_000_usize.div_ceil(MOST_ITEMS);
    assert_eq!(held.len(), 100 - parts + 1);
    assert!(held.last() >= Some(&99));
}

#[test]
fn a_follower_that_was_away_too_long_is_told_all() {
    let mut controller = RecentTables::default();
    let mut plan = Plan::with_routes(1, 300);
    controller.push(&plan.table());
    let mut follower = Follower::default();
    follower.ask_all(&mut controller);
    for _ in 0..1_000 {
        plan.version += 1;
        controller.push(&plan.table());
    }
    let part = controller.part_for(Some(1), None).expect("news");
    assert_eq!(part.base, None);
    follower.ask_all(&mut controller);
    let held = follower.held.expect("a table");
    assert_eq!(in_order(held), in_order(plan.table()));
}

/// Parts that don't fit together put nothing in force: late, repeated and foreign ones.
#[test]
fn parts_that_do_not_go_on_are_dropped() {
    let mut controller = RecentTables::default();
    let mut plan = Plan::with_routes(3, 300);
    controller.push(&plan.table());
    let first = controller.part_for(None, None).expect("a part");
    let taken = |items| PartsTaken {
        base: None,
        version: 3,
        items,
    };
    let second = controller
        .part_for(None, Some(taken(MOST_ITEMS as u32)))
        .expect("a part");
    let mut assembler = TableAssembler::default();
    assert_eq!(assembler.take(None, second.clone()), None);
    assert_eq!(assembler.taken(), None);
    assert_eq!(assembler.take(None, first.clone()), None);
    assert_eq!(assembler.take(None, first), None, "told again");
    assert_eq!(assembler.taken(), Some(taken(MOST_ITEMS as u32)));
    assert_eq!(assembler.take(None, second.clone()), None);
    assert_eq!(assembler.take(None, second), None, "told again");
    assert_eq!(assembler.taken(), None);
    plan.version = 4;
    controller.push(&plan.table());
    let of_three = controller.part_for(Some(3), None).expect("a part");
    let held = Plan::with_routes(2, 1).table();
    assert_eq!(assembler.take(Some(&held), of_three), None);
    let newer = Plan::with_routes(5, 1).table();
    let older = controller.part_for(None, None).expect("a part");
    assert_eq!(assembler.take(Some(&newer), older), None);
    assert_eq!(assembler.taken(), None);
}

/// Asked with parts of a version that it doesn't remember, a controller starts with the newest.
#[test]
fn parts_of_a_forgotten_version_are_told_anew() {
    let mut controller = RecentTables::default();
    controller.push(&Plan::with_routes(9, 300).table());
    let taken = PartsTaken {
        base: None,
        version: 8,
        items: 128,
    };
    let part = controller.part_for(None, Some(taken)).expect("a part");
    assert_eq!((part.version, part.first), (9, 0));
}
