//! Plot of a load's 99th percentiles, beside the baselines.

use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, IntoFont, Palette, Palette99, Rectangle, SVGBackend,
    Text, WHITE,
};
use plotters::style::Color;
use pollenrouter_dev::error::Error;

use crate::load::Report;

const SIZE_PIXELS: (u32, u32) = (900, 420);

/// Draws one bar for each policy over all classes.
pub fn draw(path: &Path, report: &Report) -> Result<(), Error> {
    chart(path, report).map_err(|err| Error::Process("plot".to_owned(), err.to_string()))
}

fn chart(path: &Path, report: &Report) -> Result<(), Box<dyn std::error::Error>> {
    let rows: Vec<_> = report
        .rows
        .iter()
        .filter(|row| row.class.is_none())
        .collect();
    let top = rows.iter().map(|row| row.p99_ms).fold(1.0, f64::max) * 1.15;
    let right = rows.len() as f64;
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!("p99 in ms at load {} (seed {})", report.load, report.seed);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(10)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .disable_x_axis()
        .y_desc("ms")
        .draw()?;
    for (nth, row) in rows.iter().enumerate() {
        let left = nth as f64;
        let corners = [(left + 0.1, 0.0), (left + 0.9, row.p99_ms)];
        let color = Palette99::pick(nth).mix(0.7).filled();
        chart.draw_series([Rectangle::new(corners, color)])?;
        let label = format!("{}: {:.0}", row.policy, row.p99_ms);
        let font = ("sans-serif", 13).into_font().color(&BLACK);
        chart.draw_series([Text::new(
            label,
            (left + 0.08, row.p99_ms + top * 0.04),
            font,
        )])?;
    }
    area.present()?;
    Ok(())
}
