//! Ordinary least squares regression.

use serde::Serialize;

use crate::statistics::usize_to_f64;

/// Result of a linear fit, `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct LinearFit {
    pub(super) slope: f64,
    pub(super) intercept: f64,
    /// Coefficient of determination; `None` if all `y` are equal.
    pub(super) r_squared: Option<f64>,
    /// Number of fitted points.
    pub(super) points: usize,
}

/// Fits a line to `(x, y)` points by ordinary least squares. Returns `None` if there are fewer than
/// two distinct `x`.
pub(super) fn fit_least_squares(points: &[(f64, f64)]) -> Option<LinearFit> {
    let count = usize_to_f64(points.len());
    let mean =
        |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let sum = |product: &dyn Fn(f64, f64) -> f64| {
        let products = points.iter().map(|(x, y)| product(x - mean_x, y - mean_y));
        products.sum::<f64>()
    };
    let (xx, xy, yy) = (sum(&|x, _| x * x), sum(&|x, y| x * y), sum(&|_, y| y * y));
    if points.len() < 2 || xx == 0.0 {
        return None;
    }
    let slope = xy / xx;
    Some(LinearFit {
        slope,
        intercept: mean_y - slope * mean_x,
        r_squared: (yy > 0.0).then(|| xy * xy / (xx * yy)),
        points: points.len(),
    })
}
