//! Intervals of the probes and of the anti-entropy pulls between nodes, within a bound on traffic.
//!
//! In round `r`, a node pulls from the node `2^(r mod k)` places after it in the sorted list of `n` nodes,
//! where `k` is the binary logarithm of `n`, rounded up. After `k` rounds, with one pull a round, each node
//! has the observations that every other node had before.

use std::time::Duration;

use cuminward_core::id;
use derive_builder::Builder;

/// Settings of the intervals.
#[derive(Debug, Clone, Builder)]
#[builder(default)]
pub struct Options {
    /// Smallest interval of the probes of one host by one node.
    pub min_probe: Duration,
    /// Lower bound of [`Intervals::freshness`].
    pub min_freshness: Duration,
    /// Octets of one probe, request and response together.
    pub probe_octets: u32,
    /// Limit of the probe traffic of a node, in octets a second.
    pub probe_rate: u32,
    /// Octets of one pull, request and response together, without the one octet for each host's age.
    pub pull_octets: u32,
    /// Limit of the pull traffic of a node, in octets a second, with the pulls that it answers.
    pub pull_rate: u32,
    /// Largest number of nodes with which every node probes every host, and nodes don't pull.
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

/// Intervals and timeouts of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intervals {
    /// Interval of the probes of one host by one node.
    pub probe: Duration,
    /// Interval of pulls; `None` if every node probes every host.
    pub pull: Option<Duration>,
    /// Largest age of a report that still confirms a host's state.
    pub freshness: Duration,
    /// Time without an answer to any prober after which a host that one prober found silent counts as silent.
    pub confirm_timeout: Duration,
}

/// Returns the number of rounds of pulls until each node has the observations of all: the binary logarithm
/// of their number, rounded up.
pub fn pull_rounds(nodes: usize) -> u32 {
    nodes.max(1).next_power_of_two().trailing_zeros()
}

/// Returns the intervals of a node in a failure domain with this many nodes and hosts.
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
    let probe =
        transmit_time(assigned * options.probe_octets, options.probe_rate).max(options.min_probe);
    // In each round, a node pulls once and answers one pull.
    let octets = (options.pull_octets + hosts as u32) * 2;
    let pull = transmit_time(octets, options.pull_rate).max(options.min_pull);
    // Two probers confirm a host, and one of them may be late by a whole interval.
    let propagation = pull * (pull_rounds(nodes) + 1);
    let freshness = (probe * 2 + propagation).max(options.min_freshness);
    Intervals { probe, pull: Some(pull), freshness, confirm_timeout: probe + probe / 4 }
}

/// Returns the node to pull from in a round; `None` if there is no other node.
pub fn pull_source<'a>(node: &str, nodes: &'a [id::Node], round: u32) -> Option<&'a id::Node> {
    let own = nodes.iter().position(|it| it == node)?;
    let distance = 1 << (round % pull_rounds(nodes.len()).max(1));
    let source = &nodes[(own + distance) % nodes.len()];
    (source != node).then_some(source)
}

/// Microseconds in one second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Returns the time in which `octets` may be sent at `rate` octets a second, rounded up.
fn transmit_time(octets: u32, rate: u32) -> Duration {
    Duration::from_micros((u64::from(octets) * MICROS_PER_SECOND).div_ceil(u64::from(rate.max(1))))
}
