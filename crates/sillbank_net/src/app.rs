//! Composition of a program from plugins.
//!
//! A plugin is one part of a program. It spawns its tasks on the app's executor and shares the app's state with the
//! other plugins.

use smol::LocalExecutor;
use std::fmt::Display;
use std::future::Future;
use std::process::ExitCode;
use std::rc::Rc;

/// Part of a program with the shared state `S`.
pub trait Plugin<S> {
    /// Spawns the tasks of the plugin.
    fn build(self, app: &App<S>);
}

/// Executor and shared state of the plugins of a program.
#[derive(Debug)]
pub struct App<S> {
    executor: Rc<LocalExecutor<'static>>,
    state: Rc<S>,
}

impl<S> App<S> {
    /// Creates an app without plugins.
    pub fn new(executor: Rc<LocalExecutor<'static>>, state: Rc<S>) -> Self {
        Self { executor, state }
    }

    /// Adds a plugin.
    #[must_use]
    pub fn add_plugin<P: Plugin<S>>(self, plugin: P) -> Self {
        plugin.build(&self);
        self
    }

    /// Returns the state that all plugins share.
    pub fn state(&self) -> Rc<S> {
        self.state.clone()
    }

    /// Returns the executor that all plugins run on.
    pub fn executor(&self) -> Rc<LocalExecutor<'static>> {
        self.executor.clone()
    }

    /// Spawns a task that may run until the program ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}

/// Runs a program on the current thread and returns its exit code: 0 on success, 1 with a log line that starts with
/// `prefix` on failure.
pub fn run_program<E, F, W>(prefix: &str, work: W) -> ExitCode
where
    E: Display,
    F: Future<Output = Result<(), E>>,
    W: FnOnce(Rc<LocalExecutor<'static>>) -> F,
{
    let executor = Rc::new(LocalExecutor::new());
    match smol::block_on(executor.run(work(executor.clone()))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{prefix}: The program failed: {error}.");
            ExitCode::FAILURE
        }
    }
}
