//! A fleet of real processes on loopback for one test. Everything it started ends with it.

use sillbank_load::fleet::{Addresses, FleetArguments, write};
use sillbank_testing::ports::PortBlock;
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

/// Processes by name.
pub(crate) struct Fleet {
    pub(crate) folder: PathBuf,
    pub(crate) addresses: Addresses,
    commands: HashMap<String, Vec<String>>,
    running: HashMap<String, Child>,
    /// Kept so that no other fleet is given its ports.
    _ports: PortBlock,
}

impl Fleet {
    /// Lays a fleet out without starting it.
    pub(crate) fn lay_out(shape: impl FnOnce(&mut FleetArguments)) -> Self {
        let folder = temporary_folder();
        let mut arguments = FleetArguments::new(folder.clone(), programs());
        shape(&mut arguments);
        let ports = PortBlock::claim();
        arguments.first_port = ports.first();
        write(&arguments).expect("the fleet is laid out");
        let text = std::fs::read_to_string(folder.join("commands.txt")).expect("commands");
        let words = |line: &str| line.split_whitespace().map(str::to_owned).collect::<Vec<_>>();
        let commands = text.lines().map(words).map(|mut words| (words.remove(0), words)).collect();
        let addresses = Addresses::read(&folder).expect("addresses");
        Self { folder, addresses, commands, running: HashMap::new(), _ports: ports }
    }

    /// Names of all processes.
    pub(crate) fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.commands.keys().cloned().collect();
        names.sort();
        names
    }

    /// Starts a process.
    pub(crate) fn start(&mut self, name: &str) {
        let words = &self.commands[name];
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("a log file");
        let child = Command::new(&words[0])
            .args(&words[1..])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| panic!("{}: {e}; run tools/test.sh, which builds it", words[0]));
        self.running.insert(name.to_owned(), child);
    }

    /// Starts every process.
    pub(crate) fn start_all(&mut self) {
        for name in self.names() {
            self.start(&name);
        }
    }

    /// Replaces a text in a file of the fleet's folder.
    pub(crate) fn replace(&self, file: &str, old: &str, new: &str) {
        let path = self.folder.join(file);
        let text = std::fs::read_to_string(&path).expect("a file of the fleet");
        std::fs::write(path, text.replace(old, new)).expect("a file of the fleet");
    }

    /// Adds lines to a file of the fleet's folder.
    pub(crate) fn append(&self, file: &str, text: &str) {
        let path = self.folder.join(file);
        let old = std::fs::read_to_string(&path).expect("a file of the fleet");
        std::fs::write(path, old + text).expect("a file of the fleet");
    }

    /// Runs a program to its end; answers its exit code, standard output and standard error.
    pub(crate) fn run_program(
        &self,
        program: &str,
        arguments: &[&str],
        environment: &[(&str, &str)],
    ) -> (i32, String, String) {
        let output = Command::new(programs().join(program))
            .args(arguments)
            .envs(environment.iter().copied())
            .output()
            .expect("the program runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (output.status.code().unwrap_or(-1), text(&output.stdout), text(&output.stderr))
    }

    /// Sends a signal to a process that this fleet started.
    pub(crate) fn signal(&self, name: &str, signal: &str) {
        let pid = self.running[name].id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status().expect("kill");
        assert!(status.success(), "{signal} to {name}");
    }

    /// Kills a process and waits until it is gone.
    pub(crate) fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.running.remove(name) {
            child.kill().expect("kill");
            child.wait().expect("wait");
        }
    }

    /// Waits until a process has ended by itself; answers its exit code.
    pub(crate) fn wait(&mut self, name: &str) -> Option<i32> {
        let mut child = self.running.remove(name)?;
        child.wait().expect("wait").code()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            child.kill().ok();
            child.wait().ok();
        }
        if !std::thread::panicking() {
            std::fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// Folder of the programs, beside the tests'.
fn programs() -> PathBuf {
    let test = std::env::current_exe().expect("the test's path");
    test.parent().and_then(Path::parent).expect("the target folder").to_owned()
}

fn temporary_folder() -> PathBuf {
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("sillbank-{}-{number}", std::process::id()))
}
