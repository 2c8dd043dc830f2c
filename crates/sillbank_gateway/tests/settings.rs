//! Settings are checked, and have defaults.

use sillbank_gateway::mechanisms::Mechanisms;
use sillbank_gateway::settings::read_text;
use std::time::Duration;

const MINIMAL: &str = "\
vm = \"g1\"
hall = \"a\"
callers_listen = \"10.0.0.1:1\"
ready_listen = \"10.0.0.1:2\"
metrics_listen = \"10.0.0.1:3\"
peer_listen = \"10.0.0.1:4\"
store = \"10.0.0.2:5\"
";

/// Values that are left out have defaults.
#[test]
fn missing_values_have_defaults() {
    let settings = read_text("test", MINIMAL).expect("valid settings");

    assert_eq!(settings.stop_grace, Duration::from_secs(8));
    assert_eq!(settings.key_revocation, Duration::from_secs(5));
}

/// A number may be written as an integer or as a fraction.
#[test]
fn integers_and_fractions_are_accepted() {
    let text =
        format!("{MINIMAL}stop_grace_s = 8.5\nkey_revocation_ms = 4000\nretry_slack = 202\n");

    let settings = read_text("test", &text).expect("valid settings");

    assert_eq!(settings.stop_grace, Duration::from_millis(8_500));
    assert_eq!(settings.key_revocation, Duration::from_secs(4));
}

/// All problems of a file are reported at once, each with its path and a remedy.
#[test]
fn every_problem_is_reported_with_a_remedy() {
    let text = MINIMAL.replace("hall = \"a\"\n", "").replace("10.0.0.2:5", "nowhere")
        + "stop_grace_s = -1\nstop_grace_ms = 5\n";

    let problems = read_text("test", &text).expect_err("invalid settings").0;

    let paths: Vec<&str> = problems.iter().map(|problem| problem.path.as_str()).collect();
    assert_eq!(paths, ["hall", "store", "stop_grace_s", "stop_grace_ms"]);
    assert!(problems.iter().all(|problem| !problem.remedy.is_empty()));
}

/// Mechanisms are enabled unless their section disables them; unknown ones are an error.
#[test]
fn mechanisms_are_enabled_by_default() {
    let text = format!("{MINIMAL}[mechanisms]\nmoves = false\nladder = false\n");

    let settings = read_text("test", &text).expect("valid settings");
    let unknown = read_text("test", &format!("{MINIMAL}[mechanisms]\nluck = true\n"));

    let expected = Mechanisms { moves: false, ladder: false, ..Mechanisms::default() };
    assert_eq!(settings.mechanisms, expected);
    assert_eq!(unknown.expect_err("invalid settings").0[0].path, "mechanisms.luck");
}

/// Settings without processors, link rate or memory are rejected.
#[test]
fn resources_of_a_vm_must_be_positive() {
    let text = format!("{MINIMAL}processors = 0\nlink_mbps = -20\nmemory_mb = 0\n");

    let problems = read_text("test", &text).expect_err("invalid settings").0;

    let paths: Vec<&str> = problems.iter().map(|problem| problem.path.as_str()).collect();
    assert_eq!(paths, ["processors", "link_mbps", "memory_mb"]);
}

/// The limit of buffered bytes is a quarter of the VM's memory.
#[test]
fn buffer_limit_follows_the_memory_of_the_vm() {
    let settings =
        read_text("test", &format!("{MINIMAL}memory_mb = 112\n")).expect("valid settings");

    assert_eq!(settings.buffer_limit_bytes(), 28_000_000);
}
