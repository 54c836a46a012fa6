//! Simulates ledgers in virtual time; prints the rate of appends, the latency of claims and the memory
//! per key.
//!
//! Nine ledgers share one log, in which an append and a read take 5 ms each.

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

/// Number of failure domains, each with one ledger.
const LEDGERS: usize = 9;
/// Time from an append to its effect, and from its effect to its read, in milliseconds.
const LOG_DELAY_MS: u64 = 5;
/// Duration of a run, in milliseconds.
const RUN_MS: u64 = 60_000;

/// Results of one run.
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
        let quantile = |permille: usize| run.latencies[(run.latencies.len() - 1) * permille / 1000];
        let seconds = (RUN_MS / 1000) as usize;
        writeln!(
            out,
            "{rate} | {} | {} | {} | {} | {} | {} | {}",
            run.appends / seconds,
            run.bytes / seconds,
            quantile(500),
            quantile(950),
            quantile(1000),
            run.keys,
            run.size / run.keys.max(1),
        )?;
    }
    Ok(())
}

/// Simulates a run in which claims with distinct keys arrive at a constant rate, at each ledger in turn.
fn simulate(rate: u64) -> Run {
    let ledger = |it| Ledger::new(format!("n{it}"), 1, Options::default());
    let mut ledgers: Vec<Ledger> = (0..LEDGERS).map(ledger).collect();
    for it in &mut ledgers {
        it.step(Duration::ZERO, Input::Read(Page { oldest: 0, next: 0, entries: Vec::new() }));
    }
    let mut in_flight: VecDeque<(u64, KeyBatch)> = VecDeque::new();
    let mut log: Vec<Entry> = Vec::new();
    let mut claimed = BTreeMap::new();
    let mut run = Run { appends: 0, bytes: 0, latencies: Vec::new(), keys: 0, size: 0 };
    let mut number = 0;
    for now in 0..RUN_MS {
        // The response may free an append slot for a batch, which the next step of the ledger writes.
        while in_flight.front().is_some_and(|it| it.0 + LOG_DELAY_MS <= now) {
            let Some((_, started)) = in_flight.pop_front() else { break };
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
            let unread = log.iter().skip(ledger.position() as usize);
            let entries: Vec<Entry> =
                unread.take_while(|it| it.at_ms + LOG_DELAY_MS <= now).cloned().collect();
            inputs.push(Input::Read(Page { oldest: 0, next: log.len() as u64, entries }));
            for output in
                inputs.drain(..).flat_map(|it| ledger.step(Duration::from_millis(now), it))
            {
                match output {
                    Output::Append(started) => {
                        run.appends += 1;
                        let record = Record::Started(started.clone());
                        run.bytes += serde_json::to_vec(&record).map_or(0, |it| it.len());
                        in_flight.push_back((now, started));
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
