//! Series of measured values, each against one driver.

use std::collections::BTreeMap;

use miette::Result;
use serde::Serialize;

use super::linear_fit::{LinearFit, fit_least_squares};
use crate::report::BenchReport;

/// Identifies a series.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(super) struct SeriesKey {
    /// Independent variable, for example `nodes`.
    pub(super) driver: &'static str,
    /// Node role that the value belongs to, for example `reader`.
    pub(super) role: String,
    /// Name of the measured value, including its unit.
    pub(super) metric: &'static str,
}

/// `(driver, value)` points of each series.
#[derive(Debug, Default)]
pub(super) struct SeriesTable {
    points: BTreeMap<SeriesKey, Vec<(f64, f64)>>,
}

/// JSON line with the linear fit of one series.
#[derive(Serialize)]
struct FitRecord<'a> {
    #[serde(flatten)]
    key: &'a SeriesKey,
    seed: u64,
    #[serde(flatten)]
    fit: LinearFit,
    data: &'a [(f64, f64)],
}

const FIT_TABLE_TITLE: &str = "fitted slopes: metric = intercept + slope x driver";
const FIT_TABLE_HEADER: [&str; 7] = [
    "driver",
    "role",
    "metric",
    "slope",
    "intercept",
    "R squared",
    "points",
];

impl SeriesTable {
    pub(super) fn add_point(
        &mut self,
        driver: &'static str,
        role: &str,
        metric: &'static str,
        point: (f64, f64),
    ) {
        let key = SeriesKey {
            driver,
            role: role.to_owned(),
            metric,
        };
        self.points.entry(key).or_default().push(point);
    }

    /// Iterates over all series in key order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&SeriesKey, &[(f64, f64)])> {
        self.points
            .iter()
            .map(|(key, points)| (key, points.as_slice()))
    }

    /// Writes one `fit` line and one table row per series. Series with fewer than two distinct
    /// driver values are omitted.
    pub(super) fn report_fits(&self, seed: u64, report: &mut BenchReport) -> Result<()> {
        for (key, data) in self.iter() {
            let Some(fit) = fit_least_squares(data) else {
                continue;
            };
            let record = FitRecord {
                key,
                seed,
                fit,
                data,
            };
            report.write_record("fit", &record)?;
            let r_squared = fit.r_squared.map_or("-".to_owned(), |r| format!("{r:.3}"));
            let cells = vec![
                key.driver.to_owned(),
                key.role.clone(),
                key.metric.to_owned(),
                format!("{:.4}", fit.slope),
                format!("{:.3}", fit.intercept),
                r_squared,
                fit.points.to_string(),
            ];
            report.add_row(FIT_TABLE_TITLE, &FIT_TABLE_HEADER, cells);
        }
        Ok(())
    }
}
