//! `sillbank-load`: open-loop load, experiments, and a check of callers' results against the
//! ledgers of the back ends.

#![forbid(unsafe_code)]

use argh::FromArgs;
use sillbank_load::{
    Verdict, control_bench, experiment, fleet, hop, once_bench, run, settings_bench, wait,
};
use smol::LocalExecutor;
use std::process::ExitCode;
use std::rc::Rc;

/// Load, experiments and checks.
/// Exit codes: 0 done and every check passed, 1 failed or a check did not pass, 2 wrong arguments.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Option<Command>,
    /// print the version
    #[argh(switch)]
    version: bool,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Control(control_bench::ControlArguments),
    Experiment(experiment::ExperimentArguments),
    Fleet(fleet::FleetArguments),
    AtMostOnce(once_bench::OnceArguments),
    Hop(hop::HopArguments),
    Run(run::RunArguments),
    Settings(settings_bench::SettingsArguments),
    Wait(wait::WaitArguments),
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("sillbank-load {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    sillbank_net::telemetry::init_logging(false, "warn");
    let executor = Rc::new(LocalExecutor::new());
    match smol::block_on(executor.run(run_command(executor.clone(), arguments.command))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("load: {error}.");
            ExitCode::FAILURE
        }
    }
}

async fn run_command(executor: Rc<LocalExecutor<'static>>, command: Option<Command>) -> Verdict {
    match command {
        Some(Command::Experiment(arguments)) => experiment::run(executor, arguments).await,
        Some(Command::Fleet(arguments)) => fleet::write(&arguments),
        Some(Command::AtMostOnce(arguments)) => once_bench::run(executor, arguments).await,
        Some(Command::Hop(arguments)) => hop::run(executor, arguments).await,
        Some(Command::Control(arguments)) => control_bench::run(executor, arguments).await,
        Some(Command::Settings(arguments)) => settings_bench::run(executor, arguments).await,
        Some(Command::Run(arguments)) => run::run(executor, arguments).await,
        Some(Command::Wait(arguments)) => wait::run(executor, arguments).await,
        None => Err("name a command; see --help".into()),
    }
}
