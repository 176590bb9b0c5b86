//! Reconstructs what happened to a request from the log files of several nodes.
//!
//! Host clocks differ, so events of different nodes are never merged into one sequence. A
//! report holds the log line of the call, then the last events of the caller's node before it, then
//! the last events of the last target's node whose time by its own clock is not later.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Value of `event` in log lines of calls.
const CALL_EVENT: &str = "call";

/// Value of `event` in log lines of calls that the target of the node did not answer.
const TARGET_CALL_EVENT: &str = "target-call";

/// Value of `event` in the log line that states the addresses of a node.
const LISTENING_EVENT: &str = "listening";

/// Values of `event` that change what a node knows about its target, its configuration or its
/// dependencies.
const NODE_STATE_EVENTS: [&str; 19] = [
    "start",
    "serving",
    "in-force",
    "version-refused",
    "floor-unread",
    "store-unread",
    "feed-lost",
    "feed-regained",
    "version-reader",
    "directory-unread",
    "directory-unwritten",
    "target",
    "target-crashed",
    "target-limit",
    "health-check",
    "heartbeat-passed",
    "stopping",
    "draining",
    "lines-left-out",
];

/// Number of events that a report lists per node.
const MAX_EVENTS_PER_NODE: usize = 8;

/// Fields of a log line that a report uses.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LogLine {
    /// Time by the clock of the host, in microseconds since 1970.
    pub unix_us: u64,
    /// Name of the node.
    pub node: String,
    /// Kind of the event.
    pub event: String,
    /// Text of the log line.
    pub message: String,
    /// Id of the request.
    pub request: String,
    /// Outcome reported to the caller.
    pub outcome: String,
    /// Reason why the request was not answered.
    pub reason: String,
    /// Class of the request.
    pub class: String,
    /// In `call` events, peer address of the node of the last target tried; in other events, id of
    /// a target.
    pub target: String,
    /// Number of attempts.
    pub attempts: u32,
    /// Attempts that the nodes of targets refused, with the loads that were estimated and stated.
    pub refusals: String,
    /// Time from the arrival of the request to its end, in milliseconds.
    pub took_ms: serde_json::Value,
    /// Address at which the node accepts calls of other nodes.
    pub peer: String,
    /// Local port of the connection to the target.
    pub connection: u16,
    /// Time from the arrival of the request at the target's node until it was sent, in microseconds.
    pub queue_us: u64,
    /// Time from then until the call ended, in microseconds.
    pub target_us: u64,
    /// Whether the request was delayed in transit to the target's node.
    pub delayed: bool,
}

impl LogLine {
    fn took_ms(&self) -> f64 {
        let number = self.took_ms.as_f64();
        let text = || self.took_ms.as_str().and_then(|text| text.parse().ok());
        number.or_else(text).unwrap_or_default()
    }
}

/// Event that a node logged before a request ended.
#[derive(Clone, Debug, Serialize)]
pub struct ObservedEvent {
    /// Kind of the event.
    pub event: String,
    /// Time of the `call` line minus time of the event, each by the clock of its node, in
    /// milliseconds.
    pub age_ms: f64,
    /// Text of the log line.
    pub message: String,
}

/// Attempt that reached a target and was not answered, as logged by the node of the target.
#[derive(Clone, Debug, Serialize)]
pub struct TargetAttempt {
    /// Name of the target's node.
    pub node: String,
    /// Why the target did not answer.
    pub reason: String,
    /// Time from the arrival at that node until the request was sent, in milliseconds.
    pub queue_ms: f64,
    /// Time from then until the call ended, in milliseconds.
    pub target_ms: f64,
    /// Whether the request was delayed in transit to that node.
    pub delayed: bool,
    /// Local port of the connection to the target.
    pub connection: u16,
    /// Text of the last such line before on the same connection, if any.
    pub earlier_on_connection: Option<String>,
}

/// Outcome of a request at one caller's node, and the events that preceded it.
#[derive(Clone, Debug, Serialize)]
pub struct RequestReport {
    /// Name of the caller's node.
    pub node: String,
    /// Outcome reported to the caller.
    pub outcome: String,
    /// Reason why the request was not answered.
    pub reason: String,
    /// Class of the request.
    pub class: String,
    /// Number of attempts.
    pub attempts: u32,
    /// Attempts that the nodes of targets refused, with the loads that were estimated and stated.
    pub refusals: String,
    /// Time from the arrival of the request to its end, in milliseconds.
    pub took_ms: f64,
    /// Peer address of the node of the last target tried; empty if none was.
    pub target: String,
    /// Name of that node, if its log was given.
    pub target_node: Option<String>,
    /// Last events of the caller's node, newest first.
    pub seen_by_caller: Vec<ObservedEvent>,
    /// Last events of the node of the last target, newest first.
    pub seen_by_target: Vec<ObservedEvent>,
    /// Attempts that reached a target and were not answered, in the order of the log files.
    pub target_attempts: Vec<TargetAttempt>,
}

