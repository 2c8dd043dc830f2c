//! `sillbank`: the command line tool for operators.

#![forbid(unsafe_code)]

mod apply;
mod check;
mod control_client;
mod explain;
mod request_trace;
mod show;

use argh::FromArgs;
use smol::LocalExecutor;
use std::process::ExitCode;
use std::rc::Rc;

/// Operate a sillbank fleet: check and apply settings, show what is in force.
/// The control process is given by --control or SILLBANK_CONTROL, the key by SILLBANK_KEY.
/// Exit codes: 0 done, 1 failed, 2 invalid arguments or settings, 3 conflict with a newer change.
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
    Check(check::CheckArguments),
    Apply(apply::ApplyArguments),
    Diff(apply::DiffArguments),
    Delete(apply::DeleteArguments),
    Get(show::GetArguments),
    Status(show::StatusArguments),
    Explain(explain::ExplainArguments),
    HashKey(HashKeyArguments),
}

/// Print the hash of a key read from standard input, in the form that settings store.
#[derive(FromArgs)]
#[argh(subcommand, name = "hash-key")]
struct HashKeyArguments {}

/// Error of a command.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// The settings are invalid.
    #[error("{0}")]
    Settings(#[from] sillbank_settings::reader::Problems),
    /// The control process refused the request.
    #[error("{0}")]
    Refused(#[from] sillbank_core::admin::AdminFailure),
    /// The call to the control process failed.
    #[error("{0}")]
    Call(#[from] sillbank_net::client::CallError),
    /// A key or prefix is no part of a path.
    #[error(transparent)]
    Path(#[from] sillbank_net::client::InvalidPath),
    /// Any other error, with its message.
    #[error("{0}")]
    Other(String),
}

impl CommandError {
    fn exit_code(&self) -> ExitCode {
        use sillbank_core::admin::AdminFailureKind;
        match self {
            Self::Settings(_) => ExitCode::from(2),
            Self::Refused(failure) if failure.kind == AdminFailureKind::Conflict => {
                ExitCode::from(3)
            }
            Self::Refused(_) | Self::Call(_) | Self::Path(_) | Self::Other(_) => ExitCode::FAILURE,
        }
    }
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("sillbank {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    sillbank_net::telemetry::init_logging(false, "warn");
    let executor = Rc::new(LocalExecutor::new());
    match smol::block_on(executor.run(run(executor.clone(), arguments.command))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

async fn run(
    executor: Rc<LocalExecutor<'static>>,
    command: Option<Command>,
) -> Result<(), CommandError> {
    match command {
        Some(Command::Check(arguments)) => check::check(&arguments),
        Some(Command::Apply(arguments)) => apply::apply(executor, arguments).await,
        Some(Command::Diff(arguments)) => apply::diff(executor, arguments).await,
        Some(Command::Delete(arguments)) => apply::delete(executor, arguments).await,
        Some(Command::Get(arguments)) => show::get(executor, arguments).await,
        Some(Command::Status(arguments)) => show::status(executor, arguments).await,
        Some(Command::Explain(arguments)) => explain::explain(&arguments),
        Some(Command::HashKey(_)) => hash_key(),
        None => Err(CommandError::Other("Name a command; see --help.".to_owned())),
    }
}

fn hash_key() -> Result<(), CommandError> {
    let mut key = String::new();
    std::io::stdin().read_line(&mut key).map_err(|e| CommandError::Other(e.to_string()))?;
    println!("{}", sillbank_settings::objects::hash_key(key.trim()));
    Ok(())
}
