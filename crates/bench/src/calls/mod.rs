//! Compares direct calls to targets with calls through the caller's node and the target's node.

mod closing_target;
mod load_generator;
mod test_mesh;

use std::time::Duration;

use agatedeck_standin::TargetBehaviour;
use miette::Result;
use serde::Serialize;
use tokio::time::sleep;

use crate::arguments::DEFAULT_WORKER_THREADS;
use crate::report::BenchReport;
use crate::statistics::{TimeSummary, u64_to_f64, usize_to_f64};

use load_generator::{LoadProfile, LoadResult, run_load};
use test_mesh::{BalanceVariant, MeshUsage, TestMesh};

/// Path prefix of the calls; the configuration of `crate::change_generator` has a route for it.
const CALL_PATH: &str = "/service-0";

/// Number of slices of a load. Direct slices and slices through the nodes alternate, so that both
/// are exposed to the same background load of the host.
const SLICE_COUNT: u32 = 4;

/// Maximum pause between two loads to which targets respond immediately, in milliseconds.
const MAX_LOAD_PAUSE_MS: u64 = 300;

/// Maximum pause between two loads near capacity, in which queues drain, in milliseconds.
const MAX_DRAIN_PAUSE_MS: u64 = 1_000;

/// Offered loads as percentages of the capacity. The last one is an overload.
const OFFERED_LOAD_PERCENTS: [u32; 4] = [50, 80, 100, 200];

/// Concurrent calls of each target in the overload benchmark; equals `slots` in the service's
/// policy.
const SLOTS_PER_TARGET: u32 = 20;

/// Settings of the `calls` benchmark.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CallSettings {
    /// Number of targets, each with its own node, all in the failure domain of the caller's node.
    pub(crate) targets: usize,
    /// Arrival rates of the latency comparison, in calls per second.
    pub(crate) rates: Vec<u32>,
    /// Duration of each load, in milliseconds.
    pub(crate) load_ms: u64,
    /// Deadline of each call, in milliseconds.
    pub(crate) deadline_ms: u64,
    /// Service time of a call at a target in the overload benchmark, in milliseconds.
    pub(crate) work_ms: u64,
    /// Calls per second while a third of the targets fail.
    pub(crate) failing_rate: u32,
    /// Worker threads of each node.
    pub(crate) workers: usize,
    /// Unused so far, because arrivals are evenly spaced; included in each report.
    pub(crate) seed: u64,
}

impl Default for CallSettings {
    fn default() -> Self {
        Self {
            targets: 3,
            rates: vec![100, 300, 1_000, 2_000, 4_000, 8_000, 16_000],
            load_ms: 8_000,
            deadline_ms: 500,
            work_ms: 20,
            failing_rate: 300,
            workers: DEFAULT_WORKER_THREADS,
            seed: 1,
        }
    }
}

/// Number of calls by outcome, and latency summaries, as reported for one load.
#[derive(Debug, Serialize)]
struct CallCounts {
    offered: u64,
    answered: u64,
    in_time: u64,
    not_run: u64,
    unknown: u64,
    failed: u64,
    wrong: u64,
    lost: u64,
    not_sent: u64,
    answered_per_second: f64,
    in_time_per_second: f64,
    latency: TimeSummary,
    /// Delay between scheduled and actual start of the calls; part of the latency.
    generator_lag: TimeSummary,
}

impl From<&LoadResult> for CallCounts {
    fn from(result: &LoadResult) -> Self {
        Self {
            offered: result.offered,
            answered: result.answered,
            in_time: result.in_time,
            not_run: result.not_run,
            unknown: result.unknown,
            failed: result.failed,
            wrong: result.wrong,
            lost: result.lost,
            not_sent: result.not_sent,
            answered_per_second: u64_to_f64(result.answered) / result.seconds,
            in_time_per_second: u64_to_f64(result.in_time) / result.seconds,
            latency: TimeSummary::from_histogram(&result.latency),
            generator_lag: TimeSummary::from_histogram(&result.send_lag),
        }
    }
}

