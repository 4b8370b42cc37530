//! Bar chart of the 99th percentiles of a load run and its baselines.

use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, IntoFont, Palette, Palette99, Rectangle, SVGBackend,
    Text, WHITE,
};
use plotters::style::Color;
use pollenrouter_dev::error::Error;

use crate::load::Report;

const SIZE_PIXELS: (u32, u32) = (900, 420);

/// Draws one bar for each policy, over all classes of calls, as SVG.
pub fn draw(path: &Path, report: &Report) -> Result<(), Error> {
    draw_chart(path, report).map_err(|err| Error::Process("plot".to_owned(), err.to_string()))
}

fn draw_chart(path: &Path, report: &Report) -> Result<(), Box<dyn std::error::Error>> {
    let rows: Vec<_> = report
        .rows
        .iter()
        .filter(|row| row.class.is_none())
        .collect();
    let y_max = rows.iter().map(|row| row.p99_ms).fold(1.0, f64::max) * 1.15;
    let x_max = rows.len() as f64;
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!("p99 in ms at load {} (seed {})", report.load, report.seed);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(10)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .disable_x_axis()
        .y_desc("ms")
        .draw()?;
    for (index, row) in rows.iter().enumerate() {
        let x = index as f64;
        let bar = [(x + 0.1, 0.0), (x + 0.9, row.p99_ms)];
        let color = Palette99::pick(index).mix(0.7).filled();
        chart.draw_series([Rectangle::new(bar, color)])?;
        let label = format!("{}: {:.0}", row.policy, row.p99_ms);
        let font = ("sans-serif", 13).into_font().color(&BLACK);
        chart.draw_series([Text::new(
            label,
            (x + 0.08, row.p99_ms + y_max * 0.04),
            font,
        )])?;
    }
    area.present()?;
    Ok(())
}
