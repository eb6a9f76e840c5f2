//! Placement keeps last copies, does not oscillate, and respects its limits.

use std::{collections::BTreeMap, time::Duration};

use courseshed_dispatch::placement::{
    EngineHolding, ModelDemand, PlacementChange, PlacementInput, PlacementMove, PlacementRole,
    PlacementSettings, RecentMove, plan,
};
use courseshed_types::{EngineId, ModelName, Timestamp, dispatch::EngineOrderBody};
use proptest::prelude::*;

const WEIGHTS: u64 = 40_000_000_000;

fn demand(service: f64) -> ModelDemand {
    ModelDemand {
        service,
        prefill_fraction: 0.4,
        weight_bytes: WEIGHTS,
        adapters: BTreeMap::new(),
    }
}

fn engine(zone: &str, slots: usize, models: &[&str]) -> EngineHolding {
    EngineHolding {
        zone: zone.into(),
        is_live: true,
        service: 100.0,
        model_slots: slots,
        adapter_slots: 2,
        models: models
            .iter()
            .map(|model| (ModelName::from(*model), Vec::new()))
            .collect(),
        role: PlacementRole::Both,
        changed_at: None,
    }
}

fn input(demands: &[(&str, f64)], engines: &[(&str, EngineHolding)]) -> PlacementInput {
    let demand_of = |(model, service): &(&str, f64)| (ModelName::from(*model), demand(*service));
    PlacementInput {
        now: Timestamp::from_millis(10_000_000),
        demand: demands.iter().map(demand_of).collect(),
        engines: engines
            .iter()
            .map(|(id, holding)| (EngineId::from(*id), holding.clone()))
            .collect(),
        recent_moves: Vec::new(),
    }
}

/// Applies planned moves to the holdings, as an executor would.
fn execute(input: &mut PlacementInput, moves: &[PlacementMove]) {
    for made in moves {
        let holding = input.engines.get_mut(&made.engine).expect("a known engine");
        holding.changed_at = Some(input.now);
        let mut bytes = 0;
        match &made.change {
            PlacementChange::LoadModel(model) => {
                bytes = input.demand[model].weight_bytes;
                holding.models.insert(model.clone(), Vec::new());
            }
            PlacementChange::DropModel(model) => {
                holding.models.remove(model).expect("the model is loaded");
            }
            PlacementChange::LoadAdapter(model, adapter) => {
                let held = holding.models.get_mut(model).expect("its model is held");
                held.push(adapter.clone());
            }
            PlacementChange::DropAdapter(model, adapter) => {
                let held = holding.models.get_mut(model).expect("its model is held");
                held.retain(|other| other != adapter);
            }
            PlacementChange::SetRole(role) => holding.role = *role,
        }
        input.recent_moves.push(RecentMove {
            at: input.now,
            bytes,
        });
    }
}

fn copies(input: &PlacementInput, model: &ModelName) -> usize {
    let engines = input.engines.values();
    engines
        .filter(|holding| holding.models.contains_key(model))
        .count()
}

fn fleets() -> impl Strategy<Value = PlacementInput> {
    let models = ["m0", "m1", "m2", "m3"];
    let engine = (
        0usize..3,
        1usize..3,
        prop::collection::vec(0usize..4, 0..3),
        0u64..600,
    );
    let engines = prop::collection::vec(engine, 1..12);
    let demands = prop::collection::vec(0.0..400.0f64, 4);
    (engines, demands).prop_map(move |(engines, demands)| {
        let demands: Vec<(&str, f64)> = models.into_iter().zip(demands).collect();
        let mut input = input(&demands, &[]);
        for (number, (zone, slots, held, age)) in engines.into_iter().enumerate() {
            let held: Vec<&str> = held
                .into_iter()
                .take(slots)
                .map(|held| models[held])
                .collect();
            let mut holding = engine_at(zone, slots, &held);
            holding.changed_at = Some(Timestamp(input.now.0 - age * 1_000_000));
            input
                .engines
                .insert(format!("e{number:02}").into(), holding);
        }
        input
    })
}

