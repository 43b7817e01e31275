//! Line plots, drawn as SVG.

use plotters::coord::Shift;
use plotters::prelude::*;

/// One line of a plot.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

impl Line {
    /// Creates a line through the given points.
    pub fn new(name: &str, points: Vec<(f64, f64)>) -> Self {
        Self {
            name: name.into(),
            points,
        }
    }
}

/// The scale of the vertical axis.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scale {
    /// A linear scale.
    Linear,
    /// A logarithmic scale.
    Log,
}

type Drawn = std::result::Result<(), DrawingAreaErrorKind<std::io::Error>>;
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws lines into a file; `titles` are those of the plot, the horizontal axis and the vertical axis.
pub fn draw(path: &str, titles: [&str; 3], scale: Scale, lines: &[Line]) {
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    if let Err(e) = draw_in(&area, titles, scale, lines) {
        eprintln!("can't draw the plot {path}: {e}");
    }
}

fn draw_in(area: &Area<'_>, titles: [&str; 3], scale: Scale, lines: &[Line]) -> Drawn {
    area.fill(&WHITE)?;
    let points = || lines.iter().flat_map(|l| &l.points);
    let right = points().map(|p| p.0).fold(0.0, f64::max);
    let left = points().map(|p| p.0).fold(right, f64::min);
    let top = points().map(|p| p.1).fold(0.0, f64::max) * 1.1;
    let mut builder = ChartBuilder::on(area);
    builder
        .caption(titles[0], ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56);
    macro_rules! lines {
        ($chart:expr) => {{
            let mut chart = $chart;
            chart
                .configure_mesh()
                .x_desc(titles[1])
                .y_desc(titles[2])
                .draw()?;
            for (n, line) in lines.iter().enumerate() {
                let style = Palette99::pick(n).stroke_width(2);
                chart
                    .draw_series(LineSeries::new(line.points.iter().copied(), style))?
                    .label(&line.name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
            }
            chart
                .configure_series_labels()
                .background_style(WHITE)
                .draw()?;
        }};
    }
    match scale {
        Scale::Linear => lines!(builder.build_cartesian_2d(left..right, 0.0..top)?),
        Scale::Log => lines!(builder.build_cartesian_2d(left..right, (1.0..top).log_scale())?),
    }
    area.present()?;
    Ok(())
}
