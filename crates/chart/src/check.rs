//! Rules that each chart file must meet.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use derive_more::Display;

use crate::file::{ChartFile, StateEntry};

/// A rule that a chart breaks, with its place in the chart.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ChartDiagnostic {
    /// The initial state or the goal of a transition is not a state of the chart.
    #[display("`{place}` names the unknown state `{state}`")]
    UnknownState {
        /// Where the name stands.
        place: String,
        /// The unknown name.
        state: String,
    },
    /// A state handles or ignores an event that the chart does not list.
    #[display("state `{state}` names the unknown event `{event}`")]
    UnknownEvent {
        /// The state.
        state: String,
        /// The unknown name.
        event: String,
    },
    /// A transition names an action that the code does not have.
    #[display("`{place}` names the unknown action `{action}`")]
    UnknownAction {
        /// Where the name stands.
        place: String,
        /// The unknown name.
        action: String,
    },
    /// A state neither handles nor ignores an event.
    #[display("state `{state}` neither handles nor ignores event `{event}`")]
    Unhandled {
        /// The state.
        state: String,
        /// The event left out.
        event: String,
    },
    /// A state both handles and ignores an event.
    #[display("state `{state}` both handles and ignores event `{event}`")]
    Ambiguous {
        /// The state.
        state: String,
        /// The event named twice.
        event: String,
    },
    /// No sequence of events leads to the state.
    #[display("state `{state}` cannot be reached")]
    Unreachable {
        /// The state.
        state: String,
    },
    /// The state is not final and no transition leaves it.
    #[display("state `{state}` has no way out and is not final")]
    DeadEnd {
        /// The state.
        state: String,
    },
}

/// Returns every rule that `file` breaks.
pub(crate) fn check(file: &ChartFile) -> Vec<ChartDiagnostic> {
    let mut findings = Vec::new();
    check_names(file, &mut findings);
    for (state, entry) in &file.state {
        check_events(file, state, entry, &mut findings);
        let leaves = entry.on.values().any(|transition| transition.to != *state);
        if !leaves && !entry.is_final {
            findings.push(ChartDiagnostic::DeadEnd {
                state: state.clone(),
            });
        }
    }
    check_reachable(file, &mut findings);
    findings
}

fn check_names(file: &ChartFile, findings: &mut Vec<ChartDiagnostic>) {
    let mut require = |place: String, state: &str| {
        if !file.state.contains_key(state) {
            findings.push(ChartDiagnostic::UnknownState {
                place,
                state: state.to_owned(),
            });
        }
    };
    require("initial".to_owned(), &file.initial);
    for (state, entry) in &file.state {
        for (event, transition) in &entry.on {
            require(format!("{state}.on.{event}"), &transition.to);
        }
    }
}

fn check_events(
    file: &ChartFile,
    state: &str,
    entry: &StateEntry,
    findings: &mut Vec<ChartDiagnostic>,
) {
    let known: BTreeSet<&str> = file.events.iter().map(String::as_str).collect();
    let mut named: BTreeMap<&str, usize> = BTreeMap::new();
    let mentions = entry.on.keys().chain(&entry.ignore);
    for event in mentions {
        *named.entry(event).or_default() += 1;
    }
    for (event, count) in &named {
        if !known.contains(event) {
            let (state, event) = (state.to_owned(), (*event).to_owned());
            findings.push(ChartDiagnostic::UnknownEvent { state, event });
        } else if *count > 1 {
            let (state, event) = (state.to_owned(), (*event).to_owned());
            findings.push(ChartDiagnostic::Ambiguous { state, event });
        }
    }
    for event in known.iter().filter(|event| !named.contains_key(*event)) {
        let (state, event) = (state.to_owned(), (*event).to_owned());
        findings.push(ChartDiagnostic::Unhandled { state, event });
    }
}

fn check_reachable(file: &ChartFile, findings: &mut Vec<ChartDiagnostic>) {
    let mut seen = BTreeSet::from([file.initial.as_str()]);
    let mut open = VecDeque::from([file.initial.as_str()]);
    while let Some(entry) = open.pop_front().and_then(|state| file.state.get(state)) {
        for transition in entry.on.values() {
            if seen.insert(&transition.to) {
                open.push_back(&transition.to);
            }
        }
    }
    for state in file
        .state
        .keys()
        .filter(|state| !seen.contains(state.as_str()))
    {
        findings.push(ChartDiagnostic::Unreachable {
            state: state.clone(),
        });
    }
}
