//! A fleet of real processes on loopback for one test. Dropping it kills all its processes.

use sillbank_load::fleet::{Addresses, FleetArguments, write};
use sillbank_testing::ports::PortBlock;
use std::collections::HashMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// The files and processes of a fleet; processes are identified by name.
pub(crate) struct Fleet {
    pub(crate) folder: PathBuf,
    pub(crate) addresses: Addresses,
    commands: HashMap<String, Vec<String>>,
    running: HashMap<String, Child>,
    /// Reserves the ports for this fleet while it exists.
    _ports: PortBlock,
}

impl Fleet {
    /// Writes the files of a fleet in a temporary folder without starting it.
    pub(crate) fn prepare(configure: impl FnOnce(&mut FleetArguments)) -> Self {
        let folder = temporary_folder();
        let mut arguments = FleetArguments::new(folder.clone(), programs());
        configure(&mut arguments);
        let ports = PortBlock::claim();
        arguments.first_port = ports.first();
        write(&arguments).expect("the files of the fleet can be written");
        let text = std::fs::read_to_string(folder.join("commands.txt")).expect("commands");
        let words = |line: &str| line.split_whitespace().map(str::to_owned).collect::<Vec<_>>();
        let commands = text.lines().map(words).map(|mut words| (words.remove(0), words)).collect();
        let addresses = Addresses::read(&folder).expect("addresses");
        Self { folder, addresses, commands, running: HashMap::new(), _ports: ports }
    }

    /// Returns the sorted names of all processes.
    pub(crate) fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.commands.keys().cloned().collect();
        names.sort();
        names
    }

    /// Starts a process; its log is appended to `NAME.log` in the fleet's folder.
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

    /// Appends a step of the test, with its time in Unix milliseconds, to `steps.log` in the fleet's folder.
    pub(crate) fn record_step(&self, step: &str) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let path = self.folder.join("steps.log");
        let file = std::fs::File::options().create(true).append(true).open(path);
        let mut file = file.expect("a file of the fleet");
        writeln!(file, "{} {step}", since_epoch.as_millis()).expect("a file of the fleet");
    }

    /// Starts every process.
    pub(crate) fn start_all(&mut self) {
        for name in self.names() {
            self.start(&name);
        }
    }

    /// Replaces text in a file of the fleet's folder.
    pub(crate) fn replace(&self, file: &str, old: &str, new: &str) {
        let path = self.folder.join(file);
        let text = std::fs::read_to_string(&path).expect("a file of the fleet");
        std::fs::write(path, text.replace(old, new)).expect("a file of the fleet");
    }

    /// Appends text to a file of the fleet's folder.
    pub(crate) fn append(&self, file: &str, text: &str) {
        let path = self.folder.join(file);
        let old = std::fs::read_to_string(&path).expect("a file of the fleet");
        std::fs::write(path, old + text).expect("a file of the fleet");
    }

    /// Runs a program to its end; returns its exit code, standard output and standard error.
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

    /// Kills a process and waits until it has exited.
    pub(crate) fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.running.remove(name) {
            child.kill().expect("kill");
            child.wait().expect("wait");
        }
    }

    /// Waits until a process has exited by itself; returns its exit code.
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
        let folder = self.folder.display();
        match std::thread::panicking() {
            true => eprintln!("The logs of the fleet and the times of all steps are in {folder}."),
            false => drop(std::fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Returns the folder of the built programs: the parent of the test program's folder.
fn programs() -> PathBuf {
    let test = std::env::current_exe().expect("the test's path");
    test.parent().and_then(Path::parent).expect("the target folder").to_owned()
}

fn temporary_folder() -> PathBuf {
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("sillbank-{}-{number}", std::process::id()))
}
