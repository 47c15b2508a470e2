//! A straight line through measured points.

/// A line fitted by least squares.
pub struct Fit {
    /// Value at size 0.
    pub intercept: f64,
    /// Rise for each one more.
    pub slope: f64,
    /// Root mean square of what the line misses, as a share of the mean value.
    pub residual: f64,
}

impl Fit {
    /// Fits a line to points of size and value.
    ///
    /// # Panics
    ///
    /// If there are fewer than two sizes.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        assert!(spread > 0.0, "a line needs two sizes");

        let together: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = together / spread;
        let intercept = mean_y - slope * mean_x;
        let missed: f64 = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2))
            .sum();
        Self {
            intercept,
            slope,
            residual: (missed / count).sqrt() / mean_y.abs().max(f64::MIN_POSITIVE),
        }
    }
}
