//! Draws the plots of docs/CAPACITY.md from the measurements in docs/plots/slopes.csv.
//!
//! `cargo run --release -p laburnum-kernel --example capacity_plots`, run in the repository's root,
//! writes one SVG per plot beside the CSV. The lines of the CSV are `plot,series,size,value`; both
//! axes are logarithmic.

use std::{collections::BTreeMap, error::Error, fs, path::Path};

use plotters::prelude::*;

const FOLDER: &str = "docs/plots";
const SIZE: (u32, u32) = (720, 400);
/// Number of nodes of the target deployment, at the right end of every plot.
const NODES: f64 = 2_800.0;

/// Factor by which the axis extends below the lowest value, to leave room for the legend.
const LEGEND: f64 = 20.0;

/// A plot; `name` is its name in the CSV and of its file.
struct Plot {
    name: &'static str,
    title: &'static str,
    unit: &'static str,
    /// Budget of the target deployment, in `unit`.
    budget: f64,
}

const PLOTS: [Plot; 4] = [
    Plot {
        name: "bytes",
        title: "Control bytes sent by a node",
        unit: "B/s",
        budget: 2_048.0,
    },
    Plot {
        name: "processor",
        title: "Control's processor time in a node",
        unit: "% of a core",
        budget: 2.8,
    },
    Plot {
        name: "memory",
        title: "Memory of a node",
        unit: "KB",
        budget: 32.0 * 1_024.0,
    },
    Plot {
        name: "spread",
        title: "From submission until in force everywhere",
        unit: "ms",
        budget: 8_000.0,
    },
];

/// A line of the CSV.
struct Point {
    plot: String,
    series: String,
    at: (f64, f64),
}

/// The points of a plot by series.
type Series = BTreeMap<String, Vec<(f64, f64)>>;

fn main() -> Result<(), Box<dyn Error>> {
    let text = fs::read_to_string(Path::new(FOLDER).join("slopes.csv"))?;
    let mut plots: BTreeMap<String, Series> = BTreeMap::new();
    for line in text.lines().skip(1).filter(|it| !it.is_empty()) {
        let it = parse_point(line)?;
        let series = plots.entry(it.plot).or_default().entry(it.series);
        series.or_default().push(it.at);
    }
    for plot in &PLOTS {
        let series = plots.remove(plot.name);
        let series = series.ok_or_else(|| {
            format!(
                "slopes.csv has no line of the plot {}: add its figures",
                plot.name
            )
        })?;
        draw(plot, series)?;
        println!("{FOLDER}/{}.svg", plot.name);
    }
    if let Some(name) = plots.keys().next() {
        return Err(format!("slopes.csv names an unknown plot {name}: remove its lines").into());
    }
    Ok(())
}

fn parse_point(line: &str) -> Result<Point, Box<dyn Error>> {
    let fields: Vec<&str> = line.split(',').collect();
    let [plot, series, size, value] = fields.as_slice() else {
        return Err(format!("expected plot,series,size,value but got: {line}").into());
    };
    Ok(Point {
        plot: (*plot).to_owned(),
        series: (*series).to_owned(),
        at: (size.parse()?, value.parse()?),
    })
}

fn draw(plot: &Plot, mut series: Series) -> Result<(), Box<dyn Error>> {
    let points = series.values().flatten();
    let low = points.clone().map(|it| it.1).fold(plot.budget, f64::min) / LEGEND;
    let high = points.clone().map(|it| it.1).fold(plot.budget, f64::max) * 2.0;
    let left = points.map(|it| it.0).fold(NODES, f64::min);
    series.insert(
        "the budget".to_owned(),
        vec![(left, plot.budget), (NODES, plot.budget)],
    );
    let path = Path::new(FOLDER).join(format!("{}.svg", plot.name));
    let area = SVGBackend::new(&path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(plot.title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d((left..NODES * 1.1).log_scale(), (low..high).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("nodes")
        .y_desc(plot.unit)
        .x_label_formatter(&|it| format!("{it:.0}"))
        .y_label_formatter(&|it| format!("{it}"))
        .draw()?;
    for (idx, (label, points)) in series.into_iter().enumerate() {
        let colour = Palette99::pick(idx).to_rgba();
        let line = LineSeries::new(points, colour.stroke_width(2)).point_size(3);
        chart
            .draw_series(line)?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
