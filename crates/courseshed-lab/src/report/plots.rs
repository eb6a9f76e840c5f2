//! Plots as SVG text: lines, and bars that stand side by side or on each other.

use std::fmt::Display;

use plotters::{
    coord::Shift,
    prelude::{
        ChartBuilder, DashedLineSeries, DrawingArea, IntoDrawingArea, IntoLogRange, LineSeries,
        PathElement, Rectangle, SVGBackend, ShapeStyle, Text,
    },
    style::{BLACK, Color, IntoFont, RGBColor, WHITE},
};
use snafu::Snafu;

use super::palette::colour;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (560, 300);
/// Part of a group's width that its bars take.
const GROUP_WIDTH: f64 = 0.8;
/// Part of the height kept below zero for the names of groups.
const LABEL_SPACE: f64 = 0.1;

/// A plot that can't be drawn.
#[derive(Debug, Snafu)]
#[snafu(display("{reason}"))]
pub(super) struct PlotError {
    reason: String,
}

fn plot_error(error: impl Display) -> PlotError {
    PlotError {
        reason: error.to_string(),
    }
}

/// A line.
#[derive(Debug, Clone)]
pub(super) struct Line {
    /// Place in the palette.
    pub(super) colour: usize,
    pub(super) is_dashed: bool,
    pub(super) points: Vec<(f64, f64)>,
}

/// Lines over a common axis.
#[derive(Debug, Clone)]
pub(super) struct LinePlot {
    pub(super) x_label: &'static str,
    pub(super) y_label: &'static str,
    pub(super) has_log_x: bool,
    pub(super) most_y: f64,
    pub(super) lines: Vec<Line>,
}

/// A bar, or a piece of a stacked one.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bar {
    /// Place in the palette.
    pub(super) colour: usize,
    pub(super) value: f64,
    /// Half the length of its whisker; 0 for none.
    pub(super) deviation: f64,
}

/// Bars beside each other; each is a stack of pieces.
#[derive(Debug, Clone)]
pub(super) struct BarGroup {
    pub(super) label: String,
    pub(super) stacks: Vec<Vec<Bar>>,
}

/// Groups of bars.
#[derive(Debug, Clone)]
pub(super) struct BarPlot {
    pub(super) y_label: &'static str,
    pub(super) groups: Vec<BarGroup>,
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws lines.
pub(super) fn draw_lines(plot: &LinePlot) -> Result<String, PlotError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        match plot.has_log_x {
            true => draw_log_lines(plot, &area)?,
            false => draw_linear_lines(plot, &area)?,
        }
        area.present().map_err(plot_error)?;
    }
    Ok(text)
}

fn bounds(plot: &LinePlot) -> (f64, f64) {
    let points = plot.lines.iter().flat_map(|line| &line.points);
    let least = points
        .clone()
        .map(|point| point.0)
        .fold(f64::INFINITY, f64::min);
    let most = points
        .map(|point| point.0)
        .fold(f64::NEG_INFINITY, f64::max);
    if least < most {
        (least, most)
    } else {
        (0.1, 1.0)
    }
}

macro_rules! draw_series {
    ($plot:expr, $chart:expr) => {{
        $chart
            .configure_mesh()
            .light_line_style(WHITE)
            .bold_line_style(BLACK.mix(0.12))
            .x_desc($plot.x_label)
            .y_desc($plot.y_label)
            .x_labels(7)
            .y_labels(6)
            .label_style(("sans-serif", 12).into_font())
            .draw()
            .map_err(plot_error)?;
        for line in &$plot.lines {
            let style = colour(line.colour).stroke_width(2);
            let points = line.points.iter().copied();
            match line.is_dashed {
                true => {
                    let series = DashedLineSeries::new(points, 4, 4, style);
                    $chart.draw_series(series).map_err(plot_error)?;
                }
                false => {
                    let series = LineSeries::new(points, style);
                    $chart.draw_series(series).map_err(plot_error)?;
                }
            }
        }
        Ok(())
    }};
}

