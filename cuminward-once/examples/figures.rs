//! Prints the appends a second, the latency that claims add and the memory of a key, in virtual time.
//!
//! Nine ledgers share one log whose append and reading take 5 ms each.

use std::{
    collections::{BTreeMap, VecDeque},
    io::{self, Write},
    time::Duration,
};

use cuminward_once::{
    claim::Claim,
    ledger::{Answer, Input, Ledger, Options, Outcome, Output},
    record::{Entry, KeyBatch, Page, Record},
};

/// Failure domains, each with one ledger.
const LEDGERS: usize = 9;
/// Time from an append to its effect, and from there to its reading.
const HOP: u64 = 5;
/// Length of a run in milliseconds.
const LENGTH: u64 = 60_000;

/// Figures of one run.
struct Run {
    appends: usize,
    bytes: usize,
    latencies: Vec<u64>,
    keys: usize,
    size: usize,
}

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "claims/s | appends/s | bytes/s | p50 ms | p95 ms | max ms | keys | bytes a key"
    )?;
    for rate in [9, 90, 380, 3_800] {
        let mut run = simulate(rate);
        run.latencies.sort_unstable();
        let at = |permille: usize| run.latencies[(run.latencies.len() - 1) * permille / 1000];
        let seconds = (LENGTH / 1000) as usize;
        writeln!(
            out,
            "{rate} | {} | {} | {} | {} | {} | {} | {}",
            run.appends / seconds,
            run.bytes / seconds,
            at(500),
            at(950),
            at(1000),
            run.keys,
            run.size / run.keys.max(1),
        )?;
    }
    Ok(())
}

/// Claims with distinct keys arrive evenly, in turn at each ledger.
fn simulate(rate: u64) -> Run {
    let ledger = |it| Ledger::new(format!("n{it}"), 1, Options::default());
    let mut ledgers: Vec<Ledger> = (0..LEDGERS).map(ledger).collect();
    for it in &mut ledgers {
        it.step(Duration::ZERO, Input::Read(Page { oldest: 0, next: 0, entries: Vec::new() }));
    }
    let mut flying: VecDeque<(u64, KeyBatch)> = VecDeque::new();
    let mut log: Vec<Entry> = Vec::new();
    let mut claimed = BTreeMap::new();
    let mut run = Run { appends: 0, bytes: 0, latencies: Vec::new(), keys: 0, size: 0 };
    let mut number = 0;
    for now in 0..LENGTH {
        // An answer may free a place for the next batch, which the next step writes.
        while flying.front().is_some_and(|it| it.0 + HOP <= now) {
            let Some((_, started)) = flying.pop_front() else { break };
            let offset = log.len() as u64;
            let answer = Answer { batch: started.batch.clone(), outcome: Outcome::Stored };
            let writer =
                ledgers.iter_mut().zip(0..).find(|(_, it)| started.node == format!("n{it}"));
            if let Some((ledger, _)) = writer {
                ledger.step(Duration::from_millis(now), Input::Appended(answer));
            }
            log.push(Entry { offset, at_ms: now, record: Record::Started(started) });
        }
        let mut inputs = vec![Vec::new(); LEDGERS];
        while number * 1000 < now * rate {
            let mut hash = [0; 16];
            hash[..8].copy_from_slice(&number.to_le_bytes());
            let claim = Claim { hash, issuer: format!("node-{}", number % 400) };
            inputs[number as usize % LEDGERS].push(Input::Claim { number, claim });
            claimed.insert(number, now);
            number += 1;
        }
        for (ledger, inputs) in ledgers.iter_mut().zip(&mut inputs) {
            let fresh = log.iter().skip(ledger.position() as usize);
            let entries: Vec<Entry> =
                fresh.take_while(|it| it.at_ms + HOP <= now).cloned().collect();
            inputs.push(Input::Read(Page { oldest: 0, next: log.len() as u64, entries }));
            for output in
                inputs.drain(..).flat_map(|it| ledger.step(Duration::from_millis(now), it))
            {
                match output {
                    Output::Append(started) => {
                        run.appends += 1;
                        let record = Record::Started(started.clone());
                        run.bytes += serde_json::to_vec(&record).map_or(0, |it| it.len());
                        flying.push_back((now, started));
                    }
                    Output::Decide { number, .. } => run.latencies.push(now - claimed[&number]),
                }
            }
        }
    }
    run.keys = ledgers[0].window().len();
    run.size = ledgers[0].window().memory_bytes();
    run
}
