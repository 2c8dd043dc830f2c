//! `sillbank apply`, `diff` and `delete`: changes to the tree.

use crate::CommandError;
use crate::check::read_files;
use crate::remote::Remote;
use argh::FromArgs;
use serde_json::Value;
use sillbank_protocol::platform::Object;
use sillbank_settings::objects::read_objects_file;
use smol::LocalExecutor;
use std::path::PathBuf;
use std::rc::Rc;

/// Bring objects in force from files or folders of TOML.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ApplyArguments {
    /// files or folders
    #[argh(positional)]
    paths: Vec<PathBuf>,
    /// control process, IP:PORT
    #[argh(option)]
    control: Option<String>,
    /// reason, kept with the change
    #[argh(option, default = "String::new()")]
    why: String,
    /// only say what would change
    #[argh(switch)]
    dry_run: bool,
}

/// Show how objects in files differ from what is in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffArguments {
    /// files or folders
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
    /// reason, kept with the change
    #[argh(option, default = "String::new()")]
    why: String,
}

/// One object that is to change.
struct Change {
    key: String,
    here: Option<Object>,
    value: Value,
}

pub(crate) async fn apply(
    executor: Rc<LocalExecutor<'static>>,
    arguments: ApplyArguments,
) -> Result<(), CommandError> {
    let remote = Remote::new(executor, arguments.control)?;
    let (changes, same) = changes(&remote, &arguments.paths).await?;
    for change in &changes {
        let verb = if change.here.is_some() { "change" } else { "add" };
        if arguments.dry_run {
            println!("would {verb} {}", change.key);
            continue;
        }
        let expected = change.here.as_ref().map(|object| object.version);
        let object =
            remote.write(&change.key, expected, Some(&change.value), &arguments.why).await?;
        println!("{verb} {} version {}", object.key, object.version);
    }
    println!("{} changed, {same} the same.", changes.len());
    Ok(())
}

pub(crate) async fn diff(
    executor: Rc<LocalExecutor<'static>>,
    arguments: DiffArguments,
) -> Result<(), CommandError> {
    let remote = Remote::new(executor, arguments.control)?;
    let (changes, same) = changes(&remote, &arguments.paths).await?;
    for change in &changes {
        println!("{}", change.key);
        let here = change.here.as_ref().map(without_note).unwrap_or_default();
        print_differences("", &here, &change.value);
    }
    println!("{} differ, {same} are the same.", changes.len());
    Ok(())
}

pub(crate) async fn delete(
    executor: Rc<LocalExecutor<'static>>,
    arguments: DeleteArguments,
) -> Result<(), CommandError> {
    let remote = Remote::new(executor, arguments.control)?;
    let Some(here) = remote.object(&arguments.key).await? else {
        return Err(CommandError::Other(format!("There is no object {}.", arguments.key)));
    };
    let gone = remote.write(&arguments.key, Some(here.version), None, &arguments.why).await?;
    println!("deleted {} version {}", gone.key, gone.version);
    Ok(())
}

async fn changes(remote: &Remote, paths: &[PathBuf]) -> Result<(Vec<Change>, usize), CommandError> {
    let mut changes = Vec::new();
    let mut same = 0;
    for (source, text) in read_files(paths)? {
        for (key, value) in read_objects_file(&source, &text)? {
            let here = remote.object(&key).await?;
            match here.as_ref().map(without_note) {
                Some(old) if old == value => same += 1,
                _ => changes.push(Change { key, here, value }),
            }
        }
    }
    Ok((changes, same))
}

fn without_note(object: &Object) -> Value {
    let mut value: Value = serde_json::from_str(&object.value).unwrap_or_default();
    if let Some(fields) = value.as_object_mut() {
        fields.remove("note");
    }
    value
}

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
