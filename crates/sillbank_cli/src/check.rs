//! `sillbank check`: validates settings as the processes do when they read them.

use crate::CommandError;
use argh::FromArgs;
use sillbank_settings::objects::read_objects_file;
use sillbank_settings::process::read_text;
use sillbank_settings::reader::{Problem, Problems};
use std::path::{Path, PathBuf};

/// Validate settings files of processes and files of objects; reports all problems.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckArguments {
    /// TOML files or folders
    #[argh(positional)]
    paths: Vec<PathBuf>,
}

pub(crate) fn check(arguments: &CheckArguments) -> Result<(), CommandError> {
    let mut problems = Vec::new();
    let mut count = 0;
    for (source, text) in read_files(&arguments.paths)? {
        count += 1;
        let is_process = text.lines().any(|line| line.trim_start().starts_with("role"));
        let checked = match is_process {
            true => read_text(&source, &text).map(|_| ()),
            false => read_objects_file(&source, &text).map(|_| ()),
        };
        if let Err(error) = checked {
            problems.extend(error.0);
        }
    }
    if !problems.is_empty() {
        return Err(Problems(problems).into());
    }
    println!("{count} files are valid.");
    Ok(())
}

/// Reads all TOML files at the paths; returns each file's name and text.
///
/// # Errors
/// If a path cannot be read or there is no file.
pub(crate) fn read_files(paths: &[PathBuf]) -> Result<Vec<(String, String)>, CommandError> {
    let mut texts = Vec::new();
    for path in paths {
        for file in files_at(path)? {
            let text = std::fs::read_to_string(&file).map_err(|e| unreadable(&file, &e))?;
            texts.push((file.display().to_string(), text));
        }
    }
    match texts.is_empty() {
        true => Err(CommandError::Other("Name at least one TOML file or folder.".to_owned())),
        false => Ok(texts),
    }
}

/// Returns the path itself if it is a file, or the sorted TOML files of a folder.
fn files_at(path: &Path) -> Result<Vec<PathBuf>, CommandError> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let entries = std::fs::read_dir(path).map_err(|e| unreadable(path, &e))?;
    let is_toml = |file: &PathBuf| file.extension().is_some_and(|extension| extension == "toml");
    let mut files: Vec<PathBuf> =
        entries.filter_map(Result::ok).map(|entry| entry.path()).filter(is_toml).collect();
    files.sort();
    Ok(files)
}

fn unreadable(path: &Path, error: &std::io::Error) -> CommandError {
    CommandError::Settings(Problems(vec![Problem {
        source: path.display().to_string(),
        path: "(file)".to_owned(),
        reason: error.to_string(),
        remedy: "check the path and its permissions".to_owned(),
    }]))
}
