//! SVG plot of each series with its linear fit.

use std::path::Path;

use miette::{IntoDiagnostic, Result, miette};
use plotters::prelude::*;

use super::linear_fit::fit_least_squares;
use super::series::{SeriesKey, SeriesTable};

/// Width and height of one chart, in pixels.
const CHART_SIZE_PX: (u32, u32) = (360, 240);

const CHARTS_PER_ROW: usize = 4;

/// Ratio of an axis limit to the largest value on the axis.
const AXIS_HEADROOM_RATIO: f64 = 1.1;

/// Draws all series into one SVG file, one chart each.
///
/// # Errors
///
/// Fails if the file cannot be written or a chart cannot be laid out.
pub(super) fn draw_svg(table: &SeriesTable, file: &Path) -> Result<()> {
    let series: Vec<_> = table.iter().collect();
    let rows = series.len().div_ceil(CHARTS_PER_ROW).max(1);
    let size = (
        CHART_SIZE_PX.0 * u32::try_from(CHARTS_PER_ROW).into_diagnostic()?,
        CHART_SIZE_PX.1 * u32::try_from(rows).into_diagnostic()?,
    );
    let area = SVGBackend::new(file, size).into_drawing_area();
    area.fill(&WHITE).map_err(plot_error)?;
    for (chart_area, (key, points)) in area.split_evenly((rows, CHARTS_PER_ROW)).iter().zip(series)
    {
        draw_series(chart_area, key, points)?;
    }
    area.present().map_err(plot_error)
}

fn plot_error(error: impl std::fmt::Display) -> miette::Report {
    miette!("cannot draw the plot: {error}")
}

type ChartArea<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_series(chart_area: &ChartArea<'_>, key: &SeriesKey, points: &[(f64, f64)]) -> Result<()> {
    let axis_limit = |coordinate: fn(&(f64, f64)) -> f64| {
        let highest = points.iter().map(coordinate).fold(0.0, f64::max);
        if highest > 0.0 {
            highest * AXIS_HEADROOM_RATIO
        } else {
            1.0
        }
    };
    let (x_limit, y_limit) = (axis_limit(|point| point.0), axis_limit(|point| point.1));
    let mut chart = ChartBuilder::on(chart_area)
        .caption(format!("{}: {}", key.role, key.metric), ("sans-serif", 13))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..x_limit, 0.0..y_limit)
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .x_desc(key.driver)
        .x_labels(5)
        .y_labels(5)
        .light_line_style(WHITE)
        .draw()
        .map_err(plot_error)?;
    let dots = points
        .iter()
        .map(|point| Circle::new(*point, 3, BLUE.filled()));
    chart.draw_series(dots).map_err(plot_error)?;
    if let Some(fit) = fit_least_squares(points) {
        let line_point = |x: f64| (x, fit.intercept + fit.slope * x);
        let fitted_line = LineSeries::new([line_point(0.0), line_point(x_limit)], &RED);
        chart.draw_series(fitted_line).map_err(plot_error)?;
    }
    Ok(())
}
