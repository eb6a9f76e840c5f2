//! The page around the figures.

use std::fmt::Write;

use super::{
    figures::{Figure, figures},
    palette::css,
};
use crate::{
    experiment::{ExperimentError, PlotSnafu, kind_table, policy_table, surge_table},
    simulation::RunResult,
};

const STYLE: &str = "body{font:15px/1.45 sans-serif;max-width:1200px;margin:2em auto;padding:0 1em;color:#222}\
h1{font-size:1.5em}h2{font-size:1.15em;margin-top:2em}\
.figures{display:grid;grid-template-columns:repeat(auto-fit,minmax(560px,1fr));gap:1.2em}\
figure{margin:0}figcaption{font-weight:bold;margin-bottom:.2em}\
.legend span{display:inline-block;margin-right:1em;font-size:.85em}\
.legend i{display:inline-block;width:.8em;height:.8em;margin-right:.3em}\
.note{font-size:.8em;color:#555}\
table{border-collapse:collapse;font-size:.82em;margin:.6em 0}\
th,td{border-bottom:1px solid #ddd;padding:.25em .6em;text-align:right}\
th{background:#f4f4f4}td:nth-child(2),td:nth-child(3){white-space:nowrap}";

/// Renders results as one HTML page.
pub fn render(title: &str, results: &[RunResult]) -> Result<String, ExperimentError> {
    let figures = figures(results).map_err(|error| {
        let reason = error.to_string();
        PlotSnafu {
            plot: "a figure",
            reason,
        }
        .build()
    })?;
    let mut page = String::new();
    let title = escape(title);
    let _ = write!(
        page,
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style></head><body><h1>{title}</h1>"
    );
    page.push_str(&summary(results));
    page.push_str("<h2>Policy by load</h2>");
    page.push_str(&html_table(&policy_table(results, false)));
    if results.iter().any(|run| run.with_surges) {
        page.push_str("<h2>With surges</h2>");
        page.push_str(&html_table(&policy_table(results, true)));
        page.push_str(&html_table(&surge_table(results)));
    }
    page.push_str("<div class=\"figures\">");
    figures
        .iter()
        .for_each(|figure| add_figure(&mut page, figure));
    page.push_str("</div><h2>By kind of program</h2>");
    page.push_str(&html_table(&kind_table(results)));
    page.push_str("</body></html>\n");
    Ok(page)
}

fn summary(results: &[RunResult]) -> String {
    let mut seeds: Vec<u64> = results.iter().map(|run| run.seed).collect();
    seeds.sort_unstable();
    seeds.dedup();
    let virtual_hours: f64 = results.iter().map(|run| run.virtual_seconds).sum::<f64>() / 3_600.0;
    let calls: u64 = results.iter().map(|run| run.calls.answered).sum();
    format!(
        "<p>{} runs on {} seeds: {virtual_hours:.1} hours of virtual time, {calls} calls answered by modelled engines. \
         Figures are means over seeds ± one standard deviation.</p>",
        results.len(),
        seeds.len()
    )
}

fn add_figure(page: &mut String, figure: &Figure) {
    let _ = write!(
        page,
        "<figure><figcaption>{}</figcaption>{}<div class=\"legend\">",
        escape(&figure.title),
        figure.svg
    );
    for (index, name) in figure.legend.iter().enumerate() {
        let colour = css(index);
        let name = escape(name);
        let _ = write!(
            page,
            "<span><i style=\"background:{colour}\"></i>{name}</span>"
        );
    }
    let _ = write!(
        page,
        "</div><div class=\"note\">{}</div></figure>",
        figure.note
    );
}

fn html_table(table: &comfy_table::Table) -> String {
    let mut text = String::from("<table>");
    if let Some(header) = table.header() {
        text.push_str("<tr>");
        for cell in header.cell_iter() {
            let _ = write!(text, "<th>{}</th>", escape(&cell.content()));
        }
        text.push_str("</tr>");
    }
    for row in table.row_iter() {
        text.push_str("<tr>");
        for cell in row.cell_iter() {
            let _ = write!(text, "<td>{}</td>", escape(&cell.content()));
        }
        text.push_str("</tr>");
    }
    text.push_str("</table>");
    text
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
