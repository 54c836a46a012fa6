//! Slots that a node may use without a grant.
//!
//! The shares of all nodes never add up to more than the total, even if nodes have different lists,
//! provided that each list contains every node that sends work: a longer list never raises a share.

use cuminward_core::{id, rendezvous};

/// Returns the share of `node` in the `total` slots of an upstream, or 0 if `node` isn't listed. The
/// remainder of the division goes to the nodes with the largest rendezvous weights.
pub fn share(total: u32, listed: &[id::Node], upstream: &str, node: &str) -> u32 {
    if !listed.iter().any(|it| it == node) {
        return 0;
    }
    let count = listed.len() as u32;
    let own_rank = (rendezvous::weight(node, upstream), node);
    let higher =
        listed.iter().filter(|it| (rendezvous::weight(it, upstream), it.as_str()) > own_rank);
    let extra = u32::from((higher.count() as u32) < total % count);
    total / count + extra
}
