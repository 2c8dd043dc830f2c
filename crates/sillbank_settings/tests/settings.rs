//! Settings are checked whole, and the tree gives each value with where it came from.
#![allow(clippy::unwrap_used)]

use sillbank_settings::objects::{hash_key, read_objects_file};
use sillbank_settings::prelude::*;
use sillbank_settings::process::{ProcessSettings, read_text};
use sillbank_settings::tree::Taken;
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
        assert_eq!(tree.take(key, *version, false, value), Taken::InForce, "{key}");
    }
    tree
}

#[test]
fn a_good_file_is_read() {
    let ProcessSettings::Entry(settings) = read_text("e.toml", ENTRY).unwrap() else {
        panic!("not an entry");
    };

    assert_eq!(settings.vm, "vm1");
    assert_eq!(settings.max_body_bytes, 1 << 20);
}

#[test]
fn every_fault_of_a_file_is_named_at_once_with_path_and_remedy() {
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

#[test]
fn the_commented_examples_are_valid() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let read = |name: &str| std::fs::read_to_string(format!("{folder}/{name}")).unwrap();

    assert!(read_text("entry.toml", &read("entry.toml")).is_ok());
    assert!(read_text("control.toml", &read("control.toml")).is_ok());
    assert_eq!(read_objects_file("tree.toml", &read("tree.toml")).unwrap().len(), 7);
}

#[test]
fn text_that_is_not_toml_is_refused_with_its_line() {
    let problems = read_text("e.toml", "role = \"entry\"\nvm = =\n").unwrap_err().0;

    assert_eq!(problems[0].path, "line 2");
}

#[test]
fn a_child_inherits_unless_it_says_otherwise() {
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

#[test]
fn an_invalid_object_leaves_the_last_good_one_in_force_and_shows() {
    let mut tree = tree(&[("pipeline/p", 1, r#"{"parent":"/m","layers":8}"#)]);

    let taken = tree.take("pipeline/p", 2, false, r#"{"parent":"/m","layers":0}"#);

    assert!(matches!(taken, Taken::Invalid(_)));
    assert_eq!(tree.pipeline("p").unwrap().layers, 8);
    assert!(tree.invalid().contains_key("pipeline/p"));
    tree.take("pipeline/p", 3, false, r#"{"parent":"/m","layers":9}"#);
    assert!(tree.invalid().is_empty());
}

#[test]
fn an_older_version_never_replaces_a_newer_one_in_any_order() {
    for_fixed_seeds(200, 400, |u| {
        let mut tree = Tree::default();
        let mut newest: Option<(u64, bool)> = None;
        for _ in 0..u.int_in_range(1..=30)? {
            let version = u.int_in_range(1..=20)?;
            // A version names one state: whether it is a deletion follows from it.
            let deleted = version % 3 == 0;
            let value = format!(r#"{{"parent":"/m","layers":{version}}}"#);

            tree.take("pipeline/p", version, deleted, if deleted { "" } else { &value });

            newest = newest.max(Some((version, deleted)));
            let layers = tree.pipeline("p").map(|p| u64::from(p.layers));
            let expected = newest.and_then(|(version, deleted)| (!deleted).then_some(version));
            assert_eq!(layers, expected);
        }
        Ok(())
    });
}

#[test]
fn a_deleted_and_remade_organisation_answers_to_its_new_key_only() {
    let object = |key: &str| format!(r#"{{"parent":"/m","key_hashes":["{}"]}}"#, hash_key(key));
    let mut tree = Tree::default();
    tree.take("organisation/o", 1, false, &object("old"));
    tree.take("organisation/o", 2, true, "");
    tree.take("organisation/o", 3, false, &object("new"));

    assert_eq!(tree.organisation_of_key(&hash_key("old")), None);
    assert_eq!(tree.organisation_of_key(&hash_key("new")), Some("o"));
}

#[test]
fn an_organisation_may_call_only_under_its_own_top_node() {
    let tree = tree(&[("organisation/o", 1, r#"{"parent":"/market/retail","key_hashes":[]}"#)]);

    assert!(tree.may_call("o", "/market/budapest"));
    assert!(!tree.may_call("o", "/match"));
    assert!(!tree.may_call("o", "/"));
    assert!(!tree.may_call("unknown", "/market"));
}

#[test]
fn objects_of_a_file_come_in_the_order_in_which_they_can_be_written() {
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

#[test]
fn an_endpoint_that_names_no_known_pipeline_is_refused() {
    let tree = Tree::default();
    let text = r#"{"parent":"/m","hall":"h","kind":"k","pipeline":"p","end_layer":4,"address":"127.0.0.1:1"}"#;
    let object = sillbank_settings::objects::read_object("endpoint/e", text).unwrap();

    let problems = tree.check_references("endpoint/e", &object).unwrap_err();

    assert_eq!(problems.0[0].path, "pipeline");
}

#[test]
fn reading_an_object_never_panics() {
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
