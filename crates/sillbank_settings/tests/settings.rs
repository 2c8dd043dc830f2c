//! Reading of settings with all their problems, and the effective policies of the settings tree.
#![allow(clippy::unwrap_used)]

use sillbank_settings::objects::{hash_key, is_path_key, read_objects_file};
use sillbank_settings::prelude::*;
use sillbank_settings::process::{ProcessSettings, read_text};
use sillbank_settings::tree::ApplyOutcome;
use sillbank_testing::for_fixed_seeds;

const ENTRY: &str = r#"
role = "entry"
vm = "vm1"
hall = "hall1"
listen = "127.0.0.1:1000"
admin_listen = "127.0.0.1:1001"
control = "127.0.0.1:1002"
"#;

fn tree(objects: &[(&str, u64, &str)]) -> Tree {
    let mut tree = Tree::default();
    for (key, version, value) in objects {
        assert_eq!(tree.apply(key, *version, false, value), ApplyOutcome::InForce, "{key}");
    }
    tree
}

/// A valid file is read, and fields that are left out have their defaults.
#[test]
fn valid_file_is_read() {
    let ProcessSettings::Entry(settings) = read_text("e.toml", ENTRY).unwrap() else {
        panic!("not an entry");
    };

    assert_eq!(settings.vm, "vm1");
    assert_eq!(settings.max_body_bytes, 1 << 20);
}

/// All problems of a file are reported at once, each with its path and a remedy.
#[test]
fn all_problems_of_a_file_are_reported_together() {
    let text = ENTRY
        .replace("vm1", "vm 1")
        .replace("127.0.0.1:1001", "localhost")
        .replace("control", "contrl")
        + "max_body_bytes = 3\n[log]\nshape = \"xml\"\ncolour = true\n";

    let problems = read_text("e.toml", &text).unwrap_err().0;

    let paths: Vec<&str> = problems.iter().map(|p| p.path.as_str()).collect();
    for path in
        ["vm", "admin_listen", "control", "contrl", "max_body_bytes", "log.shape", "log.colour"]
    {
        assert!(paths.contains(&path), "{path} is not among {paths:?}");
    }
    assert!(problems.iter().all(|p| p.source == "e.toml" && !p.remedy.is_empty()));
}

/// The files in `examples/` are valid.
#[test]
fn example_files_are_valid() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let read = |name: &str| std::fs::read_to_string(format!("{folder}/{name}")).unwrap();

    assert!(read_text("entry.toml", &read("entry.toml")).is_ok());
    assert!(read_text("control.toml", &read("control.toml")).is_ok());
    assert_eq!(read_objects_file("tree.toml", &read("tree.toml")).unwrap().len(), 7);
}

/// Text that is not valid TOML is refused with the line of the error.
#[test]
fn invalid_toml_is_refused_with_its_line() {
    let problems = read_text("e.toml", "role = \"entry\"\nvm = =\n").unwrap_err().0;

    assert_eq!(problems[0].path, "line 2");
}

