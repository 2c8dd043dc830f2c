//! State charts kept in TOML files, checked at start and compiled to dense tables.
//!
//! A chart names its states, and for each state either a transition or an explicit `ignore` for
//! every event. Look-ups go through two indices, never through strings.

#![forbid(unsafe_code)]

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// A small enumeration whose members a chart file names.
pub trait Named: Copy + Debug + PartialEq + 'static {
    /// All members, in the order of their indices.
    const ALL: &'static [Self];
    /// The member's name in chart files.
    fn name(self) -> &'static str;
    /// The member's place in [`Named::ALL`].
    fn index(self) -> usize;
}

/// Declares an enumeration that implements [`Named`].
#[macro_export]
macro_rules! named_enum {
    ($(#[$meta:meta])* $vis:vis enum $type:ident { $($(#[$vmeta:meta])* $variant:ident = $name:literal),+ $(,)? }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        $vis enum $type { $($(#[$vmeta])* $variant),+ }
        impl $crate::Named for $type {
            const ALL: &'static [Self] = &[$(Self::$variant),+];
            fn name(self) -> &'static str { match self { $(Self::$variant => $name),+ } }
            fn index(self) -> usize { self as usize }
        }
    };
}

/// What a chart file may get wrong. Each message names the remedy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChartError {
    /// The file is not the TOML a chart is made of.
    #[error("the chart is not readable: {0}; correct the TOML")]
    Syntax(String),
    /// A name that the code does not know.
    #[error("unknown {what} '{name}'; use one of: {known}")]
    UnknownName {
        /// State, event or action.
        what: &'static str,
        /// The name in the file.
        name: String,
        /// The names the code knows.
        known: String,
    },
    /// A state neither handles nor ignores an event.
    #[error("state '{state}' leaves out event '{event}'; add a transition or list it in 'ignore'")]
    Unhandled {
        /// The state.
        state: &'static str,
        /// The event.
        event: &'static str,
    },
    /// An event is both handled and ignored.
    #[error("state '{state}' both handles and ignores event '{event}'; keep one of the two")]
    Ambiguous {
        /// The state.
        state: &'static str,
        /// The event.
        event: &'static str,
    },
    /// No path leads from the initial state to this one.
    #[error("state '{0}' cannot be reached; add a transition to it or remove it")]
    Unreachable(&'static str),
    /// The code knows a state that the file leaves out.
    #[error("state '{0}' is missing; add a [state.{0}] table")]
    MissingState(&'static str),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    initial: String,
    state: BTreeMap<String, StateFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StateFile {
    #[serde(default)]
    on: BTreeMap<String, TransitionFile>,
    #[serde(default)]
    ignore: Vec<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TransitionFile {
    to: String,
    action: String,
}

/// One step of a chart: the action to take and the state that follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition<S, A> {
    /// State after the event.
    pub to: S,
    /// Action that the code carries out.
    pub action: A,
}

/// A checked chart over states `S`, events `E` and actions `A`.
#[derive(Debug, Clone)]
pub struct Chart<S, E, A> {
    initial: S,
    table: Vec<Option<Transition<S, A>>>,
    events: std::marker::PhantomData<E>,
}

impl<S: Named, E: Named, A: Named> Chart<S, E, A> {
    /// Reads and checks a chart.
    ///
    /// # Errors
    /// The first fault found, as a [`ChartError`].
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile =
            toml::from_str(text).map_err(|e| ChartError::Syntax(e.message().to_owned()))?;
        let initial = find::<S>("state", &file.initial)?;
        let mut table = vec![None; S::ALL.len() * E::ALL.len()];
        for name in file.state.keys() {
            find::<S>("state", name)?;
        }
        for state in S::ALL {
            let Some(body) = file.state.get(state.name()) else {
                return Err(ChartError::MissingState(state.name()));
            };
            fill_state::<S, E, A>(*state, body, &mut table)?;
        }
        let chart = Self { initial, table, events: std::marker::PhantomData };
        chart.check_reachable()?;
        Ok(chart)
    }

    /// The state a new machine starts in.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// The transition for an event, or `None` where the chart ignores it.
    pub fn step(&self, state: S, event: E) -> Option<Transition<S, A>> {
        self.table[state.index() * E::ALL.len() + event.index()]
    }

    fn check_reachable(&self) -> Result<(), ChartError> {
        let mut seen = vec![false; S::ALL.len()];
        let mut todo = vec![self.initial];
        while let Some(state) = todo.pop() {
            if std::mem::replace(&mut seen[state.index()], true) {
                continue;
            }
            todo.extend(E::ALL.iter().filter_map(|e| self.step(state, *e)).map(|t| t.to));
        }
        match S::ALL.iter().find(|s| !seen[s.index()]) {
            Some(state) => Err(ChartError::Unreachable(state.name())),
            None => Ok(()),
        }
    }
}

fn fill_state<S: Named, E: Named, A: Named>(
    state: S,
    body: &StateFile,
    table: &mut [Option<Transition<S, A>>],
) -> Result<(), ChartError> {
    for name in body.on.keys().chain(&body.ignore) {
        find::<E>("event", name)?;
    }
    for event in E::ALL {
        let handled = body.on.get(event.name());
        let ignored = body.ignore.iter().any(|name| name == event.name());
        let names = (state.name(), event.name());
        match (handled, ignored) {
            (Some(_), true) => {
                return Err(ChartError::Ambiguous { state: names.0, event: names.1 });
            }
            (None, false) => {
                return Err(ChartError::Unhandled { state: names.0, event: names.1 });
            }
            (None, true) => {}
            (Some(transition), false) => {
                let to = find::<S>("state", &transition.to)?;
                let action = find::<A>("action", &transition.action)?;
                table[state.index() * E::ALL.len() + event.index()] =
                    Some(Transition { to, action });
            }
        }
    }
    Ok(())
}

fn find<N: Named>(what: &'static str, name: &str) -> Result<N, ChartError> {
    N::ALL.iter().copied().find(|n| n.name() == name).ok_or_else(|| ChartError::UnknownName {
        what,
        name: name.to_owned(),
        known: N::ALL.iter().map(|n| n.name()).collect::<Vec<_>>().join(", "),
    })
}
