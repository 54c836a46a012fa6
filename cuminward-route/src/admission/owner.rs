//! The owner's side of admission: grants the slots of one upstream to nodes.

use std::{collections::BTreeMap, time::Duration};

use cuminward_core::{host, id};

use super::{Limits, Options, Ramp, Upstream, account::Account, message, reserve};

/// Number of renewals of a grant per lease: a report renews a grant that is at least
/// `lease / RENEWALS_PER_LEASE` old.
const RENEWALS_PER_LEASE: u32 = 4;

/// Time between two invitations to a node that hasn't joined the session.
const INVITATION_INTERVAL: Duration = Duration::from_millis(100);

/// Grants the slots of one upstream to the nodes of its failure domain.
#[derive(Debug)]
pub struct Owner {
    upstream: Upstream,
    session: message::Session,
    options: Options,
    ramp: Ramp,
    listed: Vec<id::Node>,
    accounts: BTreeMap<id::Node, Account>,
    /// Sequence number of the last grant.
    seq: u64,
    /// Latest start that holders reported of each incarnation, until all nodes have joined.
    reported_starts: Option<BTreeMap<id::Incarnation, Duration>>,
    /// When the upstream's incarnation became uncertain; cleared by an observation that was
    /// requested at or after this time.
    uncertain_since: Option<Duration>,
    /// Whether the upstream reported a queue, that is more requests than it can run.
    has_queue: bool,
    last_invited: Option<Duration>,
}

/// Input of an owner.
#[derive(Debug, Clone)]
pub enum Input {
    /// The list of nodes that may send work changed. It holds every node on the platform's list, and
    /// those that left it so recently that others may still see them there.
    Listed(Vec<id::Node>),
    /// A node reports what it holds.
    Holdings(id::Node, message::Holdings),
    /// A node has shut down and holds no slots any more.
    Ended(id::Node),
    /// A node has switched to another owner.
    Release(id::Node, message::Release),
    /// The upstream has answered a request for its state.
    Observed {
        /// Incarnation of the upstream.
        incarnation: id::Incarnation,
        /// Load of the upstream, if it is an engine.
        load: Option<host::Load>,
        /// When the state was requested, since the start of the process.
        asked: Duration,
    },
    /// The upstream fails all requests; it is assumed to have restarted cold.
    Failing,
    /// Operators changed the limits of the upstream.
    Limits(Limits),
    /// Time has passed.
    Tick,
}

/// Action that an owner requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a grant to a node.
    Grant(id::Node, message::Grant),
    /// Invite a node to join the session.
    Invite(id::Node, message::Invitation),
    /// Request the upstream's state now.
    Probe,
}

/// Life cycle
impl Owner {
    /// Creates an owner without any reports. Each session of the same node must have a larger number
    /// than the one before.
    pub fn new(
        upstream: Upstream,
        session: message::Session,
        options: Options,
        now: Duration,
    ) -> Owner {
        Owner {
            upstream,
            session,
            options,
            ramp: Ramp::new(options.limits, now),
            listed: Vec::new(),
            accounts: BTreeMap::new(),
            seq: 0,
            reported_starts: Some(BTreeMap::new()),
            uncertain_since: None,
            has_queue: false,
            last_invited: None,
        }
    }
}

/// Access
impl Owner {
    /// Returns the number of requests that the upstream may run at the same time now.
    pub fn limit(&self, now: Duration) -> u32 {
        self.ramp.limit(now)
    }

    /// Returns the largest number of slots that nodes may be using, reserves included.
    pub fn committed(&self) -> u32 {
        self.accounts.values().map(Account::committed).sum()
    }

    /// Returns whether every listed node has joined the session, so that slots above the reserves
    /// may be granted.
    pub fn all_joined(&self) -> bool {
        let joined = |it: &id::Node| self.accounts.get(it).is_some_and(|it| it.joined);
        !self.listed.is_empty() && self.listed.iter().all(joined)
    }
}

