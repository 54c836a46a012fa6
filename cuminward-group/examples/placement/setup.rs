//! Simulated hosts, declared replicas and the random sequence of failures.

use std::time::Duration;

use cuminward_group::placement::{Demand, Weights};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A failure domain of one size.
pub(crate) struct Size {
    pub(crate) name: &'static str,
    pub(crate) fabrics: &'static [usize],
    /// Service, hosts per replica, number of replicas.
    pub(crate) services: &'static [(&'static str, usize, usize)],
}

pub(crate) const SIZES: [Size; 2] = [
    Size { name: "20", fabrics: &[8, 7, 5], services: &[("assistant", 4, 3), ("desk", 2, 3)] },
    Size {
        name: "167",
        fabrics: &[19, 18, 17, 17, 17, 16, 16, 16, 16, 15],
        services: &[("assistant", 4, 33), ("draft", 3, 4), ("desk", 2, 7)],
    },
];

/// Probability that a host fails in a second of an ordinary day: 18 a day of 1500 hosts.
const FAILURES: f64 = 18.0 / 1_500.0 / 86_400.0;
/// Probability that a host is restarted in a second of an ordinary day: 270 a day of 1500 hosts.
const RESTARTS: f64 = 270.0 / 1_500.0 / 86_400.0;
/// Probability that a fabric domain goes dark in a second of an ordinary day: once in 45 days.
const DARK: f64 = 1.0 / 45.0 / 86_400.0;
/// Seconds for which a failed host, a restarted host and a dark fabric domain are down.
const FAILED_FOR: u64 = 4 * 3_600;
const RESTARTED_FOR: u64 = 120;
const DARK_FOR: u64 = 600;
/// Seconds before the measurement, in which the first groups form.
pub(crate) const WARM_UP: u64 = 3_600;

/// Hosts that go down together, when and for how long, in seconds.
pub(crate) struct Failure {
    pub(crate) at: u64,
    pub(crate) hosts: Vec<usize>,
    pub(crate) seconds: u64,
    /// Whether the hosts lose their group and weights.
    pub(crate) cold: bool,
}

pub(crate) struct Setup {
    pub(crate) fabrics: Vec<usize>,
    pub(crate) demands: Vec<Demand>,
    pub(crate) failures: Vec<Failure>,
    pub(crate) end: u64,
}

impl Setup {
    pub(crate) fn new(size: &Size, seed: u64, rate: u32, time: Duration) -> Setup {
        let fabrics: Vec<usize> =
            size.fabrics.iter().enumerate().flat_map(|(at, count)| vec![at; *count]).collect();
        let end = WARM_UP + time.as_secs();
        let failures = failures(&fabrics, size.fabrics.len(), seed, f64::from(rate), end);
        let demands = size.services.iter().map(demand).collect();
        Setup { fabrics, demands, failures, end }
    }
}

fn demand((name, size, count): &(&str, usize, usize)) -> Demand {
    let weights = Weights { model: (*name).to_owned(), version: "v1".to_owned() };
    Demand { service: (*name).to_owned(), weights, size: *size, count: *count }
}

fn failures(fabrics: &[usize], domains: usize, seed: u64, rate: f64, end: u64) -> Vec<Failure> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut failures = Vec::new();
    for at in WARM_UP..end {
        for host in 0..fabrics.len() {
            if random.random_bool(FAILURES * rate) {
                failures.push(Failure { at, hosts: vec![host], seconds: FAILED_FOR, cold: true });
            }
            if random.random_bool(RESTARTS * rate) {
                failures.push(Failure {
                    at,
                    hosts: vec![host],
                    seconds: RESTARTED_FOR,
                    cold: true,
                });
            }
        }
        for domain in 0..domains {
            if random.random_bool(DARK * rate) {
                let hosts = (0..fabrics.len()).filter(|it| fabrics[*it] == domain).collect();
                failures.push(Failure { at, hosts, seconds: DARK_FOR, cold: false });
            }
        }
    }
    failures
}
