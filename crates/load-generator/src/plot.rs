//! Draws a report as an SVG image: the intended requests, their outcomes, and the slowest reply of
//! each second.

use crate::tally::{Report, Second};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::{Path, PathBuf};

/// The size of the image, in pixels.
const SIZE: (u32, u32) = (900, 640);
/// The height of the upper chart, in pixels.
const UPPER_HEIGHT: u32 = 320;

/// The error for a report that could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub struct PlotError {
    /// The file of the image.
    pub path: PathBuf,
    /// The error of the drawing library.
    pub source: Box<dyn std::error::Error + Send + Sync>,
}

type DrawResult = Result<(), Box<dyn std::error::Error + Send + Sync>>;
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A line of a chart: its name, its colour, and the value that it shows for a second.
struct Line {
    name: &'static str,
    colour: RGBColor,
    value: fn(&Second) -> u64,
}

/// The lines of the upper chart.
const LINES: [Line; 4] = [
    Line {
        name: "intended",
        colour: BLACK,
        value: |second| second.intended,
    },
    Line {
        name: "placed",
        colour: RGBColor(40, 120, 60),
        value: |second| second.placed,
    },
    Line {
        name: "rejected",
        colour: RGBColor(210, 130, 0),
        value: |second| second.rejected,
    },
    Line {
        name: "lost",
        colour: RED,
        value: |second| second.lost,
    },
];

/// Draws two charts above each other, with one value per second of intended time.
pub fn draw(report: &Report, path: &Path) -> Result<(), PlotError> {
    charts(report, path).map_err(|source| PlotError {
        path: path.into(),
        source,
    })
}

fn charts(report: &Report, path: &Path) -> DrawResult {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(UPPER_HEIGHT);
    let end = report.seconds.last().map_or(1, |second| second.at + 1) as f64;
    rates(&report.seconds, end, &upper)?;
    slowest_replies(&report.seconds, end, &lower)?;
    root.present()?;
    Ok(())
}

/// Draws the requests per second: the intended ones, and those with each outcome.
fn rates(seconds: &[Second], end: f64, area: &Area) -> DrawResult {
    let highest = seconds.iter().map(|second| second.intended).max();
    let highest = highest.unwrap_or(1).max(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption("requests per second, by intended time", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(24)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..highest * 1.1)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("s")
        .draw()?;
    for line in &LINES {
        let points = seconds
            .iter()
            .map(|second| (second.at as f64 + 0.5, (line.value)(second) as f64));
        let series = chart.draw_series(LineSeries::new(points, line.colour.stroke_width(2)))?;
        series
            .label(line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], line.colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}

/// Draws the latency of the slowest reply of each second, in ms from its intended time.
fn slowest_replies(seconds: &[Second], end: f64, area: &Area) -> DrawResult {
    let slowest_us = seconds.iter().map(|second| second.slowest_us).max();
    let slowest = slowest_us.unwrap_or(1).max(1) as f64 / 1_000.0;
    let mut chart = ChartBuilder::on(area)
        .caption(
            "slowest reply, ms from its intended time",
            ("sans-serif", 16),
        )
        .margin(10)
        .x_label_area_size(24)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..slowest * 1.1)?;
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
    Ok(())
}
