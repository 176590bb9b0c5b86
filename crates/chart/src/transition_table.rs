//! Transition table of a chart, with names resolved to the caller's types.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::str::FromStr;

use crate::chart_file::{ChartError, ChartFile};
use crate::validation::ChartDiagnostic;

/// Transition table of a chart with states `S`, events `E` and actions `A`.
///
/// Invariant: the chart has a transition or an `ignore` entry for each pair of one of its states
/// and one of its events; loading fails otherwise.
#[derive(Debug)]
pub struct TransitionTable<S, E, A> {
    name: String,
    initial: S,
    transitions: BTreeMap<(S, E), ChartTransition<S, A>>,
    final_states: Vec<S>,
}

/// Effect of an event in a state: the next state and the actions to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChartTransition<S, A> {
    /// State after the event.
    pub next: S,
    /// Actions, in the order of their execution.
    pub actions: Vec<A>,
}

impl<S, E, A> TransitionTable<S, E, A>
where
    S: Copy + Debug + FromStr + Ord,
    E: Copy + Debug + FromStr + Ord,
    A: Copy + Debug + FromStr,
{
    /// Loads a chart from the text of its file.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a chart, violates a validation rule, or names a state, event or
    /// action that the types do not have.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file = ChartFile::parse(text)?;
        let mut diagnostics = Vec::new();
        let table = Self::resolve(&file, &mut diagnostics);
        match table {
            Some(table) if diagnostics.is_empty() => Ok(table),
            _ => Err(ChartError::Invalid {
                name: file.name,
                diagnostics,
            }),
        }
    }

    fn resolve(file: &ChartFile, diagnostics: &mut Vec<ChartDiagnostic>) -> Option<Self> {
        let mut transitions = BTreeMap::new();
        let mut final_states = Vec::new();
        for (name, entry) in &file.state {
            let Some(state) = parse_state::<S>(name, "state", diagnostics) else {
                continue;
            };
            if entry.is_final {
                final_states.push(state);
            }
            for (event_name, transition) in &entry.on {
                let location = format!("{name}.on.{event_name}");
                let Ok(event) = event_name.parse::<E>() else {
                    let (state, event) = (name.clone(), event_name.clone());
                    diagnostics.push(ChartDiagnostic::UnknownEvent { state, event });
                    continue;
                };
                let Some(next) = parse_state(&transition.to, &location, diagnostics) else {
                    continue;
                };
                let actions = parse_actions(&transition.actions, &location, diagnostics);
                transitions.insert((state, event), ChartTransition { next, actions });
            }
        }
        let initial = parse_state(&file.initial, "initial", diagnostics)?;
        Some(Self {
            name: file.name.clone(),
            initial,
            transitions,
            final_states,
        })
    }

    /// Returns the name of the chart.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Whether `state` is final.
    pub fn is_final(&self, state: S) -> bool {
        self.final_states.contains(&state)
    }

    /// Returns the transition for `event` in `state`, or `None` if the state ignores the event.
    pub fn transition(&self, state: S, event: E) -> Option<&ChartTransition<S, A>> {
        self.transitions.get(&(state, event))
    }

    /// Updates `state` by the transition for `event` and returns the actions to execute. An ignored
    /// event leaves `state` unchanged and has no actions.
    pub fn advance(&self, state: &mut S, event: E) -> &[A] {
        match self.transition(*state, event) {
            Some(transition) => {
                *state = transition.next;
                &transition.actions
            }
            None => &[],
        }
    }
}

fn parse_state<S: FromStr>(
    name: &str,
    location: &str,
    diagnostics: &mut Vec<ChartDiagnostic>,
) -> Option<S> {
    let state = name.parse().ok();
    if state.is_none() {
        let (location, state) = (location.to_owned(), name.to_owned());
        diagnostics.push(ChartDiagnostic::UnknownState { location, state });
    }
    state
}

fn parse_actions<A: FromStr>(
    names: &[String],
    location: &str,
    diagnostics: &mut Vec<ChartDiagnostic>,
) -> Vec<A> {
    let mut actions = Vec::with_capacity(names.len());
    for name in names {
        match name.parse() {
            Ok(action) => actions.push(action),
            Err(_) => diagnostics.push(ChartDiagnostic::UnknownAction {
                location: location.to_owned(),
                action: name.clone(),
            }),
        }
    }
    actions
}
