//! Tests of invalid input: configuration files, requests, messages and stored
//! values.

use std::collections::BTreeMap;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{
    Config as Runner, RngAlgorithm, TestRng, TestRunner,
};
use puffinknot::client::{run, Cli};
use puffinknot::settings::Settings;
use puffinknot::vm_list::VmList;
use puffinknot::wire;
use puffinknot_core::config::Config;
use puffinknot_core::store::{Key, Value};
use serde::Deserialize;

const VALID_FILE: &str = include_str!("../examples/litoral.toml");
const CASES: u32 = 2_000;

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Runner {
        cases: CASES,
        failure_persistence: None,
        ..Runner::default()
    };
    TestRunner::new_with_rng(config, rng)
}

/// Changes of a few bytes, each given by its offset and new value.
fn mutations() -> impl Strategy<Value = Vec<(usize, u8)>> {
    vec((any::<usize>(), any::<u8>()), 1..8)
}

fn apply_mutations(valid: &[u8], changes: &[(usize, u8)]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for (at, byte) in changes {
        let at = at % bytes.len();
        bytes[at] = *byte;
    }
    bytes
}

#[test]
fn a_mutated_file_is_read_or_refused_with_a_remedy() {
    let check = |changes: Vec<(usize, u8)>| {
        let bytes = apply_mutations(VALID_FILE.as_bytes(), &changes);
        let text = String::from_utf8_lossy(&bytes);
        if let Err(errors) = Config::parse(&text) {
            prop_assert!(errors.iter().count() > 0);
            for error in errors.iter() {
                prop_assert!(!error.key.is_empty());
                prop_assert!(!error.remedy.is_empty());
            }
        }
        Ok(())
    };
    runner().run(&mutations(), check).expect("no panic");
}

#[test]
fn any_text_is_read_or_refused() {
    let check = |text: String| {
        let _ = Config::parse(&text);
        Ok(())
    };
    runner().run(&".*", check).expect("no panic");
}

#[test]
fn any_bytes_are_no_message_or_a_whole_one() {
    let check = |bytes: Vec<u8>| {
        let _ = wire::decode_hello(&bytes);
        let _ = wire::decode::<wire::Response>(&bytes);
        if let Ok(request) = wire::decode::<wire::Request>(&bytes) {
            let again =
                wire::encode(&request).expect("a request that was decoded");
            prop_assert_eq!(wire::decode(&again), Ok(request));
        }
        Ok(())
    };
    runner().run(&vec(any::<u8>(), 0..300), check).expect("no panic");
}

#[test]
fn a_mutated_message_is_refused_or_a_whole_one() {
    let request = wire::Request::Hop(wire::Hop {
        scope: puffinknot_core::contract::Scope::Calls(0),
        call: puffinknot_core::node::Call {
            caller: "coop".into(),
            class: "vent-check".into(),
            remaining: 1_000,
            key: None,
        },
        body: vec![1; 100],
    });
    let valid = wire::encode(&request).expect("a message");
    let check = |changes: Vec<(usize, u8)>| {
        let _ =
            wire::decode::<wire::Request>(&apply_mutations(&valid, &changes));
        Ok(())
    };
    runner().run(&mutations(), check).expect("no panic");
}

#[test]
fn any_value_of_the_platform_is_read_or_refused() {
    let check = |(path, bytes): (String, Vec<u8>)| {
        let _ = Key::parse("local", &path);
        let full = format!("puffinknot/local/{path}");
        let _ = Key::parse("local", &full);
        for key in [Key::Contracts("goya".into()), Key::Config] {
            let _ = Value::parse(&key, &bytes);
        }
        let _ = VmList::parse(&bytes);
        Ok(())
    };
    let input = ("[a-z/]{0,30}", vec(any::<u8>(), 0..200));
    runner().run(&input, check).expect("no panic");
}

