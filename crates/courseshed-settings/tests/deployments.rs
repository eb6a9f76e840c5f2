//! Every deployment of the repository passes the checks it would meet when started.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use courseshed_settings::{NodeSettings, Overrides, SettingsTree};
use courseshed_types::SettingsVersion;
use courseshed_types::control::NodeRole;
use sha2::{Digest, Sha256};
use yare::parameterized;

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../deployments")
        .join(name)
}

fn nodes(name: &str) -> Vec<NodeSettings> {
    let entries = fs::read_dir(folder(name)).expect("folder");
    let mut paths: Vec<_> = entries.map(|entry| entry.expect("entry").path()).collect();
    paths.retain(|path| path.to_string_lossy().contains("node-"));
    paths.sort();
    let load = |path: &PathBuf| NodeSettings::load(path, Overrides::default());
    paths
        .iter()
        .map(|path| load(path).unwrap_or_else(|error| panic!("{error}")))
        .collect()
}

fn tree(name: &str) -> SettingsTree {
    let text = fs::read_to_string(folder(name).join("tree.toml")).expect("tree");
    SettingsTree::parse(&text).unwrap_or_else(|problems| panic!("{name}: {problems:#?}"))
}

/// Name and command line of each process of the fleet file.
fn fleet(name: &str) -> Vec<(String, String)> {
    let text = fs::read_to_string(folder(name).join("fleet")).expect("fleet");
    let lines = text
        .lines()
        .filter(|line| !line.trim().is_empty() && !line.starts_with('#'));
    let split = lines.map(|line| line.split_once(' ').expect("name and command"));
    split
        .map(|(name, command)| (name.to_owned(), command.trim().to_owned()))
        .collect()
}

#[parameterized(
    single = { "single", 1, 1, 2, 1 },
    zones = { "zones", 3, 3, 4, 3 },
    guild = { "guild", 3, 3, 12, 3 },
    hokkaido = { "hokkaido", 4, 4, 14, 3 },
)]
fn nodes_agree_on_the_fleet(
    name: &str,
    node_count: usize,
    zone_count: usize,
    engine_count: usize,
    controller_count: usize,
) {
    let nodes = nodes(name);
    assert_eq!(nodes.len(), node_count);
    let zones: BTreeSet<_> = nodes.iter().map(|node| node.zone.as_str()).collect();
    assert_eq!(zones.len(), zone_count);
    let controllers = nodes
        .iter()
        .filter(|node| node.roles.contains(&NodeRole::Controller));
    assert_eq!(controllers.count(), controller_count);
    let own: BTreeSet<_> = nodes
        .iter()
        .flat_map(|node| [node.listen, node.peer_listen])
        .collect();
    assert_eq!(own.len(), 2 * node_count, "addresses of nodes are distinct");
    for node in &nodes {
        assert_eq!(node.engines.len(), engine_count);
        assert_eq!(node.engines, nodes[0].engines);
        assert_eq!(node.seeds, nodes[0].seeds);
        assert_eq!(node.operator_keys, nodes[0].operator_keys);
        assert!(
            node.engines
                .iter()
                .all(|engine| !own.contains(&engine.address))
        );
        assert!(
            node.engines
                .iter()
                .all(|engine| zones.contains(engine.zone.as_str()))
        );
        for seed in &node.seeds {
            let named = nodes
                .iter()
                .find(|other| other.node_id == seed.node_id)
                .expect("node");
            assert_eq!((named.peer_listen, &named.zone), (seed.peer, &seed.zone));
            let mut roles = seed.roles.clone();
            roles.sort();
            assert_eq!(named.roles, roles);
        }
    }
}

#[parameterized(single = { "single" }, zones = { "zones" }, guild = { "guild" }, hokkaido = { "hokkaido" })]
fn the_tree_holds_and_its_models_are_served(name: &str) {
    let snapshot = tree(name).compile(SettingsVersion(1));
    let nodes = nodes(name);
    let served: BTreeSet<_> = nodes[0]
        .engines
        .iter()
        .flat_map(|engine| engine.models.iter().cloned())
        .collect();
    let declared: BTreeSet<_> = snapshot.models.iter().cloned().collect();
    assert_eq!(served, declared);
    let operators: Vec<_> = nodes[0]
        .operator_keys
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(snapshot.operator_key_digests, operators);
    assert!(
        snapshot
            .branches
            .values()
            .all(|policy| policy.default_model.is_some())
    );
}

#[parameterized(single = { "single" }, zones = { "zones" }, guild = { "guild" }, hokkaido = { "hokkaido" })]
fn the_keys_of_the_readme_have_the_digests_of_the_settings(name: &str) {
    let readme = fs::read_to_string(folder(name).join("README.md")).expect("README");
    let rows = readme.lines().filter_map(|line| line.strip_prefix("| `"));
    let rows = rows.filter_map(|row| row.split_once("` | "));
    let keys = rows.filter(|(key, _)| key.starts_with(&format!("{name}-")));
    let documented: BTreeSet<String> = keys.map(|(key, _)| sha256(key)).collect();
    let snapshot = tree(name).compile(SettingsVersion(1));
    let branches = snapshot.branches.values();
    let mut held: BTreeSet<String> = branches
        .flat_map(|policy| policy.key_digests.clone())
        .collect();
    held.extend(snapshot.operator_key_digests);
    assert_eq!(documented, held);
}

fn sha256(text: &str) -> String {
    Sha256::digest(text)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

#[parameterized(single = { "single" }, zones = { "zones" }, guild = { "guild" }, hokkaido = { "hokkaido" })]
fn the_fleet_file_starts_what_the_nodes_name(name: &str) {
    let processes = fleet(name);
    let names: BTreeSet<_> = processes.iter().map(|(name, _)| name).collect();
    assert_eq!(names.len(), processes.len(), "names are distinct");
    let commands: Vec<_> = processes
        .iter()
        .map(|(_, command)| command.as_str())
        .collect();
    let nodes = nodes(name);
    for engine in &nodes[0].engines {
        let id = format!("--id {} ", engine.id);
        let listen = format!("--listen {} ", engine.address);
        let models = engine
            .models
            .iter()
            .map(|model| format!(" --model {model}"));
        let models: String = models.collect();
        let starts = |command: &&str| {
            command.contains(&id) && command.contains(&listen) && command.ends_with(&models)
        };
        assert_eq!(
            commands.iter().filter(|command| starts(command)).count(),
            1,
            "{id}"
        );
    }
    for node in &nodes {
        let command = format!("courseshedd --settings @/node-{}.toml", node.node_id);
        assert!(commands.contains(&command.as_str()), "{command}");
    }
    assert_eq!(commands.len(), nodes.len() + nodes[0].engines.len());
}
