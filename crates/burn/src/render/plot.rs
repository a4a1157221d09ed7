//! The report as an SVG plot: attainment over time above, budget burn by window below.

use std::collections::BTreeMap;

use jiff::tz::TimeZone;
use plotters::prelude::*;
use plotters::style::RGBColor;
use woodgap_core::burn::minute;
use woodgap_core::name;

use crate::error::Error;
use crate::render::text::time;
use crate::report::Report;
use crate::span::start;
use crate::window::Window;

/// Width and height in pixels: fits a page and a screen.
const SIZE: (u32, u32) = (960, 720);

/// Where the upper chart ends.
const SPLIT: u32 = 400;

/// Colours that stay apart for colour-blind readers (Okabe and Ito); they
/// repeat from the eighth class on.
const COLOURS: [RGBColor; 7] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(90, 90, 90),
];

/// The part of a window's room that its bars take.
const BARS: f64 = 0.8;

/// Labels on an axis: about one in 100 pixels.
const LABELS: usize = 8;

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// The plot as SVG text, with times by the clock of this zone.
///
/// # Errors
///
/// [`Error::Plot`].
pub fn render(report: &Report, zone: &TimeZone) -> Result<String, Error> {
    let mut svg = String::new();
    draw(&mut svg, report, zone).map_err(|error| Error::Plot(error.to_string()))?;
    Ok(svg)
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

fn draw(svg: &mut String, report: &Report, zone: &TimeZone) -> Drawn {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(SPLIT);
    attainment(&upper, report, zone)?;
    burn(&lower, report)?;
    root.present()?;
    Ok(())
}

fn attainment(area: &Area, report: &Report, zone: &TimeZone) -> Drawn {
    let lowest = report.series.points.iter().map(|point| point.attainment);
    let lowest = lowest.fold(0.9, f64::min);
    let caption = format!(
        "Attainment by class, {} to {}",
        time(report.from, zone, "%Y-%m-%d %H:%M"),
        time(report.until, zone, "%Y-%m-%d %H:%M %Z"),
    );
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(minute(report.from)..minute(report.until), lowest..1.0)?;
    chart
        .configure_mesh()
        .x_labels(LABELS)
        .max_light_lines(1)
        .x_label_formatter(&|minute| time(start(*minute), zone, "%m-%d %H:%M"))
        .y_label_formatter(&|share| format!("{:.1}%", share * 100.0))
        .draw()?;
    for (index, (class, line)) in lines(report).into_iter().enumerate() {
        let colour = colour(index);
        // A step without requests breaks the line; a lone point is still seen.
        for piece in line {
            let dots = piece
                .iter()
                .map(|point| Circle::new(*point, 2, colour.filled()));
            chart.draw_series(dots)?;
            chart.draw_series(LineSeries::new(piece.clone(), colour.stroke_width(2)))?;
        }
        let legend = move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled());
        chart
            .draw_series(std::iter::empty::<Circle<(u64, f64), i32>>())?
            .label(class.as_str())
            .legend(legend);
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}

type Piece = Vec<(u64, f64)>;

/// The unbroken pieces of each class's line, in the order of [`classes`].
fn lines(report: &Report) -> Vec<(&name::Class, Vec<Piece>)> {
    let step = report.series.step_minutes;
    let mut lines: BTreeMap<&name::Class, Vec<Piece>> = BTreeMap::new();
    for line in &report.classes {
        lines.entry(&line.class).or_default();
    }
    for point in &report.series.points {
        let pieces = lines.entry(&point.class).or_default();
        let place = (minute(point.at), point.attainment);
        match pieces.last_mut() {
            Some(piece) if follows(piece, place, step) => piece.push(place),
            _ => pieces.push(vec![place]),
        }
    }
    lines.into_iter().collect()
}

fn follows(piece: &Piece, place: (u64, f64), step: u64) -> bool {
    piece.last().is_some_and(|last| last.0 + step == place.0)
}

fn burn(area: &Area, report: &Report) -> Drawn {
    let windows = report.windows.len();
    let burns = report.classes.iter().flat_map(|line| &line.burns);
    // The line at 1 is always in sight.
    let highest = burns.filter_map(|burn| burn.burn).fold(1.2, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(area)
        .caption("Budget burn by class and window", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..windows.max(1) as f64, 0.0..highest)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .max_light_lines(1)
        // A tick at each half: the middles bear the windows' names.
        .x_labels(2 * windows + 1)
        .x_label_formatter(&|middle| label(report, *middle))
        .y_label_formatter(&|burn| format!("{burn:.1}"))
        .draw()?;
    let classes = report.classes.len().max(1) as f64;
    let width = BARS / classes;
    for (index, line) in report.classes.iter().enumerate() {
        let left = (1.0 - BARS) / 2.0 + index as f64 * width;
        let bar = |(window, burn): (usize, f64)| {
            let left = window as f64 + left;
            Rectangle::new([(left, 0.0), (left + width, burn)], colour(index).filled())
        };
        let burns = line.burns.iter().enumerate();
        let burns = burns.filter_map(|(window, burn)| Some((window, burn.burn?)));
        chart.draw_series(burns.map(bar))?;
    }
    let limit = [(0.0, 1.0), (windows.max(1) as f64, 1.0)];
    chart.draw_series(LineSeries::new(limit, BLACK.stroke_width(1)))?;
    Ok(())
}

/// The name of the window whose room has its middle here.
fn label(report: &Report, middle: f64) -> String {
    let middles = (0_u32..).map(|window| f64::from(window) + 0.5);
    let mut windows = middles.zip(&report.windows);
    let cover = windows.find(|(place, _)| (place - middle).abs() < f64::EPSILON);
    let window = cover.and_then(|(_, cover)| Window::new(cover.minutes));
    window
        .as_ref()
        .map_or_else(String::new, ToString::to_string)
}

fn colour(index: usize) -> RGBColor {
    COLOURS[index % COLOURS.len()]
}
