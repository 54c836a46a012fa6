//! Counts datagrams that can't be decoded, and reports them at most once a minute for each address of a sender.

use std::{collections::HashMap, io, net::IpAddr, time::Duration};

use cuminward_event::kind::Kind;

use crate::state::State;

/// Time after a report in which further datagrams of the sender are only counted.
const REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// Number of senders that are told apart; datagrams of others are only counted.
const MAX_SENDERS: usize = 1000;

/// Datagrams that couldn't be decoded.
#[derive(Debug, Default)]
pub(crate) struct Unreadable {
    senders: HashMap<IpAddr, Sender>,
}

#[derive(Debug, Clone, Copy)]
struct Sender {
    reported_at: Duration,
    /// Datagrams since the last report.
    count: u64,
}

/// Mutation
impl Unreadable {
    /// Counts a datagram, and reports those of its sender if they are due.
    pub(crate) fn record(&mut self, state: &State, from: IpAddr, bytes: usize, error: &io::Error) {
        let now = state.now();
        state.count_unreadable();
        let is_full = self.senders.len() >= MAX_SENDERS;
        let count = match self.senders.get_mut(&from) {
            Some(it) if now < it.reported_at + REPORT_INTERVAL => {
                it.count += 1;
                return;
            }
            Some(it) => std::mem::take(&mut it.count) + 1,
            None if is_full => return,
            None => 1,
        };
        self.senders.insert(from, Sender { reported_at: now, count: 0 });
        let (from, cause) = (from.to_string(), error.to_string());
        state.events.emit(Kind::DigestUnreadable { from, bytes: bytes as u64, cause, count });
    }
}
