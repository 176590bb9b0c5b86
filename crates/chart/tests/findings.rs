//! Guards against a chart that loads although it breaks a rule: the machine would then ignore an
//! event, stay in a state for ever, or never enter one.

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

type Table = TransitionTable<State, Event, Action>;

const HEAD: &str = r#"
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
    [HEAD, IDLE, BUSY, DONE].concat()
}

fn text(text: &str) -> String {
    text.to_owned()
}

#[test]
fn a_sound_chart_loads_and_advances() {
    let table = Table::parse(&chart()).unwrap();
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
        ChartDiagnostic::UnknownState { place: text("initial"), state: text("gone") } },
    goal = { "to = \"done\"", "to = \"gone\"",
        ChartDiagnostic::UnknownState { place: text("busy.on.finish"), state: text("gone") } },
    event = { "ignore = [\"start\"]", "ignore = [\"start\", \"stop\"]",
        ChartDiagnostic::UnknownEvent { state: text("busy"), event: text("stop") } },
    action = { "[\"work\"]", "[\"rest\"]",
        ChartDiagnostic::UnknownAction { place: text("idle.on.start"), action: text("rest") } },
    unhandled = { "ignore = [\"finish\"]", "ignore = []",
        ChartDiagnostic::Unhandled { state: text("idle"), event: text("finish") } },
    handled_and_ignored = { "ignore = [\"finish\"]", "ignore = [\"finish\", \"start\"]",
        ChartDiagnostic::Ambiguous { state: text("idle"), event: text("start") } },
    ignored_twice = { "ignore = [\"start\"]", "ignore = [\"start\", \"start\"]",
        ChartDiagnostic::Ambiguous { state: text("busy"), event: text("start") } },
    unreachable = { "to = \"done\"", "to = \"idle\"",
        ChartDiagnostic::Unreachable { state: text("done") } },
    dead_end = { "final = true\n", "",
        ChartDiagnostic::DeadEnd { state: text("done") } },
    own_loop_is_no_way_out = { "to = \"done\"", "to = \"busy\"",
        ChartDiagnostic::DeadEnd { state: text("busy") } },
)]
fn a_broken_rule_is_found(before: &str, after: &str, expected: ChartDiagnostic) {
    let sound = chart();
    assert!(sound.contains(before));
    match Table::parse(&sound.replacen(before, after, 1)) {
        Err(ChartError::Invalid { name, findings }) => {
            assert_eq!(name, "job");
            assert!(findings.contains(&expected), "{findings:?}");
        }
        other => panic!("the chart is taken as {other:?}"),
    }
}

#[parameterized(
    state = { "done", "gone", "names the unknown state `gone`" },
    event = { "finish", "stop", "names the unknown event `stop`" },
)]
fn a_name_that_the_code_does_not_have_is_found(before: &str, after: &str, expected: &str) {
    let renamed = chart().replace(before, after);
    let error = Table::parse(&renamed).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

#[parameterized(
    not_toml = { "name = " },
    no_states = { HEAD },
    unknown_key = { "colour = 1\nname = \"x\"\ninitial = \"a\"\nevents = []\n[state.a]\nfinal = true" },
)]
fn a_file_of_another_form_is_refused(text: &str) {
    assert!(matches!(Table::parse(text), Err(ChartError::Syntax(_))));
}
