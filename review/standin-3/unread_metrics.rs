//! A finding that is no case: the memory of a process grows with each request while nobody reads its metrics.
//!
//! Prints the growth for each answered request, first without and then with reads of the metrics. There is no rule to
//! check, so that it always holds.

use std::{
    io,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    caller::{Channel, Request},
    gateway::{self, Gateway, Machine},
    host::{Connection, Host},
    http,
    record::Record,
    revoked_key::{KEYS, config},
    store::Store,
};

/// Consumers, each of which sends one request after the other.
const CONSUMERS: usize = 16;
/// Time until the process has what it needs, and time over which the growth is measured.
const WARM_UP: Duration = Duration::from_secs(8);
const MEASURED: Duration = Duration::from_secs(20);
const LIMIT: Duration = Duration::from_millis(1500);

/// Measures the growth.
pub fn run(directory: &Path, record: &Record) -> io::Result<bool> {
    let store = Store::start()?;
    store.put("keyed.op", "config", config(7, &KEYS).as_bytes());
    for index in 0..3 {
        let host = Host::start(
            &format!("i-mostrador{index}"),
            Arc::new(|host: &Host, connection: &mut Connection, head: http::Message| {
                connection.read_body(&head)?;
                http::respond(&mut connection.stream, 200, &host.proof(&head), &[b'd'; 800])
            }),
        )?;
        store.put("keyed.servers", &host.id, host.entry("mostrador", "mercado", 6).as_bytes());
    }
    for is_read in [false, true] {
        let machine = Machine {
            name: format!("front-mercado-{}", 1 + u8::from(is_read)),
            zone: String::from("mercado"),
            memory_mb: 260,
            descriptors: 4100,
        };
        let gateway = Gateway::start(directory, machine, store.address)?;
        if !gateway.wait_until_ready() {
            return Err(io::Error::other("the gateway isn't ready"));
        }
        measure(record, &gateway, is_read)?;
    }
    Ok(true)
}

fn measure(record: &Record, gateway: &Gateway, is_read: bool) -> io::Result<()> {
    let (answered, is_over) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    for index in 0..CONSUMERS {
        let (answered, is_over) = (Arc::clone(&answered), Arc::clone(&is_over));
        let front = gateway.front;
        thread::spawn(move || consume(front, index, &answered, &is_over));
    }
    let wait = |time: Duration| {
        for _ in 0..time.as_secs() {
            thread::sleep(Duration::from_secs(1));
            if is_read {
                let _ = gateway::get(gateway.metrics, "/metrics");
            }
        }
    };
    wait(WARM_UP);
    let before = (gateway.memory_kb()?, answered.load(Ordering::Relaxed));
    wait(MEASURED);
    let after = (gateway.memory_kb()?, answered.load(Ordering::Relaxed));
    is_over.store(true, Ordering::Relaxed);
    let (grown, requests) = (after.0.saturating_sub(before.0), after.1 - before.1);
    let bytes = (grown * 1024) as f64 / requests.max(1) as f64;
    let how = if is_read { "read each second" } else { "not read" };
    let text =
        format!("metrics {how}: {grown} KiB more after {requests} requests, {bytes:.1} bytes each");
    println!("{text}");
    record.add(text);
    Ok(())
}

fn consume(front: std::net::SocketAddr, index: usize, answered: &AtomicU64, is_over: &AtomicBool) {
    let headers = format!("Authorization: Bearer {}\r\n", KEYS[0]);
    let Ok(mut channel) = Channel::open(front) else { return };
    for number in 0.. {
        let id = format!("{index:x}-{number:x}");
        let request =
            Request { path: "/existencia/2f", id: &id, limit: LIMIT, headers: &headers, body: b"" };
        let head = channel.send(&request).and_then(|()| channel.read_head(LIMIT));
        let Ok(head) = head else { return };
        if is_over.load(Ordering::Relaxed) || channel.read_body(&head, LIMIT).is_err() {
            return;
        }
        answered.fetch_add(u64::from(head.status() == 200), Ordering::Relaxed);
    }
}
