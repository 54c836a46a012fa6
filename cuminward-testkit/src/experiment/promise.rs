//! Counts violations of the promises, at the stand-ins and at the callers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminward_derive::record;
use cuminward_standin::{
    environment,
    load::{self, End, Sample},
};

use crate::experiment::{desk, testbed, watch};

/// Time after which a failure domain that was taken out, or a leaving upstream, may receive no new
/// requests.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Violations of one promise.
#[record]
pub struct Count {
    /// The promise.
    pub promise: String,
    /// Number of violations.
    pub violations: u64,
    /// Number of cases in which the promise could have been violated.
    pub cases: u64,
    /// Figures that make up the count.
    pub detail: String,
}

/// Observations from which violations are counted.
pub struct Evidence<'a> {
    /// The stand-ins.
    pub environment: &'a environment::Environment,
    /// Actions of the experiment.
    pub history: &'a testbed::History,
    /// Chats, without those of bursts.
    pub chats: &'a load::Report,
    /// Calls to the order desk.
    pub calls: &'a [desk::Sample],
    /// Observed revisions in force.
    pub watch: &'a watch::Watch,
}

/// Counts the violations of every promise, in a fixed order.
pub fn count(evidence: &Evidence<'_>) -> Vec<Count> {
    vec![
        count_partial_answers(evidence),
        count_shared_hosts(evidence),
        count_cold_overloads(evidence),
        count_late_domain_requests(evidence),
        count_incomplete_answers(evidence),
        count_wrong_answers(evidence),
        count_false_not_run(evidence),
        count_repeated_runs(evidence),
        count_late_host_requests(evidence),
        count_interrupting_shutdowns(evidence),
        count_late_revisions(evidence),
        count_reverted_revisions(evidence),
    ]
}

fn new_count(promise: &str, violations: u64, cases: u64, detail: String) -> Count {
    Count { promise: promise.to_owned(), violations, cases, detail }
}

fn count_partial_answers(evidence: &Evidence<'_>) -> Count {
    let engines = evidence.environment.fleet().counters();
    let detail = format!("{} begun while a member was missing", engines.partial_begun);
    new_count("no partial replica answers", engines.partial_answers, engines.completed, detail)
}

fn count_shared_hosts(evidence: &Evidence<'_>) -> Count {
    let engines = evidence.environment.fleet().counters();
    let violations = engines.host_in_two_groups + engines.claimed_twice;
    let detail = format!("{} replicas formed", engines.formed);
    new_count("no host is in two groups", violations, engines.orders_accepted, detail)
}

fn count_cold_overloads(evidence: &Evidence<'_>) -> Count {
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
    new_count("no upstream gets more than it bears after a start", violations, cases, detail)
}

fn count_late_domain_requests(evidence: &Evidence<'_>) -> Count {
    let (fleet, plain) = (evidence.environment.fleet(), evidence.environment.plain());
    let since = |domain: &str, at| {
        fleet.begun_in_domain_since(domain, at) + plain.begun_in_domain_since(domain, at)
    };
    let late = |out: &testbed::TakeOut| {
        let after = since(&out.domain, out.from + DRAIN_LIMIT);
        let back = out.until.map_or(0, |it| since(&out.domain, it.max(out.from + DRAIN_LIMIT)));
        after - back
    };
    let take_outs = &evidence.history.take_outs;
    let detail = format!("{} domains taken out", take_outs.len());
    let violations = take_outs.iter().map(late).sum();
    new_count(
        "a domain taken out gets nothing new after 3 s",
        violations,
        take_outs.len() as u64,
        detail,
    )
}

fn all_chats<'a>(evidence: &'a Evidence<'_>) -> impl Iterator<Item = &'a Sample> {
    let bursts = evidence.history.bursts.iter().flat_map(|it| &it.samples);
    evidence.chats.samples.iter().chain(bursts)
}

fn count_incomplete_answers(evidence: &Evidence<'_>) -> Count {
    let ended = |end: End| all_chats(evidence).filter(move |it| it.end == end).count() as u64;
    let (cut_off, timed_out, failed) =
        (ended(End::CutOff), ended(End::TimedOut), ended(End::Failed));
    let none = evidence.calls.iter().filter(|it| it.end == desk::End::None).count() as u64;
    let detail = format!(
        "chats: {cut_off} cut off, {timed_out} timed out, {failed} without answer; \
         calls: {none} without answer"
    );
    let cases = all_chats(evidence).count() + evidence.calls.len();
    new_count(
        "every caller gets a whole answer",
        cut_off + timed_out + failed + none,
        cases as u64,
        detail,
    )
}

