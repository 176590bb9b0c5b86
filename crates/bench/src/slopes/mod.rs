//! Measures how state, traffic, CPU time and memory scale with their drivers, for each node role.

mod call_decisions;
mod control_decisions;
mod event_cost;
mod fleet_scaling;
mod linear_fit;
mod plot;
mod series;

use std::path::PathBuf;

use miette::{IntoDiagnostic, Result};
use serde::Serialize;

use crate::arguments::DEFAULT_WORKER_THREADS;
use crate::fleet::SETTLE_PER_NODE_MS;
use crate::report::BenchReport;

use event_cost::EventCost;
use series::SeriesTable;

/// Settings of the `slopes` benchmark.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SlopeSettings {
    /// Output directory for the JSON lines and the plot.
    pub(crate) out: PathBuf,
    /// Node counts of the fleets.
    pub(crate) sizes: Vec<usize>,
    /// Service counts of the fleets.
    pub(crate) services: Vec<usize>,
    /// Nodes restarted per second.
    pub(crate) churn_rates: Vec<f64>,
    /// Configuration changes per second.
    pub(crate) change_rates: Vec<f64>,
    /// Node count while another driver is varied.
    pub(crate) base_nodes: usize,
    /// Service count while another driver is varied.
    pub(crate) base_services: usize,
    /// Changes per second while the node or service count is varied.
    pub(crate) base_change_rate: f64,
    /// Pause between the start of a fleet and its measured window, in milliseconds.
    pub(crate) settle_ms: u64,
    /// Additional pause per node, in milliseconds.
    pub(crate) settle_per_node_ms: u64,
    /// Length of each measured window, in milliseconds.
    pub(crate) window_ms: u64,
    /// Member counts of the membership view for the in-process decision benchmarks.
    pub(crate) members: Vec<usize>,
    /// Service counts of the configuration for the in-process decision benchmarks.
    pub(crate) decision_services: Vec<usize>,
    /// Maximum number of events of each kind; expensive kinds run fewer.
    pub(crate) events: u32,
    /// Worker threads of each node.
    pub(crate) workers: usize,
    pub(crate) seed: u64,
}

impl Default for SlopeSettings {
    fn default() -> Self {
        Self {
            out: PathBuf::from("slopes"),
            sizes: vec![12, 24, 48, 96],
            services: vec![4, 32, 64, 130],
            churn_rates: vec![0.0, 0.5, 1.0, 2.0],
            change_rates: vec![0.0, 2.0, 5.0, 10.0],
            base_nodes: 24,
            base_services: 16,
            base_change_rate: 1.0,
            settle_ms: 6_000,
            settle_per_node_ms: SETTLE_PER_NODE_MS,
            window_ms: 8_000,
            members: vec![324, 675, 1_350, 2_700],
            decision_services: vec![16, 32, 65, 130],
            events: 2_000,
            workers: DEFAULT_WORKER_THREADS,
            seed: 1,
        }
    }
}

/// Runs the decision and fleet benchmarks, and writes the fits and the plot.
pub(crate) async fn run(settings: &SlopeSettings, report: &mut BenchReport) -> Result<()> {
    let mut table = SeriesTable::default();
    // The decisions run first, while this process is small, because the memory of a view is
    // measured as the growth of the anonymous memory of the process.
    let decision_settings = settings.clone();
    let costs = tokio::task::spawn_blocking(move || measure_decisions(&decision_settings));
    for cost in costs.await.into_diagnostic()?? {
        cost.write_report(settings.seed, report)?;
        cost.add_to_series(&mut table);
    }
    fleet_scaling::run(settings, &mut table, report).await?;
    table.report_fits(settings.seed, report)?;
    let file = settings.out.join("slopes.svg");
    plot::draw_svg(&table, &file)?;
    let plot = serde_json::json!({ "file": file });
    report.write_record("plot", &plot)
}

fn measure_decisions(settings: &SlopeSettings) -> Result<Vec<EventCost>> {
    let mut costs = control_decisions::measure_control_decisions(settings)?;
    costs.extend(call_decisions::measure_call_decisions(settings)?);
    Ok(costs)
}
