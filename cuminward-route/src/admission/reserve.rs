//! Slots that a node may use without a grant.
//!
//! The sum over all nodes never exceeds the total, also when nodes know different lists, as long as
//! each list holds at least every node that sends work: a longer list never raises a share.

use cuminward_core::{id, rendezvous};

/// Share of `node` in `total` slots of an upstream among the listed nodes; 0 for others.
pub fn share(total: u32, listed: &[id::Node], upstream: &str, node: &str) -> u32 {
    if !listed.iter().any(|it| it == node) {
        return 0;
    }
    let count = listed.len() as u32;
    let own = (rendezvous::weight(node, upstream), node);
    let above = listed.iter().filter(|it| (rendezvous::weight(it, upstream), it.as_str()) > own);
    let rest = u32::from((above.count() as u32) < total % count);
    total / count + rest
}