/// Guards against dropping unreadable entries of the VM list: a target that
/// the list names would look gone.
#[test]
fn an_entry_of_the_list_that_cannot_be_read_is_not_taken_for_absent() {
    let list = br#"[
        {"targets": ["127.0.0.1:1"], "labels": {"vm": "whole",
            "kind": "worker", "data_centre": "goya", "state": "live"}},
        {"targets": ["nowhere"], "labels": {"vm": "no-address",
            "kind": "worker", "data_centre": "goya"}},
        {"targets": [], "labels": {"vm": "no-target",
            "kind": "worker", "data_centre": "goya"}},
        {"targets": ["127.0.0.1:2"], "labels": {"vm": "no-kind",
            "data_centre": "goya"}},
        {"targets": ["127.0.0.1:3"], "labels": {"vm": "other-kind",
            "kind": "wroker", "data_centre": "goya"}},
        {"targets": ["127.0.0.1:4"], "labels": {"vm": "no-data-centre",
            "kind": "worker"}},
        {"targets": ["127.0.0.1:5"], "labels": {"vm": "",
            "kind": "worker", "data_centre": "goya"}},
        {"targets": ["127.0.0.1:6"], "labels": {
            "kind": "worker", "data_centre": "goya"}},
        {"targets": ["127.0.0.1:7"]},
        {"targets": ["nowhere"], "labels": {"kind": "entry"}},
        {"targets": ["127.0.0.1:8"], "labels": {"kind": "entry"}}
    ]"#;
    let list = VmList::parse(list).expect("a list in order");
    let read: Vec<&str> =
        list.targets.iter().map(|listed| listed.id.as_str()).collect();
    assert_eq!(read, ["whole"]);
    let named: Vec<&str> =
        list.unreadable.targets.iter().map(|id| id.as_str()).collect();
    let expected =
        ["no-address", "no-data-centre", "no-kind", "no-target", "other-kind"];
    assert_eq!(named, expected);
    assert_eq!(list.unreadable.unidentified, 3);
    assert_eq!(list.entries.len(), 1);
}

/// A replacement that makes the example file invalid, and the keys that the
/// errors have to name.
#[derive(Deserialize)]
struct InvalidFile {
    replace: String,
    by: String,
    keys: Vec<String>,
}

#[test]
fn wrong_files_name_key_and_remedy_of_every_error() {
    let table = include_str!("../testdata/wrong-files.toml");
    let cases: BTreeMap<String, InvalidFile> =
        toml::from_str(table).expect("a table in order");
    let mut shown = String::new();
    for (name, case) in cases {
        assert!(VALID_FILE.contains(&case.replace), "{name}");
        let file = VALID_FILE.replace(&case.replace, &case.by);
        let errors = Config::parse(&file).expect_err(&name);
        let keys: Vec<&str> =
            errors.iter().map(|error| error.key.as_str()).collect();
        assert_eq!(keys, case.keys, "{name}");
        shown.push_str(&format!("{name}:\n{errors}\n"));
    }
    insta::assert_snapshot!("wrong-files", shown);
}

#[test]
fn wrong_settings_name_flag_and_remedy() {
    use clap::Parser;
    let valid = [
        "puffinknotd",
        "--cell",
        "litoral",
        "--dc",
        "goya",
        "--vm",
        "goya-1",
        "--listen",
        "127.0.0.1:0",
        "--link",
        "127.0.0.1:0",
        "--admin",
        "127.0.0.1:0",
        "--platform",
        "http://127.0.0.1:1",
        "--vm-list",
        "http://127.0.0.1:1/vms",
        "--secret",
        "long-enough",
    ];
    let cases = [
        ("--cell", "a cell"),
        ("--platform", "127.0.0.1:1"),
        ("--secret", "short"),
    ];
    let settings = Settings::parse_from(valid);
    settings.validate().expect("settings in order");
    let mut shown = String::new();
    for (flag, value) in cases {
        let mut args = valid;
        let at = valid.iter().position(|arg| *arg == flag).expect("a flag");
        args[at + 1] = value;
        let settings = Settings::parse_from(args);
        let err = settings.validate().expect_err(flag);
        shown.push_str(&format!("{err}\n"));
    }
    insta::assert_snapshot!("wrong-settings", shown);
}

#[test]
fn a_client_without_a_platform_says_what_to_do() {
    use clap::Parser;
    let cli = Cli::parse_from([
        "puffinknot",
        "plan",
        "examples/litoral.toml",
        "--platform",
        "http://127.0.0.1:1",
        "--cell",
        "local",
    ]);
    let err = actix_rt::System::new()
        .block_on(run(cli))
        .expect_err("there is no platform");
    assert!(err.to_string().contains("check --platform"), "{err}");
}
