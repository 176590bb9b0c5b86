//! Simulates fleets that distribute versions, and reports how far nodes lag behind confirmed versions.

use std::thread;
use std::time::Duration;

use agatedeck_sim::{FaultKind, FaultPlan, FleetSettings, LagReport, LagSample, run_fleet};
use miette::Result;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Serialize, Serializer};

use crate::report::BenchReport;
use crate::statistics::{TimeSummary, new_histogram};

/// Messages of a run after which it is given up, for each host.
const MAX_MESSAGES_PER_HOST: usize = 5_000;

const LAG_COLUMNS: [&str; 10] = [
    "fault",
    "nodes",
    "seeds",
    "failed",
    "p50 ms",
    "p99 ms",
    "largest share of bound",
    "its seed",
    "messages a node",
    "in the busiest s",
];

/// Settings of the `fleet` benchmark.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SimulationSettings {
    /// Node counts of the fleets.
    pub(crate) sizes: Vec<usize>,
    /// Kinds of faults; each is simulated by itself.
    #[serde(serialize_with = "serialize_faults")]
    pub(crate) faults: Vec<FaultKind>,
    /// Number of seeds of each kind and size.
    pub(crate) seeds: u64,
    /// First seed.
    pub(crate) seed: u64,
    /// Number of runs at the same time.
    pub(crate) jobs: usize,
    /// Whether to print the timeline of the run with the largest lag.
    pub(crate) trace: bool,
}

impl Default for SimulationSettings {
    fn default() -> Self {
        Self {
            sizes: vec![FleetSettings::default().hosts],
            faults: FaultKind::ALL.to_vec(),
            seeds: 10,
            seed: 1,
            jobs: 4,
            trace: false,
        }
    }
}

fn serialize_faults<S: Serializer>(faults: &[FaultKind], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(faults.iter().map(ToString::to_string))
}

/// Result of one run.
struct SeedResult {
    seed: u64,
    report: LagReport,
}

impl SeedResult {
    /// The largest lag as a share of its bound.
    fn largest_share(&self) -> f64 {
        self.report.largest.as_ref().map_or(0.0, LagSample::ratio)
    }

    /// Orders runs by how near they came to failing.
    fn severity(&self) -> (bool, f64) {
        (self.report.is_overloaded, self.largest_share())
    }
}

/// JSON line of one run.
#[derive(Debug, Serialize)]
struct SeedRecord {
    fault: String,
    nodes: usize,
    seed: u64,
    holds: bool,
    overloaded: bool,
    largest_share: f64,
    messages: usize,
    busiest_second: usize,
    messages_by_kind: Vec<(String, usize)>,
    store_calls: usize,
    max_leaders: usize,
}

impl SeedRecord {
    fn new(fault: FaultKind, nodes: usize, result: &SeedResult) -> Self {
        let report = &result.report;
        let by_kind = report.messages_by_kind.iter();
        Self {
            fault: fault.to_string(),
            nodes,
            seed: result.seed,
            holds: report.holds(),
            overloaded: report.is_overloaded,
            largest_share: result.largest_share(),
            messages: report.messages,
            busiest_second: report.busiest_second,
            messages_by_kind: by_kind
                .map(|(kind, count)| (kind.to_string(), *count))
                .collect(),
            store_calls: report.store_calls,
            max_leaders: report.max_leaders,
        }
    }
}

/// Runs the benchmark.
///
/// # Errors
///
/// Fails if a line cannot be written.
pub(crate) fn run(settings: &SimulationSettings, report: &mut BenchReport) -> Result<()> {
    for nodes in &settings.sizes {
        for fault in &settings.faults {
            let results = run_seeds(settings, *nodes, *fault);
            for result in &results {
                report.write_record("seed", &SeedRecord::new(*fault, *nodes, result))?;
            }
            add_summary(report, *fault, *nodes, &results);
            if settings.trace {
                print_timeline(*nodes, *fault, &results);
            }
        }
    }
    Ok(())
}

