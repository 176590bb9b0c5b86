//! Guards against an invalid chart that loads: its state machine could ignore an event, never leave
//! a state, or never enter one.

use agatedeck_chart::{ChartDiagnostic, ChartError, TransitionTable};
use derive_more::FromStr;
use yare::parameterized;

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "snake_case")]
enum State {
    Idle,
    Busy,
    Done,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "snake_case")]
enum Event {
    Start,
    Finish,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "snake_case")]
enum Action {
    Work,
}

type JobTable = TransitionTable<State, Event, Action>;

const HEADER: &str = r#"
name = "job"
initial = "idle"
events = ["start", "finish"]
"#;

const IDLE: &str = r#"
[state.idle]
on.start = { to = "busy", actions = ["work"] }
ignore = ["finish"]
"#;

const BUSY: &str = r#"
[state.busy]
on.finish = { to = "done" }
ignore = ["start"]
"#;

const DONE: &str = r#"
[state.done]
final = true
ignore = ["start", "finish"]
"#;

fn chart() -> String {
    [HEADER, IDLE, BUSY, DONE].concat()
}

fn text(text: &str) -> String {
    text.to_owned()
}

#[test]
fn valid_chart_loads_and_advances() {
    let table = JobTable::parse(&chart()).unwrap();
    assert_eq!((table.name(), table.initial()), ("job", State::Idle));
    let mut state = table.initial();
    assert!(table.advance(&mut state, Event::Finish).is_empty());
    assert_eq!(state, State::Idle, "an ignored event changes nothing");
    assert_eq!(table.advance(&mut state, Event::Start), [Action::Work]);
    table.advance(&mut state, Event::Finish);
    assert_eq!(state, State::Done);
    assert!(table.is_final(State::Done) && !table.is_final(State::Busy));
}

#[parameterized(
    initial = { "initial = \"idle\"", "initial = \"gone\"",
        ChartDiagnostic::UnknownState { location: text("initial"), state: text("gone") } },
    next_state = { "to = \"done\"", "to = \"gone\"",
        ChartDiagnostic::UnknownState { location: text("busy.on.finish"), state: text("gone") } },
    event = { "ignore = [\"start\"]", "ignore = [\"start\", \"stop\"]",
        ChartDiagnostic::UnknownEvent { state: text("busy"), event: text("stop") } },
    action = { "[\"work\"]", "[\"rest\"]",
        ChartDiagnostic::UnknownAction { location: text("idle.on.start"), action: text("rest") } },
    unhandled = { "ignore = [\"finish\"]", "ignore = []",
        ChartDiagnostic::UnhandledEvent { state: text("idle"), event: text("finish") } },
    handled_and_ignored = { "ignore = [\"finish\"]", "ignore = [\"finish\", \"start\"]",
        ChartDiagnostic::DuplicateEvent { state: text("idle"), event: text("start") } },
    ignored_twice = { "ignore = [\"start\"]", "ignore = [\"start\", \"start\"]",
        ChartDiagnostic::DuplicateEvent { state: text("busy"), event: text("start") } },
    unreachable = { "to = \"done\"", "to = \"idle\"",
        ChartDiagnostic::UnreachableState { state: text("done") } },
    dead_end = { "final = true\n", "",
        ChartDiagnostic::DeadEndState { state: text("done") } },
    self_loop_is_a_dead_end = { "to = \"done\"", "to = \"busy\"",
        ChartDiagnostic::DeadEndState { state: text("busy") } },
)]
fn rule_violation_is_reported(before: &str, after: &str, expected: ChartDiagnostic) {
    let valid_chart = chart();
    assert!(valid_chart.contains(before));
    match JobTable::parse(&valid_chart.replacen(before, after, 1)) {
        Err(ChartError::Invalid { name, diagnostics }) => {
            assert_eq!(name, "job");
            assert!(diagnostics.contains(&expected), "{diagnostics:?}");
        }
        other => panic!("expected an invalid chart, got {other:?}"),
    }
}

#[parameterized(
    state = { "done", "gone", "names the unknown state `gone`" },
    event = { "finish", "stop", "names the unknown event `stop`" },
)]
fn name_without_a_variant_is_reported(before: &str, after: &str, expected: &str) {
    let renamed = chart().replace(before, after);
    let error = JobTable::parse(&renamed).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

#[parameterized(
    not_toml = { "name = " },
    no_states = { HEADER },
    unknown_key = { "colour = 1\nname = \"x\"\ninitial = \"a\"\nevents = []\n[state.a]\nfinal = true" },
)]
fn file_with_another_structure_is_rejected(text: &str) {
    assert!(matches!(JobTable::parse(text), Err(ChartError::Syntax(_))));
}