fn draw_log_lines(plot: &LinePlot, area: &Area<'_>) -> Result<(), PlotError> {
    let (least, most) = bounds(plot);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(40)
        .y_label_area_size(54)
        .build_cartesian_2d((least.max(1e-3)..most).log_scale(), 0.0..plot.most_y)
        .map_err(plot_error)?;
    draw_series!(plot, chart)
}

fn draw_linear_lines(plot: &LinePlot, area: &Area<'_>) -> Result<(), PlotError> {
    let (least, most) = bounds(plot);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(40)
        .y_label_area_size(54)
        .build_cartesian_2d(least..most, 0.0..plot.most_y)
        .map_err(plot_error)?;
    draw_series!(plot, chart)
}

/// Draws bars.
pub(super) fn draw_bars(plot: &BarPlot) -> Result<String, PlotError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        draw_bars_on(plot, &area)?;
        area.present().map_err(plot_error)?;
    }
    Ok(text)
}

fn draw_bars_on(plot: &BarPlot, area: &Area<'_>) -> Result<(), PlotError> {
    let most = highest(plot) * 1.08;
    let groups = plot.groups.len().max(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(8)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..groups, -most * LABEL_SPACE..most)
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .disable_x_axis()
        .light_line_style(WHITE)
        .bold_line_style(BLACK.mix(0.12))
        .y_desc(plot.y_label)
        .y_labels(7)
        .y_label_formatter(&|value| {
            if *value < 0.0 {
                String::new()
            } else {
                short(*value)
            }
        })
        .label_style(("sans-serif", 12).into_font())
        .draw()
        .map_err(plot_error)?;
    for (index, group) in plot.groups.iter().enumerate() {
        let left = index as f64 + (1.0 - GROUP_WIDTH) / 2.0;
        let width = GROUP_WIDTH / group.stacks.len().max(1) as f64;
        let label = Text::new(
            group.label.clone(),
            (left, -most * 0.025),
            ("sans-serif", 13).into_font(),
        );
        chart.draw_series([label]).map_err(plot_error)?;
        for (place, stack) in group.stacks.iter().enumerate() {
            let from = left + place as f64 * width;
            let pieces = pieces(stack, from, from + width * 0.9);
            chart.draw_series(pieces).map_err(plot_error)?;
            chart
                .draw_series(whisker(stack, from + width * 0.45))
                .map_err(plot_error)?;
        }
    }
    Ok(())
}

fn highest(plot: &BarPlot) -> f64 {
    let stacks = plot.groups.iter().flat_map(|group| &group.stacks);
    let tops = stacks.map(|stack| {
        let whisker = stack.last().map_or(0.0, |bar| bar.deviation);
        stack.iter().map(|bar| bar.value).sum::<f64>() + whisker
    });
    tops.fold(f64::MIN_POSITIVE, f64::max)
}

fn pieces(stack: &[Bar], from: f64, until: f64) -> Vec<Rectangle<(f64, f64)>> {
    let mut bottom = 0.0;
    let mut pieces = Vec::new();
    for bar in stack {
        let top = bottom + bar.value;
        let fill: RGBColor = colour(bar.colour);
        pieces.push(Rectangle::new(
            [(from, bottom), (until, top)],
            fill.filled(),
        ));
        bottom = top;
    }
    pieces
}

fn whisker(stack: &[Bar], at: f64) -> Option<PathElement<(f64, f64)>> {
    let last = stack.last().filter(|bar| bar.deviation > 0.0)?;
    let top: f64 = stack.iter().map(|bar| bar.value).sum();
    let ends = vec![(at, top - last.deviation), (at, top + last.deviation)];
    Some(PathElement::new(
        ends,
        ShapeStyle::from(&BLACK).stroke_width(1),
    ))
}

fn short(value: f64) -> String {
    match value {
        value if value >= 10_000.0 => format!("{:.0}k", value / 1_000.0),
        0.0 => "0".to_string(),
        value if value >= 10.0 => format!("{value:.0}"),
        value => format!("{value:.2}"),
    }
}
