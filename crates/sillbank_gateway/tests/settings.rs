//! Settings are checked, and have defaults.

use sillbank_gateway::mechanisms::Mechanisms;
use sillbank_gateway::settings::read_text;
use std::time::Duration;

const LEAST: &str = "\
vm = \"g1\"
hall = \"a\"
callers_listen = \"10.0.0.1:1\"
ready_listen = \"10.0.0.1:2\"
metrics_listen = \"10.0.0.1:3\"
peer_listen = \"10.0.0.1:4\"
store = \"10.0.0.2:5\"
";

#[test]
fn figures_that_are_left_out_have_a_value() {
    let settings = read_text("test", LEAST).expect("it is whole");

    assert_eq!(settings.stop_grace, Duration::from_secs(8));
    assert_eq!(settings.key_revocation, Duration::from_secs(5));
}

#[test]
fn figures_may_be_whole_numbers_or_fractions() {
    let text = format!("{LEAST}stop_grace_s = 8.5\nkey_revocation_ms = 4000\nretry_slack = 202\n");

    let settings = read_text("test", &text).expect("it is whole");

    assert_eq!(settings.stop_grace, Duration::from_millis(8_500));
    assert_eq!(settings.key_revocation, Duration::from_secs(4));
}

#[test]
fn every_fault_is_named_with_a_remedy() {
    let text = LEAST.replace("hall = \"a\"\n", "").replace("10.0.0.2:5", "nowhere")
        + "stop_grace_s = -1\nstop_grace_ms = 5\n";

    let problems = read_text("test", &text).expect_err("it is faulty").0;

    let paths: Vec<&str> = problems.iter().map(|problem| problem.path.as_str()).collect();
    assert_eq!(paths, ["hall", "store", "stop_grace_s", "stop_grace_ms"]);
    assert!(problems.iter().all(|problem| !problem.remedy.is_empty()));
}

#[test]
fn mechanisms_are_on_unless_their_section_says_otherwise() {
    let text = format!("{LEAST}[mechanisms]\nmoves = false\nladder = false\n");

    let settings = read_text("test", &text).expect("it is whole");
    let unknown = read_text("test", &format!("{LEAST}[mechanisms]\nluck = true\n"));

    let expected = Mechanisms { moves: false, ladder: false, ..Mechanisms::default() };
    assert_eq!(settings.mechanisms, expected);
    assert_eq!(unknown.expect_err("it is faulty").0[0].path, "mechanisms.luck");
}

#[test]
fn a_vm_without_processors_or_link_is_refused() {
    let text = format!("{LEAST}processors = 0\nlink_mbps = -20\nmemory_mb = 0\n");

    let problems = read_text("test", &text).expect_err("it is faulty").0;

    let paths: Vec<&str> = problems.iter().map(|problem| problem.path.as_str()).collect();
    assert_eq!(paths, ["processors", "link_mbps", "memory_mb"]);
}

#[test]
fn what_is_kept_for_callers_is_bounded_by_the_memory_of_the_vm() {
    let settings = read_text("test", &format!("{LEAST}memory_mb = 112\n")).expect("it is whole");

    assert_eq!(settings.kept_bound_bytes(), 28_000_000);
}
