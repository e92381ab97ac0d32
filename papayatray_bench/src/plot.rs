//! Plots as SVG.

use std::error::Error;
use std::path::Path;

use plotters::backend::SVGBackend;
use plotters::chart::ChartBuilder;
use plotters::chart::SeriesLabelPosition;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::series::LineSeries;
use plotters::style::BLACK;
use plotters::style::Color;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::WHITE;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (800, 480);

/// Width of a curve's sample in the legend, in pixels.
const LEGEND_SAMPLE_WIDTH: i32 = 24;

/// Curve of a plot.
#[derive(Clone, Debug)]
pub(crate) struct Curve {
    pub(crate) name: String,
    pub(crate) points: Vec<(f64, f64)>,
}

/// Draws curves into an SVG file; `axes` holds the labels of the x axis and of the y axis.
pub(crate) fn draw(
    path: &Path,
    title: &str,
    axes: (&str, &str),
    curves: &[Curve],
) -> Result<(), Box<dyn Error>> {
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let max_x = points().map(|point| point.0).fold(1.0, f64::max);
    let max_y = points().map(|point| point.1).fold(0.001, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y * 1.05)?;
    chart
        .configure_mesh()
        .x_desc(axes.0)
        .y_desc(axes.1)
        .draw()?;
    for (number, curve) in curves.iter().enumerate() {
        let colour = Palette99::pick(number).mix(1.0);
        let series = LineSeries::new(curve.points.iter().copied(), &colour);
        let series_annotation = chart.draw_series(series)?.label(curve.name.clone());
        series_annotation
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_SAMPLE_WIDTH, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