/// Parses the text of a log file. Returns the log lines of nodes and the number of other non-empty
/// lines, such as the output of another program, which are skipped.
pub fn parse_log(text: &str) -> (Vec<LogLine>, usize) {
    let (mut lines, mut skipped_count) = (Vec::new(), 0);
    for text in text.lines().filter(|text| !text.trim().is_empty()) {
        // Log collectors put a time and a name before the JSON object.
        let object = text.find('{').map(|start| &text[start..]);
        match object.map(serde_json::from_str) {
            Some(Ok(line)) => lines.push(line),
            _ => skipped_count += 1,
        }
    }
    (lines, skipped_count)
}

/// Returns one report for each log line of a call with id `request`.
pub fn explain_request(request: &str, lines: &[LogLine]) -> Vec<RequestReport> {
    let listening_lines = lines.iter().filter(|line| line.event == LISTENING_EVENT);
    let nodes_by_address: HashMap<&str, &str> = listening_lines
        .map(|line| (line.peer.as_str(), line.node.as_str()))
        .collect();
    let call_lines = lines
        .iter()
        .filter(|line| line.event == CALL_EVENT && line.request == request);
    let reports = call_lines.map(|call| {
        let target_node = nodes_by_address.get(call.target.as_str()).copied();
        let seen_by_target = target_node.map(|node| last_events_before(node, call.unix_us, lines));
        RequestReport {
            node: call.node.clone(),
            outcome: call.outcome.clone(),
            reason: call.reason.clone(),
            class: call.class.clone(),
            attempts: call.attempts,
            refusals: call.refusals.clone(),
            took_ms: call.took_ms(),
            target: call.target.clone(),
            target_node: target_node.map(str::to_owned),
            seen_by_caller: last_events_before(&call.node, call.unix_us, lines),
            seen_by_target: seen_by_target.unwrap_or_default(),
            target_attempts: target_attempts(request, lines),
        }
    });
    reports.collect()
}

fn target_attempts(request: &str, lines: &[LogLine]) -> Vec<TargetAttempt> {
    let attempts = lines
        .iter()
        .filter(|line| line.event == TARGET_CALL_EVENT && line.request == request);
    let attempts = attempts.map(|attempt| TargetAttempt {
        node: attempt.node.clone(),
        reason: attempt.reason.clone(),
        queue_ms: millis(attempt.queue_us),
        target_ms: millis(attempt.target_us),
        delayed: attempt.delayed,
        connection: attempt.connection,
        earlier_on_connection: earlier_on_connection(attempt, lines),
    });
    attempts.collect()
}

/// Returns the text of the last line before `attempt` on the same connection of the same node.
fn earlier_on_connection(attempt: &LogLine, lines: &[LogLine]) -> Option<String> {
    let earlier_lines = lines.iter().filter(|line| {
        line.event == TARGET_CALL_EVENT
            && line.node == attempt.node
            && line.connection == attempt.connection
            && line.unix_us < attempt.unix_us
    });
    let last_line = earlier_lines.max_by_key(|line| line.unix_us);
    last_line.map(|line| line.message.clone())
}

fn millis(micros: u64) -> f64 {
    Duration::from_micros(micros).as_secs_f64() * 1e3
}

/// Returns the last events of `node` up to `unix_us`, newest first, at most one of each kind.
fn last_events_before(node: &str, unix_us: u64, lines: &[LogLine]) -> Vec<ObservedEvent> {
    let mut matching_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.node == node && line.unix_us <= unix_us)
        .filter(|line| NODE_STATE_EVENTS.contains(&line.event.as_str()))
        .collect();
    matching_lines.sort_by_key(|line| std::cmp::Reverse(line.unix_us));
    let mut events: Vec<ObservedEvent> = Vec::new();
    for line in matching_lines {
        if events.iter().any(|event| event.event == line.event) {
            continue;
        }
        events.push(ObservedEvent {
            event: line.event.clone(),
            age_ms: millis(unix_us - line.unix_us),
            message: line.message.clone(),
        });
        if events.len() == MAX_EVENTS_PER_NODE {
            break;
        }
    }
    events
}
