//! A server is replaced, and says in its answers that it leaves, while the store turns one of three machines away.

use std::{io, path::Path, time::Duration};

use crate::{
    Verdict,
    consumer::Exchange,
    record::Record,
    server::{Server, State},
    site::{self, Site},
};

/// Bound of the rule.
const DRAIN: Duration = Duration::from_millis(2000);

/// Machines with their zones. The store turns the first one away.
const MACHINES: [(&str, &str); 3] = [
    ("front-mercado-1", "mercado"),
    ("front-bodega-1", "bodega"),
    ("front-alcaldia-1", "alcaldia"),
];

/// Start of the disruption and its length.
const TROUBLE_AT: Duration = Duration::from_millis(6000);
const TROUBLE_FOR: Duration = Duration::from_millis(9000);

/// When the server says that it leaves, and when it exits.
const LEAVES_AT: Duration = Duration::from_millis(7000);
const EXITS_AT: Duration = Duration::from_millis(11_000);

const END_AT: Duration = Duration::from_millis(17_000);
const WORK: Duration = Duration::from_millis(150);
const CONSUMERS: usize = 5;

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(folder, &MACHINES, WORK)?;
    let mut servers = Vec::new();
    for (index, (_, zone)) in MACHINES.iter().enumerate() {
        servers.push(site.server(&format!("s{index}"), site::DESK, zone)?);
    }
    site.start_traffic(CONSUMERS, &["k1"])?;
    site.wait_until(TROUBLE_AT);
    if has_trouble {
        site.refuse(MACHINES[0].0, true);
    }
    site.wait_until(LEAVES_AT);
    let _ = site.server("s3", site::DESK, MACHINES[0].1)?;
    let leaving = &servers[0];
    leaving.leave(MACHINES[0].1, State::Draining, &site.store);
    site.wait_until(EXITS_AT);
    leaving.exit(&site.store);
    site.wait_until(TROUBLE_AT + TROUBLE_FOR);
    if has_trouble {
        site.refuse(MACHINES[0].0, false);
    }
    site.wait_until(END_AT);
    let exchanges = site.stop_traffic();
    Ok(judge(&site.record, &exchanges, leaving))
}

/// Counts, for each machine, the requests that a consumer sent later than the bound after the machine had passed
/// on an answer that says that the server leaves, and that the server ran.
fn judge(record: &Record, exchanges: &[Exchange], leaving: &Server) -> Verdict {
    let runs = leaving.runs();
    let mut text = Vec::new();
    let mut is_broken = false;
    for (machine, _) in MACHINES {
        let own: Vec<&Exchange> = exchanges.iter().filter(|it| it.machine() == machine).collect();
        let tells = |it: &&&Exchange| it.answer_header("server-leaving").is_some();
        let told_at = own.iter().filter(tells).map(|it| it.answered_at).min();
        let is_late = |it: &&&Exchange| {
            let is_sent_late = told_at.is_some_and(|told_at| it.sent_at > told_at + DRAIN);
            is_sent_late && runs.contains(&it.id)
        };
        let late: Vec<&&Exchange> = own.iter().filter(is_late).collect();
        let lost = late.iter().filter(|it| !it.is_success()).count();
        is_broken |= !late.is_empty();
        text.push(format!(
            "{machine}: {} requests; first answer with Server-Leaving at {:?} ms; {} requests sent over {} ms \
             later ran at s0; {lost} of these got no success",
            own.len(),
            told_at.map(|it| it.as_millis()),
            late.len(),
            DRAIN.as_millis(),
        ));
    }
    let text = text.join("\n");
    record.write(&text);
    Verdict { is_broken, text }
}
