//! A chart with its names resolved to the caller's types.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::str::FromStr;

use crate::check::ChartDiagnostic;
use crate::file::{ChartError, ChartFile};

/// A chart whose states, events and actions are the types `S`, `E` and `A`.
///
/// Invariant: there is a step or an ignored entry for each pair of a state and an event of the
/// chart; loading fails otherwise.
#[derive(Debug)]
pub struct TransitionTable<S, E, A> {
    name: String,
    initial: S,
    steps: BTreeMap<(S, E), ChartTransition<S, A>>,
    finals: Vec<S>,
}

/// What an event does in a state: the next state and the actions to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChartTransition<S, A> {
    /// State after the event.
    pub next: S,
    /// Actions in the order in which they are carried out.
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
    /// Fails if the text is not a chart, breaks a rule, or names a state, event or action that the
    /// types do not have.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file = ChartFile::parse(text)?;
        let mut findings = Vec::new();
        let table = Self::resolve(&file, &mut findings);
        match table {
            Some(table) if findings.is_empty() => Ok(table),
            _ => Err(ChartError::Invalid {
                name: file.name,
                findings,
            }),
        }
    }

    fn resolve(file: &ChartFile, findings: &mut Vec<ChartDiagnostic>) -> Option<Self> {
        let mut steps = BTreeMap::new();
        let mut finals = Vec::new();
        for (name, entry) in &file.state {
            let Some(state) = state_named::<S>(name, "state", findings) else {
                continue;
            };
            if entry.is_final {
                finals.push(state);
            }
            for (event_name, transition) in &entry.on {
                let place = format!("{name}.on.{event_name}");
                let Ok(event) = event_name.parse::<E>() else {
                    let (state, event) = (name.clone(), event_name.clone());
                    findings.push(ChartDiagnostic::UnknownEvent { state, event });
                    continue;
                };
                let Some(next) = state_named(&transition.to, &place, findings) else {
                    continue;
                };
                let actions = actions_named(&transition.actions, &place, findings);
                steps.insert((state, event), ChartTransition { next, actions });
            }
        }
        let initial = state_named(&file.initial, "initial", findings)?;
        Some(Self {
            name: file.name.clone(),
            initial,
            steps,
            finals,
        })
    }

    /// Name of the chart.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// State in which a new instance starts.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Whether no further event matters in `state`.
    pub fn is_final(&self, state: S) -> bool {
        self.finals.contains(&state)
    }

    /// What `event` does in `state`; `None` if the chart ignores it there.
    pub fn step(&self, state: S, event: E) -> Option<&ChartTransition<S, A>> {
        self.steps.get(&(state, event))
    }

    /// Moves `state` on by `event` and returns the actions to carry out.
    pub fn advance(&self, state: &mut S, event: E) -> &[A] {
        match self.step(*state, event) {
            Some(step) => {
                *state = step.next;
                &step.actions
            }
            None => &[],
        }
    }
}

fn state_named<S: FromStr>(
    name: &str,
    place: &str,
    findings: &mut Vec<ChartDiagnostic>,
) -> Option<S> {
    let state = name.parse().ok();
    if state.is_none() {
        let (place, state) = (place.to_owned(), name.to_owned());
        findings.push(ChartDiagnostic::UnknownState { place, state });
    }
    state
}

fn actions_named<A: FromStr>(
    names: &[String],
    place: &str,
    findings: &mut Vec<ChartDiagnostic>,
) -> Vec<A> {
    let mut actions = Vec::with_capacity(names.len());
    for name in names {
        match name.parse() {
            Ok(action) => actions.push(action),
            Err(_) => findings.push(ChartDiagnostic::UnknownAction {
                place: place.to_owned(),
                action: name.clone(),
            }),
        }
    }
    actions
}