fn engine_at(zone: usize, slots: usize, held: &[&str]) -> EngineHolding {
    engine(["z1", "z2", "z3"][zone], slots, held)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn the_last_copy_of_a_model_in_demand_stays(mut fleet in fleets()) {
        let held: Vec<ModelName> = fleet
            .demand
            .iter()
            .filter(|(model, demand)| demand.service > 0.0 && copies(&fleet, model) > 0)
            .map(|(model, _)| model.clone())
            .collect();
        let moves = plan(&PlacementSettings::default(), &fleet);
        for made in &moves {
            execute(&mut fleet, std::slice::from_ref(made));
            prop_assert!(held.iter().all(|model| copies(&fleet, model) > 0), "{moves:?}");
        }
    }

    #[test]
    fn steady_demand_ends_in_empty_plans(mut fleet in fleets()) {
        let settings = PlacementSettings::default();
        let engines = fleet.engines.len();
        let mut changes = 0;
        for _ in 0..engines * 8 {
            let moves = plan(&settings, &fleet);
            changes += moves.len();
            execute(&mut fleet, &moves);
            fleet.now += settings.minimum_dwell;
        }
        prop_assert!(plan(&settings, &fleet).is_empty());
        prop_assert!(changes <= engines * 8, "{changes} moves of {engines} engines");
    }

    #[test]
    fn moves_and_bytes_are_bounded_in_any_period(mut fleet in fleets(), step in 1u64..90) {
        let settings = PlacementSettings {
            bytes_per_period: 2 * WEIGHTS,
            ..PlacementSettings::default()
        };
        for _ in 0..20 {
            let moves = plan(&settings, &fleet);
            execute(&mut fleet, &moves);
            let is_in_period = |made: &&RecentMove| fleet.now.since(made.at) < settings.period;
            let recent = fleet.recent_moves.iter().filter(is_in_period);
            let (count, bytes) = recent.fold((0, 0), |(count, bytes), made| {
                (count + 1, bytes + made.bytes)
            });
            prop_assert!(count <= settings.moves_per_period);
            prop_assert!(bytes <= settings.bytes_per_period);
            fleet.now += Duration::from_secs(step);
        }
    }

    #[test]
    fn small_demand_changes_add_no_copies(mut fleet in fleets()) {
        let settings = PlacementSettings::default();
        for _ in 0..fleet.engines.len() * 8 {
            let moves = plan(&settings, &fleet);
            execute(&mut fleet, &moves);
            fleet.now += settings.minimum_dwell;
        }
        let service = |model: &ModelName| -> f64 {
            let engines = fleet.engines.values();
            let holders = engines.filter(|holding| holding.models.contains_key(model));
            holders.map(|holding| holding.service / holding.models.len() as f64).sum()
        };
        let demands = fleet.demand.iter();
        let calm: Vec<ModelName> = demands
            .filter(|(model, demand)| {
                demand.service * 1.2 < settings.scale_up_utilization * service(model)
            })
            .map(|(model, _)| model.clone())
            .collect();
        for (number, demand) in fleet.demand.values_mut().enumerate() {
            demand.service *= if number % 2 == 0 { 1.2 } else { 0.8 };
        }
        let grows = |made: &PlacementMove| match &made.change {
            PlacementChange::LoadModel(model) => calm.contains(model),
            _ => false,
        };
        prop_assert!(!plan(&settings, &fleet).iter().any(grows));
    }
}

#[test]
fn a_model_without_a_copy_replaces_one_with_spare_capacity() {
    let mut busy = engine("z1", 1, &["m1"]);
    busy.changed_at = Some(Timestamp::from_millis(9_999_000));
    let engines = [("e1", busy.clone()), ("e2", busy.clone()), ("e3", busy)];
    let input = input(&[("m1", 50.0), ("m2", 20.0)], &engines);
    let moves = plan(&PlacementSettings::default(), &input);
    let changes: Vec<&PlacementChange> = moves.iter().map(|made| &made.change).collect();
    let expected = [
        &PlacementChange::DropModel("m1".into()),
        &PlacementChange::LoadModel("m2".into()),
    ];
    assert_eq!(changes, expected);
    assert_eq!(moves[0].engine, moves[1].engine);
}

