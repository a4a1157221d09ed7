//! Losses over time as an SVG plot: one stack for each step, by cause.

use plotters::prelude::*;
use plotters::style::RGBColor;

use crate::cause::Cause;
use crate::error::Error;
use crate::tally::{Count, Tally};

/// Width and height in pixels: fits a page and a screen.
const SIZE: (u32, u32) = (960, 420);

/// Colours that stay apart for colour-blind readers, one for each cause.
const COLOURS: [RGBColor; Cause::ALL.len()] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(240, 228, 66),
    RGBColor(120, 60, 20),
    RGBColor(90, 90, 90),
    RGBColor(170, 170, 170),
    RGBColor(130, 0, 130),
    RGBColor(0, 0, 0),
];

/// The plot as SVG text.
///
/// # Errors
///
/// [`Error::Plot`].
pub fn render(tally: &Tally) -> Result<String, Error> {
    let mut svg = String::new();
    draw(&mut svg, tally).map_err(|error| Error::Plot(error.to_string()))?;
    Ok(svg)
}

fn draw(svg: &mut String, tally: &Tally) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let first = tally.steps.keys().next().copied().unwrap_or_default();
    let last = tally.steps.keys().last().copied().unwrap_or(first);
    let most = tally.steps.values().map(Count::all_lost).max();
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "requests not served on time, by when they arrived",
            ("sans-serif", 16),
        )
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0..last - first + tally.step_s, 0..most.unwrap_or(0).max(1))?;
    let x = format!("seconds, in steps of {}", tally.step_s);
    chart.configure_mesh().x_desc(x).y_desc("requests").draw()?;
    for (at, cause) in Cause::ALL.into_iter().enumerate() {
        let colour = COLOURS[at % COLOURS.len()];
        let bars = tally.steps.iter().map(|(second, count)| {
            let number = |it: &Cause| count.lost.get(it).copied().unwrap_or_default();
            let below: u64 = Cause::ALL[..at].iter().map(number).sum();
            let left = second - first;
            let corners = [(left, below), (left + tally.step_s, below + number(&cause))];
            Rectangle::new(corners, colour.filled())
        });
        chart
            .draw_series(bars)?
            .label(cause.word())
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 10, y + 4)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}
