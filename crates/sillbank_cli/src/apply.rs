//! `sillbank apply`, `diff` and `delete`: changes to the settings tree.

use crate::CommandError;
use crate::check::read_files;
use crate::control_client::ControlClient;
use argh::FromArgs;
use serde_json::Value;
use sillbank_protocol::platform::Object;
use sillbank_settings::objects::read_objects_file;
use smol::LocalExecutor;
use std::path::PathBuf;
use std::rc::Rc;

/// Apply objects from TOML files or folders.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ApplyArguments {
    /// TOML files or folders
    #[argh(positional)]
    paths: Vec<PathBuf>,
    /// control process, IP:PORT
    #[argh(option)]
    control: Option<String>,
    /// reason, stored with the change
    #[argh(option, default = "String::new()")]
    why: String,
    /// only print what would change
    #[argh(switch)]
    dry_run: bool,
}

/// Show the differences between objects in files and those in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffArguments {
    /// TOML files or folders
    #[argh(positional)]
    paths: Vec<PathBuf>,
    /// control process, IP:PORT
    #[argh(option)]
    control: Option<String>,
}

/// Delete an object.
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub(crate) struct DeleteArguments {
    /// key, such as endpoint/engine1
    #[argh(positional)]
    key: String,
    /// control process, IP:PORT
    #[argh(option)]
    control: Option<String>,
    /// reason, stored with the change
    #[argh(option, default = "String::new()")]
    why: String,
}

/// An object in a file that differs from the one in force.
struct Change {
    key: String,
    current: Option<Object>,
    value: Value,
}

pub(crate) async fn apply(
    executor: Rc<LocalExecutor<'static>>,
    arguments: ApplyArguments,
) -> Result<(), CommandError> {
    let client = ControlClient::new(executor, arguments.control)?;
    let (differing, unchanged) = find_changes(&client, &arguments.paths).await?;
    for change in &differing {
        let verb = if change.current.is_some() { "change" } else { "add" };
        if arguments.dry_run {
            println!("would {verb} {}", change.key);
            continue;
        }
        let expected = change.current.as_ref().map(|object| object.version);
        let object =
            client.write(&change.key, expected, Some(&change.value), &arguments.why).await?;
        println!("{verb} {} version {}", object.key, object.version);
    }
    println!("{} changed, {unchanged} the same.", differing.len());
    Ok(())
}

pub(crate) async fn diff(
    executor: Rc<LocalExecutor<'static>>,
    arguments: DiffArguments,
) -> Result<(), CommandError> {
    let client = ControlClient::new(executor, arguments.control)?;
    let (differing, unchanged) = find_changes(&client, &arguments.paths).await?;
    for change in &differing {
        println!("{}", change.key);
        let current = change.current.as_ref().map(without_note).unwrap_or_default();
        print_differences("", &current, &change.value);
    }
    println!("{} differ, {unchanged} are the same.", differing.len());
    Ok(())
}

pub(crate) async fn delete(
    executor: Rc<LocalExecutor<'static>>,
    arguments: DeleteArguments,
) -> Result<(), CommandError> {
    let client = ControlClient::new(executor, arguments.control)?;
    let Some(current) = client.object(&arguments.key).await? else {
        return Err(CommandError::Other(format!("There is no object {}.", arguments.key)));
    };
    let deleted = client.write(&arguments.key, Some(current.version), None, &arguments.why).await?;
    println!("deleted {} version {}", deleted.key, deleted.version);
    Ok(())
}

/// Compares the objects in files with those in force; returns the differing ones and the number of
/// equal ones.
async fn find_changes(
    client: &ControlClient,
    paths: &[PathBuf],
) -> Result<(Vec<Change>, usize), CommandError> {
    let mut differing = Vec::new();
    let mut unchanged = 0;
    for (source, text) in read_files(paths)? {
        for (key, value) in read_objects_file(&source, &text)? {
            let current = client.object(&key).await?;
            match current.as_ref().map(without_note) {
                Some(old) if old == value => unchanged += 1,
                _ => differing.push(Change { key, current, value }),
            }
        }
    }
    Ok((differing, unchanged))
}

/// Returns the value of an object without its `note`, which records who wrote it and why.
fn without_note(object: &Object) -> Value {
    let mut value: Value = serde_json::from_str(&object.value).unwrap_or_default();
    if let Some(fields) = value.as_object_mut() {
        fields.remove("note");
    }
    value
}

/// Prints each field that differs, with its path, old and new value.
fn print_differences(path: &str, old: &Value, new: &Value) {
    if let (Some(old), Some(new)) = (old.as_object(), new.as_object()) {
        let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
        names.sort();
        names.dedup();
        for name in names {
            let (a, b) = (old.get(name), new.get(name));
            let inner = format!("{path}{name}.");
            print_differences(&inner, a.unwrap_or(&Value::Null), b.unwrap_or(&Value::Null));
        }
        return;
    }
    if old != new {
        println!("  {} {old} -> {new}", path.trim_end_matches('.'));
    }
}
