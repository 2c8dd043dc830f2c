//! `sillbank explain`: the meaning of an error code, or the log lines about a request.

use crate::CommandError;
use argh::FromArgs;
use sillbank_core::prelude::*;
use std::path::PathBuf;

/// Explain an error code, such as SB0006, or show the log lines about a request.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArguments {
    /// id of a request whose log lines are shown
    #[argh(option)]
    request: Option<String>,
    /// error codes, all if none is given; with --request, log files
    #[argh(positional)]
    names: Vec<String>,
}

pub(crate) fn explain(arguments: &ExplainArguments) -> Result<(), CommandError> {
    if let Some(request) = &arguments.request {
        let files: Vec<PathBuf> = arguments.names.iter().map(PathBuf::from).collect();
        return crate::request_trace::print(request, &files);
    }
    let callers = FailureKind::ALL.map(|kind| (kind.code(), format!("{kind:?}"), kind.remedy()));
    let admin = AdminFailureKind::ALL.map(|kind| (kind.code(), format!("{kind:?}"), kind.remedy()));
    let is_requested = |code: &str| {
        arguments.names.is_empty() || arguments.names.iter().any(|requested| requested == code)
    };
    let mut found = false;
    for (code, name, remedy) in callers.into_iter().chain(admin) {
        if is_requested(code) {
            println!("{code} {name}: {remedy} See docs/errors/{code}.md.");
            found = true;
        }
    }
    match found {
        true => Ok(()),
        false => Err(CommandError::Other(
            "There is no such error code; run it without one to list all.".to_owned(),
        )),
    }
}
