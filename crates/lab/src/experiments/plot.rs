//! Latency plots.

use crate::RunReport;
use plotters::{
    chart::ChartBuilder,
    coord::combinators::IntoLogRange,
    drawing::IntoDrawingArea,
    element::PathElement,
    prelude::SVGBackend,
    series::LineSeries,
    style::{BLACK, Color, Palette, Palette99, WHITE},
};
use std::{error::Error, path::Path};

/// Width and height of a plot.
const PLOT_SIZE_PX: (u32, u32) = (800, 500);
/// Number of line segments of a curve.
const CURVE_POINTS: u32 = 200;

/// Plots the latency of interactive requests by quantile, on logarithmic scales up to the 99.99%
/// quantile.
pub(super) fn plot_latencies(
    path: &Path,
    title: &str,
    reports: &[(&str, &RunReport)],
) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let highest = reports.iter().map(|(_, r)| r.interactive_ms(1.0)).fold(10.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..4.0, (1.0..highest).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("quantile")
        .x_label_formatter(&|x| format!("{:.2}%", 100.0 * (1.0 - 10f64.powf(-x))))
        .y_desc("latency in ms")
        .draw()?;
    for (index, (label, report)) in reports.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let curve = (0..=CURVE_POINTS).map(|i| {
            let x = 4.0 * f64::from(i) / f64::from(CURVE_POINTS);
            (x, report.interactive_ms(1.0 - 10f64.powf(-x)).max(1.0))
        });
        chart
            .draw_series(LineSeries::new(curve, color.stroke_width(2)))?
            .label(*label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
