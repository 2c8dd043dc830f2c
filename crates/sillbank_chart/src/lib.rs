//! State charts in TOML files, validated at startup and compiled to dense tables.
//!
//! A chart lists its states and, for each state and event, either a transition or an explicit
//! `ignore`. Look-ups use two indices and no strings.

#![forbid(unsafe_code)]

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// An enumeration whose variants have names in chart files.
pub trait Named: Copy + Debug + PartialEq + 'static {
    /// All variants, in the order of their indices.
    const ALL: &'static [Self];
    /// The variant's name in chart files.
    fn name(self) -> &'static str;
    /// The variant's index in [`Named::ALL`].
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

/// Error in a chart file. Each message says how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChartError {
    /// The file is not valid TOML or does not have the fields of a chart.
    #[error("the chart is not readable: {0}; correct the TOML")]
    Syntax(String),
    /// The file contains a name that the code does not define.
    #[error("unknown {what} '{name}'; use one of: {known}")]
    UnknownName {
        /// What the name stands for: state, event or action.
        what: &'static str,
        /// The name in the file.
        name: String,
        /// The names that the code defines.
        known: String,
    },
    /// A state neither handles nor ignores an event.
    #[error("state '{state}' leaves out event '{event}'; add a transition or list it in 'ignore'")]
    Unhandled {
        /// Name of the state.
        state: &'static str,
        /// Name of the event.
        event: &'static str,
    },
    /// A state both handles and ignores an event.
    #[error("state '{state}' both handles and ignores event '{event}'; keep one of the two")]
    Ambiguous {
        /// Name of the state.
        state: &'static str,
        /// Name of the event.
        event: &'static str,
    },
    /// No sequence of transitions leads from the initial state to this one.
    #[error("state '{0}' cannot be reached; add a transition to it or remove it")]
    Unreachable(&'static str),
    /// The file lacks a state that the code defines.
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

/// A transition: the action to take and the next state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition<S, A> {
    /// Next state.
    pub to: S,
    /// Action to take.
    pub action: A,
}

/// A validated chart with states `S`, events `E` and actions `A`.
#[derive(Debug, Clone)]
pub struct Chart<S, E, A> {
    initial: S,
    /// Transitions by state and event; `None` where the event is ignored.
    table: Vec<Option<Transition<S, A>>>,
    events: std::marker::PhantomData<E>,
}

impl<S: Named, E: Named, A: Named> Chart<S, E, A> {
    /// Parses and validates a chart.
    ///
    /// # Errors
    /// A [`ChartError`] for the first error found.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile =
            toml::from_str(text).map_err(|e| ChartError::Syntax(e.message().to_owned()))?;
        let initial = find_by_name::<S>("state", &file.initial)?;
        let mut table = vec![None; S::ALL.len() * E::ALL.len()];
        for name in file.state.keys() {
            find_by_name::<S>("state", name)?;
        }
        for state in S::ALL {
            let Some(body) = file.state.get(state.name()) else {
                return Err(ChartError::MissingState(state.name()));
            };
            add_state::<S, E, A>(*state, body, &mut table)?;
        }
        let chart = Self { initial, table, events: std::marker::PhantomData };
        chart.check_reachable()?;
        Ok(chart)
    }

    /// The initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// The transition for an event; `None` if the chart ignores it in this state.
    pub fn step(&self, state: S, event: E) -> Option<Transition<S, A>> {
        self.table[state.index() * E::ALL.len() + event.index()]
    }

    fn check_reachable(&self) -> Result<(), ChartError> {
        let mut visited = vec![false; S::ALL.len()];
        let mut stack = vec![self.initial];
        while let Some(state) = stack.pop() {
            if std::mem::replace(&mut visited[state.index()], true) {
                continue;
            }
            stack.extend(E::ALL.iter().filter_map(|e| self.step(state, *e)).map(|t| t.to));
        }
        match S::ALL.iter().find(|s| !visited[s.index()]) {
            Some(state) => Err(ChartError::Unreachable(state.name())),
            None => Ok(()),
        }
    }
}

/// Adds the transitions of one state to the table.
fn add_state<S: Named, E: Named, A: Named>(
    state: S,
    body: &StateFile,
    table: &mut [Option<Transition<S, A>>],
) -> Result<(), ChartError> {
    for name in body.on.keys().chain(&body.ignore) {
        find_by_name::<E>("event", name)?;
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
                let to = find_by_name::<S>("state", &transition.to)?;
                let action = find_by_name::<A>("action", &transition.action)?;
                table[state.index() * E::ALL.len() + event.index()] =
                    Some(Transition { to, action });
            }
        }
    }
    Ok(())
}

fn find_by_name<N: Named>(what: &'static str, name: &str) -> Result<N, ChartError> {
    N::ALL.iter().copied().find(|n| n.name() == name).ok_or_else(|| ChartError::UnknownName {
        what,
        name: name.to_owned(),
        known: N::ALL.iter().map(|n| n.name()).collect::<Vec<_>>().join(", "),
    })
}
