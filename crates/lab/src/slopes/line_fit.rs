//! Linear regression over measured points.

/// Least-squares line through a set of points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Value at size zero.
    pub intercept: f64,
    /// Relative error of the fit: the root mean square of the residuals, divided by the largest
    /// absolute `value` of the points.
    pub relative_error: f64,
    /// Growth per unit of size.
    pub slope: f64,
}

impl LineFit {
    /// Fits a line through `(size, value)` points.
    ///
    /// ```
    /// let fit = lab::LineFit::new(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
    /// assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 1.0).abs() < 1e-9);
    /// assert!(fit.relative_error < 1e-9);
    /// ```
    pub fn new(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
        let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let intercept = mean_y - slope * mean_x;
        let squares: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
        let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        Self { intercept, relative_error: (squares / n).sqrt() / largest, slope }
    }

    /// Returns the fitted value for `size`.
    ///
    /// ```
    /// let fit = lab::LineFit { intercept: 1.0, relative_error: 0.0, slope: 2.0 };
    /// assert_eq!(fit.predict(10.0), 21.0);
    /// ```
    pub fn predict(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
