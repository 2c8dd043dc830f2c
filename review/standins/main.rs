//! Runs one case of the review: `standins CASE FOLDER TEMPORARY`, with the folder of the case, and one for settings, logs
//! and the ids of the processes that it starts. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With TROUBLE=0 in the environment the disruption is left out.

mod case_crashed_zone;
mod case_cut_watch;
mod client;
mod crashable;
mod http;
mod json;
mod record;
mod service;
mod store;
mod vm;

use record::Record;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// What a case needs to run.
pub struct Setting {
    pub record: Record,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

impl Setting {
    /// Notes the id of a process that was started, for the script that ends what is left.
    pub fn keep_pid(&self, id: u32) {
        let file = OpenOptions::new().create(true).append(true).open(self.folder.join("pids"));
        writeln!(file.expect("the folder can be written to"), "{id}").expect("a file");
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, command, id, address] = arguments.as_slice()
        && command == "runner"
    {
        crashable::run(id, address.parse().expect("an address"));
        return ExitCode::SUCCESS;
    }
    let [_, case, folder, temporary] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER TEMPORARY");
        return ExitCode::from(2);
    };
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let setting = Setting { record: record.clone(), folder: temporary.into(), has_trouble };
    let verdict = match case.as_str() {
        "crashed-zone" => case_crashed_zone::run(&setting),
        "cut-watch" => case_cut_watch::run(&setting),
        other => Verdict::CouldNotRun(format!("there is no case '{other}'")),
    };
    // All processes have ended.
    drop(std::fs::remove_file(Path::new(temporary).join("pids")));
    match verdict {
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
