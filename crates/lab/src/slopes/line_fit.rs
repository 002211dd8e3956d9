//! A straight line through measured points.

/// The least-squares line through points, with how far the points are from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Value at zero.
    pub base: f64,
    /// Root mean square of the residuals, as a part of the largest value.
    pub residual: f64,
    /// Growth for each unit.
    pub slope: f64,
}

impl LineFit {
    /// Fits a line through points of size and value.
    ///
    /// ```
    /// let fit = lab::LineFit::new(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
    /// assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.base - 1.0).abs() < 1e-9);
    /// assert!(fit.residual < 1e-9);
    /// ```
    pub fn new(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
        let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let base = mean_y - slope * mean_x;
        let squares: f64 = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
        let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        Self { base, residual: (squares / n).sqrt() / largest, slope }
    }

    /// The line's value at a size.
    ///
    /// ```
    /// let fit = lab::LineFit { base: 1.0, residual: 0.0, slope: 2.0 };
    /// assert_eq!(fit.at(10.0), 21.0);
    /// ```
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