#[test]
fn a_new_copy_goes_to_the_zone_without_one() {
    let engines = [
        ("e1", engine("z1", 1, &["m1"])),
        ("e2", engine("z1", 1, &[])),
        ("e3", engine("z2", 1, &[])),
    ];
    let moves = plan(
        &PlacementSettings::default(),
        &input(&[("m1", 90.0)], &engines),
    );
    assert_eq!(moves.len(), 1);
    assert_eq!(moves[0].engine, "e3".into());
}

#[test]
fn a_recently_changed_engine_is_not_changed_again() {
    let mut fresh = engine("z1", 1, &[]);
    fresh.changed_at = Some(Timestamp::from_millis(9_900_000));
    let engines = [("e1", engine("z1", 1, &["m1"])), ("e2", fresh)];
    let mut input = input(&[("m1", 90.0)], &engines);
    assert!(plan(&PlacementSettings::default(), &input).is_empty());
    input.now += Duration::from_secs(300);
    assert_eq!(plan(&PlacementSettings::default(), &input).len(), 1);
}

#[test]
fn an_adapter_replaces_an_unused_one_on_an_engine_with_its_model() {
    let mut holder = engine("z1", 1, &["m1"]);
    let held = vec!["old".to_owned(), "kept".to_owned()];
    holder.models.insert("m1".into(), held);
    let engines = [("e1", holder), ("e2", engine("z1", 1, &["m2"]))];
    let mut input = input(&[("m1", 50.0), ("m2", 10.0)], &engines);
    let wanted = [("kept".to_owned(), 5.0), ("new".to_owned(), 5.0)];
    let of_m1 = input
        .demand
        .get_mut(&ModelName::from("m1"))
        .expect("present");
    of_m1.adapters = wanted.into();
    let moves = plan(&PlacementSettings::default(), &input);
    let changes: Vec<PlacementChange> = moves.into_iter().map(|made| made.change).collect();
    let expected = [
        PlacementChange::DropAdapter("m1".into(), "old".to_owned()),
        PlacementChange::LoadAdapter("m1".into(), "new".to_owned()),
    ];
    assert_eq!(changes, expected);
}

#[test]
fn roles_follow_the_prefill_fraction_and_stay_stable() {
    let settings = PlacementSettings {
        min_engines_for_roles: Some(4),
        moves_per_period: 10,
        ..PlacementSettings::default()
    };
    let ids = ["e1", "e2", "e3", "e4", "e5"];
    let engines: Vec<_> = ids.map(|id| (id, engine("z1", 1, &["m1"]))).into();
    let mut input = input(&[("m1", 300.0)], &engines);
    let moves = plan(&settings, &input);
    execute(&mut input, &moves);
    let of_prefill = |input: &PlacementInput| {
        let roles = input.engines.values().map(|holding| holding.role);
        roles.filter(|role| *role == PlacementRole::Prefill).count()
    };
    assert_eq!((moves.len(), of_prefill(&input)), (5, 2));
    input.now += Duration::from_secs(1_000);
    let of_m1 = input
        .demand
        .get_mut(&ModelName::from("m1"))
        .expect("present");
    of_m1.prefill_fraction = 0.5;
    assert!(
        plan(&settings, &input).is_empty(),
        "2 of 5 is within the tolerance"
    );
}

#[test]
fn a_move_becomes_an_order_with_its_fencing_token() {
    let made = PlacementMove {
        engine: "e1".into(),
        change: PlacementChange::LoadModel("m1".into()),
    };
    let order = made
        .into_order(7)
        .expect("model loads become engine orders");
    let model = ModelName::from("m1");
    assert_eq!(order.body, EngineOrderBody::LoadModel { model, fence: 7 });
}
