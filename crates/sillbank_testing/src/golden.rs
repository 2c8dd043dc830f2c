//! Runs a golden script and compares its output with the script in memory.
//!
//! `goldenscript::run` writes the output to a temporary file and compares that file: on a full disk
//! it reported the part that could not be written as a difference, and the output was lost.

use goldenscript::{Command, Runner};
use std::path::Path;

/// Set to 1, it writes the output to the script instead of comparing both.
const UPDATE_VARIABLE: &str = "UPDATE_GOLDENFILES";

/// Runs the script at `path` and compares its output with it.
///
/// # Panics
/// With the whole output if it differs, or if the script cannot be read or run.
pub fn run_script(runner: &mut impl Runner<Command = Command>, path: impl AsRef<Path>) {
    let path = path.as_ref();
    let expected = std::fs::read_to_string(path)
        .unwrap_or_else(|error| panic!("The script {} cannot be read: {error}.", path.display()));
    let output = goldenscript::generate(runner, &expected)
        .unwrap_or_else(|error| panic!("The script {} failed: {error}.", path.display()));
    if std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1") {
        std::fs::write(path, output).unwrap_or_else(|error| {
            panic!("The script {} cannot be written: {error}.", path.display())
        });
        return;
    }
    if let Some(difference) = difference(&expected, &output) {
        panic!("The output of {} differs.\n{difference}", path.display());
    }
}

/// Describes where an output differs from what was expected, with the whole output; `None` if they
/// are equal.
pub fn difference(expected: &str, output: &str) -> Option<String> {
    if expected == output {
        return None;
    }
    let same = expected.lines().zip(output.lines()).take_while(|(a, b)| a == b).count();
    Some(format!("First different line: {}. Whole output:\n{output}", same + 1))
}
