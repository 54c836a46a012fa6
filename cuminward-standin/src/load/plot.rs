//! Plots the requests of a run.

use plotters::prelude::*;

use super::{End, Report};

/// Size of the plot, in pixels.
const SIZE: (u32, u32) = (900, 450);
/// Radius of a point, in pixels.
const RADIUS: u32 = 2;

/// Draws an SVG of each request's time to the first token over its start. Requests that were not
/// completed are red points at their total time.
///
/// # Errors
///
/// Fails with the message of the plotting library if drawing fails.
pub fn svg(report: &Report) -> Result<String, String> {
    let mut text = String::new();
    draw(report, &mut text).map_err(|it| it.to_string())?;
    Ok(text)
}

fn draw(report: &Report, text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let complete = points(report, true);
    let incomplete = points(report, false);
    let all = complete.iter().chain(&incomplete);
    let (right, top) = all.fold((1.0_f64, 1.0_f64), |top, it| (top.0.max(it.0), top.1.max(it.1)));
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top * 1.05)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("start (s)").y_desc("first token (ms); red: not complete, total time (ms)");
    mesh.draw()?;
    chart.draw_series(complete.iter().map(|it| Circle::new(*it, RADIUS, BLUE.filled())))?;
    chart.draw_series(incomplete.iter().map(|it| Circle::new(*it, RADIUS, RED.filled())))?;
    area.present()?;
    Ok(())
}

/// Returns start (in seconds) and time (in milliseconds) of the complete or the other requests.
fn points(report: &Report, complete: bool) -> Vec<(f64, f64)> {
    let selected = report.samples.iter().filter(|it| (it.end == End::Complete) == complete);
    let time = |it: &super::Sample| match complete {
        true => it.first_token_seconds.unwrap_or(it.total_seconds),
        false => it.total_seconds,
    };
    selected.map(|it| (it.start_seconds, time(it) * 1e3)).collect()
}
