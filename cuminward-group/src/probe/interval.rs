//! Intervals of probes and of the exchange between nodes, within a bound on traffic.
//!
//! In round `r` a node pulls from the node that stands `2^(r mod k)` places after it in the sorted list
//! of `n` nodes, where `k` is the logarithm of `n`, rounded up. After `k` rounds each node has what every
//! other one knew before, at the price of one pull a round.

use std::time::Duration;

use cuminward_core::id;
use derive_builder::Builder;

/// Settings of the pace.
#[derive(Debug, Clone, Builder)]
#[builder(default)]
pub struct Options {
    /// Smallest interval of the probes of one host by one node.
    pub min_probe: Duration,
    /// Smallest age beyond which a report doesn't count.
    pub min_freshness: Duration,
    /// Octets of one probe, question and answer.
    pub probe_octets: u32,
    /// Octets a second that probes may take.
    pub probe_rate: u32,
    /// Octets of one pull beside the ages, question and answer.
    pub pull_octets: u32,
    /// Octets a second that pulls may take, those of others at this node included.
    pub pull_rate: u32,
    /// Largest number of nodes of a domain that all probe every host.
    pub max_undivided_nodes: usize,
    /// Smallest interval of pulls.
    pub min_pull: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            min_probe: Duration::from_millis(300),
            min_freshness: Duration::from_millis(1_500),
            probe_octets: 160,
            probe_rate: 1_200,
            pull_octets: 80,
            pull_rate: 1_300,
            max_undivided_nodes: 3,
            min_pull: Duration::from_millis(200),
        }
    }
}

/// Intervals of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intervals {
    /// Interval of the probes of one host by one node.
    pub probe: Duration,
    /// Interval of pulls; `None` if every node probes every host.
    pub pull: Option<Duration>,
    /// Age beyond which a report doesn't count.
    pub freshness: Duration,
    /// Time without a confirmation after which a host that was found silent counts as silent.
    pub confirm_timeout: Duration,
}

/// Times the nodes are asked one after the other until each has heard of all: the logarithm of their
/// number.
pub fn pull_rounds(nodes: usize) -> u32 {
    nodes.max(1).next_power_of_two().trailing_zeros()
}

/// Intervals of a node in a domain of so many nodes and hosts.
pub fn intervals(nodes: usize, hosts: usize, options: &Options) -> Intervals {
    if nodes <= options.max_undivided_nodes {
        return Intervals {
            probe: options.min_probe,
            pull: None,
            freshness: options.min_freshness,
            confirm_timeout: Duration::ZERO,
        };
    }
    let assigned = (hosts * super::PROBERS_PER_HOST).div_ceil(nodes) as u32;
    let probe = spent(assigned * options.probe_octets, options.probe_rate).max(options.min_probe);
    // A node pulls once a round and is pulled from once.
    let octets = (options.pull_octets + hosts as u32) * 2;
    let pull = spent(octets, options.pull_rate).max(options.min_pull);
    // Two probers confirm a host; one of them may be late by a whole interval.
    let travel = pull * (pull_rounds(nodes) + 1);
    let freshness = (probe * 2 + travel).max(options.min_freshness);
    Intervals { probe, pull: Some(pull), freshness, confirm_timeout: probe + probe / 4 }
}

/// Node to pull from in a round; `None` without another node.
pub fn pull_source<'a>(node: &str, nodes: &'a [id::Node], round: u32) -> Option<&'a id::Node> {
    let own = nodes.iter().position(|it| it == node)?;
    let step = 1 << (round % pull_rounds(nodes.len()).max(1));
    let source = &nodes[(own + step) % nodes.len()];
    (source != node).then_some(source)
}

/// Microseconds in one second.
const MICROS: u64 = 1_000_000;

/// Time in which so many octets may be sent at a rate, rounded up.
fn spent(octets: u32, rate: u32) -> Duration {
    Duration::from_micros((u64::from(octets) * MICROS).div_ceil(u64::from(rate.max(1))))
}
