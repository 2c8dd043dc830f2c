//! `sillbank get` and `status`: what is in force.

use crate::CommandError;
use crate::remote::Remote;
use argh::FromArgs;
use serde_json::{Map, Value};
use sillbank_protocol::platform::Object;
use smol::{LocalExecutor, Timer};
use std::rc::Rc;
use std::time::Duration;

/// Time between looks of `status --watch`.
const WATCH: Duration = Duration::from_secs(1);

/// Show objects, or the settings in force for one and where each came from.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct GetArguments {
    /// key, or the beginning of several; all without it
    #[argh(positional, default = "String::new()")]
    key: String,
    /// show each setting in force and the object it came from
    #[argh(switch)]
    effective: bool,
    /// control process, IP:PORT
    #[argh(option)]
    control: Option<String>,
}

/// Show the state of the fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArguments {
    /// control process, IP:PORT
    #[argh(option)]
    control: Option<String>,
    /// show it again each second
    #[argh(switch)]
    watch: bool,
}

pub(crate) async fn get(
    executor: Rc<LocalExecutor<'static>>,
    arguments: GetArguments,
) -> Result<(), CommandError> {
    let remote = Remote::new(executor, arguments.control)?;
    if arguments.effective {
        let settings: Map<String, Value> =
            remote.get(&format!("/v1/effective/{}", arguments.key)).await?;
        for (name, entry) in settings {
            let from = entry["from"].as_str().unwrap_or_default();
            println!("{name:20} {:>10}  from {from}", entry["value"].to_string());
        }
        return Ok(());
    }
    let objects: Vec<Object> = remote.get(&format!("/v1/objects?prefix={}", arguments.key)).await?;
    for object in &objects {
        println!("{} version {}\n  {}", object.key, object.version, object.value);
    }
    match objects.is_empty() {
        true => Err(CommandError::Other(format!("There is no object {}.", arguments.key))),
        false => Ok(()),
    }
}

pub(crate) async fn status(
    executor: Rc<LocalExecutor<'static>>,
    arguments: StatusArguments,
) -> Result<(), CommandError> {
    let remote = Remote::new(executor, arguments.control)?;
    loop {
        let status: Value = remote.get("/v1/status").await?;
        println!("{status:#}");
        if !arguments.watch {
            return Ok(());
        }
        Timer::after(WATCH).await;
    }
}
