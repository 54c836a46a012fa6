//! The configuration changes while the store turns away the machines that read it for the others.

use std::{collections::HashSet, io, path::Path, time::Duration};

use crate::{
    Verdict,
    consumer::Exchange,
    record::Record,
    site::{self, Config, Site},
};

/// Bound of the rule.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);

const ZONES: [&str; 3] = ["mercado", "bodega", "alcaldia"];
const MACHINES_PER_ZONE: usize = 12;

/// Machines of each zone that the store turns away: a third.
const REFUSED_PER_ZONE: usize = 4;

const SERVERS_PER_SERVICE: usize = 12;

/// Start of the disruption and its length.
const TROUBLE_AT: Duration = Duration::from_millis(9000);
const TROUBLE_FOR: Duration = Duration::from_millis(9000);

const CHANGE_AT: Duration = Duration::from_millis(10_500);
const END_AT: Duration = Duration::from_millis(22_000);
const WORK: Duration = Duration::from_millis(50);
const CONSUMERS: usize = 2;

/// The change moves the route to another service, and takes a key away.
const CHANGED: Config<'static> = Config { version: 9, service: site::LEDGER, keys: &["k1"] };
const REMOVED_KEY: &str = "k2";

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let machines: Vec<(String, &str)> = ZONES
        .iter()
        .flat_map(|zone| {
            (0..MACHINES_PER_ZONE).map(move |it| (format!("front-{zone}-{it:02}"), *zone))
        })
        .collect();
    let named: Vec<(&str, &str)> = machines.iter().map(|it| (it.0.as_str(), it.1)).collect();
    let mut site = Site::start(folder, &named, WORK)?;
    let mut old = Vec::new();
    for index in 0..SERVERS_PER_SERVICE {
        let zone = ZONES[index % ZONES.len()];
        old.push(site.server(&format!("d{index:02}"), site::DESK, zone)?);
        site.server(&format!("l{index:02}"), site::LEDGER, zone)?;
    }
    site.start_traffic(CONSUMERS, site::FIRST.keys)?;
    site.wait_until(TROUBLE_AT);
    let in_zone = |index: usize| index % MACHINES_PER_ZONE;
    let is_refused = |index: &usize| has_trouble && in_zone(*index) < REFUSED_PER_ZONE;
    let refused: Vec<&str> = (0..named.len()).filter(is_refused).map(|it| named[it].0).collect();
    site.record_store_calls();
    for machine in &refused {
        site.refuse(machine, true);
    }
    site.wait_until(CHANGE_AT);
    let acknowledged_at = site.configure(&CHANGED);
    site.wait_until(TROUBLE_AT + TROUBLE_FOR);
    site.record_store_calls();
    for machine in &refused {
        site.refuse(machine, false);
    }
    site.wait_until(END_AT);
    let exchanges = site.stop_traffic();
    let old_runs: HashSet<String> = old.iter().flat_map(|it| it.runs()).collect();
    Ok(judge(&site.record, &refused, &exchanges, &old_runs, acknowledged_at))
}

/// Counts the requests that consumers sent to machines in touch later than the bound after the acknowledgement,
/// and that were handled as only the former version allows.
fn judge(
    record: &Record,
    refused: &[&str],
    exchanges: &[Exchange],
    old_runs: &HashSet<String>,
    acknowledged_at: Duration,
) -> Verdict {
    let until = acknowledged_at + CONFIG_APPLY;
    let is_late = |it: &&Exchange| it.sent_at > until && !refused.contains(&it.machine());
    let late: Vec<&Exchange> = exchanges.iter().filter(is_late).collect();
    let moved: Vec<&&Exchange> = late.iter().filter(|it| old_runs.contains(&it.id)).collect();
    let removed = late.iter().filter(|it| it.key() == REMOVED_KEY && it.is_success()).count();
    let machines: HashSet<&str> = moved.iter().map(|it| it.machine()).collect();
    let last = moved.iter().map(|it| it.sent_at).max().unwrap_or_default();
    let text = format!(
        "{} requests, {} of them sent to machines in touch later than {} ms after the acknowledgement; {} of these \
         ran at the former service, at {} machines, the last one sent {} ms after the acknowledgement; {removed} \
         succeeded with the key that was taken away",
        exchanges.len(),
        late.len(),
        CONFIG_APPLY.as_millis(),
        moved.len(),
        machines.len(),
        last.saturating_sub(acknowledged_at).as_millis(),
    );
    record.write(&text);
    Verdict { is_broken: !moved.is_empty() || removed > 0, text }
}
