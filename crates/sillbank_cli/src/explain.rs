//! `sillbank explain`: what an error number means.

use crate::CommandError;
use argh::FromArgs;
use sillbank_core::prelude::*;

/// Explain an error number, such as SB0006.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArguments {
    /// number; all without it
    #[argh(positional)]
    code: Option<String>,
}

pub(crate) fn explain(arguments: &ExplainArguments) -> Result<(), CommandError> {
    let callers = FailureKind::ALL.map(|kind| (kind.code(), format!("{kind:?}"), kind.remedy()));
    let admin = AdminFailureKind::ALL.map(|kind| (kind.code(), format!("{kind:?}"), kind.remedy()));
    let wanted = |code: &str| arguments.code.as_deref().is_none_or(|asked| asked == code);
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
