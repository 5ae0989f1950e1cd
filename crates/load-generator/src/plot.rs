//! A run as a picture: what was meant, what was placed, and the slowest answer of each second.

use crate::tally::{Report, Second};
use plotters::prelude::*;
use std::path::Path;

type DrawError = Box<dyn std::error::Error>;
/// A line's name, its colour, and what it shows of a second.
type Line = (&'static str, RGBColor, fn(&Second) -> u64);

/// Two charts above each other, by seconds of intended time.
pub fn draw(report: &Report, path: &Path) -> Result<(), String> {
    charts(report, path).map_err(|why| format!("{}: {why}", path.display()))
}

fn charts(report: &Report, path: &Path) -> Result<(), DrawError> {
    let root = SVGBackend::new(path, (900, 640)).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(320);
    let seconds = &report.seconds;
    let last = seconds.last().map_or(1, |second| second.at + 1) as f64;
    let most = seconds
        .iter()
        .map(|second| second.intended)
        .max()
        .unwrap_or(1)
        .max(1) as f64;
    let mut chart = ChartBuilder::on(&upper)
        .caption("asks a second, by intended time", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(24)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..last, 0.0..most * 1.1)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("s")
        .draw()?;
    let lines: [Line; 4] = [
        ("intended", BLACK, |second| second.intended),
        ("placed", RGBColor(40, 120, 60), |second| second.placed),
        ("refused", RGBColor(210, 130, 0), |second| second.rejected),
        ("lost", RED, |second| second.lost),
    ];
    for (name, colour, of) in lines {
        let points = seconds
            .iter()
            .map(|second| (second.at as f64 + 0.5, of(second) as f64));
        let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        drawn
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    let slowest = seconds
        .iter()
        .map(|second| second.slowest_us)
        .max()
        .unwrap_or(1)
        .max(1) as f64
        / 1_000.0;
    let mut chart = ChartBuilder::on(&lower)
        .caption(
            "slowest answer, ms from its intended time",
            ("sans-serif", 16),
        )
        .margin(10)
        .x_label_area_size(24)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..last, 0.0..slowest * 1.1)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("s")
        .draw()?;
    let bars = seconds.iter().map(|second| {
        let at = second.at as f64;
        Rectangle::new(
            [
                (at + 0.1, 0.0),
                (at + 0.9, second.slowest_us as f64 / 1_000.0),
            ],
            BLUE.mix(0.5).filled(),
        )
    });
    chart.draw_series(bars)?;
    root.present()?;
    Ok(())
}
