//! `sillbank get` and `status`: objects and settings in force, and the state of the fleet.

use crate::CommandError;
use crate::control_client::{ControlClient, path_of};
use argh::FromArgs;
use serde::Deserialize;
use serde_json::{Map, Value};
use sillbank_protocol::platform::Object;
use smol::{LocalExecutor, Timer};
use std::rc::Rc;
use std::time::Duration;

/// Refresh interval of `status --watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Show objects, or the settings in force for one object and the origin of each.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct GetArguments {
    /// key or prefix of keys; all objects if it is left out
    #[argh(positional, default = "String::new()")]
    key: String,
    /// show each setting in force and the object that defines it
    #[argh(switch)]
    effective: bool,
    /// control process, IP:PORT
    #[argh(option)]
    control: Option<String>,
}

/// Show the VMs of the fleet, the version in force in each, and problems.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArguments {
    /// control process, IP:PORT
    #[argh(option)]
    control: Option<String>,
    /// repeat each second
    #[argh(switch)]
    watch: bool,
    /// show the complete state of the control process, as JSON
    #[argh(switch)]
    json: bool,
}

/// The state of the fleet as reported by a control process.
#[derive(Debug, Deserialize)]
struct Fleet {
    newest_version: u64,
    halls: Vec<Hall>,
}

#[derive(Debug, Deserialize)]
struct Hall {
    hall: String,
    written_by: String,
    vms: Vec<Vm>,
    invalid: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Vm {
    vm: String,
    state: String,
    in_force: Option<u64>,
}

pub(crate) async fn get(
    executor: Rc<LocalExecutor<'static>>,
    arguments: GetArguments,
) -> Result<(), CommandError> {
    let client = ControlClient::new(executor, arguments.control)?;
    if arguments.effective {
        let settings: Map<String, Value> =
            client.get(&path_of("/v1/effective/", &arguments.key)?).await?;
        for (name, entry) in settings {
            let from = entry["from"].as_str().unwrap_or_default();
            println!("{name:20} {:>10}  from {from}", entry["value"].to_string());
        }
        return Ok(());
    }
    let objects: Vec<Object> = client.get(&path_of("/v1/objects?prefix=", &arguments.key)?).await?;
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
    let client = ControlClient::new(executor, arguments.control)?;
    loop {
        match arguments.json {
            true => println!("{:#}", client.get::<Value>("/v1/status").await?),
            false => print_fleet(&client.get("/v1/fleet").await?),
        }
        if !arguments.watch {
            return Ok(());
        }
        Timer::after(WATCH_INTERVAL).await;
    }
}

fn print_fleet(fleet: &Fleet) {
    let newest = fleet.newest_version;
    let mut behind = 0;
    let mut unresponsive = 0;
    for hall in &fleet.halls {
        println!("{} (told by {})", hall.hall, hall.written_by);
        for vm in &hall.vms {
            let version = vm.in_force.map_or("not heard".to_owned(), |v| v.to_string());
            println!("  {:16} {:8} in force {version}", vm.vm, vm.state);
            let alive = vm.state == "Alive";
            unresponsive += u32::from(!alive && vm.state != "Left");
            behind += u32::from(alive && vm.in_force < Some(newest));
        }
        for line in &hall.invalid {
            println!("  invalid: {line}");
        }
    }
    match behind {
        0 => println!("Version {newest} is in force in every VM that is alive."),
        _ => println!("Version {newest} is not yet in force in {behind} VMs; look again."),
    }
    if unresponsive > 0 {
        println!("{unresponsive} VMs do not answer: look whether the platform is replacing them.");
    }
}
