//! Report of an experiment, as text and as JSON.

use std::fmt::Write;

use cuminward_derive::record;
use cuminward_standin::load;

use crate::experiment::{Name, desk, promise};

/// Everything that an experiment showed.
#[record]
pub struct Report {
    /// The experiment.
    pub name: Name,
    /// Seed of its choices.
    pub seed: u64,
    /// The experiments that were run together, for `together`.
    pub parts: Vec<Name>,
    /// The run over nodes.
    pub run: Run,
    /// The run without nodes under the same load and the same choices.
    pub baseline: Option<Run>,
}

/// One run.
#[record]
pub struct Run {
    /// Promises with their violations.
    pub promises: Vec<promise::Count>,
    /// The users' measures.
    pub measures: Measures,
    /// Calls of the order desk by their end.
    pub calls: Calls,
    /// Calls that were not complete.
    pub failed_calls: Vec<desk::Heard>,
    /// What happened, with the time since the start of the load in seconds.
    pub happened: Vec<(f64, String)>,
}

/// The users' measures, counted at the stand-ins and the callers.
#[record]
pub struct Measures {
    /// Time that expected replicas were not ready, in replica-seconds.
    pub group_down_seconds: f64,
    /// Time that live accelerators were outside any ready group, in accelerator-seconds.
    pub stranded_seconds: f64,
    /// The part of it that the declared number of replicas leaves over.
    pub spare_seconds: f64,
    /// Replicas that requests crashed.
    pub crashes: u64,
    /// Chats before the first fault.
    pub before: load::Figures,
    /// Chats from the first fault to the end of the last one.
    pub during: load::Figures,
    /// Chats after the last fault.
    pub after: load::Figures,
}

/// Calls of the order desk by their end.
#[record]
#[derive(Default)]
pub struct Calls {
    /// All calls.
    pub sent: u64,
    /// Right answers.
    pub complete: u64,
    /// Refusals that say that nothing ran.
    pub not_run: u64,
    /// Refusals that say that the outcome is unknown.
    pub unknown: u64,
}

/// Life cycle
impl Calls {
    /// Counts calls.
    pub fn new(calls: &[desk::Heard]) -> Calls {
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
    /// Violations of all promises.
    pub fn violations(&self) -> u64 {
        self.run.promises.iter().map(|it| it.violations).sum()
    }

    /// The report as text.
    pub fn text(&self) -> String {
        let mut text = format!("experiment {:?}, seed {}\n", self.name, self.seed);
        if !self.parts.is_empty() {
            line(&mut text, &format!("at the same time: {:?}", self.parts));
        }
        for (at, what) in &self.run.happened {
            line(&mut text, &format!("{at:7.2} s  {what}"));
        }
        line(&mut text, "\nmeasures");
        measures(&mut text, &self.run);
        if let Some(baseline) = &self.baseline {
            line(&mut text, "\nbaseline: callers round robin over the heads, fixed placement, no");
            line(&mut text, "shared admission, no affinity; the same load, faults and seed");
            measures(&mut text, baseline);
            ratios(&mut text, &self.run.measures, &baseline.measures);
        }
        line(&mut text, "\npromises: violations / cases");
        for (index, count) in self.run.promises.iter().enumerate() {
            let verdict = if count.violations == 0 { "held  " } else { "BROKEN" };
            let baseline = self.baseline.as_ref().and_then(|it| it.promises.get(index));
            let baseline = baseline
                .map_or(String::new(), |it| format!("; baseline {} / {}", it.violations, it.cases));
            let (promise, violations) = (&count.promise, count.violations);
            let (cases, detail) = (count.cases, &count.detail);
            let row = format!("{verdict} {promise}: {violations} / {cases} ({detail}){baseline}");
            line(&mut text, &row);
        }
        text
    }
}

fn line(text: &mut String, line: &str) {
    writeln!(text, "{line}").expect("writing to a text can't fail");
}

fn measures(text: &mut String, run: &Run) {
    let it = &run.measures;
    line(text, &format!("group downtime         {:8.2} replica-seconds", it.group_down_seconds));
    line(
        text,
        &format!(
            "stranded accelerators  {:8.2} accelerator-seconds (spares: {:.2})",
            it.stranded_seconds, it.spare_seconds
        ),
    );
    line(text, &format!("replicas crashed       {:8}", it.crashes));
    for (name, figures) in [("before", &it.before), ("during", &it.during), ("after", &it.after)] {
        line(
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
            line(text, &format!("       not complete: {:?}", figures.details));
        }
    }
    let calls = &run.calls;
    line(
        text,
        &format!(
            "order desk: {} sent, {} complete, {} not run, {} unknown",
            calls.sent, calls.complete, calls.not_run, calls.unknown
        ),
    );
}

fn ratios(text: &mut String, run: &Measures, baseline: &Measures) {
    let ratio = |a: f64, b: f64| if b == 0.0 { "-".to_owned() } else { format!("{:.2}", a / b) };
    let lost = |it: &load::Figures| (it.sent - it.complete) as f64;
    line(
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