/// JSON line that compares direct calls with calls through the nodes at one rate.
#[derive(Debug, Serialize)]
struct LatencyResult<'a> {
    policy: &'a str,
    rate: u32,
    seed: u64,
    direct: CallCounts,
    through: CallCounts,
    /// Difference of the same quantile of the calls through the nodes and of the direct calls.
    added_p50_ms: f64,
    added_p99_ms: f64,
    added_p999_ms: f64,
    /// CPU time per call of the caller's node, in microseconds.
    caller_node_cpu_us: f64,
    /// CPU time per call of all target nodes, in microseconds.
    target_node_cpu_us: f64,
    /// Calls per second that one core of the caller's node can handle.
    calls_per_caller_core: f64,
    /// Calls per second that one core can handle that runs both the caller's and the target's node.
    calls_per_core: f64,
    #[serde(flatten)]
    distribution: LoadDistribution,
}

/// Distribution of the calls over the targets.
#[derive(Debug, Serialize)]
struct LoadDistribution {
    calls_by_target: Vec<u64>,
    /// Calls of the busiest target divided by the mean.
    max_by_mean: f64,
    /// Coefficient of variation: standard deviation divided by the mean.
    variation: f64,
}

impl LoadDistribution {
    fn from_call_counts(calls: &[u64]) -> Self {
        let mean = u64_to_f64(calls.iter().sum()) / usize_to_f64(calls.len());
        let squared_deviations = calls
            .iter()
            .map(|calls| (u64_to_f64(*calls) - mean).powi(2));
        let standard_deviation =
            (squared_deviations.sum::<f64>() / usize_to_f64(calls.len())).sqrt();
        Self {
            calls_by_target: calls.to_vec(),
            max_by_mean: u64_to_f64(calls.iter().copied().max().unwrap_or(0)) / mean,
            variation: standard_deviation / mean,
        }
    }
}

/// JSON line with the calls at one offered load.
#[derive(Debug, Serialize)]
struct OverloadResult<'a> {
    policy: &'a str,
    path: &'a str,
    capacity_percent: u32,
    capacity_per_second: f64,
    seed: u64,
    counts: CallCounts,
    /// Calls started by targets per offered call.
    runs_per_call: f64,
}

/// JSON line with the calls while a third of the targets fail.
#[derive(Debug, Serialize)]
struct TargetFailureResult<'a> {
    policy: &'a str,
    failure: &'a str,
    rate: u32,
    targets: usize,
    failing_targets: usize,
    seed: u64,
    counts: CallCounts,
    /// Calls received by targets, including failing ones, per offered call.
    attempts_per_call: f64,
    answered_share: f64,
    calls_by_healthy_target: Vec<u64>,
    calls_by_failing_target: Vec<u64>,
}

/// Runs all loads under each load-balancing policy that the node's settings accept.
pub(crate) async fn run(settings: &CallSettings, report: &mut BenchReport) -> Result<()> {
    let variants = BalanceVariant::supported();
    let names: Vec<&str> = variants.iter().map(|variant| variant.name).collect();
    let has_choice = names.len() > 1;
    let balance_policies =
        serde_json::json!({ "policies": names, "settings_offer_choice": has_choice });
    report.write_record("balance-policies", &balance_policies)?;
    for variant in &variants {
        let mesh = TestMesh::start(settings, variant).await?;
        for rate in &settings.rates {
            compare_latency(settings, &mesh, *rate, report).await?;
        }
        measure_overload(settings, &mesh, report).await?;
        drop(mesh);
        for failure in ["closes", "answers-500"] {
            measure_target_failures(settings, variant, failure, report).await?;
        }
    }
    Ok(())
}

fn load_profile(
    settings: &CallSettings,
    base_urls: Vec<String>,
    rate: f64,
    duration: Duration,
) -> LoadProfile {
    LoadProfile {
        base_urls,
        path: CALL_PATH.to_owned(),
        rate,
        duration,
        deadline_ms: settings.deadline_ms,
    }
}