fn count_wrong_answers(evidence: &Evidence<'_>) -> Count {
    let wrong_chats = all_chats(evidence).filter(|it| it.end == End::Wrong).count() as u64;
    let wrong_calls = evidence.calls.iter().filter(|it| it.end == desk::End::Wrong).count() as u64;
    let detail = format!("chats: {wrong_chats}; calls: {wrong_calls}");
    let cases = all_chats(evidence).count() + evidence.calls.len();
    new_count(
        "every answer is the one to its request",
        wrong_chats + wrong_calls,
        cases as u64,
        detail,
    )
}

/// Counts error responses that say "not run" although the request ran, or although a call with its
/// idempotency key ran while all calls with that key got "not run" or no response.
fn count_false_not_run(evidence: &Evidence<'_>) -> Count {
    let generated = evidence.environment.fleet().begun_by_request();
    let plain = evidence.environment.plain().counters();
    let refused: Vec<&Sample> =
        all_chats(evidence).filter(|it| it.detail.starts_with("not-run")).collect();
    let ran = refused.iter().filter(|it| generated.contains_key(&it.request)).count() as u64;
    let not_run_calls: Vec<&desk::Sample> =
        evidence.calls.iter().filter(|it| it.end == desk::End::NotRun).collect();
    let by_request =
        not_run_calls.iter().filter(|it| plain.runs_by_request.contains_key(&it.request)).count()
            as u64;
    let other_keys: BTreeSet<&str> = evidence
        .calls
        .iter()
        .filter(|it| !matches!(it.end, desk::End::NotRun | desk::End::None))
        .map(|it| it.key.as_str())
        .collect();
    let only_not_run = not_run_calls.iter().filter(|it| !it.key.is_empty());
    let only_not_run = only_not_run.filter(|it| !other_keys.contains(it.key.as_str()));
    let by_key = only_not_run.filter(|it| plain.runs_by_key.contains_key(&it.key)).count() as u64;
    let detail = format!("chats: {ran}; calls by request: {by_request}, by key: {by_key}");
    let cases = (refused.len() + not_run_calls.len()) as u64;
    new_count("a refusal that says \"not run\" is true", ran + by_request + by_key, cases, detail)
}

fn count_repeated_runs(evidence: &Evidence<'_>) -> Count {
    let plain = evidence.environment.plain().counters();
    let count_repeated =
        |it: &BTreeMap<String, u64>| it.values().filter(|runs| **runs > 1).count() as u64;
    let (keys, requests) =
        (count_repeated(&plain.runs_by_key), count_repeated(&plain.runs_by_request));
    let detail = format!("by key: {keys}; by request: {requests}");
    new_count(
        "non-idempotent work runs at most once",
        keys.max(requests),
        plain.reservations,
        detail,
    )
}

fn count_late_host_requests(evidence: &Evidence<'_>) -> Count {
    let late = |it: &testbed::Departure| match it.engine {
        true => {
            evidence.environment.fleet().begun_with_member_since(&it.host, it.from + DRAIN_LIMIT)
        }
        false => evidence.environment.plain().begun_at_host_since(&it.host, it.from + DRAIN_LIMIT),
    };
    let departures = &evidence.history.departures;
    let detail = format!("{} upstreams left", departures.len());
    let violations = departures.iter().map(late).sum();
    new_count(
        "a leaving upstream gets nothing new after 3 s",
        violations,
        departures.len() as u64,
        detail,
    )
}

fn count_interrupting_shutdowns(evidence: &Evidence<'_>) -> Count {
    let history = evidence.history;
    let detail = format!("{} graceful shutdowns", history.shutdowns);
    new_count(
        "a graceful shutdown cuts nothing off",
        history.interrupting_shutdowns,
        history.shutdowns,
        detail,
    )
}

fn count_late_revisions(evidence: &Evidence<'_>) -> Count {
    let history = evidence.history;
    let detail = format!("{} accepted, {} refused", history.accepted.len(), history.refused);
    let cases = history.accepted.len() as u64;
    new_count("accepted configuration is in force within 5 s", evidence.watch.late(), cases, detail)
}

fn count_reverted_revisions(evidence: &Evidence<'_>) -> Count {
    let watch = evidence.watch;
    let detail = format!("{} looks", watch.polls);
    new_count("configuration never reverts", watch.reverts, watch.polls, detail)
}
