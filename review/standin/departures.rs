//! Servers leave, one after the other, around a time in which the store turns some machines away.

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

/// Machines with their zones. Of the first zone, the first four read the store for the other four.
const MACHINES: [(&str, &str); 12] = [
    ("front-mercado-1", "mercado"),
    ("front-mercado-2", "mercado"),
    ("front-mercado-3", "mercado"),
    ("front-mercado-4", "mercado"),
    ("front-mercado-5", "mercado"),
    ("front-mercado-6", "mercado"),
    ("front-mercado-7", "mercado"),
    ("front-mercado-8", "mercado"),
    ("front-bodega-1", "bodega"),
    ("front-bodega-2", "bodega"),
    ("front-alcaldia-1", "alcaldia"),
    ("front-alcaldia-2", "alcaldia"),
];

const ZONES: [&str; 3] = ["mercado", "bodega", "alcaldia"];
const SERVERS: usize = 12;

/// Time from the last exit of a server to the end.
const REST: Duration = Duration::from_millis(2000);

/// Time that a request takes at a server.
const WORK: Duration = Duration::from_millis(100);

/// Consumers at each machine.
const CONSUMERS: usize = 6;

/// What happens when.
pub struct Plan {
    /// Number of machines that the store turns away, from when, and for how long.
    pub refused: usize,
    pub refused_at: Duration,
    pub refused_for: Duration,
    /// When the first server begins to leave, and the time between two.
    pub first_leaves_at: Duration,
    pub gap: Duration,
    /// Number of servers that leave.
    pub leaving: usize,
    /// Whether a new server starts before each of them leaves.
    pub are_replaced: bool,
    /// How they leave.
    pub state: State,
    /// Time for which a server serves on after the store accepted that it leaves.
    pub serves_on: Duration,
}

/// The store turns away the machines that read it for the others of their zone, and servers are replaced meanwhile.
pub const READERS: Plan = Plan {
    refused: 4,
    refused_at: Duration::from_millis(9000),
    refused_for: Duration::from_millis(9000),
    first_leaves_at: Duration::from_millis(9500),
    gap: Duration::from_millis(1000),
    leaving: 5,
    are_replaced: true,
    state: State::Draining,
    serves_on: Duration::from_millis(3000),
};

/// The store turns two machines away; just after it serves them again, servers are taken away whose entries are
/// removed.
pub const RETURN: Plan = Plan {
    refused: 2,
    refused_at: Duration::from_millis(11_200),
    refused_for: Duration::from_millis(4500),
    first_leaves_at: Duration::from_millis(16_200),
    gap: Duration::from_millis(500),
    leaving: 3,
    are_replaced: false,
    state: State::Removed,
    serves_on: Duration::from_millis(3000),
};

/// Something that happens at a time.
enum Step {
    Refuse(bool),
    Leave(usize),
    Exit(usize),
}

/// A server that left.
struct Departure {
    server: Server,
    accepted_at: Duration,
}

impl Plan {
    fn steps(&self) -> Vec<(Duration, Step)> {
        let mut steps = vec![
            (self.refused_at, Step::Refuse(true)),
            (self.refused_at + self.refused_for, Step::Refuse(false)),
        ];
        for index in 0..self.leaving {
            let at = self.first_leaves_at + self.gap * index as u32;
            steps.push((at, Step::Leave(index)));
            steps.push((at + self.serves_on, Step::Exit(index)));
        }
        steps.sort_by_key(|it| it.0);
        steps
    }
}

/// Runs a case.
pub fn run(folder: &Path, plan: &Plan, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(folder, &MACHINES, WORK)?;
    let zone = |index: usize| ZONES[index % ZONES.len()];
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        servers.push(site.server(&format!("s{index:02}"), site::DESK, zone(index))?);
    }
    site.start_traffic(CONSUMERS, &["k1"])?;
    let refused = if has_trouble { &MACHINES[..plan.refused] } else { &[] };
    let mut departures = Vec::new();
    for (at, step) in plan.steps() {
        site.wait_until(at);
        match step {
            Step::Refuse(is_refusing) => {
                site.record_store_calls();
                refused.iter().for_each(|it| site.refuse(it.0, is_refusing));
            }
            Step::Leave(index) => {
                if plan.are_replaced {
                    let _ =
                        site.server(&format!("s{:02}", SERVERS + index), site::DESK, zone(index))?;
                }
                let server = servers[index].clone();
                let accepted_at = server.leave(zone(index), plan.state, &site.store);
                departures.push(Departure { server, accepted_at });
            }
            Step::Exit(index) => servers[index].exit(&site.store),
        }
    }
    site.wait_until(site.record.now() + REST);
    let exchanges = site.stop_traffic();
    Ok(judge(&site.record, refused, &exchanges, &departures))
}

/// Counts the requests that consumers sent to machines in touch, and that reached a server, later than the bound
/// after the store accepted that the server leaves.
fn judge(
    record: &Record,
    refused: &[(&str, &str)],
    exchanges: &[Exchange],
    departures: &[Departure],
) -> Verdict {
    let mut text = vec![format!("{} requests", exchanges.len())];
    let (mut late_count, mut lost_count) = (0, 0);
    for Departure { server, accepted_at } in departures {
        let runs = server.runs();
        let until = *accepted_at + DRAIN;
        let late = exchanges.iter().filter(|sent| {
            let is_in_touch = !refused.iter().any(|it| sent.machine() == it.0);
            is_in_touch && sent.sent_at > until && runs.contains(&sent.id)
        });
        let late: Vec<&Exchange> = late.collect();
        let lost = late.iter().filter(|it| !it.is_success()).count();
        let mut machines: Vec<&str> = late.iter().map(|it| it.machine()).collect();
        machines.sort_unstable();
        machines.dedup();
        text.push(format!(
            "server {}, leaving since {} ms: {} late requests by {machines:?}, {lost} of these got no success",
            server.id,
            accepted_at.as_millis(),
            late.len(),
        ));
        late_count += late.len();
        lost_count += lost;
    }
    text.push(format!("in all {late_count} late requests, {lost_count} of these got no success"));
    let text = text.join("\n");
    record.write(&text);
    Verdict { is_broken: late_count > 0, text }
}