async fn compare_latency(
    settings: &CallSettings,
    mesh: &TestMesh,
    rate: u32,
    report: &mut BenchReport,
) -> Result<()> {
    let slice = Duration::from_millis(settings.load_ms) / SLICE_COUNT;
    let load_pause = Duration::from_millis((settings.load_ms / 8).min(MAX_LOAD_PAUSE_MS));
    let (mut direct, mut through) = (LoadResult::default(), LoadResult::default());
    let mut usage = MeshUsage::zero(settings.targets);
    for _ in 0..SLICE_COUNT {
        let profile = load_profile(settings, mesh.target_urls(), f64::from(rate), slice);
        direct.merge(&run_load(&mesh.client, profile).await?);
        sleep(load_pause).await;
        let before = mesh.usage().await?;
        let profile = load_profile(settings, vec![mesh.caller_url()?], f64::from(rate), slice);
        through.merge(&run_load(&mesh.client, profile).await?);
        usage.add_interval(&before, &mesh.usage().await?);
        sleep(load_pause).await;
    }
    let (direct, through) = (CallCounts::from(&direct), CallCounts::from(&through));
    let offered_calls = u64_to_f64(through.offered.max(1));
    let per_call = |cpu_ms: u64| u64_to_f64(cpu_ms) * 1_000.0 / offered_calls;
    let caller_node_cpu_us = per_call(usage.caller_cpu_ms);
    let target_node_cpu_us = per_call(usage.target_cpu_ms);
    let result = LatencyResult {
        policy: mesh.policy,
        rate,
        seed: settings.seed,
        added_p50_ms: through.latency.p50_ms - direct.latency.p50_ms,
        added_p99_ms: through.latency.p99_ms - direct.latency.p99_ms,
        added_p999_ms: through.latency.p999_ms - direct.latency.p999_ms,
        caller_node_cpu_us,
        target_node_cpu_us,
        calls_per_caller_core: 1e6 / caller_node_cpu_us,
        calls_per_core: 1e6 / (caller_node_cpu_us + target_node_cpu_us),
        distribution: LoadDistribution::from_call_counts(&usage.calls_by_target),
        direct,
        through,
    };
    report.write_record("latency", &result)?;
    add_latency_row(report, &result);
    Ok(())
}

const LATENCY_TABLE_TITLE: &str =
    "latency in ms, direct and through two nodes; `+`: difference of the quantiles";
const LATENCY_TABLE_HEADER: [&str; 13] = [
    "policy",
    "calls/s",
    "direct p50",
    "p99",
    "p99.9",
    "through p50",
    "p99",
    "p99.9",
    "+p50",
    "+p99",
    "+p99.9",
    "answered/s",
    "cpu us/call",
];

fn add_latency_row(report: &mut BenchReport, result: &LatencyResult<'_>) {
    let format_ms = |value: f64| format!("{value:.3}");
    let (direct, through) = (&result.direct.latency, &result.through.latency);
    let cells = vec![
        result.policy.to_owned(),
        result.rate.to_string(),
        format_ms(direct.p50_ms),
        format_ms(direct.p99_ms),
        format_ms(direct.p999_ms),
        format_ms(through.p50_ms),
        format_ms(through.p99_ms),
        format_ms(through.p999_ms),
        format_ms(result.added_p50_ms),
        format_ms(result.added_p99_ms),
        format_ms(result.added_p999_ms),
        format!("{:.0}", result.through.answered_per_second),
        format!(
            "{:.0}",
            result.caller_node_cpu_us + result.target_node_cpu_us
        ),
    ];
    report.add_row(LATENCY_TABLE_TITLE, &LATENCY_TABLE_HEADER, cells);
}

async fn measure_overload(
    settings: &CallSettings,
    mesh: &TestMesh,
    report: &mut BenchReport,
) -> Result<()> {
    let behaviour = TargetBehaviour {
        work_ms: settings.work_ms,
        slots: Some(SLOTS_PER_TARGET),
        ..Default::default()
    };
    mesh.set_behaviour(&behaviour).await;
    let target_capacity = f64::from(SLOTS_PER_TARGET) * 1_000.0 / u64_to_f64(settings.work_ms);
    let capacity = target_capacity * usize_to_f64(settings.targets);
    let duration = Duration::from_millis(settings.load_ms);
    let drain_pause = Duration::from_millis((settings.load_ms / 4).min(MAX_DRAIN_PAUSE_MS));
    for (path, base_urls) in [
        ("direct", mesh.target_urls()),
        ("through", vec![mesh.caller_url()?]),
    ] {
        let mut peak_goodput = 0.0_f64;
        for capacity_percent in OFFERED_LOAD_PERCENTS {
            let rate = capacity * f64::from(capacity_percent) / 100.0;
            let before = mesh.usage().await?;
            let profile = load_profile(settings, base_urls.clone(), rate, duration);
            let result = run_load(&mesh.client, profile).await?;
            let mut usage = MeshUsage::zero(settings.targets);
            usage.add_interval(&before, &mesh.usage().await?);
            let counts = CallCounts::from(&result);
            peak_goodput = peak_goodput.max(counts.in_time_per_second);
            let result = OverloadResult {
                policy: mesh.policy,
                path,
                capacity_percent,
                capacity_per_second: capacity,
                seed: settings.seed,
                runs_per_call: u64_to_f64(usage.calls_by_target.iter().sum())
                    / u64_to_f64(counts.offered),
                counts,
            };
            report.write_record("overload", &result)?;
            add_overload_row(report, &result, peak_goodput);
            sleep(drain_pause).await;
        }
    }
    mesh.set_behaviour(&TargetBehaviour::default()).await;
    Ok(())
}

