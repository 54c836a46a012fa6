//! Load balancing: selection of the upstream for a request.

use std::cmp::Reverse;

use crate::{level, slowdown};

/// An upstream that can take the request, with its load and health.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests in flight, from this node and from other nodes.
    pub load: u32,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream is in the failure domain of this node.
    pub is_same_domain: bool,
    /// Whether this node has an idle connection to the upstream.
    pub is_connected: bool,
    /// Health of the upstream.
    pub health: Health,
    /// Factor by which the upstream is slower than usual.
    pub slowdown: slowdown::Factor,
    /// Preference of this node for the upstream, used if the node doesn't choose among all
    /// upstreams.
    pub affinity: u64,
    /// Number that decides between upstreams with the same score; the lowest is chosen.
    pub tie_breaker: u32,
}

/// Health of an upstream. An upstream in a worse state gets a request only if there is none in a
/// better state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Nothing indicates a fault.
    Healthy,
    /// The upstream reported that it is slow.
    Slow,
    /// The upstream failed, or has not sent anything for a while.
    Suspect,
}

/// Additional load, as a share of the slots, up to which an upstream in the failure domain of the
/// node is preferred to one in another domain.
const SAME_DOMAIN_BONUS: f64 = 0.05;

/// Additional load, as a share of the slots, up to which an upstream to which this node has an idle
/// connection is preferred. Many nodes with few requests each would otherwise use every upstream so
/// seldom that its connection has been closed meanwhile.
const CONNECTED_BONUS: f64 = 0.1;

/// Which upstreams are taken if there is any among those in the best health state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// Those in any failure domain.
    Any,
    /// Those in the failure domain of the node.
    Home,
    /// Those in other failure domains.
    Away,
}

/// Returns the index of the upstream with the lowest load relative to its slots. Only upstreams in
/// the best health state that any of them has are considered, and of these only the `subset_size`
/// ones with the highest affinity. Returns `None` if there are no candidates.
pub fn choose(candidates: &[Candidate], subset_size: usize, place: Place) -> Option<usize> {
    narrow(candidates, subset_size, place).into_iter().min_by(|a, b| {
        let (a, b) = (&candidates[*a], &candidates[*b]);
        let load = |it: &Candidate| score(it, f64::from(it.load));
        load(a).total_cmp(&load(b)).then(a.tie_breaker.cmp(&b.tie_breaker))
    })
}

/// Returns the index of one of the upstreams that [`choose`] considers, so that all nodes together bring them to the same
/// load until they hear of each other again. `draw`, between 0 and 1, decides which.
pub fn spread(
    candidates: &[Candidate],
    subset_size: usize,
    place: Place,
    outlook: level::Outlook,
    draw: f64,
) -> Option<usize> {
    let indices = narrow(candidates, subset_size, place);
    let (upstreams, arrivals) = foresee(candidates, &indices, outlook);
    level::choose(&upstreams, arrivals, draw).map(|it| indices[it])
}

/// Returns the probability with which each upstream gets a request now, by [`spread`] if there is an outlook and otherwise
/// by [`choose`].
pub fn probabilities(
    candidates: &[Candidate],
    subset_size: usize,
    place: Place,
    outlook: Option<level::Outlook>,
) -> Vec<f64> {
    let mut probabilities = vec![0.0; candidates.len()];
    if let Some(outlook) = outlook {
        let indices = narrow(candidates, subset_size, place);
        let (upstreams, arrivals) = foresee(candidates, &indices, outlook);
        let additions = level::additions(&upstreams, arrivals);
        let sum: f64 = additions.iter().sum();
        for (index, addition) in indices.into_iter().zip(additions) {
            probabilities[index] = addition / sum;
        }
    } else if let Some(index) = choose(candidates, subset_size, place) {
        probabilities[index] = 1.0;
    }
    probabilities
}

/// Returns the shares of the upstreams with these indices when the nodes report again, and the requests that begin there
/// until then.
fn foresee(
    candidates: &[Candidate],
    indices: &[usize],
    outlook: level::Outlook,
) -> (Vec<level::Upstream>, f64) {
    let upstream = |it: &usize| {
        let it = &candidates[*it];
        let share = score(it, outlook.remaining_load(it.load));
        level::Upstream { share, slots: f64::from(it.slots) }
    };
    let load = indices.iter().map(|it| candidates[*it].load).sum();
    (indices.iter().map(upstream).collect(), outlook.arrivals(load))
}

/// Returns the indices of the upstreams among which is chosen.
fn narrow(candidates: &[Candidate], subset_size: usize, place: Place) -> Vec<usize> {
    let health = candidates.iter().map(|it| it.health).min();
    let mut indices: Vec<usize> =
        (0..candidates.len()).filter(|it| Some(candidates[*it].health) == health).collect();
    let is_placed = |it: &usize| match place {
        Place::Any => true,
        Place::Home => candidates[*it].is_same_domain,
        Place::Away => !candidates[*it].is_same_domain,
    };
    if indices.iter().any(is_placed) {
        indices.retain(is_placed);
    }
    let subset_size = subset_size.max(1);
    if indices.len() > subset_size {
        indices.sort_by_key(|it| Reverse(candidates[*it].affinity));
        indices.truncate(subset_size);
    }
    indices
}

/// Returns the load that the upstream would have with the request beside `load` others, as a share of its
/// slots and corrected for slowdown, failure domain and connection. Lower is better.
fn score(it: &Candidate, load: f64) -> f64 {
    let share = (load + 1.0) / f64::from(it.slots.max(1));
    let domain_bonus = if it.is_same_domain { SAME_DOMAIN_BONUS } else { 0.0 };
    let connected_bonus = if it.is_connected { CONNECTED_BONUS } else { 0.0 };
    share * it.slowdown - domain_bonus - connected_bonus
}