fn fleet_settings(nodes: usize) -> FleetSettings {
    FleetSettings {
        hosts: nodes,
        max_messages: MAX_MESSAGES_PER_HOST * nodes,
        ..FleetSettings::default()
    }
}

fn run_seed(settings: &FleetSettings, fault: FaultKind, seed: u64) -> SeedResult {
    let plan = FaultPlan::draw(
        &[fault],
        settings.length,
        &mut SmallRng::seed_from_u64(seed),
    );
    let report = run_fleet(settings, &plan, seed);
    SeedResult { seed, report }
}

/// Runs all seeds of one kind and size, each thread every `jobs`th one.
fn run_seeds(settings: &SimulationSettings, nodes: usize, fault: FaultKind) -> Vec<SeedResult> {
    let fleet = fleet_settings(nodes);
    let seeds: Vec<u64> = (0..settings.seeds)
        .map(|index| settings.seed + index)
        .collect();
    let mut results: Vec<SeedResult> = thread::scope(|scope| {
        let start_job = |job: usize| {
            let (fleet, seeds) = (&fleet, &seeds);
            scope.spawn(move || {
                let seeds = seeds.iter().skip(job).step_by(settings.jobs);
                seeds
                    .map(|seed| run_seed(fleet, fault, *seed))
                    .collect::<Vec<_>>()
            })
        };
        let jobs: Vec<_> = (0..settings.jobs).map(start_job).collect();
        let finished = jobs.into_iter().filter_map(|job| job.join().ok());
        finished.flatten().collect()
    });
    results.sort_by_key(|result| result.seed);
    results
}

fn worst_result(results: &[SeedResult]) -> Option<&SeedResult> {
    results.iter().max_by(|left, right| {
        let (left, right) = (left.severity(), right.severity());
        left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
    })
}

fn add_summary(report: &mut BenchReport, fault: FaultKind, nodes: usize, results: &[SeedResult]) {
    let Some(worst) = worst_result(results) else {
        return;
    };
    let mut histogram = new_histogram();
    for spread in results
        .iter()
        .flat_map(|result| &result.report.spread_times)
    {
        histogram.saturating_record(u64::try_from(spread.as_micros()).unwrap_or(u64::MAX));
    }
    let spread = TimeSummary::from_histogram(&histogram);
    let failed = results
        .iter()
        .filter(|result| !result.report.holds())
        .count();
    let messages: usize = results.iter().map(|result| result.report.messages).sum();
    let busiest = results.iter().map(|result| result.report.busiest_second);
    let cells = vec![
        fault.to_string(),
        nodes.to_string(),
        results.len().to_string(),
        failed.to_string(),
        format!("{:.0}", spread.p50_ms),
        format!("{:.0}", spread.p99_ms),
        format!("{:.2}", worst.largest_share()),
        worst.seed.to_string(),
        (messages / results.len() / nodes).to_string(),
        (busiest.max().unwrap_or(0) / nodes).to_string(),
    ];
    report.add_row(
        "time from the confirmation of a version to the last node in touch",
        &LAG_COLUMNS,
        cells,
    );
}

/// Runs the seed with the largest lag again and prints what happened.
fn print_timeline(nodes: usize, fault: FaultKind, results: &[SeedResult]) {
    let Some(worst) = worst_result(results) else {
        return;
    };
    let settings = FleetSettings {
        keeps_timeline: true,
        ..fleet_settings(nodes)
    };
    let result = run_seed(&settings, fault, worst.seed);
    println!("timeline of {fault}, {nodes} nodes, seed {}:", worst.seed);
    for line in &result.report.timeline {
        println!("{line}");
    }
    if let Some(sample) = &result.report.largest {
        let at = sample.at.since(agatedeck_clock::Instant::default());
        println!(
            "largest lag: {} at {:.3} s held version {} and lacked {}, confirmed {:.3} s before; bound {:.1} s",
            sample.node,
            at.as_secs_f64(),
            sample.held,
            sample.missing,
            sample.lag.as_secs_f64(),
            Duration::as_secs_f64(&sample.bound)
        );
    }
}
