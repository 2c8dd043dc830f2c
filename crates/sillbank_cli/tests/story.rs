//! `sillbank explain --request` collects the log lines about one request from several files.
#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::process::{Command, Output};

const FIRST_VM: &str = "\
2026-12-02T10:00:00.100000Z  INFO endpoint: Left alone. endpoint=\"e9\" reason=\"other\"
2026-12-02T10:00:01.000000Z  INFO route: Sent. request=\"r1\" endpoint=\"e1\" send=1
2026-12-02T10:00:01.500000Z  INFO route: Send failed. request=\"r1\" endpoint=\"e1\" at_fault=\"e2\"
2026-12-02T10:00:02.000000Z  INFO caller: Ended. request=\"r1\" outcome=\"broken_off\"
2026-12-02T10:00:02.000000Z  INFO caller: Ended. request=\"r2\" outcome=\"answered\"
";
const SECOND_VM: &str = "\
2026-12-02T10:00:01.400000Z  WARN endpoint: Left alone. endpoint=\"e2\" reason=\"no report\"
2026-12-02T09:00:00.000000Z  WARN endpoint: Left alone. endpoint=\"e2\" reason=\"long ago\"
not a log line
";

fn log_files(name: &str) -> Vec<PathBuf> {
    let folder = std::env::temp_dir().join(format!("sillbank-story-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let files = [("a.log", FIRST_VM), ("b.log", SECOND_VM)];
    let write = |(name, text): (&str, &str)| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        path
    };
    files.map(write).to_vec()
}

fn explain(request: &str, files: &[PathBuf]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sillbank"))
        .args(["explain", "--request", request])
        .args(files)
        .output()
        .unwrap()
}

/// Lines of the request and recent events of its endpoints are printed in order of time, each
/// with the name of its file; older events and other requests are left out.
#[test]
fn lines_of_a_request_and_of_its_endpoints_are_printed_in_order() {
    let files = log_files("order");

    let output = explain("r1", &files);

    let text = String::from_utf8(output.stdout).unwrap();
    let selected: Vec<&str> =
        text.lines().map(|line| line.split_once("Z ").unwrap().1.trim()).collect();
    let beginnings: Vec<&str> =
        selected.iter().map(|line| line.split(". ").next().unwrap()).collect();
    assert_eq!(
        beginnings,
        [
            "INFO route: Sent",
            "WARN endpoint: Left alone",
            "INFO route: Send failed",
            "INFO caller: Ended"
        ]
    );
    assert!(text.contains("b.log: "));
    assert!(!text.contains("long ago") && !text.contains("r2"));
}

/// A request that no log line is about is an error that says which log files to give.
#[test]
fn an_unknown_request_is_an_error_with_a_remedy() {
    let files = log_files("unknown");

    let output = explain("r9", &files);

    assert!(!output.status.success());
    assert!(String::from_utf8(output.stderr).unwrap().contains("name the log files"));
}
