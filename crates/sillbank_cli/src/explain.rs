//! `sillbank explain`: what an error number means, or what happened to a request.

use crate::CommandError;
use argh::FromArgs;
use sillbank_core::prelude::*;
use std::path::PathBuf;

/// Explain an error number, such as SB0006, or a request from log files.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArguments {
    /// id of a request whose story is told from log files
    #[argh(option)]
    request: Option<String>,
    /// numbers, all without any; with --request, log files
    #[argh(positional)]
    names: Vec<String>,
}

pub(crate) fn explain(arguments: &ExplainArguments) -> Result<(), CommandError> {
    if let Some(request) = &arguments.request {
        let files: Vec<PathBuf> = arguments.names.iter().map(PathBuf::from).collect();
        return crate::story::tell(request, &files);
    }
    let callers = FailureKind::ALL.map(|kind| (kind.code(), format!("{kind:?}"), kind.remedy()));
    let admin = AdminFailureKind::ALL.map(|kind| (kind.code(), format!("{kind:?}"), kind.remedy()));
    let wanted = |code: &str| {
        arguments.names.is_empty() || arguments.names.iter().any(|asked| asked == code)
    };
    let mut found = false;
    for (code, name, remedy) in callers.into_iter().chain(admin) {
        if wanted(code) {
            println!("{code} {name}: {remedy} See docs/errors/{code}.md.");
            found = true;
        }
    }
    match found {
        true => Ok(()),
        false => {
            Err(CommandError::Other("There is no such number; run it without one.".to_owned()))
        }
    }
}
