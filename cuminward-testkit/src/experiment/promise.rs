//! Counts violations of the brief's promises, at the stand-ins and at the callers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminward_derive::record;
use cuminward_standin::{
    environment,
    load::{self, End, Sample},
};

use crate::experiment::{desk, stage, watch};

/// Time after which a domain that was taken out, or a leaving upstream, may get nothing new.
pub const QUIET: Duration = Duration::from_secs(3);

/// One promise and how often it was broken.
#[record]
pub struct Count {
    /// The promise.
    pub promise: String,
    /// Times that it was broken.
    pub violations: u64,
    /// Cases in which it could have been broken.
    pub cases: u64,
    /// Figures behind the count.
    pub detail: String,
}

/// What the counts are made of.
pub struct Evidence<'a> {
    /// The stand-ins.
    pub environment: &'a environment::Environment,
    /// What was done.
    pub marks: &'a stage::Marks,
    /// Chats, those of additional load left out.
    pub chats: &'a load::Report,
    /// Calls of the order desk.
    pub calls: &'a [desk::Heard],
    /// Revisions in force.
    pub watch: &'a watch::Watch,
}

/// Counts the violations of every promise.
pub fn count(evidence: &Evidence<'_>) -> Vec<Count> {
    vec![
        partial(evidence),
        two_groups(evidence),
        cold(evidence),
        taken_out(evidence),
        whole(evidence),
        own(evidence),
        not_run(evidence),
        once(evidence),
        leaving(evidence),
        shutdown(evidence),
        in_force(evidence),
        no_fall(evidence),
    ]
}

fn row(promise: &str, violations: u64, cases: u64, detail: String) -> Count {
    Count { promise: promise.to_owned(), violations, cases, detail }
}

fn partial(evidence: &Evidence<'_>) -> Count {
    let engines = evidence.environment.fleet().counters();
    let detail = format!("{} begun while a member was missing", engines.partial_begun);
    row("no partial replica answers", engines.partial_answers, engines.completed, detail)
}

fn two_groups(evidence: &Evidence<'_>) -> Count {
    let engines = evidence.environment.fleet().counters();
    let violations = engines.host_in_two_groups + engines.claimed_twice;
    let detail = format!("{} replicas formed", engines.formed);
    row("no host is in two groups", violations, engines.orders_accepted, detail)
}

fn cold(evidence: &Evidence<'_>) -> Count {
    let engines = evidence.environment.fleet().counters();
    let plain = evidence.environment.plain().counters();
    let begun = |it: &BTreeMap<String, u64>| it.values().sum::<u64>();
    let detail = format!(
        "most cold load: engine {} of {}, plain {} of {}; highest engine load {} permille",
        engines.cold_most_in_flight,
        engines.cold_bound_then,
        plain.cold_most_in_flight,
        plain.cold_bound_then,
        engines.most_load_permille
    );
    let violations = engines.cold_overruns + plain.cold_overruns;
    let cases = begun(&engines.begun_by_domain) + begun(&plain.begun_by_domain);
    row("no upstream gets more than it bears after a start", violations, cases, detail)
}

fn taken_out(evidence: &Evidence<'_>) -> Count {
    let (fleet, plain) = (evidence.environment.fleet(), evidence.environment.plain());
    let since = |domain: &str, at| {
        fleet.begun_in_domain_since(domain, at) + plain.begun_in_domain_since(domain, at)
    };
    let late = |out: &stage::Out| {
        let after = since(&out.domain, out.from + QUIET);
        let back = out.until.map_or(0, |it| since(&out.domain, it.max(out.from + QUIET)));
        after - back
    };
    let out = &evidence.marks.out;
    let detail = format!("{} domains taken out", out.len());
    let violations = out.iter().map(late).sum();
    row("a domain taken out gets nothing new after 3 s", violations, out.len() as u64, detail)
}

fn chats<'a>(evidence: &'a Evidence<'_>) -> impl Iterator<Item = &'a Sample> {
    let bursts = evidence.marks.bursts.iter().flat_map(|it| &it.samples);
    evidence.chats.samples.iter().chain(bursts)
}

