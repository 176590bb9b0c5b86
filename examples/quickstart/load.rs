//! Load generator of the quickstart.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use reqwest::Method;
use serde_json::Value;

use crate::mesh::LocalMesh;

/// Number of concurrent callers. Each has at most one call in flight.
const CALLER_COUNT: usize = 16;

/// Pause of a caller between two calls, so that the callers do not saturate the mesh.
const THINK_TIME: Duration = Duration::from_millis(5);

/// A kind of call. Latencies are printed by `class`, and `service` must answer.
struct CallKind {
    class: &'static str,
    method: Method,
    path: &'static str,
    service: &'static str,
    needs_idempotency_key: bool,
}

const CALL_KINDS: [CallKind; 4] = [
    CallKind {
        class: "search",
        method: Method::GET,
        path: "/slots/today",
        service: "slotfinder",
        needs_idempotency_key: false,
    },
    CallKind {
        class: "charge",
        method: Method::POST,
        path: "/deposits",
        service: "depositdesk",
        needs_idempotency_key: true,
    },
    CallKind {
        class: "browse",
        method: Method::GET,
        path: "/catalogue/glow-sticks",
        service: "catalogue",
        needs_idempotency_key: false,
    },
    CallKind {
        class: "upload",
        method: Method::PUT,
        path: "/manifests/7",
        service: "manifests",
        needs_idempotency_key: false,
    },
];

/// Results of the calls, summed over callers.
#[derive(Debug, Default)]
pub(crate) struct LoadStatistics {
    pub(crate) calls: u64,
    /// Calls answered by a target with status 200.
    pub(crate) answered: u64,
    /// Answered calls whose body names another request or service.
    pub(crate) wrong: u64,
    /// Number of calls by outcome, reason and status.
    pub(crate) outcomes: BTreeMap<String, u64>,
    /// Latency in microseconds by class.
    pub(crate) latencies_us: BTreeMap<&'static str, Histogram<u64>>,
}

impl LoadStatistics {
    fn record(&mut self, kind: &CallKind, result: &CallResult) {
        self.calls += 1;
        self.answered += u64::from(result.outcome == "answered" && result.status == 200);
        self.wrong += u64::from(result.wrong);
        let outcome = format!("{} ({})", result.outcome, result.status);
        *self.outcomes.entry(outcome).or_default() += 1;
        let histogram = self
            .latencies_us
            .entry(kind.class)
            .or_insert_with(new_histogram);
        // Latencies above the upper bound of one minute are recorded as the bound.
        histogram.saturating_record(result.latency_us);
    }

    fn merge(&mut self, other: Self) {
        self.calls += other.calls;
        self.answered += other.answered;
        self.wrong += other.wrong;
        for (outcome, count) in other.outcomes {
            *self.outcomes.entry(outcome).or_default() += count;
        }
        for (class, histogram) in other.latencies_us {
            let total = self.latencies_us.entry(class).or_insert_with(new_histogram);
            total
                .add(histogram)
                .expect("all histograms should have the same bounds");
        }
    }
}

/// Creates a histogram of latencies from 1 µs to one minute with 3 significant digits.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("histogram bounds should be valid")
}

/// Result of one call. The status is 0 if no complete answer arrived.
struct CallResult {
    status: u16,
    outcome: String,
    wrong: bool,
    latency_us: u64,
}

/// Sends calls to all nodes for `duration`.
pub(crate) async fn generate_load(mesh: &LocalMesh, duration: Duration) -> LoadStatistics {
    let deadline = Instant::now() + duration;
    let callers = (0..CALLER_COUNT).map(|caller| run_caller(mesh, caller, deadline));
    let mut statistics = LoadStatistics::default();
    for caller_statistics in futures::future::join_all(callers).await {
        statistics.merge(caller_statistics);
    }
    statistics
}

async fn run_caller(mesh: &LocalMesh, caller: usize, deadline: Instant) -> LoadStatistics {
    let mut statistics = LoadStatistics::default();
    let mut call_number = 0;
    while Instant::now() < deadline {
        let kind = &CALL_KINDS[call_number % CALL_KINDS.len()];
        let node = &mesh.nodes[(caller + 7 * call_number) % mesh.nodes.len()];
        let id = format!("call-{caller}-{call_number}");
        let result = send_call(mesh, node.addresses().calls, kind, &id).await;
        statistics.record(kind, &result);
        call_number += 1;
        tokio::time::sleep(THINK_TIME).await;
    }
    statistics
}

async fn send_call(
    mesh: &LocalMesh,
    address: std::net::SocketAddr,
    kind: &CallKind,
    id: &str,
) -> CallResult {
    let url = format!("http://{address}{}", kind.path);
    let mut request = mesh.client.request(kind.method.clone(), url);
    request = request
        .header("x-request-id", id)
        .header("agatedeck-tenant", "quickstart");
    if kind.needs_idempotency_key {
        request = request.header("idempotency-key", id);
    }
    let started_at = Instant::now();
    let answer = request.send().await;
    let Ok(answer) = answer else {
        return failed_call("no answer", started_at);
    };
    let status = answer.status().as_u16();
    let outcome = answer.headers().get("agatedeck-outcome");
    let outcome = outcome
        .and_then(|value| value.to_str().ok())
        .unwrap_or("none")
        .to_owned();
    let reason = answer.headers().get("agatedeck-reason");
    let reason = reason.and_then(|value| value.to_str().ok());
    let outcome = reason.map_or(outcome.clone(), |reason| format!("{outcome}, {reason}"));
    let Ok(body) = answer.bytes().await else {
        return failed_call("incomplete answer", started_at);
    };
    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let matches = body["request"] == id && body["service"] == kind.service;
    CallResult {
        status,
        wrong: outcome == "answered" && !matches,
        outcome,
        latency_us: elapsed_us(started_at),
    }
}

fn failed_call(outcome: &str, started_at: Instant) -> CallResult {
    CallResult {
        status: 0,
        outcome: outcome.to_owned(),
        wrong: false,
        latency_us: elapsed_us(started_at),
    }
}

fn elapsed_us(started_at: Instant) -> u64 {
    u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
}
