//! Linear regression over measured points.

/// A line fitted by least squares.
pub struct LinearFit {
    /// Value at size 0.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Root mean square error, relative to the mean value.
    pub residual: f64,
}

impl LinearFit {
    /// Fits a line to points, each a size and a value.
    ///
    /// # Panics
    ///
    /// Panics if there are fewer than two distinct sizes.
    pub fn least_squares(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        assert!(
            sum_xx > 0.0,
            "a linear fit needs at least two distinct sizes"
        );

        let sum_xy: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = sum_xy / sum_xx;
        let intercept = mean_y - slope * mean_x;
        let squared_error: f64 = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2))
            .sum();
        Self {
            intercept,
            slope,
            residual: (squared_error / count).sqrt() / mean_y.abs().max(f64::MIN_POSITIVE),
        }
    }
}
