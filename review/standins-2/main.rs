//! Stand-ins and drivers of the cases of the second review. The first argument names what to run.

mod gateway;
mod http;
mod json;
mod link;
mod lossy;
mod lossy_link;
mod plain;
mod runner;
mod store;
mod unframed;
mod watches;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["runner", rest @ ..] => runner::run(rest),
        ["plain", rest @ ..] => plain::run(rest),
        ["lossy", folder] => lossy::run(folder),
        ["watches", folder] => watches::run(folder),
        ["unframed", folder] => unframed::run(folder),
        _ => {
            eprintln!("usage: standins runner ... | CASE FOLDER");
            ExitCode::from(2)
        }
    }
}
