//! Report of an experiment, as text or JSON.

use std::fmt::Write;

use cuminward_derive::record;
use cuminward_standin::load;

use crate::experiment::{Name, desk, promise};

/// Results of an experiment.
#[record]
pub struct Report {
    /// The experiment.
    pub name: Name,
    /// Seed of the load and of the experiment's choices.
    pub seed: u64,
    /// The experiments that ran at the same time, for `together`; otherwise empty.
    pub parts: Vec<Name>,
    /// The run with nodes.
    pub run: Run,
    /// The run without nodes, with the same load and seed.
    pub baseline: Option<Run>,
}

/// Results of one run.
#[record]
pub struct Run {
    /// Violations by promise.
    pub promises: Vec<promise::Count>,
    /// Availability and latency.
    pub measures: Measures,
    /// Number of calls to the order desk by their end.
    pub calls: Calls,
    /// Calls that were not complete.
    pub failed_calls: Vec<desk::Sample>,
    /// Events, with their time since the start of the load in seconds.
    pub happened: Vec<(f64, String)>,
}

/// Availability and latency, measured at the stand-ins and the callers.
#[record]
pub struct Measures {
    /// Time for which expected replicas were not ready, in replica-seconds.
    pub group_down_seconds: f64,
    /// Time for which running accelerators belonged to no ready group, in accelerator-seconds.
    pub stranded_seconds: f64,
    /// Part of `stranded_seconds` that is due to hosts beyond those that the declared replicas
    /// need.
    pub spare_seconds: f64,
    /// Number of replicas that crashed because of a request.
    pub crashes: u64,
    /// Chats before the first fault.
    pub before: load::Figures,
    /// Chats from the first fault to the end of the last one.
    pub during: load::Figures,
    /// Chats after the last fault.
    pub after: load::Figures,
}

/// Number of calls to the order desk by their end.
#[record]
#[derive(Default)]
pub struct Calls {
    /// Number of all calls.
    pub sent: u64,
    /// Calls with the expected response.
    pub complete: u64,
    /// Calls whose error response said that they weren't executed.
    pub not_run: u64,
    /// Calls whose error response didn't say that they weren't executed.
    pub unknown: u64,
}

/// Life cycle
impl Calls {
    /// Counts calls by their end.
    pub fn new(calls: &[desk::Sample]) -> Calls {
        let count = |end| calls.iter().filter(|it| it.end == end).count() as u64;
        Calls {
            sent: calls.len() as u64,
            complete: count(desk::End::Complete),
            not_run: count(desk::End::NotRun),
            unknown: count(desk::End::Unknown),
        }
    }
}

/// Access
impl Report {
    /// Returns the number of violations of all promises.
    pub fn violations(&self) -> u64 {
        self.run.promises.iter().map(|it| it.violations).sum()
    }

    /// Formats the report as text.
    pub fn text(&self) -> String {
        let mut text = format!("experiment {:?}, seed {}\n", self.name, self.seed);
        if !self.parts.is_empty() {
            push_line(&mut text, &format!("at the same time: {:?}", self.parts));
        }
        for (at, what) in &self.run.happened {
            push_line(&mut text, &format!("{at:7.2} s  {what}"));
        }
        push_line(&mut text, "\nmeasures");
        push_measures(&mut text, &self.run);
        if let Some(baseline) = &self.baseline {
            push_line(
                &mut text,
                "\nbaseline: callers round robin over the heads, fixed placement, no",
            );
            push_line(&mut text, "shared admission, no affinity; the same load, faults and seed");
            push_measures(&mut text, baseline);
            push_ratios(&mut text, &self.run.measures, &baseline.measures);
        }
        push_line(&mut text, "\npromises: violations / cases");
        for (index, count) in self.run.promises.iter().enumerate() {
            let verdict = if count.violations == 0 { "held  " } else { "BROKEN" };
            let baseline = self.baseline.as_ref().and_then(|it| it.promises.get(index));
            let baseline = baseline
                .map_or(String::new(), |it| format!("; baseline {} / {}", it.violations, it.cases));
            let (promise, violations) = (&count.promise, count.violations);
            let (cases, detail) = (count.cases, &count.detail);
            let row = format!("{verdict} {promise}: {violations} / {cases} ({detail}){baseline}");
            push_line(&mut text, &row);
        }
        text
    }
}

fn push_line(text: &mut String, line: &str) {
    writeln!(text, "{line}").expect("writing to a String can't fail");
}

fn push_measures(text: &mut String, run: &Run) {
    let it = &run.measures;
    push_line(
        text,
        &format!("group downtime         {:8.2} replica-seconds", it.group_down_seconds),
    );
    push_line(
        text,
        &format!(
            "stranded accelerators  {:8.2} accelerator-seconds (spares: {:.2})",
            it.stranded_seconds, it.spare_seconds
        ),
    );
    push_line(text, &format!("replicas crashed       {:8}", it.crashes));
    for (name, figures) in [("before", &it.before), ("during", &it.during), ("after", &it.after)] {
        push_line(
            text,
            &format!(
                "{name:6} {:5} sent {:5} complete {:4} refused {:4} cut off; first token p95 {:7.1} ms; \
                 between tokens p95 {:6.1} ms",
                figures.sent,
                figures.complete,
                figures.refused,
                figures.cut_off + figures.timed_out + figures.failed,
                figures.first_token.p95_ms,
                figures.between_tokens.p95_ms
            ),
        );
        if !figures.details.is_empty() {
            push_line(text, &format!("       not complete: {:?}", figures.details));
        }
    }
    let calls = &run.calls;
    push_line(
        text,
        &format!(
            "order desk: {} sent, {} complete, {} not run, {} unknown",
            calls.sent, calls.complete, calls.not_run, calls.unknown
        ),
    );
}

fn push_ratios(text: &mut String, run: &Measures, baseline: &Measures) {
    let ratio = |a: f64, b: f64| if b == 0.0 { "-".to_owned() } else { format!("{:.2}", a / b) };
    let lost = |it: &load::Figures| (it.sent - it.complete) as f64;
    push_line(
        text,
        &format!(
            "run / baseline: downtime {}, stranded {}, first token during {}, not complete during {}",
            ratio(run.group_down_seconds, baseline.group_down_seconds),
            ratio(run.stranded_seconds, baseline.stranded_seconds),
            ratio(run.during.first_token.p95_ms, baseline.during.first_token.p95_ms),
            ratio(lost(&run.during), lost(&baseline.during)),
        ),
    );
}
