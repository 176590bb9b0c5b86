//! An open-loop load generator.
//!
//! Each call has a time at which it is due, fixed before the load starts, and its latency counts
//! from that time. A slow answer therefore delays no later call, and the wait of a call that was
//! sent late is part of its latency.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use miette::{IntoDiagnostic, Result};
use reqwest::Client;
use serde_json::Value;
use tokio::runtime::Handle;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::statistics::new_histogram;

/// Calls under way at the same time; a call that is due beyond them is counted as not sent. Bounds
/// the open connections when nothing is answered.
const MAX_IN_FLIGHT: usize = 4_096;

/// Time between the call of [`run_load`] and the first call.
const LEAD_TIME: Duration = Duration::from_millis(5);

/// The calls of one load.
#[derive(Clone, Debug)]
pub(super) struct LoadPlan {
    /// Base addresses, used in turn.
    pub(super) bases: Vec<String>,
    /// Path without the number of the call, which makes each path unique.
    pub(super) path: String,
    /// Calls per second.
    pub(super) rate: f64,
    pub(super) duration: Duration,
    /// Deadline of each call, stated to the node.
    pub(super) deadline_ms: u64,
}

impl LoadPlan {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the rate and the time are positive and bounded by the command line"
    )]
    fn calls(&self) -> u32 {
        (self.rate * self.duration.as_secs_f64()).round() as u32
    }
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallEnd {
    /// A whole answer of a target to this very call.
    Answered,
    NotRun,
    Unknown,
    /// The target answered with an error.
    Failed,
    /// An answer to another call.
    Wrong,
    /// No HTTP answer, or one that broke off.
    Lost,
}

/// One call that ended.
struct CallReport {
    end: CallEnd,
    latency_us: u64,
    lag_us: u64,
}

/// What became of the calls of a load.
#[derive(Clone, Debug)]
pub(super) struct LoadResult {
    pub(super) offered: u64,
    pub(super) answered: u64,
    /// Answered within the deadline, counted from when the call was due.
    pub(super) in_time: u64,
    pub(super) not_run: u64,
    pub(super) unknown: u64,
    pub(super) failed: u64,
    pub(super) wrong: u64,
    pub(super) lost: u64,
    /// Not sent, because too many calls were under way.
    pub(super) not_sent: u64,
    pub(super) seconds: f64,
    /// Latency of answered calls in microseconds.
    pub(super) latency: Histogram<u64>,
    /// Time by which calls were sent late, in microseconds.
    pub(super) lag: Histogram<u64>,
}

impl Default for LoadResult {
    fn default() -> Self {
        Self {
            offered: 0,
            answered: 0,
            in_time: 0,
            not_run: 0,
            unknown: 0,
            failed: 0,
            wrong: 0,
            lost: 0,
            not_sent: 0,
            seconds: 0.0,
            latency: new_histogram(),
            lag: new_histogram(),
        }
    }
}

impl LoadResult {
    fn record(&mut self, report: &CallReport, deadline_ms: u64) {
        self.lag.saturating_record(report.lag_us);
        match report.end {
            CallEnd::Answered => {
                self.answered += 1;
                self.in_time += u64::from(report.latency_us <= deadline_ms * 1_000);
                self.latency.saturating_record(report.latency_us);
            }
            CallEnd::NotRun => self.not_run += 1,
            CallEnd::Unknown => self.unknown += 1,
            CallEnd::Failed => self.failed += 1,
            CallEnd::Wrong => self.wrong += 1,
            CallEnd::Lost => self.lost += 1,
        }
    }

    /// Adds the calls of another slice of the same load.
    pub(super) fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.answered += other.answered;
        self.in_time += other.in_time;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.failed += other.failed;
        self.wrong += other.wrong;
        self.lost += other.lost;
        self.not_sent += other.not_sent;
        self.seconds += other.seconds;
        for (sum, part) in [
            (&mut self.latency, &other.latency),
            (&mut self.lag, &other.lag),
        ] {
            sum.add(part).expect("all histograms have the same bounds");
        }
    }
}

/// Makes the calls of `plan` and waits for the end of each.
pub(super) async fn run_load(client: &Client, plan: LoadPlan) -> Result<LoadResult> {
    let (sender, mut reports) = unbounded_channel();
    let mut result = LoadResult {
        offered: u64::from(plan.calls()),
        seconds: plan.duration.as_secs_f64(),
        ..Default::default()
    };
    let (client, runtime) = (client.clone(), Handle::current());
    let deadline_ms = plan.deadline_ms;
    // A thread of its own sleeps more exactly than the runtime's timer, which counts milliseconds.
    let pacer = tokio::task::spawn_blocking(move || pace(&client, &plan, &runtime, &sender));
    while let Some(report) = reports.recv().await {
        result.record(&report, deadline_ms);
    }
    result.not_sent = pacer.await.into_diagnostic()?;
    Ok(result)
}

/// Sends each call when it is due; returns how many were not sent.
fn pace(
    client: &Client,
    plan: &LoadPlan,
    runtime: &Handle,
    reports: &UnboundedSender<CallReport>,
) -> u64 {
    let places = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let start = Instant::now() + LEAD_TIME;
    let mut not_sent = 0;
    for number in 0..plan.calls() {
        let due = start + Duration::from_secs_f64(f64::from(number) / plan.rate);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if reports.is_closed() {
            // The measurement was interrupted.
            break;
        }
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            not_sent += 1;
            continue;
        };
        let base = &plan.bases[number as usize % plan.bases.len()];
        let path = format!("{}/{number}", plan.path);
        let request = client
            .get(format!("{base}{path}"))
            .header("agatedeck-deadline-ms", plan.deadline_ms)
            .header("agatedeck-tenant", "bench");
        runtime.spawn(call(request, path, due, place, reports.clone()));
    }
    not_sent
}

async fn call(
    request: reqwest::RequestBuilder,
    path: String,
    due: Instant,
    _place: OwnedSemaphorePermit,
    reports: UnboundedSender<CallReport>,
) {
    let lag_us = micros_since(due);
    let end = ask(request, &path).await;
    let latency_us = micros_since(due);
    // The receiver is gone only when the measurement was interrupted.
    let _ = reports.send(CallReport {
        end,
        latency_us,
        lag_us,
    });
}

async fn ask(request: reqwest::RequestBuilder, path: &str) -> CallEnd {
    let Ok(answer) = request.send().await else {
        return CallEnd::Lost;
    };
    let outcome = answer.headers().get("agatedeck-outcome");
    match outcome.and_then(|outcome| outcome.to_str().ok()) {
        Some("not-run") => return CallEnd::NotRun,
        Some("unknown") => return CallEnd::Unknown,
        // A target that is called directly states no outcome.
        _ => {}
    }
    let status = answer.status();
    let Ok(body) = answer.bytes().await else {
        return CallEnd::Lost;
    };
    if !status.is_success() {
        return CallEnd::Failed;
    }
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    if body["path"] == path {
        CallEnd::Answered
    } else {
        CallEnd::Wrong
    }
}

fn micros_since(due: Instant) -> u64 {
    u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX)
}