/// A child inherits the settings that it does not override, and the origin of each value is reported.
#[test]
fn child_inherits_settings_that_it_does_not_override() {
    let tree = tree(&[
        ("node/", 1, r#"{"settings":{"deadline_ms":1000,"priority":1}}"#),
        ("node/market", 2, r#"{"settings":{"priority":2}}"#),
        (
            "pipeline/p",
            3,
            r#"{"parent":"/market/budapest","layers":8,"settings":{"max_losses":3}}"#,
        ),
    ]);

    let effective = tree.effective("pipeline/p");

    assert_eq!(effective.policy.deadline_ms, 1000);
    assert_eq!(effective.policy.priority, 2);
    assert_eq!(effective.policy.max_losses, 3);
    assert_eq!(effective.origin["deadline_ms"], "node/");
    assert_eq!(effective.origin["priority"], "node/market");
    assert_eq!(effective.origin["max_losses"], "pipeline/p");
    assert_eq!(effective.origin["weight"], "built in");
}

/// An invalid version leaves the last valid one in force and is reported until a valid one is applied.
#[test]
fn invalid_object_leaves_the_last_valid_one_in_force() {
    let mut tree = tree(&[("pipeline/p", 1, r#"{"parent":"/m","layers":8}"#)]);

    let outcome = tree.apply("pipeline/p", 2, false, r#"{"parent":"/m","layers":0}"#);

    assert!(matches!(outcome, ApplyOutcome::Invalid(_)));
    assert_eq!(tree.pipeline("p").unwrap().layers, 8);
    assert!(tree.invalid().contains_key("pipeline/p"));
    tree.apply("pipeline/p", 3, false, r#"{"parent":"/m","layers":9}"#);
    assert!(tree.invalid().is_empty());
}

/// The newest version is in force, in whatever order versions and deletions are applied.
#[test]
fn older_version_never_replaces_a_newer_one() {
    for_fixed_seeds(200, 400, |u| {
        let mut tree = Tree::default();
        let mut newest: Option<(u64, bool)> = None;
        for _ in 0..u.int_in_range(1..=30)? {
            let version = u.int_in_range(1..=20)?;
            // A version has only one state, so whether it is a deletion depends on the version alone.
            let deleted = version % 3 == 0;
            let value = format!(r#"{{"parent":"/m","layers":{version}}}"#);

            tree.apply("pipeline/p", version, deleted, if deleted { "" } else { &value });

            newest = newest.max(Some((version, deleted)));
            let layers = tree.pipeline("p").map(|p| u64::from(p.layers));
            let expected = newest.and_then(|(version, deleted)| (!deleted).then_some(version));
            assert_eq!(layers, expected);
        }
        Ok(())
    });
}

/// After an organisation is deleted and created again, only its new key is accepted.
#[test]
fn recreated_organisation_has_only_its_new_key() {
    let object = |key: &str| format!(r#"{{"parent":"/m","key_hashes":["{}"]}}"#, hash_key(key));
    let mut tree = Tree::default();
    tree.apply("organisation/o", 1, false, &object("old"));
    tree.apply("organisation/o", 2, true, "");
    tree.apply("organisation/o", 3, false, &object("new"));

    assert_eq!(tree.organisation_of_key(&hash_key("old")), None);
    assert_eq!(tree.organisation_of_key(&hash_key("new")), Some("o"));
}

/// An organisation may call only objects below its own top-level node.
#[test]
fn organisation_may_call_only_below_its_top_level_node() {
    let tree = tree(&[("organisation/o", 1, r#"{"parent":"/market/retail","key_hashes":[]}"#)]);

    assert!(tree.may_call("o", "/market/budapest"));
    assert!(!tree.may_call("o", "/match"));
    assert!(!tree.may_call("o", "/"));
    assert!(!tree.may_call("unknown", "/market"));
}

/// The objects of a file are returned in an order in which they can be written.
#[test]
fn objects_of_a_file_are_sorted_by_dependency() {
    let text = r#"
[endpoint.e]
parent = "/m"
hall = "h"
kind = "k1"
pipeline = "p"
end_layer = 4
address = "127.0.0.1:1"
[pipeline.p]
parent = "/m"
layers = 4
[node."/m".settings]
priority = 3
"#;

    let objects = read_objects_file("f.toml", text).unwrap();

    let keys: Vec<&str> = objects.iter().map(|(key, _)| key.as_str()).collect();
    assert_eq!(keys, ["node/m", "pipeline/p", "endpoint/e"]);
}

/// An endpoint that refers to an unknown pipeline is refused.
#[test]
fn endpoint_of_unknown_pipeline_is_refused() {
    let tree = Tree::default();
    let text = r#"{"parent":"/m","hall":"h","kind":"k","pipeline":"p","end_layer":4,"address":"127.0.0.1:1"}"#;
    let object = sillbank_settings::objects::read_object("endpoint/e", text).unwrap();

    let problems = tree.check_references("endpoint/e", &object).unwrap_err();

    assert_eq!(problems.0[0].path, "pipeline");
}

/// Readers of objects and files never panic on arbitrary text.
#[test]
fn reading_arbitrary_text_never_panics() {
    for_fixed_seeds(300, 300, |u| {
        let kinds = ["node/x", "pipeline/x", "organisation/x", "endpoint/x", "service/x", "y"];
        let key = u.choose(&kinds)?;
        let text: String = u.arbitrary()?;
        drop(sillbank_settings::objects::read_object(key, &text));
        drop(read_text("fuzz", &text));
        drop(read_objects_file("fuzz", &text));
        Ok(())
    });
}

/// Guards against a command about one object that reads or writes another: a key with `?` or `#` ends there in a URL.
#[test]
fn keys_that_mean_others_in_a_url_are_told_from_those_that_do_not() {
    let keys = ["node/casa/ain", "endpoint/e-1", "service/a_b.c", "node/", ""];
    assert!(keys.into_iter().all(is_path_key));

    let others =
        ["node/a?b", "node/a#b", "node/a%62", "node/a b", "node/a\n", "node/\u{e9}", "node/a&b"];
    assert!(!others.into_iter().any(is_path_key));
}
