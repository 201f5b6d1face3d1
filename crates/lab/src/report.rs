//! What is made of a run for people: one page with a timeline of faults, members and answers. Text out.
use crate::checks::Checked;
use crate::history::History;
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

const SIZE: (u32, u32) = (960, 300);
const SECOND: f64 = 1e6;
const COLOURS: [RGBColor; 7] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 95, 14),
    RGBColor(44, 140, 60),
    RGBColor(120, 80, 160),
    RGBColor(140, 86, 75),
    RGBColor(200, 60, 120),
    RGBColor(90, 90, 90),
];

struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

fn plot(title: &str, history: &History, lines: &[Line]) -> Result<String, ReportError> {
    let bad = |why: &dyn std::fmt::Display| ReportError::Plot(format!("{title}: {why}"));
    let at = |us: u64| (us as f64 - history.began as f64) / SECOND;
    let end = at(history.closed).max(1.0);
    let top = lines.iter().flat_map(|l| l.points.iter().map(|p| p.1)).fold(1.0, f64::max) * 1.15;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|w| bad(&w))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..end, 0.0..top)
            .map_err(|w| bad(&w))?;
        chart.configure_mesh().x_desc("s").light_line_style(WHITE).draw().map_err(|w| bad(&w))?;
        let bands = history.faults.iter().map(|f| {
            let (from, until) = (at(f.from), at(f.until).max(at(f.from) + 0.05));
            Rectangle::new([(from, 0.0), (until, top)], RED.mix(0.10).filled())
        });
        chart.draw_series(bands).map_err(|w| bad(&w))?;
        for (i, line) in lines.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))
                .map_err(|w| bad(&w))?
                .label(line.name.as_str())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw().map_err(|w| bad(&w))?;
        area.present().map_err(|w| bad(&w))?;
    }
    Ok(svg)
}

/// The report of a run.
pub fn html(history: &History, checked: &Checked) -> Result<String, ReportError> {
    let by_second = |values: &[u64]| {
        values.iter().enumerate().map(|(s, n)| (s as f64 + 0.5, *n as f64)).collect::<Vec<_>>()
    };
    let answers = [
        Line { name: "served".into(), points: by_second(&checked.goodput) },
        Line { name: "refused".into(), points: by_second(&checked.refusals) },
    ];
    let views: Vec<Line> = (0..history.directors.min(COLOURS.len()))
        .map(|i| {
            let seen = history.log.iter().filter(|l| l.director == i && l.msg == "fleet view");
            let mut points: Vec<(f64, f64)> = Vec::new();
            for l in seen {
                let x = ((l.at as f64 - history.began as f64) / SECOND).max(0.0);
                let members = l.keys.get("members").and_then(|m| m.as_f64()).unwrap_or(0.0);
                // A step: what it saw until now, then what it sees. A little apart, so that none hides
                // another.
                let y = members + i as f64 * 0.04;
                points.extend(points.last().map(|p| (x, p.1)));
                points.push((x, y));
            }
            let end = (history.closed as f64 - history.began as f64) / SECOND;
            points.extend(points.last().map(|p| (end, p.1)));
            Line { name: format!("d{i}"), points }
        })
        .collect();
    let mut plots = vec![plot("Answers a second", history, &answers)?];
    if history.fleet {
        plots.push(plot("Members that each director sees", history, &views)?);
    }
    let faults: Vec<_> = (history.faults.iter())
        .map(|f| {
            let s = |us: u64| format!("{:.2}", (us as f64 - history.began as f64) / SECOND);
            let arrow = if f.one_way { "→" } else { "↔" };
            let to = if f.to.is_empty() { String::new() } else { format!(" {arrow} {}", f.to.join(" ")) };
            (s(f.from), s(f.until), f.what.clone(), format!("{}{to}", f.who.join(" ")))
        })
        .collect();
    let mut environment = Environment::new();
    environment.add_template("report", include_str!("../templates/report.html"))?;
    let checks: Vec<_> = (checked.checks.iter())
        .map(|(name, c)| {
            let first = c.first.as_ref().map(|f| format!("{:.3} s: {}", f.at_s, f.what)).unwrap_or_default();
            let lines = c.first.as_ref().map(|f| f.lines.join("\n")).unwrap_or_default();
            (name.clone(), c.looked_at, c.offences, format!("{:.1}", c.worst), first, lines)
        })
        .collect();
    let times: Vec<_> =
        [("a lost member is found", checked.detection), ("views are equal again", checked.recovery)]
            .map(|(what, t)| (what, t.count, t.p50_ms, t.p99_ms, t.most_ms))
            .to_vec();
    let page = context! {
        title => &history.title, seed => history.seed, directors => history.directors, fleet => history.fleet,
        valid => checked.valid, checks, times, faults, plots,
        asked => checked.asked, served => checked.served, refused => checked.refused,
        failed => checked.failed, excused => checked.excused, late_ms => checked.late_ms,
    };
    Ok(environment.get_template("report")?.render(page)?)
}
