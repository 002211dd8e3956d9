//! Growth of one figure with the size of a fleet, and the command that measures all such figures.

use super::{LineFit, control_slopes::control_slopes, table_slopes::table_slopes};
use plotters::{
    chart::ChartBuilder,
    drawing::IntoDrawingArea,
    element::Circle,
    prelude::SVGBackend,
    series::LineSeries,
    style::{BLUE, Color, RED, WHITE},
};
use std::{error::Error, fmt::Write, fs, path::Path};

/// Width and height of a plot.
const PLOT_SIZE_PX: (u32, u32) = (520, 320);

/// Growth of one figure with the size of a fleet.
#[derive(Clone, Debug)]
pub struct Slope {
    /// Unit in which the size is counted.
    pub axis: &'static str,
    /// Name of the figure, with its unit.
    pub figure: &'static str,
    /// Measured `(size, value)` points.
    pub points: Vec<(f64, f64)>,
    /// Size that the system must support in two years.
    pub target: f64,
}

impl Slope {
    /// Fits a line through the points.
    pub fn fit(&self) -> LineFit {
        LineFit::new(&self.points)
    }

    fn file_stem(&self) -> String {
        let text = format!("{} by {}", self.figure, self.axis);
        let plain = text.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' });
        plain.collect::<String>().split('-').filter(|s| !s.is_empty()).collect::<Vec<_>>().join("-")
    }

    fn plot(&self, directory: &Path) -> Result<(), Box<dyn Error>> {
        let path = directory.join(format!("{}.svg", self.file_stem()));
        let area = SVGBackend::new(&path, PLOT_SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let largest = self.points.iter().map(|(x, _)| *x).fold(0.0, f64::max);
        let fit = self.fit();
        let highest = self.points.iter().map(|(_, y)| *y).fold(fit.predict(largest), f64::max);
        let mut chart = ChartBuilder::on(&area)
            .caption(self.figure, ("sans-serif", 15))
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(70)
            .build_cartesian_2d(0.0..largest * 1.05, 0.0..highest * 1.1)?;
        chart.configure_mesh().x_desc(self.axis).draw()?;
        let line = [(0.0, fit.intercept.max(0.0)), (largest, fit.predict(largest))];
        chart.draw_series(LineSeries::new(line, RED.stroke_width(1)))?;
        chart.draw_series(self.points.iter().map(|p| Circle::new(*p, 3, BLUE.filled())))?;
        area.present()?;
        Ok(())
    }
}

/// Measures all slopes, prints them as a table, and writes the table and plots to a directory if
/// one is given.
///
/// # Errors
///
/// Returns an error if a fleet can't be started or a file can't be written.
pub async fn run_slopes(directory: Option<&Path>) -> Result<(), Box<dyn Error>> {
    let mut slopes = table_slopes()?;
    print!("{}", to_table(&slopes));
    slopes.extend(control_slopes().await?);
    let table = to_table(&slopes);
    println!("\n{table}");
    if let Some(directory) = directory {
        fs::create_dir_all(directory)?;
        fs::write(directory.join("slopes.md"), &table)?;
        for slope in &slopes {
            slope.plot(directory)?;
        }
        println!("written to {}", directory.display());
    }
    Ok(())
}

fn to_table(slopes: &[Slope]) -> String {
    let mut table = String::from(
        "| figure | by | points | base | slope | residual | at the target |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for slope in slopes {
        let fit = slope.fit();
        let points: Vec<String> =
            slope.points.iter().map(|(x, y)| format!("{x}: {}", format_value(*y))).collect();
        writeln!(
            table,
            "| {} | {} | {} | {} | {} | {:.0}% | {} at {} |",
            slope.figure,
            slope.axis,
            points.join(", "),
            format_value(fit.intercept),
            format_value(fit.slope),
            fit.relative_error * 100.0,
            format_value(fit.predict(slope.target)),
            slope.target
        )
        .expect("writing to a string can't fail");
    }
    table
}

/// Formats a value with at least three significant digits; values below 1 get five decimals.
fn format_value(value: f64) -> String {
    let digits = match value.abs() {
        v if v >= 100.0 => 0,
        v if v >= 10.0 => 1,
        v if v >= 1.0 => 2,
        _ => 5,
    };
    format!("{value:.digits$}")
}