/// Mutation
impl Owner {
    /// Processes an input and returns the resulting actions.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Listed(nodes) => self.set_listed(now, nodes),
            Input::Holdings(node, it) => self.process_report(now, &node, &it, &mut outputs),
            Input::Ended(node) => self.remove(&node),
            Input::Release(node, it) => self.release(&node, &it),
            Input::Observed { incarnation, load, asked } => {
                self.observe(now, incarnation, load, asked);
            }
            Input::Failing => self.restart(now),
            Input::Limits(limits) => self.set_limits(limits),
            Input::Tick => self.send_invitations(now, &mut outputs),
        }
        self.expire(now);
        self.distribute(now, &mut outputs);
        outputs
    }

    /// Sets the nodes that may send work, and recomputes their reserves.
    fn set_listed(&mut self, now: Duration, nodes: Vec<id::Node>) {
        self.listed = nodes;
        for node in &self.listed {
            let new = || Account::new(now);
            self.accounts.entry(node.clone()).or_insert_with(new);
        }
        for (node, account) in &mut self.accounts {
            account.listed = self.listed.contains(node);
        }
        self.update_reserves();
    }

    /// Frees all slots of a node that has shut down, unless the node is still listed.
    fn remove(&mut self, node: &str) {
        if !self.listed.iter().any(|it| it == node) {
            self.accounts.remove(node);
        }
    }

    /// Changes the upstream's limits, and lowers the reserves and targets above them.
    fn set_limits(&mut self, limits: Limits) {
        self.options.limits = limits;
        self.ramp.set_limits(limits);
        self.update_reserves();
        for account in self.accounts.values_mut() {
            account.target = account.target.min(limits.slots);
        }
    }

    /// Recomputes each node's share of the reserved slots and lowers the reserves that exceed it.
    fn update_reserves(&mut self) {
        let total = self.options.reserved();
        for (node, account) in &mut self.accounts {
            account.reserve_share = reserve::share(total, &self.listed, &self.upstream, node);
            account.reserve = account.reserve.min(account.reserve_share);
        }
    }

    /// Processes a node's report of its holdings. A node that hasn't joined the session gets an
    /// invitation. After a join or a lost connection the upstream is probed, since it may have
    /// restarted.
    fn process_report(
        &mut self,
        now: Duration,
        node: &id::Node,
        holdings: &message::Holdings,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(it) = &holdings.started {
            self.record_start(now, it);
        }
        let account = self.accounts.entry(node.clone()).or_default();
        if (holdings.join, holdings.report) <= (account.join, account.report) {
            return;
        }
        let was_reset = account.join != holdings.join || account.reset != holdings.reset;
        if was_reset {
            account.revoke();
        }
        account.update(now, holdings);
        if holdings.session != Some(self.session) {
            let invitation = self.invitation();
            outputs.push(Output::Invite(node.clone(), invitation));
            return;
        }
        let was_reset = was_reset || !account.joined;
        account.joined = true;
        account.acknowledge(holdings.ack);
        if was_reset && self.uncertain_since.replace(now).is_none() {
            outputs.push(Output::Probe);
        }
        if was_reset || account.needs_grant(self.options.lease / RENEWALS_PER_LEASE) {
            self.grant(now, node, outputs);
        }
    }

    /// Revokes the grants of a node that has switched to another owner. Its slots in use and its
    /// reserve still count.
    fn release(&mut self, node: &str, release: &message::Release) {
        let Some(account) = self.accounts.get_mut(node) else { return };
        if account.join != release.join {
            return;
        }
        account.held = release.in_use.max(release.reserve);
        account.reserve_held = release.reserve;
        account.in_use = release.in_use;
        account.waiting = 0;
        account.revoke();
    }

    /// Records a start that a holder reported, unless a later start of the same incarnation is
    /// recorded.
    fn record_start(&mut self, now: Duration, started: &message::Started) {
        let Some(reported_starts) = &mut self.reported_starts else { return };
        let start = now.saturating_sub(started.age);
        let latest = reported_starts.entry(started.incarnation).or_insert(start);
        *latest = start.max(*latest);
    }

    /// Sets the start of the slow start to the one that the holders reported for the upstream's
    /// incarnation, if any.
    fn apply_reported_start(&mut self, now: Duration) {
        let Some(incarnation) = self.ramp.incarnation() else { return };
        let Some(reported_starts) = self.reported_starts.take() else { return };
        if let Some(&start) = reported_starts.get(&incarnation) {
            self.ramp.backdate(now, now.saturating_sub(start));
        }
    }

    /// Applies an observation of the upstream.
    fn observe(
        &mut self,
        now: Duration,
        incarnation: id::Incarnation,
        load: Option<host::Load>,
        asked: Duration,
    ) {
        if self.ramp.observe(now, incarnation) {
            self.restart(now);
        }
        if self.uncertain_since.is_some_and(|it| asked >= it) {
            self.uncertain_since = None;
        }
        self.has_queue = load.is_some_and(|it| it.queued > 0);
    }

    /// Restarts the slow start and drops all targets.
    fn restart(&mut self, now: Duration) {
        self.ramp.restart(now);
        self.reported_starts = None;
        self.accounts.values_mut().for_each(|it| it.target = 0);
    }

    /// Invites the nodes that haven't joined the session, and probes the upstream if its incarnation
    /// is uncertain, at most once per interval.
    fn send_invitations(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        if self.last_invited.is_some_and(|it| now < it + INVITATION_INTERVAL) {
            return;
        }
        self.last_invited = Some(now);
        if self.uncertain_since.is_some() {
            outputs.push(Output::Probe);
        }
        let invitation = self.invitation();
        let missing = self.accounts.iter().filter(|(_, it)| !it.joined);
        let invite = |(node, _): (&id::Node, _)| Output::Invite(node.clone(), invitation.clone());
        outputs.extend(missing.map(invite));
    }

    fn invitation(&self) -> message::Invitation {
        message::Invitation { upstream: self.upstream.clone(), session: self.session }
    }

    /// Frees the slots of nodes that haven't reported for so long that their grants have expired and
    /// the requests that began before have ended.
    fn expire(&mut self, now: Duration) {
        let max_use = self.options.lease + self.options.max_run_time;
        for account in self.accounts.values_mut() {
            if account.joined && now > account.reported_at + max_use {
                account.expire();
            }
        }
        let expired = |it: &Account| it.committed() == 0 || now > it.reported_at + max_use;
        self.accounts.retain(|_, it| it.listed || !expired(it));
    }

    /// Assigns slots to all nodes and sends grants to those whose assignment changed.
    fn distribute(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let ready = self.all_joined() && self.uncertain_since.is_none();
        if ready {
            self.apply_reported_start(now);
        }
        let limit = self.ramp.limit(now);
        if ready {
            self.restore(limit);
            let free = self.raise_reserves(limit.saturating_sub(self.committed()));
            match self.raise_targets(free, Account::demand) {
                Some(free) => drop(self.raise_targets(free, Account::demand_with_spare)),
                None => self.reclaim(limit),
            }
        }
        let changed = self.accounts.iter().filter(|(_, it)| it.joined && it.has_changed());
        let changed: Vec<id::Node> = changed.map(|(node, _)| node.clone()).collect();
        for node in changed {
            outputs.retain(|it| !matches!(it, Output::Grant(to, _) if *to == node));
            self.grant(now, &node, outputs);
        }
    }

    /// Restores the targets of nodes that still use slots they were asked to give back, up to their
    /// max-min fair share.
    fn restore(&mut self, limit: u32) {
        let fair_share = self.fair_share(limit);
        for account in self.accounts.values_mut().filter(|it| it.is_overrun()) {
            account.target = account.target.max(account.in_use.min(fair_share));
        }
    }

    /// Returns the max-min fair share of a node when `limit` slots are divided among the current demands.
    fn fair_share(&self, limit: u32) -> u32 {
        max_min_share(self.accounts.values().map(Account::demand).collect(), limit)
    }

    /// Raises reserves towards the nodes' shares as far as other nodes have lowered theirs. Returns
    /// the remaining free slots.
    fn raise_reserves(&mut self, mut free: u32) -> u32 {
        let reserved: u32 = self.accounts.values().map(Account::reserved).sum();
        let mut remaining = self.options.reserved().saturating_sub(reserved);
        for account in self.accounts.values_mut().filter(|it| it.joined && it.listed) {
            let wanted = account.reserve_share.saturating_sub(account.reserved()).min(remaining);
            let reserve = (account.reserved() + wanted).min(account.reserve_share);
            let cost = reserve.saturating_sub(account.committed());
            if wanted > 0 && cost <= free {
                free -= cost;
                remaining -= wanted;
                account.reserve = reserve;
            }
        }
        free
    }

    /// Assigns free slots to the nodes that have fewer slots than `wanted` returns for them, always to
    /// the node with the fewest slots first. Returns the remaining free slots, or `None` if some node
    /// still has fewer than wanted. While the upstream has a queue, targets are raised only into slots
    /// that are already committed.
    fn raise_targets(&mut self, mut free: u32, wanted: impl Fn(&Account) -> u32) -> Option<u32> {
        let max = self.options.limits.slots;
        loop {
            let wanting = self.accounts.values_mut().filter(|it| it.joined && it.listed);
            let wanting = wanting.filter(|it| it.assigned() < wanted(it).min(max));
            let Some(smallest) = wanting.min_by_key(|it| it.assigned()) else { return Some(free) };
            let target = smallest.assigned() + 1;
            let cost = target.saturating_sub(smallest.committed());
            if cost > free || cost > 0 && self.has_queue {
                return None;
            }
            free -= cost;
            smallest.target = target;
        }
    }

    /// Takes back as many slots as other nodes need, always from the node with the largest surplus
    /// beyond its demand or beyond its max-min fair share. A node may keep one slot more than the
    /// fair share, the remainder of the division, unless some node has less than its share.
    fn reclaim(&mut self, limit: u32) {
        let fair_share = self.fair_share(limit);
        let joined = self.accounts.values().filter(|it| it.joined && it.listed);
        let below_share: u32 =
            joined.map(|it| it.demand().min(fair_share).saturating_sub(it.assigned())).sum();
        let max = if below_share > 0 { fair_share } else { fair_share + 1 };
        let assigned: u32 = self.accounts.values().map(Account::assigned).sum();
        let deficit: u32 = self.accounts.values().map(Account::deficit).sum();
        let returning = self.accounts.values().map(Account::returning).sum();
        let need = below_share.max(deficit).max(assigned.saturating_sub(limit));
        let mut need = need.saturating_sub(returning);
        while need > 0 {
            let largest = self.accounts.values_mut().max_by_key(|it| it.surplus(max));
            let Some(largest) = largest.filter(|it| it.surplus(max) > 0) else { return };
            let taken = largest.surplus(max).min(need);
            largest.target = largest.assigned() - taken;
            need -= taken;
        }
    }

    /// Sends a grant of the node's current assignment.
    fn grant(&mut self, now: Duration, node: &id::Node, outputs: &mut Vec<Output>) {
        let started = self.ramp.started(now);
        let Some(account) = self.accounts.get_mut(node) else { return };
        self.seq += 1;
        account.record_grant(self.seq);
        let grant = message::Grant {
            upstream: self.upstream.clone(),
            session: self.session,
            join: account.join,
            seq: self.seq,
            reset: account.reset,
            slots: account.assigned(),
            reserve: account.reserve,
            echo: account.echo,
            started,
        };
        outputs.push(Output::Grant(node.clone(), grant));
    }
}

/// Returns the max-min fair share: the largest share for which the demands, each capped at the share,
/// add up to at most `limit`. Returns `limit` if all demands fit, and at least 1 otherwise.
fn max_min_share(mut demands: Vec<u32>, limit: u32) -> u32 {
    demands.sort_unstable();
    let mut remaining = limit;
    let count = demands.len() as u32;
    for (left, demand) in (1..=count).rev().zip(demands) {
        if demand.saturating_mul(left) > remaining {
            return (remaining / left).max(1);
        }
        remaining -= demand;
    }
    limit
}