const OVERLOAD_TABLE_TITLE: &str =
    "goodput: answers within the deadline per second, and as a share of the peak";
const OVERLOAD_TABLE_HEADER: [&str; 11] = [
    "policy",
    "path",
    "% capacity",
    "offered/s",
    "goodput/s",
    "% peak",
    "not-run",
    "unknown",
    "lost",
    "not sent",
    "runs/call",
];

fn add_overload_row(report: &mut BenchReport, result: &OverloadResult<'_>, peak_goodput: f64) {
    let counts = &result.counts;
    let offered = result.capacity_per_second * f64::from(result.capacity_percent) / 100.0;
    let cells = vec![
        result.policy.to_owned(),
        result.path.to_owned(),
        result.capacity_percent.to_string(),
        format!("{offered:.0}"),
        format!("{:.0}", counts.in_time_per_second),
        format!("{:.1}", 100.0 * counts.in_time_per_second / peak_goodput),
        counts.not_run.to_string(),
        counts.unknown.to_string(),
        counts.lost.to_string(),
        counts.not_sent.to_string(),
        format!("{:.3}", result.runs_per_call),
    ];
    report.add_row(OVERLOAD_TABLE_TITLE, &OVERLOAD_TABLE_HEADER, cells);
}

async fn measure_target_failures(
    settings: &CallSettings,
    variant: &BalanceVariant,
    failure: &str,
    report: &mut BenchReport,
) -> Result<()> {
    let targets = settings.targets * 2;
    let failing_targets = targets.div_ceil(3);
    let healthy = targets - failing_targets;
    let mesh = if failure == "closes" {
        TestMesh::start_with_closing_targets(settings, variant, healthy, failing_targets).await?
    } else {
        let mesh = TestMesh::start_with_targets(settings, variant, targets).await?;
        let behaviour = TargetBehaviour {
            failing: true,
            ..Default::default()
        };
        mesh.set_behaviour_from(healthy, &behaviour).await;
        mesh
    };
    let before = mesh.usage().await?;
    let duration = Duration::from_millis(settings.load_ms);
    let rate = f64::from(settings.failing_rate);
    let profile = load_profile(settings, vec![mesh.caller_url()?], rate, duration);
    let result = run_load(&mesh.client, profile).await?;
    let mut usage = MeshUsage::zero(before.calls_by_target.len());
    usage.add_interval(&before, &mesh.usage().await?);
    let (by_healthy, by_failing) = usage.calls_by_target.split_at(healthy);
    let counts = CallCounts::from(&result);
    let offered = u64_to_f64(counts.offered.max(1));
    let result = TargetFailureResult {
        policy: mesh.policy,
        failure,
        rate: settings.failing_rate,
        targets,
        failing_targets,
        seed: settings.seed,
        attempts_per_call: u64_to_f64(usage.calls_by_target.iter().sum()) / offered,
        answered_share: u64_to_f64(counts.answered) / offered,
        calls_by_healthy_target: by_healthy.to_vec(),
        calls_by_failing_target: by_failing.to_vec(),
        counts,
    };
    report.write_record("failing", &result)?;
    let counts = &result.counts;
    let cells = vec![
        result.policy.to_owned(),
        failure.to_owned(),
        format!("{failing_targets} of {}", result.targets),
        counts.offered.to_string(),
        format!("{:.2}", 100.0 * result.answered_share),
        counts.not_run.to_string(),
        counts.unknown.to_string(),
        counts.failed.to_string(),
        counts.lost.to_string(),
        format!("{:.3}", result.attempts_per_call),
    ];
    report.add_row(
        TARGET_FAILURE_TABLE_TITLE,
        &TARGET_FAILURE_TABLE_HEADER,
        cells,
    );
    Ok(())
}

const TARGET_FAILURE_TABLE_TITLE: &str = "a third of the targets fail";
const TARGET_FAILURE_TABLE_HEADER: [&str; 10] = [
    "policy",
    "failure",
    "failing",
    "calls",
    "% answered",
    "not-run",
    "unknown",
    "500",
    "lost",
    "attempts/call",
];
