//! What is made of an outcome: a report in HTML with plots in it, and two outcomes side by side. Text out.
use crate::run::{Outcome, Sample};
use minijinja::{Environment, context};
use plotters::prelude::*;

/// A report that can't be made.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// The template can't be filled.
    #[error("the report can't be made: {0}")]
    Template(#[from] minijinja::Error),
    /// A plot can't be drawn.
    #[error("a plot can't be drawn: {0}")]
    Plot(String),
}

const SIZE: (u32, u32) = (860, 240);
const COLOURS: [RGBColor; 4] =
    [RGBColor(31, 119, 180), RGBColor(214, 95, 14), RGBColor(44, 140, 60), RGBColor(120, 80, 160)];

/// One line of a plot: its name, and its value at each second.
struct Series<'a> {
    name: String,
    value: Box<dyn Fn(&Sample) -> f64 + 'a>,
}

fn series<'a>(name: impl Into<String>, value: impl Fn(&Sample) -> f64 + 'a) -> Series<'a> {
    Series { name: name.into(), value: Box::new(value) }
}

fn plot(title: &str, samples: &[Sample], lines: &[Series<'_>]) -> Result<String, ReportError> {
    let bad = |why: &dyn std::fmt::Display| ReportError::Plot(format!("{title}: {why}"));
    let mut svg = String::new();
    let end = samples.last().map_or(1.0, |s| s.at.max(1.0));
    let highest = samples.iter().flat_map(|s| lines.iter().map(move |l| (l.value)(s)));
    let top = highest.filter(|x| x.is_finite()).fold(1.0, f64::max) * 1.1;
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|w| bad(&w))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..end, 0.0..top)
            .map_err(|w| bad(&w))?;
        chart.configure_mesh().x_desc("s").light_line_style(WHITE).draw().map_err(|w| bad(&w))?;
        for (i, line) in lines.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            let points = samples.iter().map(|s| (s.at, (line.value)(s)));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))
                .map_err(|w| bad(&w))?
                .label(line.name.as_str())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw().map_err(|w| bad(&w))?;
        area.present().map_err(|w| bad(&w))?;
    }
    Ok(svg)
}

/// The report of an outcome; `halls` names the halls in order.
pub fn html(outcome: &Outcome, halls: &[String]) -> Result<String, ReportError> {
    let samples = &outcome.samples;
    let loads: Vec<Series<'_>> = halls
        .iter()
        .enumerate()
        .map(|(i, name)| series(name.clone(), move |s: &Sample| s.load.get(i).copied().unwrap_or(0.0)))
        .collect();
    let limit = outcome.spill_limit;
    let plots = [
        plot("Load of each hall (asked over given)", samples, &loads)?,
        plot(
            "Spill, kB a second",
            samples,
            &[series("spilled", |s| s.spill_kb), series("limit", move |_| limit)],
        )?,
        plot(
            "Set-ups to returning streamers over the counted limit, largest so far",
            samples,
            &[series("pace", |s| s.pace), series("limit", |_| 1.0)],
        )?,
        plot("Worth a second", samples, &[series("served", |s| s.served), series("offered", |s| s.offered)])?,
    ];
    let mut environment = Environment::new();
    environment.add_template("report", include_str!("../templates/report.html"))?;
    // The time that a run took would make two reports of one seed differ.
    let figures = [
        ("rules broken", outcome.rules_broken as f64),
        ("worth served over offered", outcome.worth_served / outcome.worth_offered.max(f64::MIN_POSITIVE)),
        ("spill limit, kB a second", outcome.spill_limit),
        ("spill peak, kB a second", outcome.spill_peak),
        ("return pace peak (1 = the counted limit)", outcome.return_pace_peak),
        ("share served of the other halls' own viewers", outcome.home_served_share),
        ("loss found after, s (median; -1: not at all)", outcome.detect_s),
        ("directors that did not find it", f64::from(outcome.detect_missed)),
        ("requests", outcome.requests as f64),
        ("served", outcome.served as f64),
        ("refused", outcome.refused as f64),
        ("failed", outcome.failed as f64),
        ("attempts", outcome.attempts as f64),
    ];
    let rows: Vec<(String, String)> = figures.iter().map(|(k, v)| (k.to_string(), figure(*v))).collect();
    let page = context! { title => &outcome.title, seed => outcome.seed, directors => outcome.directors,
    streamers => outcome.streamers, halls_on => outcome.halls_on, rows => rows, plots => plots,
    broken => &outcome.broken };
    Ok(environment.get_template("report")?.render(page)?)
}

fn figure(x: f64) -> String {
    if x.fract() == 0.0 { format!("{x:.0}") } else { format!("{x:.3}") }
}

/// Two outcomes side by side, as text: each figure, and the second over the first.
pub fn compare(first: &Outcome, second: &Outcome) -> String {
    let share = |o: &Outcome| o.worth_served / o.worth_offered.max(f64::MIN_POSITIVE);
    let rows: [(&str, f64, f64); 10] = [
        ("rules_broken", first.rules_broken as f64, second.rules_broken as f64),
        ("worth_offered", first.worth_offered, second.worth_offered),
        ("worth_served", first.worth_served, second.worth_served),
        ("worth_share", share(first), share(second)),
        ("home_served_share", first.home_served_share, second.home_served_share),
        ("spill_limit", first.spill_limit, second.spill_limit),
        ("spill_peak", first.spill_peak, second.spill_peak),
        ("return_pace_peak", first.return_pace_peak, second.return_pace_peak),
        ("detect_s", first.detect_s, second.detect_s),
        ("refused", first.refused as f64, second.refused as f64),
    ];
    let mut text = format!("{:<20}{:>14}{:>14}{:>10}\n", "", "first", "second", "ratio");
    for (name, a, b) in rows {
        let ratio = if a == 0.0 { "-".to_owned() } else { format!("{:.3}", b / a) };
        text.push_str(&format!("{name:<20}{:>14}{:>14}{ratio:>10}\n", figure(a), figure(b)));
    }
    text
}
