//! The account of one request from the logs of several nodes.
//!
//! Clocks of hosts differ, so that times of different nodes are never compared. The line of the
//! caller's node comes first, then what that node had seen, then what the node of the last target had
//! seen by its own clock around the same time of day.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Event of a line on a call.
const CALL_EVENT: &str = "call";

/// Event of the line that names the addresses of a node.
const LISTENING_EVENT: &str = "listening";

/// Events that change what a node believes of its target, its configuration or its dependencies.
const NODE_STATE_EVENTS: [&str; 17] = [
    "start",
    "serving",
    "in-force",
    "version-refused",
    "floor-unread",
    "store-unread",
    "feed-lost",
    "feed-regained",
    "directory-unread",
    "directory-unwritten",
    "target",
    "target-crashed",
    "first-look",
    "heartbeat-passed",
    "stopping",
    "draining",
    "lines-left-out",
];

/// Lines of each node that are part of an account.
const MAX_EVENTS_PER_NODE: usize = 8;

/// A line of a log, as far as an account uses it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LogLine {
    /// Time of day of the host, in microseconds since 1970.
    pub unix_us: u64,
    /// Name of the node.
    pub node: String,
    /// Kind of the line.
    pub event: String,
    /// Sentence of the line.
    pub message: String,
    /// Request that the line is about.
    pub request: String,
    /// Outcome that the caller was told.
    pub outcome: String,
    /// Why the request has no answer.
    pub reason: String,
    /// Class of the request.
    pub class: String,
    /// Address of the node of the last target tried; in other events, the identity of a target.
    pub target: String,
    /// Attempts made.
    pub attempts: u32,
    /// Time from the arrival of the request to its end, in milliseconds.
    pub took_ms: serde_json::Value,
    /// Address at which the node takes calls of other nodes.
    pub peer: String,
}

impl LogLine {
    fn took_ms(&self) -> f64 {
        let number = self.took_ms.as_f64();
        let text = || self.took_ms.as_str().and_then(|text| text.parse().ok());
        number.or_else(text).unwrap_or_default()
    }
}

/// What a node had seen before a request ended.
#[derive(Clone, Debug, Serialize)]
pub struct ObservedEvent {
    /// Kind of the event.
    pub event: String,
    /// Time from the event to the end of the request by the clock of the node, in milliseconds.
    pub age_ms: f64,
    /// Sentence of the line.
    pub message: String,
}

/// What became of one attempt of a caller, and what decided it.
#[derive(Clone, Debug, Serialize)]
pub struct RequestReport {
    /// Node of the caller.
    pub node: String,
    /// Outcome that the caller was told.
    pub outcome: String,
    /// Why the request has no answer.
    pub reason: String,
    /// Class of the request.
    pub class: String,
    /// Attempts made.
    pub attempts: u32,
    /// Time from the arrival of the request to its end, in milliseconds.
    pub took_ms: f64,
    /// Address of the node of the last target tried; empty if none was.
    pub target: String,
    /// Name of that node, if its log is at hand.
    pub target_node: Option<String>,
    /// What the caller's node had seen, newest first.
    pub seen_by_caller: Vec<ObservedEvent>,
    /// What the node of the last target had seen, newest first.
    pub seen_by_target: Vec<ObservedEvent>,
}

/// Reads the lines of a log. What is no line of a node, such as the output of another program in the
/// same file, is counted and passed over.
pub fn parse_log(text: &str) -> (Vec<LogLine>, usize) {
    let (mut lines, mut skipped_count) = (Vec::new(), 0);
    for text in text.lines().filter(|text| !text.trim().is_empty()) {
        // Collectors put a time and a name before the line.
        let object = text.find('{').map(|start| &text[start..]);
        match object.map(serde_json::from_str) {
            Some(Ok(line)) => lines.push(line),
            _ => skipped_count += 1,
        }
    }
    (lines, skipped_count)
}

/// The reports of a request, one for each node that its caller sent it to.
pub fn explain_request(request: &str, lines: &[LogLine]) -> Vec<RequestReport> {
    let listening = lines.iter().filter(|line| line.event == LISTENING_EVENT);
    let nodes_by_address: HashMap<&str, &str> = listening
        .map(|line| (line.peer.as_str(), line.node.as_str()))
        .collect();
    let calls = lines
        .iter()
        .filter(|line| line.event == CALL_EVENT && line.request == request);
    let reports = calls.map(|call| {
        let target_node = nodes_by_address.get(call.target.as_str()).copied();
        let seen_by_target = target_node.map(|node| last_events_before(node, call.unix_us, lines));
        RequestReport {
            node: call.node.clone(),
            outcome: call.outcome.clone(),
            reason: call.reason.clone(),
            class: call.class.clone(),
            attempts: call.attempts,
            took_ms: call.took_ms(),
            target: call.target.clone(),
            target_node: target_node.map(str::to_owned),
            seen_by_caller: last_events_before(&call.node, call.unix_us, lines),
            seen_by_target: seen_by_target.unwrap_or_default(),
        }
    });
    reports.collect()
}

/// The last events of `node` up to `unix_us`, newest first, each kind once.
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
        let age = std::time::Duration::from_micros(unix_us - line.unix_us);
        events.push(ObservedEvent {
            event: line.event.clone(),
            age_ms: age.as_secs_f64() * 1e3,
            message: line.message.clone(),
        });
        if events.len() == MAX_EVENTS_PER_NODE {
            break;
        }
    }
    events
}
