//! A picture of each series with its fitted line.

use std::path::Path;

use miette::{IntoDiagnostic, Result, miette};
use plotters::prelude::*;

use super::fit::fit_line;
use super::series::{SeriesKey, SeriesTable};

/// Size of one chart, in pixels.
const CHART_SIZE: (u32, u32) = (360, 240);

/// Charts beside each other.
const COLUMNS: usize = 4;

/// Room above the highest point, as a share of the axis.
const HEADROOM: f64 = 1.1;

/// Draws all series of fleets and decisions into one SVG file.
pub(super) fn draw(table: &SeriesTable, file: &Path) -> Result<()> {
    let series: Vec<_> = table.iter().collect();
    let rows = series.len().div_ceil(COLUMNS).max(1);
    let size = (
        CHART_SIZE.0 * u32::try_from(COLUMNS).into_diagnostic()?,
        CHART_SIZE.1 * u32::try_from(rows).into_diagnostic()?,
    );
    let area = SVGBackend::new(file, size).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    for (cell, (key, points)) in area.split_evenly((rows, COLUMNS)).iter().zip(series) {
        draw_series(cell, key, points)?;
    }
    area.present().map_err(failed)
}

fn failed(error: impl std::fmt::Display) -> miette::Report {
    miette!("the plot cannot be drawn: {error}")
}

type Cell<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_series(cell: &Cell<'_>, key: &SeriesKey, points: &[(f64, f64)]) -> Result<()> {
    let top = |of: fn(&(f64, f64)) -> f64| {
        let highest = points.iter().map(of).fold(0.0, f64::max);
        if highest > 0.0 {
            highest * HEADROOM
        } else {
            1.0
        }
    };
    let (right, up) = (top(|point| point.0), top(|point| point.1));
    let mut chart = ChartBuilder::on(cell)
        .caption(format!("{}: {}", key.role, key.metric), ("sans-serif", 13))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..right, 0.0..up)
        .map_err(failed)?;
    chart
        .configure_mesh()
        .x_desc(key.driver)
        .x_labels(5)
        .y_labels(5)
        .light_line_style(WHITE)
        .draw()
        .map_err(failed)?;
    let dots = points
        .iter()
        .map(|point| Circle::new(*point, 3, BLUE.filled()));
    chart.draw_series(dots).map_err(failed)?;
    if let Some(fit) = fit_line(points) {
        let at = |x: f64| (x, fit.intercept + fit.slope * x);
        let line = LineSeries::new([at(0.0), at(right)], &RED);
        chart.draw_series(line).map_err(failed)?;
    }
    Ok(())
}
