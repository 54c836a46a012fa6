//! Requests that leave their failure domain.
//!
//! Answers demand and servers that are uneven between failure domains: a wave of demand that passes from one to the next, a
//! domain that lost a part of its servers. Bytes between domains are slower and cost money, so that requests stay at home
//! as long as the upstreams there aren't much more loaded than the others.

/// Load of the upstreams of a service and model in some failure domains.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight.
    pub requests: u32,
    /// Requests that the upstreams run at once.
    pub slots: u32,
}

/// Difference between the used parts of the slots at home and elsewhere up to which all requests stay at home.
pub const MARGIN: f64 = 0.15;

/// Difference beyond [`MARGIN`] from which requests leave.
const MIN_EXCESS: f64 = 0.01;

/// Used part of the slots elsewhere from which these are left to the requests of their own domains.
const MAX_USE: f64 = 0.8;

/// Used part of the slots at home up to which requests stay there: a replica with few requests answers each as fast as an
/// idle one. Beyond it, a choice among the upstreams of all domains is worth more than the bytes.
const CALM_USE: f64 = 0.35;

/// Where a domain's requests go.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// All stay at home.
    Stay,
    /// Each goes to the least loaded upstream, wherever that is.
    Pool,
    /// This part of them, between 0 and 1, leaves; the others go to the least loaded upstream.
    Leave(f64),
}

/// Decides where the requests of a domain go.
pub fn decide(home: Load, away: Load) -> Decision {
    let part = leaving_part(home, away);
    if part > 0.0 {
        Decision::Leave(part)
    } else if home.used() <= CALM_USE {
        Decision::Stay
    } else {
        Decision::Pool
    }
}

/// Access
impl Load {
    /// Returns the used part of the slots; a domain without slots counts as full.
    pub fn used(&self) -> f64 {
        if self.slots == 0 { 1.0 } else { f64::from(self.requests) / f64::from(self.slots) }
    }
}

/// Returns the part of a domain's requests, between 0 and 1, that goes to upstreams elsewhere.
///
/// It is the part after which home is still more loaded by [`MARGIN`], so that two domains never send to each other, and it
/// grows with the difference, so that it needs no memory of what was decided before. All nodes of a domain see about the
/// same loads and each sends this part of its own requests, so that together they send no more.
pub fn leaving_part(home: Load, away: Load) -> f64 {
    if home.slots == 0 {
        return 1.0;
    }
    let excess = home.used() - away.used() - MARGIN;
    if away.slots == 0 || away.used() >= MAX_USE || excess <= MIN_EXCESS || home.requests == 0 {
        return 0.0;
    }
    let (home_slots, away_slots) = (f64::from(home.slots), f64::from(away.slots));
    let room = (MAX_USE - away.used()) * away_slots;
    let moved = (excess * home_slots * away_slots / (home_slots + away_slots)).min(room);
    (moved / f64::from(home.requests)).min(1.0)
}