fn whole(evidence: &Evidence<'_>) -> Count {
    let ended = |end: End| chats(evidence).filter(move |it| it.end == end).count() as u64;
    let (cut_off, timed_out, failed) =
        (ended(End::CutOff), ended(End::TimedOut), ended(End::Failed));
    let none = evidence.calls.iter().filter(|it| it.end == desk::End::None).count() as u64;
    let detail = format!(
        "chats: {cut_off} cut off, {timed_out} timed out, {failed} without answer; \
         calls: {none} without answer"
    );
    let cases = chats(evidence).count() + evidence.calls.len();
    row(
        "every caller gets a whole answer",
        cut_off + timed_out + failed + none,
        cases as u64,
        detail,
    )
}

fn own(evidence: &Evidence<'_>) -> Count {
    let chats_wrong = chats(evidence).filter(|it| it.end == End::Wrong).count() as u64;
    let calls_wrong = evidence.calls.iter().filter(|it| it.end == desk::End::Wrong).count() as u64;
    let detail = format!("chats: {chats_wrong}; calls: {calls_wrong}");
    let cases = chats(evidence).count() + evidence.calls.len();
    row("every answer is the one to its request", chats_wrong + calls_wrong, cases as u64, detail)
}

/// Refusals that say "not run" although the request, or all that its caller sent under the key, ran.
fn not_run(evidence: &Evidence<'_>) -> Count {
    let generated = evidence.environment.fleet().begun_by_request();
    let plain = evidence.environment.plain().counters();
    let refused: Vec<&Sample> =
        chats(evidence).filter(|it| it.detail.starts_with("not-run")).collect();
    let ran = refused.iter().filter(|it| generated.contains_key(&it.request)).count() as u64;
    let said: Vec<&desk::Heard> =
        evidence.calls.iter().filter(|it| it.end == desk::End::NotRun).collect();
    let by_request =
        said.iter().filter(|it| plain.runs_by_request.contains_key(&it.request)).count() as u64;
    let otherwise: BTreeSet<&str> = evidence
        .calls
        .iter()
        .filter(|it| !matches!(it.end, desk::End::NotRun | desk::End::None))
        .map(|it| it.key.as_str())
        .collect();
    let only_not_run = said.iter().filter(|it| !it.key.is_empty());
    let only_not_run = only_not_run.filter(|it| !otherwise.contains(it.key.as_str()));
    let by_key = only_not_run.filter(|it| plain.runs_by_key.contains_key(&it.key)).count() as u64;
    let detail = format!("chats: {ran}; calls by request: {by_request}, by key: {by_key}");
    let cases = (refused.len() + said.len()) as u64;
    row("a refusal that says \"not run\" is true", ran + by_request + by_key, cases, detail)
}

fn once(evidence: &Evidence<'_>) -> Count {
    let plain = evidence.environment.plain().counters();
    let twice = |it: &BTreeMap<String, u64>| it.values().filter(|runs| **runs > 1).count() as u64;
    let (keys, requests) = (twice(&plain.runs_by_key), twice(&plain.runs_by_request));
    let detail = format!("by key: {keys}; by request: {requests}");
    row("non-idempotent work runs at most once", keys.max(requests), plain.reservations, detail)
}

fn leaving(evidence: &Evidence<'_>) -> Count {
    let late = |it: &stage::Leaving| match it.engine {
        true => evidence.environment.fleet().begun_with_member_since(&it.host, it.from + QUIET),
        false => evidence.environment.plain().begun_at_host_since(&it.host, it.from + QUIET),
    };
    let leaving = &evidence.marks.leaving;
    let detail = format!("{} upstreams left", leaving.len());
    let violations = leaving.iter().map(late).sum();
    row("a leaving upstream gets nothing new after 3 s", violations, leaving.len() as u64, detail)
}

fn shutdown(evidence: &Evidence<'_>) -> Count {
    let marks = evidence.marks;
    let detail = format!("{} graceful shutdowns", marks.shutdowns);
    row("a graceful shutdown cuts nothing off", marks.shutdowns_cutting, marks.shutdowns, detail)
}

fn in_force(evidence: &Evidence<'_>) -> Count {
    let marks = evidence.marks;
    let detail = format!("{} accepted, {} refused", marks.accepted.len(), marks.refused);
    let cases = marks.accepted.len() as u64;
    row("accepted configuration is in force within 5 s", evidence.watch.late(), cases, detail)
}

fn no_fall(evidence: &Evidence<'_>) -> Count {
    let watch = evidence.watch;
    let detail = format!("{} looks", watch.looks);
    row("configuration never reverts", watch.falls, watch.looks, detail)
}
