//! The node settings file: what is taken, and the one line an operator gets for what is not.

use std::time::Duration;

use courseshed_settings::{NodeSettings, Overrides};
use courseshed_types::control::NodeRole;
use courseshed_types::{NodeId, ZoneName};
use yare::parameterized;

const NODE: &str = r#"
node_id = 1
region = "tasmania"
zone = "hobart"
listen = "127.0.0.1:7700"
peer_listen = "127.0.0.1:7701"
roles = ["shard", "gateway"]

[limits]
body_size = "1MiB"

[timeouts]
engine_stall = "1500ms"

[[seeds]]
node_id = 2
peer = "127.0.0.1:7711"
roles = ["controller"]
region = "tasmania"
zone = "kingston"

[[engines]]
id = "engine-1"
address = "127.0.0.1:9101"
models = ["quote-8b"]
region = "tasmania"
zone = "hobart"
"#;

fn problems(text: &str) -> String {
    match NodeSettings::parse(text, "node.toml", Overrides::default()) {
        Ok(settings) => panic!("accepted: {settings:?}"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn a_sound_file_is_taken_with_defaults_for_the_rest() {
    let settings = NodeSettings::parse(NODE, "node.toml", Overrides::default()).expect("sound");
    assert_eq!(settings.node_id, NodeId(1));
    assert_eq!(settings.roles, [NodeRole::Gateway, NodeRole::Shard]);
    assert_eq!(settings.limits.body_bytes, 1 << 20);
    assert_eq!(settings.limits.answer_bytes, 4 << 20);
    assert_eq!(settings.timeouts.engine_stall, Duration::from_millis(1_500));
    assert_eq!(settings.seeds[0].node_id, NodeId(2));
    assert_eq!(settings.engines[0].models[0].as_str(), "quote-8b");
    assert_eq!(settings.data_dir, None);
}

#[test]
fn flags_stand_above_the_file_and_make_up_for_missing_keys() {
    let text = NODE.replace("zone = \"hobart\"\nlisten", "listen");
    let overrides = Overrides {
        node_id: Some(NodeId(9)),
        zone: Some(ZoneName::from("glenorchy")),
        listen: Some("127.0.0.1:8800".parse().expect("address")),
        roles: Some(Overrides::parse_roles("dispatcher, gateway").expect("roles")),
        data_dir: Some("data/node-9".into()),
        ..Overrides::default()
    };
    let settings = NodeSettings::parse(&text, "node.toml", overrides).expect("sound");
    assert_eq!(settings.node_id, NodeId(9));
    assert_eq!(settings.zone.as_str(), "glenorchy");
    assert_eq!(settings.listen.port(), 8800);
    assert_eq!(settings.roles, [NodeRole::Gateway, NodeRole::Dispatcher]);
    assert_eq!(settings.data_dir, Some("data/node-9".into()));
}

#[parameterized(
    unknown_key = { "node_id = 1", "node_id = 1\nzon = \"a\"",
        "node.toml line 3: zon: unknown key; did you mean `zone`? (example: zone)" },
    unknown_key_in_a_table = { "body_size", "body_siez",
        "node.toml line 10: limits.body_siez: unknown key; did you mean `body_size`? (example: body_size)" },
    missing_key = { "node_id = 1", "",
        "node.toml line 1: node_id: missing (example: 1)" },
    bad_unit = { "\"1500ms\"", "\"1500 parsecs\"",
        "node.toml line 13: timeouts.engine_stall: `1500 parsecs` is not a duration" },
    bad_size = { "\"1MiB\"", "\"1MB\"",
        "node.toml line 10: limits.body_size: `1MB` is not a size; units are B, KiB, MiB, GiB (example: \"8MiB\")" },
    size_out_of_range = { "\"1MiB\"", "\"3GiB\"",
        "limits.body_size: `3GiB` is not within 1KiB to 1GiB" },
    wrong_type = { "node_id = 1", "node_id = \"one\"",
        "node.toml line 2: node_id: must be a whole number, not a string (example: 1)" },
    host_name = { "127.0.0.1:7700", "localhost:7700",
        "node.toml line 5: listen: `localhost:7700` is not an IP address and port" },
    own_addresses_alike = { "127.0.0.1:7701", "127.0.0.1:7700",
        "node.toml: peer_listen: duplicate address: 127.0.0.1:7700 is `listen` too" },
    seed_at_own_address = { "127.0.0.1:7711", "127.0.0.1:7701",
        "node.toml: seeds[0].peer: duplicate address: 127.0.0.1:7701 is this node's `peer_listen`" },
    engine_at_own_address = { "127.0.0.1:9101", "127.0.0.1:7700",
        "node.toml: engines[0].address: duplicate address: 127.0.0.1:7700 is this node's own" },
    unknown_role = { "\"gateway\"", "\"gatway\"",
        "roles: `gatway` is not a role; did you mean `gateway`?" },
    no_roles = { "[\"shard\", \"gateway\"]", "[]",
        "roles: a node needs at least one role" },
    no_controller = { "[\"controller\"]", "[\"shard\"]",
        "node.toml: seeds: no seed is a controller, and neither is this node" },
    controller_without_disk = { "\"shard\", \"gateway\"", "\"controller\"",
        "node.toml: data_dir: missing: a controller keeps its state on a disk" },
    seeds_no_array = { "[[seeds]]", "[seeds]",
        "seeds: must be an array of tables (example: [[seeds]])" },
    suspicion_too_early = { "engine_stall = \"1500ms\"", "suspect_after = \"150ms\"",
        "timeouts.suspect_after: must be at least 3 heartbeats (300ms)" },
    not_toml = { "node_id = 1", "node_id = = 1", "node.toml line 2: not valid TOML" },
)]
fn a_fault_is_one_clear_line(sound: &str, faulty: &str, expected: &str) {
    let text = NODE.replacen(sound, faulty, 1);
    let printed = problems(&text);
    assert_eq!(printed.lines().count(), 1, "{printed}");
    assert!(printed.contains(expected), "{printed}");
}

#[test]
fn every_fault_is_reported_at_once() {
    let text = NODE
        .replace("node_id = 1\n", "nodeid = 1\n")
        .replace("\"1MiB\"", "1");
    let printed = problems(&text);
    assert!(
        printed.contains("line 2: nodeid: unknown key; did you mean `node_id`?"),
        "{printed}"
    );
    assert!(printed.contains("node_id: missing"), "{printed}");
    assert!(
        printed.contains("limits.body_size: must be a string"),
        "{printed}"
    );
}

#[test]
fn a_data_folder_below_a_file_is_refused() {
    let folder = tempfile::tempdir().expect("folder");
    let file = folder.path().join("not-a-folder");
    std::fs::write(&file, "").expect("written");
    for data_dir in [file.clone(), file.join("node-1")] {
        let overrides = Overrides {
            data_dir: Some(data_dir),
            ..Overrides::default()
        };
        let error = NodeSettings::parse(NODE, "node.toml", overrides).expect_err("refused");
        let printed = error.to_string();
        assert!(printed.contains("data_dir: "), "{printed}");
        assert!(
            printed.contains("not-a-folder is not a folder"),
            "{printed}"
        );
    }
}

#[test]
fn a_data_folder_that_is_still_to_be_made_is_taken() {
    let folder = tempfile::tempdir().expect("folder");
    let data_dir = Some(folder.path().join("data/node-1"));
    let overrides = Overrides {
        data_dir,
        ..Overrides::default()
    };
    NodeSettings::parse(NODE, "node.toml", overrides).expect("sound");
}

#[test]
fn an_unreadable_file_is_one_line() {
    let path = std::path::Path::new("/nowhere/node.toml");
    let error = NodeSettings::load(path, Overrides::default()).expect_err("refused");
    let printed = error.to_string();
    assert!(
        printed.starts_with("/nowhere/node.toml: --settings: cannot be read"),
        "{printed}"
    );
}
