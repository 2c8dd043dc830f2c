//! A program made of plugins joined to one builder.
//!
//! A plugin is one part of a program: it starts its tasks on the app's executor and shares the
//! app's state with the others.

use smol::LocalExecutor;
use std::fmt::Display;
use std::future::Future;
use std::process::ExitCode;
use std::rc::Rc;

/// One part of a program with the shared state `S`.
pub trait Plugin<S> {
    /// Starts the part's tasks.
    fn build(self, app: &App<S>);
}

/// Plugins, the executor they run on, and the state they share.
#[derive(Debug)]
pub struct App<S> {
    executor: Rc<LocalExecutor<'static>>,
    state: Rc<S>,
}

impl<S> App<S> {
    /// An app without plugins.
    pub fn new(executor: Rc<LocalExecutor<'static>>, state: Rc<S>) -> Self {
        Self { executor, state }
    }

    /// Adds a plugin.
    #[must_use]
    pub fn add_plugin<P: Plugin<S>>(self, plugin: P) -> Self {
        plugin.build(&self);
        self
    }

    /// The state that all plugins share.
    pub fn state(&self) -> Rc<S> {
        self.state.clone()
    }

    /// The executor that all plugins run on.
    pub fn executor(&self) -> Rc<LocalExecutor<'static>> {
        self.executor.clone()
    }

    /// Starts a task that runs as long as the program.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}

/// Runs a program to its end on one thread and turns how it ended into an exit code: 0 if it ended
/// well, 1 with a log line if not. `prefix` begins the line.
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
            tracing::error!("{prefix}: It cannot run: {error}.");
            ExitCode::FAILURE
        }
    }
}
