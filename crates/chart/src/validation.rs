//! Validation rules for chart files.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use derive_more::Display;

use crate::chart_file::{ChartFile, StateEntry};

/// A violation of a validation rule, with its location in the chart.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ChartDiagnostic {
    /// The initial state or the next state of a transition is not a state of the chart.
    #[display("`{location}` names the unknown state `{state}`")]
    UnknownState {
        /// Location of the name.
        location: String,
        /// The unknown name.
        state: String,
    },
    /// A state handles or ignores an event that the chart does not list, or that the code does not
    /// have.
    #[display("state `{state}` names the unknown event `{event}`")]
    UnknownEvent {
        /// The state.
        state: String,
        /// The unknown name.
        event: String,
    },
    /// A transition names an action that the code does not have.
    #[display("`{location}` names the unknown action `{action}`")]
    UnknownAction {
        /// Location of the name.
        location: String,
        /// The unknown name.
        action: String,
    },
    /// A state neither handles nor ignores an event.
    #[display("state `{state}` neither handles nor ignores event `{event}`")]
    UnhandledEvent {
        /// The state.
        state: String,
        /// The missing event.
        event: String,
    },
    /// A state both handles and ignores an event, or ignores it twice.
    #[display("state `{state}` both handles and ignores event `{event}`")]
    DuplicateEvent {
        /// The state.
        state: String,
        /// The duplicate event.
        event: String,
    },
    /// No sequence of events reaches the state from the initial state.
    #[display("state `{state}` cannot be reached")]
    UnreachableState {
        /// The state.
        state: String,
    },
    /// The state is not final and has no transition to another state.
    #[display("state `{state}` has no way out and is not final")]
    DeadEndState {
        /// The state.
        state: String,
    },
}

/// Returns every violation of a validation rule by `file`.
pub(crate) fn validate(file: &ChartFile) -> Vec<ChartDiagnostic> {
    let mut diagnostics = Vec::new();
    check_state_names(file, &mut diagnostics);
    for (state, entry) in &file.state {
        check_events(file, state, entry, &mut diagnostics);
        let has_exit = entry.on.values().any(|transition| transition.to != *state);
        if !has_exit && !entry.is_final {
            diagnostics.push(ChartDiagnostic::DeadEndState {
                state: state.clone(),
            });
        }
    }
    check_reachable(file, &mut diagnostics);
    diagnostics
}

fn check_state_names(file: &ChartFile, diagnostics: &mut Vec<ChartDiagnostic>) {
    let mut check_state_exists = |location: String, state: &str| {
        if !file.state.contains_key(state) {
            diagnostics.push(ChartDiagnostic::UnknownState {
                location,
                state: state.to_owned(),
            });
        }
    };
    check_state_exists("initial".to_owned(), &file.initial);
    for (state, entry) in &file.state {
        for (event, transition) in &entry.on {
            check_state_exists(format!("{state}.on.{event}"), &transition.to);
        }
    }
}

fn check_events(
    file: &ChartFile,
    state: &str,
    entry: &StateEntry,
    diagnostics: &mut Vec<ChartDiagnostic>,
) {
    let listed: BTreeSet<&str> = file.events.iter().map(String::as_str).collect();
    let mut occurrences: BTreeMap<&str, usize> = BTreeMap::new();
    let mentions = entry.on.keys().chain(&entry.ignore);
    for event in mentions {
        *occurrences.entry(event).or_default() += 1;
    }
    for (event, count) in &occurrences {
        if !listed.contains(event) {
            let (state, event) = (state.to_owned(), (*event).to_owned());
            diagnostics.push(ChartDiagnostic::UnknownEvent { state, event });
        } else if *count > 1 {
            let (state, event) = (state.to_owned(), (*event).to_owned());
            diagnostics.push(ChartDiagnostic::DuplicateEvent { state, event });
        }
    }
    for event in listed
        .iter()
        .filter(|event| !occurrences.contains_key(*event))
    {
        let (state, event) = (state.to_owned(), (*event).to_owned());
        diagnostics.push(ChartDiagnostic::UnhandledEvent { state, event });
    }
}

fn check_reachable(file: &ChartFile, diagnostics: &mut Vec<ChartDiagnostic>) {
    let mut reached = BTreeSet::from([file.initial.as_str()]);
    let mut queue = VecDeque::from([file.initial.as_str()]);
    while let Some(entry) = queue.pop_front().and_then(|state| file.state.get(state)) {
        for transition in entry.on.values() {
            if reached.insert(&transition.to) {
                queue.push_back(&transition.to);
            }
        }
    }
    for state in file
        .state
        .keys()
        .filter(|state| !reached.contains(state.as_str()))
    {
        diagnostics.push(ChartDiagnostic::UnreachableState {
            state: state.clone(),
        });
    }
}
